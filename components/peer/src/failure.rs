//! Failures of the messages between daemons.

use std::io;

use derive_more::{Display, Error};

/// Why a message cannot be delivered or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// An operating-system error.
    #[display("the connection to a peer failed: {_0}")]
    Io(#[error(not(source))] io::ErrorKind),
    /// The peer does not answer in time.
    #[display("the peer does not answer")]
    Timeout,
    /// A message that cannot be decoded.
    #[display("a peer's message cannot be read")]
    Malformed,
    /// The call failed at the peer.
    #[display("the call to a peer failed")]
    Call,
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self::Io(error.kind())
    }
}

impl From<capnp::Error> for Failure {
    fn from(_: capnp::Error) -> Self {
        Self::Call
    }
}

impl From<capnp::NotInSchema> for Failure {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Malformed
    }
}
