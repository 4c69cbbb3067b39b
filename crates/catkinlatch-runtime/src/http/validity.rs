//! Statuses, content types and framings that a received response may have.

use http::{HeaderMap, StatusCode, Version, header, response::Parts};

/// Returns whether a status may end an exchange.
///
/// Informational statuses precede a response. That includes 101, since no request asks to switch
/// protocols. The protocol defines no class of statuses from 600 on.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns whether a response may be a stream of events by its content type. One without a type may,
/// since its events are checked as well.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_none_or(|value| {
        let essence = value.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
        essence.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
    })
}

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by chunks, or by a status that has no body.
    Explicit,
    /// By the end of the connection, as its head announces. Such a body may have been cut.
    Connection,
    /// By nothing: the connection would be kept after it, so part of the head is missing.
    Missing,
}

impl Framing {
    /// Returns the framing of a response with this head; `length` is that of the body if it is known
    /// from the head.
    pub fn new(head: &Parts, length: Option<u64>) -> Self {
        let last = header_words(&head.headers, header::TRANSFER_ENCODING).last();
        let is_chunked = last.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if length.is_some() || is_chunked {
            Self::Explicit
        } else if head.version == Version::HTTP_11 && !is_closing(&head.headers) {
            Self::Missing
        } else {
            Self::Connection
        }
    }
}

/// Returns whether the headers announce that the connection closes.
pub fn is_closing(headers: &HeaderMap) -> bool {
    header_words(headers, header::CONNECTION).any(|word| word.eq_ignore_ascii_case("close"))
}

/// Returns the words of a header that is a list.
fn header_words(headers: &HeaderMap, name: header::HeaderName) -> impl Iterator<Item = &str> {
    let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',').map(str::trim))
}
