//! `ebonygauge apply`.

use error_stack::Report;

use crate::{cmd, cmd::http, failure};

/// Applies a release note through a daemon; applying the same note again
/// changes nothing.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let (text, origin) = cmd::read_file(cmd::arg_value(matches, "file"))?;
    config::read_note(&text, &origin).map_err(cmd::invalid)?;
    let response = http::post(cmd::arg_value(matches, "admin"), "/notes", &text)?;
    if matches!(response.status, 200 | 202) {
        print!("{}", response.body);
        return Ok(());
    }
    let reason = format!("{}: {}", origin.0, response.body.trim());
    Err(Report::new(failure::Failure::Refused(reason)))
}
