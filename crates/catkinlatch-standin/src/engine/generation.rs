//! The generation of one answer.

use super::{
    Fault, Record, Shared,
    api::{Asked, Shape},
};
use bytes::Bytes;
use catkinlatch_base::{RequestId, Version};
use catkinlatch_node::entry::{REQUEST_ID, RESUMED};
use dropshot::Body;
use http::Response;
use http_body_util::channel::{Channel, Sender};
use serde_json::{Value, json};
use std::{io, sync::Arc};

/// Number of tokens in an answer if the request sets no maximum.
const DEFAULT_TOKENS: u64 = 16;

/// Length of an answer at which a prompt with [`Fault::Crash`] crashes the engine, in tokens.
const TOKENS_BEFORE_CRASH: u64 = 2;

/// Difference between a reported version that was never published and the loaded one.
const UNPUBLISHED_VERSION_OFFSET: u64 = 1_000;

/// An answer that is being generated.
pub struct Generation {
    shared: Arc<Shared>,
    id: RequestId,
    prompt_tokens: u64,
    token_count: u64,
    saw_caller_key: bool,
    resumed: Option<u64>,
    fault: Option<Fault>,
    start: Option<Version>,
    end: Option<Version>,
    tokens: Vec<String>,
    spans: Vec<(Version, u64)>,
}

impl Generation {
    /// Creates an answer without generated tokens, or one that resumes after the given tokens.
    pub fn new(shared: Arc<Shared>, id: RequestId, asked: &Asked, saw_caller_key: bool) -> Self {
        let prompt = asked.prompt_text();
        let prompt_tokens = prompt.split_whitespace().count() as u64;
        let faults = &shared.options.faults;
        let fault = faults.iter().find(|(text, _)| prompt.contains(text)).map(|(_, fault)| *fault);
        let resumed = asked.resume_tokens.filter(|_| shared.options.resumes);
        let token_count = asked.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let tokens = (0..resumed.unwrap_or(0)).map(|number| format!("t{number} ")).collect();
        let (start, end, spans) = (None, None, Vec::new());
        Self {
            shared,
            id,
            prompt_tokens,
            token_count,
            saw_caller_key,
            resumed,
            fault,
            start,
            end,
            tokens,
            spans,
        }
    }

    /// Generates one token with the currently loaded weights.
    async fn generate_token(&mut self) -> (String, Version) {
        let token_time = self.shared.options.token_time;
        if !token_time.is_zero() {
            tokio::time::sleep(token_time).await;
        }
        let version = self.shared.lock().version;
        self.start = self.start.or(Some(version));
        let offset = if self.shared.options.swap.reports_unpublished_version {
            UNPUBLISHED_VERSION_OFFSET
        } else {
            0
        };
        self.end = Some(Version::new(version.get() + offset));
        let token = format!("t{} ", self.tokens.len());
        self.tokens.push(token.clone());
        match self.spans.last_mut() {
            Some((last, count)) if *last == version => *count += 1,
            Some(_) | None => self.spans.push((version, 1)),
        }
        (token, version)
    }

    /// Generates the complete answer as one JSON document.
    pub async fn complete(mut self, shape: Shape) -> Response<Body> {
        while (self.tokens.len() as u64) < self.token_count {
            if self.apply_fault() {
                return self.respond_broken();
            }
            self.generate_token().await;
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

    /// Generates the answer as a stream of server-sent events.
    pub fn stream(self, shape: Shape) -> Response<Body> {
        let (sender, channel) = Channel::<Bytes, io::Error>::new(1);
        let response = self.respond("text/event-stream", Body::wrap(channel));
        tokio::spawn(self.send_events(shape, sender));
        response
    }

    async fn send_events(mut self, shape: Shape, mut sender: Sender<Bytes, io::Error>) {
        while (self.tokens.len() as u64) < self.token_count {
            if self.apply_fault() {
                return sender.abort(io::Error::other("the engine broke the connection"));
            }
            let (token, version) = self.generate_token().await;
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

    /// Applies the prompt's fault if it is due, and returns whether the connection breaks now,
    /// which is also the case after a crash caused by another request.
    fn apply_fault(&self) -> bool {
        let generated = self.tokens.len() as u64;
        match self.fault {
            Some(Fault::Crash) if generated >= TOKENS_BEFORE_CRASH => {
                self.shared.crashed.send_replace(true);
            }
            Some(Fault::Break { after_tokens }) if generated >= after_tokens => return true,
            Some(Fault::Crash | Fault::WrongId | Fault::Break { .. }) | None => {}
        }
        *self.shared.crashed.borrow()
    }

    /// Returns a response whose connection breaks after the head.
    fn respond_broken(&self) -> Response<Body> {
        let (sender, channel) = Channel::<Bytes, io::Error>::new(1);
        sender.abort(io::Error::other("the engine broke the connection"));
        self.respond("application/json", Body::wrap(channel))
    }

    fn respond(&self, content_type: &str, body: Body) -> Response<Body> {
        let id = match self.fault {
            Some(Fault::WrongId) => "another-request",
            Some(Fault::Crash | Fault::Break { .. }) | None => self.id.as_str(),
        };
        let mut response = Response::builder();
        if let Some(resumed) = self.resumed {
            response = response.header(RESUMED, resumed);
        }
        response
            .header("content-type", content_type)
            .header(REQUEST_ID, id)
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

/// Encodes a server-sent event.
fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
