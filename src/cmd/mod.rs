//! Subcommands, one in each module.

mod apply;
mod bench;
mod check;
mod demo;
mod digest;
mod explain;
mod http;
mod serve;
mod status;

use std::fs;

use error_stack::Report;

use crate::failure;

/// Result of a subcommand.
pub type Outcome = Result<(), Report<failure::Failure>>;

/// Runs the subcommand given on the command line.
pub fn run(matches: &clap::ArgMatches) -> Outcome {
    match matches.subcommand() {
        Some(("serve", matches)) => serve::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("apply", matches)) => apply::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("digest", _)) => digest::run(),
        Some(("bench", matches)) => bench::run(matches),
        Some(("demo", matches)) => demo::run(matches),
        _ => Ok(()),
    }
}

/// Value of an argument that is required or has a default.
fn arg_value<'a>(matches: &'a clap::ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

/// Text of a file, and the file's path as the origin for error messages.
fn read_file(path: &str) -> Result<(String, config::Origin), Report<failure::Failure>> {
    let origin = config::Origin(path.into());
    let text = fs::read_to_string(path).map_err(|error| {
        let problem = config::Problem::Unreadable(error.kind().to_string());
        Report::new(failure::Failure::Invalid(config::Failure {
            file: path.into(),
            line: 0,
            problem,
        }))
    })?;
    Ok((text, origin))
}

fn invalid(failure: config::Failure) -> Report<failure::Failure> {
    Report::new(failure::Failure::Invalid(failure))
}
