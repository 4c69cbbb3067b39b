//! The log: one JSON line for each decision, from a bounded queue that never blocks.

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

/// How many lines may wait for a slow reader of the log; further ones are dropped and counted.
const QUEUE_LINES: usize = 4096;

/// How often lost lines are reported.
const LOSS_INTERVAL: Duration = Duration::from_secs(5);

/// How long a process that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How often it looks whether they are.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Lines that wait to be written.
static WAITING: AtomicUsize = AtomicUsize::new(0);

/// Lines that did not fit into the queue.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the log of this process; `RUST_LOG` sets its level.
pub fn start() {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&waiting));
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format(format_line);
    if writer.is_ok() {
        builder.target(Target::Pipe(Box::new(Queue { lines })));
    } else {
        builder.target(Target::Stdout);
    }
    builder.init();
}

/// Waits until all lines are written, but not for a reader that is slow.
pub fn flush() {
    let until = Instant::now() + FLUSH_TIMEOUT;
    while WAITING.load(Ordering::Acquire) > 0 && Instant::now() < until {
        thread::sleep(FLUSH_POLL);
    }
}

/// Reports lines that were dropped, for as long as the process runs.
pub async fn report_losses() {
    loop {
        tokio::time::sleep(LOSS_INTERVAL).await;
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            metrics::counter!("catkinlatch_log_lines_dropped").increment(dropped);
            warn!(dropped; "log: lines were dropped, since their reader is slow");
        }
    }
}

/// Takes lines without waiting.
struct Queue {
    lines: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            WAITING.fetch_sub(1, Ordering::AcqRel);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines, those that wait together.
fn write_all(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = waiting.recv() {
        let mut count = 1;
        for line in waiting.try_iter() {
            lines.extend(line);
            count += 1;
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            DROPPED.fetch_add(count as u64, Ordering::Relaxed);
        }
        WAITING.fetch_sub(count, Ordering::AcqRel);
    }
}

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

/// Collects the fields of a line.
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
