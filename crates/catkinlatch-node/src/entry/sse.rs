//! Server-sent events: cutting them out of a byte stream.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::Value;

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The end of an event.
const DELIMITER: &[u8] = b"\n\n";

/// Collects bytes until they make whole events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    /// Adds bytes; returns `false` if an event is too long.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the next whole event, its end included.
    pub fn next(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(DELIMITER.len()).position(|window| window == DELIMITER)?;
        Some(self.buffer.split_to(end + DELIMITER.len()).freeze())
    }
}

/// The parts of an engine's event that the relay needs.
#[derive(Debug, Default, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<super::Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// What an event says.
#[derive(Debug)]
pub enum Event {
    /// The text of one more token, empty for an event without text.
    Text(String),
    /// The token counts of the whole answer.
    Usage(super::Usage),
    /// The answer is whole.
    Done,
    /// Something else, to be passed on.
    Other,
}

/// Reads an event.
pub fn parse(event: &Bytes) -> Event {
    let Some(data) = event.strip_prefix(b"data: ") else { return Event::Other };
    let data = data.trim_ascii_end();
    if data == b"[DONE]" {
        return Event::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return Event::Other };
    if let Some(usage) = chunk.usage {
        return Event::Usage(usage);
    }
    let text = |choice: Choice| choice.delta.content.unwrap_or(choice.text);
    Event::Text(chunk.choices.into_iter().map(text).collect())
}

/// Frames a document as an event.
pub fn encode(document: &Value) -> Bytes {
    Bytes::from(format!("data: {document}\n\n"))
}
