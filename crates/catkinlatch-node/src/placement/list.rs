//! Request for the platform's list of running targets.

use crate::{Node, upstream};
use catkinlatch_fleet::placement::Listed;
use http::Request;
use http_body_util::Full;
use std::time::Duration;
use tokio::time;

/// How long a request to the platform may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the targets that the platform lists, or `None` if it does not respond with a list.
pub async fn list(node: &Node) -> Option<Vec<Listed>> {
    let uri = upstream::uri(node.settings.platform.as_ref()?, "/v1/targets")?;
    let request = Request::get(uri).body(Full::default()).expect("the parts are valid");
    let result = time::timeout(TIMEOUT, node.upstream.call(request, MAX_RESPONSE_BYTES)).await;
    let response = result.ok()?.ok()?;
    if !response.status().is_success() {
        return None;
    }
    serde_json::from_slice(response.body()).ok()
}
