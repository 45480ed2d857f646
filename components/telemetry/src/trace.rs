//! Log lines that explain the outcome of a request.
//!
//! Lines with the id of the request set a time window. Within it, a trace also has the
//! lines about decisions that may have caused the outcome. From the same process, these
//! are lines about its view of the store, its shares of the budgets, refusals of the
//! same customer and requests at the same instance; from all processes, changes of
//! primaries and members.

use serde_json::Value;

/// Start of the time window before the first line of the request: as long as a VM may
/// have had no news from the store when it refuses the request.
const BEFORE_MS: u64 = 5_000;
/// End of the time window after the last line of the request.
const AFTER_MS: u64 = 500;

/// Kinds of decisions that may affect a request in the same process.
const LOCAL_KINDS: [&str; 6] = [
    "freshness",
    "epoch",
    "revision",
    "evacuation",
    "evacuation_due",
    "taken_back",
];
/// Kinds of decisions that may affect a request in any process.
const FLEET_KINDS: [&str; 5] = ["handover", "primary", "evicted", "suspected", "promoting"];

/// A log line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the log.
    pub source: String,
    /// Time of the line, in Unix ms.
    pub time: u64,
    /// Message with the fields that explain the outcome.
    pub text: String,
}

struct Parsed<'a> {
    source: &'a str,
    time: u64,
    value: Value,
}

/// Lines about a request and the decisions that may have affected it, ordered by time.
/// `logs` has the name and text of each log; text before the JSON of a line is ignored.
pub fn trace(logs: &[(String, String)], id: &str) -> Vec<Line> {
    let parsed: Vec<_> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(move |line| parse(source, line)))
        .collect();
    let request_lines: Vec<_> = parsed
        .iter()
        .filter(|line| line.value["id"] == id)
        .collect();
    let times = || request_lines.iter().map(|line| line.time);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let is_in_window =
        |line: &&Parsed<'_>| line.time + BEFORE_MS >= first && line.time <= last + AFTER_MS;
    let mut lines: Vec<_> = parsed
        .iter()
        .filter(is_in_window)
        .filter(|line| line.value["id"] == id || is_related(line, &request_lines))
        .map(|line| Line {
            source: line.source.into(),
            time: line.time,
            text: describe(&line.value),
        })
        .collect();
    lines.sort_by_key(|line| line.time);
    lines
}

fn parse<'a>(source: &'a str, line: &str) -> Option<Parsed<'a>> {
    let value: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    let time = value["time_ms"].as_u64()?;
    Some(Parsed {
        source,
        time,
        value,
    })
}

fn is_related(line: &Parsed<'_>, request_lines: &[&Parsed<'_>]) -> bool {
    let kind = line.value["entry"]["kind"].as_str().unwrap_or_default();
    if FLEET_KINDS.contains(&kind) {
        return true;
    }
    let same_source = request_lines.iter().any(|own| own.source == line.source);
    if !same_source || !line.value["id"].is_null() {
        return false;
    }
    let is_shared = |field: &str, value: &Value| {
        let mut values = request_lines.iter().map(|own| &own.value[field]);
        !value.is_null() && values.any(|other| other == value)
    };
    LOCAL_KINDS.contains(&kind)
        || (kind == "refusals" && is_shared("customer", &line.value["entry"]["customer"]))
        || (line.value["target"] == "request" && is_shared("instance", &line.value["instance"]))
        || !line.value["part"].is_null()
}

/// The message of a line and its fields that explain an outcome.
fn describe(value: &Value) -> String {
    let mut text = value["message"].as_str().unwrap_or_default().to_string();
    for field in [
        "id",
        "customer",
        "route",
        "cause",
        "ran",
        "retry_ms",
        "instance",
        "floor",
        "lost",
        "failure",
        "waited_ms",
        "part",
        "dropped",
    ] {
        let shown = match &value[field] {
            Value::Null => continue,
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        text.push_str(&format!(" {field}={shown}"));
    }
    text
}
