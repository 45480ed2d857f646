//! From the id of a request to what was decided about it.
//!
//! Lines that carry the id come first; around them stand the decisions that
//! could have led there: of the same process its view of the store, its shares
//! and its refusals of the same customer, and of all processes the changes of
//! leaders and of members.

use serde_json::Value;

/// Time before the first line of a request that is looked at, in ms: the time
/// for which a VM may have been without news when it refuses.
const BEFORE_MS: u64 = 5_000;
/// Time after its last line, in ms.
const AFTER_MS: u64 = 500;

/// Decisions of the own process that bear on a request.
const OWN_KINDS: [&str; 3] = ["freshness", "epoch", "revision"];
/// Decisions of any process that do.
const FLEET_KINDS: [&str; 5] = ["handover", "primary", "evicted", "suspected", "promoting"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Log that it is from.
    pub source: String,
    /// When it was written, in Unix ms.
    pub time: u64,
    /// Message, with the fields that matter.
    pub text: String,
}

struct Parsed<'a> {
    source: &'a str,
    time: u64,
    value: Value,
}

/// Lines about a request and what led to them, in order of time; `logs` are
/// names of sources with their text. Anything before the JSON of a line is
/// left out.
pub fn trace(logs: &[(String, String)], id: &str) -> Vec<Line> {
    let parsed: Vec<_> = logs
        .iter()
        .flat_map(|(source, text)| text.lines().filter_map(move |line| parse(source, line)))
        .collect();
    let own: Vec<_> = parsed
        .iter()
        .filter(|line| line.value["id"] == id)
        .collect();
    let times = || own.iter().map(|line| line.time);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let near = |line: &&Parsed<'_>| line.time + BEFORE_MS >= first && line.time <= last + AFTER_MS;
    let mut lines: Vec<_> = parsed
        .iter()
        .filter(near)
        .filter(|line| line.value["id"] == id || bears_on(line, &own))
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

fn bears_on(line: &Parsed<'_>, own: &[&Parsed<'_>]) -> bool {
    let kind = line.value["entry"]["kind"].as_str().unwrap_or_default();
    if FLEET_KINDS.contains(&kind) {
        return true;
    }
    let same_source = own.iter().any(|request| request.source == line.source);
    if !same_source || !line.value["id"].is_null() {
        return false;
    }
    let same = |field: &str, value: &Value| {
        let mut values = own.iter().map(|request| &request.value[field]);
        !value.is_null() && values.any(|own| own == value)
    };
    OWN_KINDS.contains(&kind)
        || (kind == "refusals" && same("customer", &line.value["entry"]["customer"]))
        || (line.value["target"] == "request" && same("instance", &line.value["instance"]))
        || !line.value["part"].is_null()
}

/// The message, and the fields of a line about a request or a connection.
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
