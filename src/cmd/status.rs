//! `ebonygauge status`.

use crate::{cmd, cmd::http};

/// Prints the status of a daemon as indented JSON.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let response = http::get(cmd::arg_value(matches, "admin"), "/status")?;
    let value: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
    println!("{value:#}");
    Ok(())
}
