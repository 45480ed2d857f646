//! Failures of the platform.

use derive_more::{Display, Error};

/// Why a call gave no result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// No answer, or one without a result.
    #[display("the platform does not answer")]
    Unavailable,
    /// An answer that cannot be read.
    #[display("the platform's answer cannot be read")]
    Malformed,
    /// No plug-in for the scheme of the URL.
    #[display("platform `{_0}` has no known scheme; use one of: {_1}")]
    UnknownScheme(#[error(not(source))] String, String),
}
