//! Failures of a connection.

use std::io;

use derive_more::{Display, Error};

/// Why a connection cannot go on.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The other side closed the connection.
    #[display("the connection was closed")]
    Closed,
    /// An operating-system error.
    #[display("the connection failed: {_0}")]
    Io(#[error(not(source))] io::ErrorKind),
    /// A message is longer than the limit, in bytes.
    #[display("a message of {_0} bytes is over the limit")]
    TooLarge(#[error(not(source))] u64),
    /// A message that the protocol does not allow.
    #[display("a message breaks the protocol")]
    Malformed,
    /// The database refused: SQLSTATE.
    #[display("the database refused with SQLSTATE {_0}")]
    Refused(#[error(not(source))] String),
    /// Authentication that is not supported.
    #[display("the database asks for an authentication that is not supported")]
    Authentication,
    /// TLS could not be set up.
    #[display("the TLS handshake failed")]
    Tls,
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::UnexpectedEof => Failure::Closed,
            kind => Failure::Io(kind),
        }
    }
}
