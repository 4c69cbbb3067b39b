//! Forwards the log records of the HTTP servers, without what callers may have put into queries or
//! bodies.

use log::{Level, log};
use slog::{Drain, KV as _, Key, Never, OwnedKVList, Record, Serializer};
use std::fmt::{Arguments, Write};

/// The fields that are forwarded; `uri` is cut before its query.
const FORWARDED_FIELDS: [&str; 7] =
    ["error", "latency_us", "local_addr", "method", "remote_addr", "response_code", "uri"];

/// Forwards `slog` records to `log`, with the fields in `FORWARDED_FIELDS` only.
#[derive(Clone, Copy, Debug)]
pub struct HttpLog;

impl Drain for HttpLog {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let level = match record.level() {
            slog::Level::Critical | slog::Level::Error => Level::Error,
            slog::Level::Warning => Level::Warn,
            // The server logs each connection and request at this level.
            slog::Level::Info | slog::Level::Debug => Level::Debug,
            slog::Level::Trace => Level::Trace,
        };
        if level > log::max_level() {
            return Ok(());
        }
        let mut fields = Fields::default();
        let written = values
            .serialize(record, &mut fields)
            .and_then(|()| record.kv().serialize(record, &mut fields));
        if written.is_err() {
            fields.text.clear();
        }
        log!(level, "http: {}{}", record.msg(), fields.text);
        Ok(())
    }
}

/// The forwarded fields of one record as text.
#[derive(Default)]
struct Fields {
    text: String,
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &Arguments<'_>) -> slog::Result {
        let key: &str = key.as_ref();
        if !FORWARDED_FIELDS.contains(&key) {
            return Ok(());
        }
        let value = value.to_string();
        let forwarded = match key {
            "uri" => value.split('?').next().unwrap_or_default(),
            _ => &value,
        };
        write!(self.text, ", {key} {forwarded}").map_err(|_| slog::Error::Other)
    }
}
