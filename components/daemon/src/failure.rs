//! Failures of a daemon.

use std::io;

use derive_more::{Display, Error};

/// Why a daemon could not start.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// An address could not be taken.
    #[display("cannot listen on {_0} ({_1}); set another address")]
    Listen(std::net::SocketAddr, io::ErrorKind),
    /// A certificate or key could not be read.
    #[display("cannot read the certificate or key in {_0}; check path and format")]
    Certificate(#[error(not(source))] String),
    /// A policy of the settings is not registered.
    #[display("{_0}")]
    Policy(#[error(not(source))] config::Problem),
    /// The platform could not be opened.
    #[display("{_0}")]
    Platform(#[error(not(source))] store::Failure),
    /// The dialect of the settings is not registered.
    #[display("dialect `{_0}` is not known; use `postgres` or one that this build registers")]
    Dialect(#[error(not(source))] config::Name),
    /// The peers' thread could not start.
    #[display("{_0}")]
    Peers(#[error(not(source))] peer::Failure),
    /// A thread could not start.
    #[display("a thread could not start: {_0}")]
    Thread(#[error(not(source))] io::ErrorKind),
}
