//! Errors of a command and their exit codes.

use std::process;

use derive_more::{Display, Error};

/// Exit code for a document that is not valid or was refused.
const EXIT_INVALID: u8 = 2;
/// Exit code for a daemon that does not answer.
const EXIT_UNAVAILABLE: u8 = 3;
/// Exit code for every other failure.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// A document is not valid.
    #[display("{_0}")]
    Invalid(config::Failure),
    /// The daemon refused a release note.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The daemon does not answer over HTTP.
    #[display("{_0} does not answer; check the address and that the daemon runs")]
    Unreachable(#[error(not(source))] String),
    /// No log line mentions the request.
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
    /// The cluster could not start.
    #[display("{_0}")]
    Testbed(testbed::Failure),
    /// The signal handler could not be installed.
    #[display("signals cannot be handled")]
    Signals,
    /// The load of a demo or bench failed.
    #[display("the load failed: {_0}")]
    Load(#[error(not(source))] String),
}

impl Failure {
    /// Exit code of the process.
    pub fn exit_code(&self) -> process::ExitCode {
        process::ExitCode::from(match self {
            Failure::Invalid(_) | Failure::Refused(_) => EXIT_INVALID,
            Failure::Unreachable(_) => EXIT_UNAVAILABLE,
            _ => EXIT_FAILED,
        })
    }
}
