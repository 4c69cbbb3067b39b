//! The HTTP interface of the stand-in engine.

use super::{Record, Shared, generation::Generation, swap};
use catkinlatch_base::{ModelId, OrderId, RequestId, Term, Version, derive_schema};
use catkinlatch_node::entry::REQUEST_ID;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, HttpError,
    HttpResponseOk, HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;
use std::sync::Arc;

type Context = RequestContext<Arc<Shared>>;
type Answer = Result<Response<Body>, HttpError>;

/// The prefix of API keys.
const API_KEY_PREFIX: &str = "ck_";

/// Registers the endpoints.
pub fn register(api: &mut ApiDescription<Arc<Shared>>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(chat)?;
    api.register(completion)?;
    api.register(order)?;
    api.register(records)?;
    Ok(())
}

/// The format of an answer.
#[derive(Clone, Copy)]
pub enum Shape {
    /// A chat message.
    Chat,
    /// Plain text.
    Text,
}

/// A completion request.
#[derive(Deserialize, JsonSchema)]
pub struct Asked {
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    /// The length of the answer, in tokens; the default applies if absent.
    pub max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    /// How many tokens of the answer another engine has generated already, if this request resumes
    /// it.
    pub resume_tokens: Option<u64>,
}

impl Asked {
    /// Returns the prompt or the chat messages as JSON text.
    pub fn prompt_text(&self) -> String {
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

/// Answers a chat completion request.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat(context: Context, body: TypedBody<Asked>) -> Answer {
    run(context, body.into_inner(), Shape::Chat).await
}

/// Answers a text completion request.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completion(context: Context, body: TypedBody<Asked>) -> Answer {
    run(context, body.into_inner(), Shape::Text).await
}

/// Accepts an order to load weights, unless its fencing token is old and the engine checks it.
#[endpoint { method = POST, path = "/v1/orders" }]
async fn order(
    context: Context,
    body: TypedBody<Order>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let order = body.into_inner();
    let checks_fencing = context.context().options.checks_fencing;
    let mut inner = context.context().lock();
    if checks_fencing && order.fence < inner.fence {
        let message = format!("the fencing number {} is old", order.fence);
        let status = ClientErrorStatusCode::CONFLICT;
        return Err(HttpError::for_client_error(None, status, message));
    }
    inner.fence = order.fence;
    drop(inner);
    tokio::spawn(swap::run(context.context().clone(), order.version));
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the requests that the engine completed, in order of completion.
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
    let contains_key = |value: &http::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).contains(API_KEY_PREFIX)
    };
    let saw_caller_key = headers.values().any(contains_key);
    let generation = Generation::new(context.context().clone(), id, &asked, saw_caller_key);
    if asked.stream {
        return Ok(generation.stream(shape));
    }
    Ok(generation.complete(shape).await)
}
