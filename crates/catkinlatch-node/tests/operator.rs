//! Authorization at the operator interface.

use bytes::Bytes;
use catkinlatch_node::{Server, Settings, settings::Credential};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use test_case::test_case;

async fn start() -> Server {
    let (host, zone) = ("host-1".parse(), "zone-a".parse());
    let settings = Settings::loopback(host.expect("valid"), zone.expect("valid"));
    let operator_token = Some(Credential::new("right"));
    Server::start(Settings { operator_token, ..settings }).await.expect("the node starts")
}

async fn status(server: &Server, method: Method, path: &str, token: Option<&str>) -> StatusCode {
    let uri = format!("http://{}{path}", server.operator_address());
    let mut request = Request::builder().method(method).uri(uri);
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Full::new(Bytes::from_static(b"{}"))).expect("valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    client.request(request).await.expect("the node answers").status()
}

#[test_case("/v1/status"; "status")]
#[test_case("/v1/config"; "config")]
#[test_case("/v1/timeline"; "time line")]
#[tokio::test]
async fn operator_token_is_needed(path: &str) {
    let server = start().await;
    let get = |token| status(&server, Method::GET, path, token);
    assert_eq!(get(None).await, StatusCode::UNAUTHORIZED);
    assert_eq!(get(Some("wrong")).await, StatusCode::UNAUTHORIZED);
    assert_eq!(get(Some("right")).await, StatusCode::OK);
}

#[tokio::test]
async fn health_needs_no_token() {
    let server = start().await;
    assert_eq!(status(&server, Method::GET, "/v1/live", None).await, StatusCode::OK);
}
