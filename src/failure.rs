//! Failures of a command and their exit codes.

use std::process;

use derive_more::{Display, Error};

/// Exit code of a document that is not valid.
const INVALID: u8 = 2;
/// Exit code of a daemon or platform that does not answer.
const UNAVAILABLE: u8 = 3;
/// Exit code of any other failure.
const FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// A document is not valid.
    #[display("{_0}")]
    Invalid(config::Failure),
    /// The daemon refused a note.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// No answer over HTTP.
    #[display("{_0} does not answer; check the address and that the daemon runs")]
    Unreachable(#[error(not(source))] String),
    /// No log has a line of the request.
    #[display(
        "no line tells of request {_0}: it was served, or is older than the log; \
         give the logs of all VMs"
    )]
    RequestUnknown(#[error(not(source))] String),
    /// A daemon could not start.
    #[display("{_0}")]
    Daemon(daemon::Failure),
    /// Logging could not start.
    #[display("{_0}")]
    Log(telemetry::Failure),
    /// A cluster could not start.
    #[display("{_0}")]
    Testbed(testbed::Failure),
    /// The signal handler could not be set.
    #[display("signals cannot be handled")]
    Signals,
    /// The load of a demo or bench failed.
    #[display("the load failed: {_0}")]
    Load(#[error(not(source))] String),
}

impl Failure {
    /// Exit code for the shell.
    pub fn code(&self) -> process::ExitCode {
        process::ExitCode::from(match self {
            Failure::Invalid(_) | Failure::Refused(_) => INVALID,
            Failure::Unreachable(_) => UNAVAILABLE,
            _ => FAILED,
        })
    }
}
