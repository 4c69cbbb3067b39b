//! HTTP interface of the stand-in engine.

use super::{Record, Shared};
use bytes::Bytes;
use catkinlatch_base::{ModelId, OrderId, RequestId, Term, Version, derive_schema};
use catkinlatch_node::entry::REQUEST_ID;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, HttpError,
    HttpResponseOk, HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint,
};
use http::Response;
use http_body_util::channel::{Channel, Sender};
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{io, sync::Arc};

type Context = RequestContext<Arc<Shared>>;
type Answer = Result<Response<Body>, HttpError>;

/// How many tokens an answer has unless the request says otherwise.
const DEFAULT_TOKENS: u64 = 16;

/// How callers' keys begin.
const CALLER_KEY_MARK: &str = "ck_";

/// Adds the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Shared>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(chat)?;
    api.register(completion)?;
    api.register(order)?;
    api.register(records)?;
    Ok(())
}

#[derive(Clone, Copy)]
enum Shape {
    Chat,
    Text,
}

#[derive(Deserialize, JsonSchema)]
struct Asked {
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

impl Asked {
    fn prompt_text(&self) -> String {
        if self.messages.is_null() { self.prompt.to_string() } else { self.messages.to_string() }
    }
}

derive_schema! {
    /// An order to load weights.
    pub struct Order {
        order: OrderId,
        fence: Term,
        model: ModelId,
        version: Version,
    }
}

/// Runs a chat completion.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat(context: Context, body: TypedBody<Asked>) -> Answer {
    run(context, body.into_inner(), Shape::Chat).await
}

/// Runs a text completion.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completion(context: Context, body: TypedBody<Asked>) -> Answer {
    run(context, body.into_inner(), Shape::Text).await
}

/// Takes an order, unless its fencing number is old.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn order(
    context: Context,
    body: TypedBody<Order>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let order = body.into_inner();
    let mut inner = context.context().lock();
    if order.fence < inner.fence {
        let message = format!("the fencing number {} is old", order.fence);
        let status = ClientErrorStatusCode::CONFLICT;
        return Err(HttpError::for_client_error(None, status, message));
    }
    inner.fence = order.fence;
    inner.version = order.version;
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns what the engine ran, in order.
#[endpoint { method = GET, path = "/standin/records" }]
async fn records(context: Context) -> Result<HttpResponseOk<Vec<Record>>, HttpError> {
    Ok(HttpResponseOk(context.context().lock().records.clone()))
}

async fn run(context: Context, asked: Asked, shape: Shape) -> Answer {
    let headers = context.request.headers();
    let id = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    let Some(id) = id.and_then(|text| text.parse::<RequestId>().ok()) else {
        return Err(HttpError::for_bad_request(None, "the request has no id".to_owned()));
    };
    let mentions_key = |value: &http::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).contains(CALLER_KEY_MARK)
    };
    let saw_caller_key = headers.values().any(mentions_key);
    let generation = Generation::new(context.context().clone(), id, &asked, saw_caller_key);
    if asked.stream {
        return Ok(generation.stream(shape));
    }
    Ok(generation.whole(shape).await)
}

/// One answer in the making.
struct Generation {
    shared: Arc<Shared>,
    id: RequestId,
    prompt_tokens: u64,
    wanted: u64,
    saw_caller_key: bool,
    start: Option<Version>,
    end: Option<Version>,
    tokens: Vec<String>,
    spans: Vec<(Version, u64)>,
}

impl Generation {
    fn new(shared: Arc<Shared>, id: RequestId, asked: &Asked, saw_caller_key: bool) -> Self {
        let prompt_tokens = asked.prompt_text().split_whitespace().count() as u64;
        let wanted = asked.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let (tokens, spans) = (Vec::new(), Vec::new());
        let (start, end) = (None, None);
        Self { shared, id, prompt_tokens, wanted, saw_caller_key, start, end, tokens, spans }
    }

    /// Makes one token with the weights that are loaded now.
    async fn step(&mut self) -> (String, Version) {
        tokio::time::sleep(self.shared.options.token_time).await;
        let version = self.shared.lock().version;
        self.start = self.start.or(Some(version));
        self.end = Some(version);
        let token = format!("t{} ", self.tokens.len());
        self.tokens.push(token.clone());
        match self.spans.last_mut() {
            Some((last, count)) if *last == version => *count += 1,
            Some(_) | None => self.spans.push((version, 1)),
        }
        (token, version)
    }

    async fn whole(mut self, shape: Shape) -> Response<Body> {
        while (self.tokens.len() as u64) < self.wanted {
            self.step().await;
        }
        self.record();
        let text = self.tokens.concat();
        let choice = match shape {
            Shape::Chat => json!({ "index": 0, "finish_reason": "stop",
                "message": { "role": "assistant", "content": text } }),
            Shape::Text => json!({ "index": 0, "finish_reason": "stop", "text": text }),
        };
        let body = json!({ "id": self.id, "choices": [choice], "usage": self.usage(),
            "weight_start": self.start, "weight_end": self.end,
            "weight_spans": self.spans(), "boot": self.shared.boot });
        self.respond("application/json", Body::from(body.to_string()))
    }

    fn stream(self, shape: Shape) -> Response<Body> {
        let (sender, channel) = Channel::<Bytes, io::Error>::new(1);
        let response = self.respond("text/event-stream", Body::wrap(channel));
        tokio::spawn(self.feed(shape, sender));
        response
    }

    async fn feed(mut self, shape: Shape, mut sender: Sender<Bytes, io::Error>) {
        while (self.tokens.len() as u64) < self.wanted {
            let (token, version) = self.step().await;
            let choice = match shape {
                Shape::Chat => json!({ "index": 0, "delta": { "content": token } }),
                Shape::Text => json!({ "index": 0, "text": token }),
            };
            let chunk = json!({ "id": self.id, "choices": [choice], "weight_version": version });
            if sender.send_data(event(&chunk.to_string())).await.is_err() {
                return;
            }
        }
        self.record();
        let last = json!({ "id": self.id, "choices": [], "usage": self.usage(),
            "weight_start": self.start, "weight_end": self.end,
            "weight_spans": self.spans(), "boot": self.shared.boot });
        for data in [last.to_string(), "[DONE]".to_owned()] {
            if sender.send_data(event(&data)).await.is_err() {
                return;
            }
        }
    }

    fn respond(&self, content_type: &str, body: Body) -> Response<Body> {
        Response::builder()
            .header("content-type", content_type)
            .header(REQUEST_ID, self.id.as_str())
            .header("x-target", self.shared.id.as_str())
            .body(body)
            .expect("the parts are valid")
    }

    fn record(&self) {
        self.shared.lock().records.push(Record {
            request: self.id.clone(),
            versions: self.spans.iter().map(|(version, _)| *version).collect(),
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.tokens.len() as u64,
            saw_caller_key: self.saw_caller_key,
        });
    }

    fn usage(&self) -> Value {
        json!({ "prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens.len() })
    }

    fn spans(&self) -> Value {
        let span =
            |(version, tokens): &(Version, u64)| json!({ "version": version, "tokens": tokens });
        Value::Array(self.spans.iter().map(span).collect())
    }
}

/// Frames a server-sent event.
fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
