//! Errors at the start of a daemon.

use std::io;

use derive_more::{Display, Error};

/// Reason why a daemon cannot start.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// An address cannot be bound.
    #[display("cannot listen on {_0} ({_1}); set another address")]
    Listen(std::net::SocketAddr, io::ErrorKind),
    /// A certificate or key file cannot be read.
    #[display("cannot read the certificate or key in {_0}; check path and format")]
    Certificate(#[error(not(source))] String),
    /// No policy is registered under the name in the settings.
    #[display("{_0}")]
    Policy(#[error(not(source))] config::Problem),
    /// A service of the platform cannot be opened.
    #[display("{_0}")]
    Platform(#[error(not(source))] store::Failure),
    /// No dialect is registered under the name in the settings.
    #[display("dialect `{_0}` is not known; use `postgres` or one that this build registers")]
    Dialect(#[error(not(source))] config::Name),
    /// The thread that serves peers cannot start.
    #[display("{_0}")]
    Peers(#[error(not(source))] peer::Failure),
    /// A thread cannot start, or a listener has no local address.
    #[display("a thread could not start: {_0}")]
    Thread(#[error(not(source))] io::ErrorKind),
}
