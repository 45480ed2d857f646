//! `ebonygauge explain`.

use error_stack::Report;

use crate::{cmd, cmd::http, failure};

/// Prints the decisions of one or more daemons, or with `--request` the log
/// lines that led to the outcome of one request.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    if matches.contains_id("request") {
        return explain_request(matches);
    }
    let json = matches.get_flag("json");
    for admin in arg_values(matches, "admin") {
        let response = http::get(admin, "/explain")?;
        if json {
            print!("{}", response.body);
            continue;
        }
        for line in response.body.lines() {
            let value: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let at = value["at"].as_u64().unwrap_or_default();
            let text = value["text"].as_str().unwrap_or_default();
            let vm = value["vm"].as_str().unwrap_or_default();
            println!(
                "{:>10}.{:03} s  {vm}  {text}",
                at / 1_000_000,
                at / 1000 % 1000
            );
        }
    }
    Ok(())
}

fn explain_request(matches: &clap::ArgMatches) -> cmd::Outcome {
    let id = cmd::arg_value(matches, "request");
    let mut logs = Vec::new();
    for file in arg_values(matches, "log") {
        let (text, _) = cmd::read_file(file)?;
        logs.push((file.clone(), text));
    }
    if logs.is_empty() {
        for admin in arg_values(matches, "admin") {
            let response = http::get(admin, "/log")?;
            logs.push((admin.clone(), response.body));
        }
    }
    let lines = telemetry::trace(&logs, id);
    if lines.is_empty() {
        let unknown = failure::Failure::RequestUnknown(id.into());
        return Err(Report::new(unknown));
    }
    if matches.get_flag("json") {
        for line in lines {
            let line = serde_json::json!({
                "time_ms": line.time, "source": line.source, "text": line.text});
            println!("{line}");
        }
        return Ok(());
    }
    for line in lines {
        let (seconds, ms) = (line.time / 1000, line.time % 1000);
        println!("{seconds}.{ms:03}  {}  {}", line.source, line.text);
    }
    Ok(())
}

fn arg_values<'a>(matches: &'a clap::ArgMatches, name: &str) -> impl Iterator<Item = &'a String> {
    matches.get_many::<String>(name).unwrap_or_default()
}
