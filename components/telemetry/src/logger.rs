//! A `simplelog` logger that writes one JSON object a line to standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that nobody
//! who logs ever waits for the output. What does not fit, or goes beyond the
//! bound on lines about single requests, is dropped, counted, and the count is
//! logged. The last lines are kept for whoever asks the process for them.

use std::{
    collections, io,
    io::Write,
    sync::{self, atomic, mpsc},
    thread, time,
};

use derive_more::{Display, Error};
use log::kv;
use serde_json::Value;

use crate::line_rate;

/// Lines that may wait for the output.
const QUEUE: usize = 4096;
/// Lines kept for those who ask: some seconds of trouble, and 100 KB.
const RECENT: usize = 400;
/// Longest wait for the last lines at the end of the process.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(200);

/// Lines that were dropped since the last one that was written.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The last lines, and what may still be written.
static STATE: sync::Mutex<State> = sync::Mutex::new(State {
    recent: collections::VecDeque::new(),
    volume: line_rate::Limiter::new(),
});

struct State {
    recent: collections::VecDeque<String>,
    volume: line_rate::Limiter,
}

impl State {
    fn keep(&mut self, line: &str) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(line.into());
    }
}

fn state() -> sync::MutexGuard<'static, State> {
    STATE.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The last lines of this process, oldest first.
pub fn recent_lines() -> String {
    state().recent.iter().map(String::as_str).collect()
}

/// The logger could not be set up.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// Not a level.
    #[display("level `{_0}` is unknown; use error, warn, info, debug or trace")]
    Level(#[error(not(source))] String),
}

enum Item {
    Line(String),
    Flush(mpsc::Sender<()>),
}

struct JsonLogger {
    level: log::LevelFilter,
    config: simplelog::Config,
    queue: mpsc::SyncSender<Item>,
}

/// Sets up logging for the process; a second call changes nothing.
pub fn init(level: &str) -> Result<(), Failure> {
    let level: log::LevelFilter = level
        .parse()
        .map_err(|_| Failure::Level(level.to_string()))?;
    let (queue, items) = mpsc::sync_channel(QUEUE);
    let logger = Box::new(JsonLogger {
        level,
        config: simplelog::Config::default(),
        queue,
    });
    if simplelog::CombinedLogger::init(vec![logger]).is_ok() {
        thread::spawn(move || write(&items));
    }
    Ok(())
}

fn write(items: &mpsc::Receiver<Item>) {
    let mut out = io::stdout().lock();
    while let Ok(item) = items.recv() {
        let written = match item {
            Item::Line(line) => out.write_all(line.as_bytes()),
            Item::Flush(done) => {
                let flushed = out.flush();
                let _ = done.send(());
                flushed
            }
        };
        // Nobody is left to be told that the output is gone.
        if written.is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Waits a short time until everything logged so far is written.
pub fn flush() {
    log::logger().flush();
}

struct Fields<'a>(&'a mut serde_json::Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or(Value::Null);
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl log::Log for JsonLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = serde_json::Map::new();
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let ms = since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        if !state().volume.admit(record.target(), ms) {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        line.insert("time_ms".into(), ms.into());
        line.insert(
            "level".into(),
            record.level().as_str().to_lowercase().into(),
        );
        line.insert("target".into(), record.target().into());
        line.insert("message".into(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut Fields(&mut line));
        let dropped = DROPPED.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            line.insert("dropped".into(), dropped.into());
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        state().keep(&text);
        if self.queue.try_send(Item::Line(text)).is_err() {
            DROPPED.fetch_add(dropped + 1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, flushed) = mpsc::channel();
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_LIMIT);
        }
    }
}

impl simplelog::SharedLogger for JsonLogger {
    fn level(&self) -> log::LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&simplelog::Config> {
        Some(&self.config)
    }

    fn as_log(self: Box<Self>) -> Box<dyn log::Log> {
        self
    }
}
