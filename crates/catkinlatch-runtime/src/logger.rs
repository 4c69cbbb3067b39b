//! The process's log: JSON lines on standard output, written through a bounded queue so that
//! logging never blocks.

use env_logger::{Builder, Env, Target};
use log::{
    kv::{Error, Key, Value, VisitSource},
    warn,
};
use serde_json::{Map, Value as Json};
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Capacity of the queue of lines to be written; lines beyond it are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 4096;

/// Interval between reports of dropped lines.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time that a process waits on exit until its queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which [`flush`] polls the number of queued lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of lines that are queued or being written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Number of lines dropped since the last report: the queue was full or the write failed.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Installs the logger of this process; `RUST_LOG` sets its level, by default `info`.
pub fn start() {
    let (lines, queued) = sync_channel(QUEUE_CAPACITY_LINES);
    let writer = thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&queued));
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(format_line);
    if writer.is_ok() {
        builder.target(Target::Pipe(Box::new(QueueWriter { lines })));
    } else {
        builder.target(Target::Stdout);
    }
    builder.init();
}

/// Waits until all queued lines are written, but for at most `FLUSH_TIMEOUT` if the reader is slow.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Reports dropped lines in a metric and a warning every `LOSS_REPORT_INTERVAL`; never completes.
pub async fn report_dropped_lines() {
    loop {
        tokio::time::sleep(LOSS_REPORT_INTERVAL).await;
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            metrics::counter!("catkinlatch_log_lines_dropped").increment(dropped);
            warn!(dropped; "log: lines were dropped because the reader of the log is too slow");
        }
    }
}

/// Writer that queues lines without blocking.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to standard output, with one write for all that are ready.
fn write_all(queued: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = queued.recv() {
        let mut count = 1;
        for line in queued.try_iter() {
            lines.extend(line);
            count += 1;
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            DROPPED_LINES.fetch_add(count as u64, Ordering::Relaxed);
        }
        QUEUED_LINES.fetch_sub(count, Ordering::AcqRel);
    }
}

/// Formats a record as a JSON object; the text before the first `: ` of its message is the part.
fn format_line(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> io::Result<()> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = record.args().to_string();
    let (part, message) = text.split_once(": ").unwrap_or((record.target(), &text));
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), (wall.as_millis() as u64).into());
    fields.0.insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("part".to_owned(), part.into());
    fields.0.insert("event".to_owned(), message.into());
    record.key_values().visit(&mut fields).map_err(io::Error::other)?;
    writeln!(out, "{}", Json::Object(fields.0))
}

/// The fields of a line, collected from the key-value pairs of its record.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(Json::from).or_else(|| value.to_i64().map(Json::from));
        let json = number.or_else(|| value.to_bool().map(Json::from));
        let json = json.unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
