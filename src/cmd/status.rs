//! `ebonygauge status`.

use crate::{cmd, cmd::http};

/// Prints the status of a daemon.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let answer = http::get(cmd::text(matches, "admin"), "/status")?;
    let value: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
    println!("{value:#}");
    Ok(())
}
