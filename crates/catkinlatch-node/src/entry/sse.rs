//! Decoding and encoding of server-sent events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde_json::Value;

/// Largest size of the decode buffer, and so of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Delimiter at the end of an event.
const DELIMITER: &[u8] = b"\n\n";

/// Buffers bytes and splits them into complete events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    /// Number of bytes of the buffer in which no delimiter begins.
    searched: usize,
}

impl Decoder {
    /// Adds bytes; returns `false` if the buffer exceeds [`MAX_EVENT_BYTES`]. The events that are
    /// complete are valid nevertheless.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.buffer.extend_from_slice(data);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event with its delimiter.
    pub fn next(&mut self) -> Option<Bytes> {
        let rest = &self.buffer[self.searched..];
        let Some(at) = rest.windows(DELIMITER.len()).position(|window| window == DELIMITER) else {
            self.searched = self.buffer.len().saturating_sub(DELIMITER.len() - 1);
            return None;
        };
        let end = self.searched + at + DELIMITER.len();
        self.searched = 0;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Returns the number of bytes of an incomplete event that are held.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }
}

/// The parts of an engine's event that are needed to resume and to count tokens.
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

/// A parsed event of an engine.
#[derive(Debug)]
pub enum Event {
    /// The text of the next token; empty for an event without text.
    Text(String),
    /// The token counts of the complete response.
    Usage(super::Usage),
    /// The response is complete.
    Done,
    /// Any other event; it is forwarded unchanged.
    Other,
}

/// Returns whether a block consists of the fields of an event stream, or has unknown ones beside
/// data; other text, such as an error's, is none of a stream.
pub fn is_valid(block: &[u8]) -> bool {
    const KNOWN: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
    let (mut has_data, mut has_unknown) = (false, false);
    for line in block.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let field = parts.next().unwrap_or_default();
        let is_known = field.is_empty() || KNOWN.contains(&field);
        if !is_known && parts.next().is_none() {
            return false;
        }
        has_data |= field == b"data";
        has_unknown |= !is_known;
    }
    has_data || !has_unknown
}

/// Parses an event.
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

/// Encodes a document as an event.
pub fn encode(document: &Value) -> Bytes {
    Bytes::from(format!("data: {document}\n\n"))
}
