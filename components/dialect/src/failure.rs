//! Failures of connections to callers and instances.

use std::io;

use derive_more::{Display, Error};

use crate::reply;

/// Reason why a caller's session ends early.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallerFailure {
    /// The caller has closed the connection.
    #[display("the caller closed the connection")]
    Closed,
    /// The caller sent no complete message within the time limit.
    #[display("the caller sent no message within the time limit")]
    TimedOut,
    /// A message was not complete within the time limit.
    #[display("the message was not complete within the time limit")]
    Slow,
    /// The daemon has no memory for the message.
    #[display("no memory is free for the message")]
    Full,
    /// A message violates the protocol or exceeds the size limit.
    #[display("a message violates the protocol or exceeds the size limit")]
    Malformed,
    /// The socket reported an I/O error.
    #[display("I/O error on the socket: {_0}")]
    Io(#[error(not(source))] io::ErrorKind),
}

impl From<io::Error> for CallerFailure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Self::TimedOut,
            io::ErrorKind::UnexpectedEof => Self::Closed,
            kind => Self::Io(kind),
        }
    }
}

/// Reason why a call over a connection to an instance failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LinkFailure {
    /// The statement was not sent.
    #[display("no connection")]
    Unsent,
    /// The instance rejected the connection, so that no statement was sent.
    #[display("the instance rejected the connection: {_0}")]
    Rejected(#[error(not(source))] reply::RefusalReason),
    /// The instance has not run the statement, and the connection failed before the end of
    /// the answer that says so.
    #[display("the connection failed after a refusal: {_0}")]
    Refused(#[error(not(source))] reply::RefusalReason),
    /// The connection failed after bytes may have been sent.
    #[display("the connection failed")]
    Broken,
    /// The instance sent no complete reply within the time limit.
    #[display("no reply within the time limit")]
    TimedOut,
}

impl LinkFailure {
    /// Whether the statement has certainly not run.
    pub fn proves_not_run(self) -> bool {
        match self {
            Self::Unsent | Self::Rejected(_) => true,
            Self::Refused(reason) => reason.proves_not_run(),
            Self::Broken | Self::TimedOut => false,
        }
    }
}
