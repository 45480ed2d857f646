//! Errors of requests to the platform.

use derive_more::{Display, Error};

/// Why a request to the platform returned no result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The platform sent no response, or an error status.
    #[display("the platform does not answer")]
    Unavailable,
    /// The request expired before all of it was sent, so it cannot take effect.
    #[display("the request expired before it was sent")]
    Expired,
    /// The response cannot be parsed.
    #[display("the platform's response cannot be parsed")]
    Malformed,
    /// No plug-in handles the URL's scheme: the URL, and the known schemes.
    #[display("platform URL `{_0}` has an unknown scheme; use one of: {_1}")]
    UnknownScheme(#[error(not(source))] String, String),
}
