//! Errors of a cluster.

use derive_more::{Display, Error, From};

/// Why a cluster could not start or apply a release note.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// A simulated instance, platform or link failed.
    #[display("a stand-in failed: {_0}")]
    Standin(standin::Failure),
    /// A daemon could not start.
    #[display("a daemon failed: {_0}")]
    Daemon(daemon::Failure),
    /// The release note is not valid.
    #[display("the release note is not valid: {_0}")]
    InvalidNote(config::Failure),
    /// The release note was not put in force.
    #[display("the release note was not accepted: {_0}")]
    NoteNotAccepted(#[error(not(source))] kernel::event::SubmissionOutcome),
    /// A name in the plan is not valid.
    #[display("{_0}")]
    InvalidName(config::Problem),
}
