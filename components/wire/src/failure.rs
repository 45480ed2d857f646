//! Errors of a connection to a caller or a database.

use std::io;

use derive_more::{Display, Error};

/// Why an operation on a connection failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The remote side closed the connection.
    #[display("the remote side closed the connection")]
    Closed,
    /// The operating system reported an error.
    #[display("the connection failed: {_0}")]
    Io(#[error(not(source))] io::ErrorKind),
    /// A message exceeds a size limit: bytes.
    #[display("a message exceeds the size limit: {_0} bytes")]
    TooLarge(#[error(not(source))] u64),
    /// A message was not complete within the time limit.
    #[display("the message was not complete within the time limit")]
    Slow,
    /// The remote side left what was sent to it unread for too long.
    #[display("the remote side does not read")]
    Unread,
    /// The daemon has no memory for the message.
    #[display("no memory is free for the message")]
    Full,
    /// A message violates the protocol.
    #[display("a message violates the protocol")]
    Malformed,
    /// The database returned an error: SQLSTATE.
    #[display("the database returned an error with SQLSTATE {_0}")]
    Refused(#[error(not(source))] String),
    /// The database requires an authentication method that the proxy does not
    /// support.
    #[display("the database requires an unsupported authentication method")]
    Authentication,
    /// The TLS handshake failed, or TLS is not configured.
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
