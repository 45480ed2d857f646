//! Failures of connections.

use std::io;

use derive_more::{Display, Error};

use crate::reply;

/// Why a caller's session cannot go on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallerFailure {
    /// The caller has left.
    #[display("the caller has left")]
    Closed,
    /// Nothing came within the time limit.
    #[display("nothing came within the time limit")]
    TimedOut,
    /// A message that breaks the protocol or a size limit.
    #[display("a message breaks the protocol or a size limit")]
    Malformed,
    /// The socket failed.
    #[display("the socket failed: {_0}")]
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

/// How a connection to an instance was lost.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LinkFailure {
    /// Nothing was sent.
    #[display("no connection")]
    Unsent,
    /// The instance turned the connection away.
    #[display("the instance turned the connection away: {_0}")]
    Rejected(#[error(not(source))] reply::RefusalReason),
    /// The connection broke after something was sent.
    #[display("the connection broke")]
    Broken,
    /// No whole answer came within the time limit.
    #[display("no answer within the time limit")]
    TimedOut,
}
