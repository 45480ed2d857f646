//! `ebonygauge apply`.

use error_stack::Report;

use crate::{cmd, cmd::http, failure};

/// Applies a note; doing so again changes nothing.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let (text, origin) = cmd::read(cmd::text(matches, "file"))?;
    config::read_note(&text, &origin).map_err(cmd::invalid)?;
    let answer = http::post(cmd::text(matches, "admin"), "/notes", &text)?;
    if matches!(answer.code, 200 | 202) {
        print!("{}", answer.body);
        return Ok(());
    }
    let reason = format!("{}: {}", origin.0, answer.body.trim());
    Err(Report::new(failure::Failure::Refused(reason)))
}
