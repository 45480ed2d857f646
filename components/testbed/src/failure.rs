//! Failures of a cluster.

use derive_more::{Display, Error, From};

/// Why a cluster could not start.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// A stand-in failed.
    #[display("a stand-in failed: {_0}")]
    Standin(standin::Failure),
    /// A daemon failed.
    #[display("a daemon failed: {_0}")]
    Daemon(daemon::Failure),
    /// The plan does not make a valid note.
    #[display("the plan is not valid: {_0}")]
    InvalidNote(config::Failure),
    /// The note did not come into force.
    #[display("the first release note was not accepted: {_0}")]
    NoteNotAccepted(#[error(not(source))] kernel::event::SubmissionOutcome),
    /// A name is not valid.
    #[display("{_0}")]
    InvalidName(config::Problem),
}
