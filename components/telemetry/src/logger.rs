//! A `simplelog` logger that writes one JSON object a line to standard error.

use std::{io, io::Write, time};

use derive_more::{Display, Error};
use log::kv;
use serde_json::Value;

/// The logger could not be set up.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// Not a level.
    #[display("level `{_0}` is unknown; use error, warn, info, debug or trace")]
    Level(#[error(not(source))] String),
}

struct JsonLogger {
    level: log::LevelFilter,
    config: simplelog::Config,
}

/// Sets up logging for the process; a second call changes nothing.
pub fn init(level: &str) -> Result<(), Failure> {
    let level: log::LevelFilter = level
        .parse()
        .map_err(|_| Failure::Level(level.to_string()))?;
    let logger = Box::new(JsonLogger {
        level,
        config: simplelog::Config::default(),
    });
    let _ = simplelog::CombinedLogger::init(vec![logger]);
    Ok(())
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
        line.insert("time_ms".into(), ms.into());
        line.insert(
            "level".into(),
            record.level().as_str().to_lowercase().into(),
        );
        line.insert("target".into(), record.target().into());
        line.insert("message".into(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut Fields(&mut line));
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        let _ = io::stderr().lock().write_all(text.as_bytes());
    }

    fn flush(&self) {}
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
