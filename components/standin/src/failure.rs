//! Failures of a stand-in.

use std::io;

use derive_more::{Display, Error};

/// Why a statement or a connection failed.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// Answered with this SQLSTATE and message.
    #[display("{state}: {message}")]
    Sql {
        /// SQLSTATE.
        state: &'static str,
        /// Message.
        message: String,
    },
    /// The connection is gone.
    #[display("the connection is gone")]
    Gone,
    /// A message could not be understood.
    #[display("a message breaks the protocol")]
    Malformed,
}

impl Failure {
    /// A failure with an SQLSTATE.
    pub fn sql(state: &'static str, message: impl Into<String>) -> Self {
        Self::Sql {
            state,
            message: message.into(),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(_: io::Error) -> Self {
        Self::Gone
    }
}

impl From<rusqlite::Error> for Failure {
    fn from(error: rusqlite::Error) -> Self {
        let text = error.to_string();
        let state = match &error {
            rusqlite::Error::SqliteFailure(code, _) => match code.code {
                rusqlite::ErrorCode::ConstraintViolation => "23505",
                rusqlite::ErrorCode::OperationInterrupted => "57014",
                _ => "XX000",
            },
            _ => "XX000",
        };
        let state = if text.contains("no such table") {
            "42P01"
        } else if text.contains("no such column") || text.contains("no column named") {
            "42703"
        } else {
            state
        };
        Self::sql(state, text)
    }
}
