//! A `simplelog` logger that writes one JSON object per line to standard output.
//!
//! Lines go through a bounded queue to a writer thread, so that a thread that logs
//! never waits for the output. A line is dropped if the queue is full or if it exceeds
//! the rate limit for lines about single requests; the next line states how many were
//! dropped. The last lines are kept in memory for [`recent_lines`].

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

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LENGTH: usize = 4096;
/// Number of lines kept in memory: some seconds of a fault, about 100 KB.
const RECENT_COUNT: usize = 400;
/// Longest wait for the output of the queued lines at the end of the process.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Lines dropped since the last line that stated their number.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// The last lines, and the rate limit of further ones.
static STATE: sync::Mutex<State> = sync::Mutex::new(State {
    recent: collections::VecDeque::new(),
    limiter: line_rate::Limiter::new(),
});

struct State {
    recent: collections::VecDeque<String>,
    limiter: line_rate::Limiter,
}

impl State {
    fn push_recent(&mut self, line: &str) {
        if self.recent.len() == RECENT_COUNT {
            self.recent.pop_front();
        }
        self.recent.push_back(line.into());
    }
}

fn state() -> sync::MutexGuard<'static, State> {
    STATE.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The last log lines of this process, oldest first.
pub fn recent_lines() -> String {
    state().recent.iter().map(String::as_str).collect()
}

/// Why the logger cannot be set up.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// An unknown log level.
    #[display("level `{_0}` is unknown; use error, warn, info, debug or trace")]
    Level(#[error(not(source))] String),
}

enum WriterCommand {
    Line(String),
    Flush(mpsc::Sender<()>),
}

struct JsonLogger {
    level: log::LevelFilter,
    config: simplelog::Config,
    queue: mpsc::SyncSender<WriterCommand>,
}

/// Sets up logging for the process; a second call changes nothing.
pub fn init(level: &str) -> Result<(), Failure> {
    let level: log::LevelFilter = level
        .parse()
        .map_err(|_| Failure::Level(level.to_string()))?;
    let (queue, commands) = mpsc::sync_channel(QUEUE_LENGTH);
    let logger = Box::new(JsonLogger {
        level,
        config: simplelog::Config::default(),
        queue,
    });
    if simplelog::CombinedLogger::init(vec![logger]).is_ok() {
        thread::spawn(move || write_lines(&commands));
    }
    Ok(())
}

fn write_lines(commands: &mpsc::Receiver<WriterCommand>) {
    let mut out = io::stdout().lock();
    while let Ok(command) = commands.recv() {
        let result = match command {
            WriterCommand::Line(line) => out.write_all(line.as_bytes()),
            WriterCommand::Flush(done) => {
                let flushed = out.flush();
                let _ = done.send(());
                flushed
            }
        };
        // A failed write cannot be reported, as standard output is the only log;
        // the loss is counted instead.
        if result.is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Waits until the lines logged so far are written, up to a time limit.
pub fn flush() {
    log::logger().flush();
}

struct FieldVisitor<'a>(&'a mut serde_json::Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldVisitor<'_> {
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
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let ms = elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0));
        if !state().limiter.admit(record.target(), ms) {
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
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        let dropped = DROPPED.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            line.insert("dropped".into(), dropped.into());
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        state().push_recent(&text);
        if self.queue.try_send(WriterCommand::Line(text)).is_err() {
            DROPPED.fetch_add(dropped + 1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, flushed) = mpsc::channel();
        if self.queue.try_send(WriterCommand::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
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
