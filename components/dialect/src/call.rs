//! Input from callers: session startup and statements.

use std::{collections, sync};

/// Session variables by name, as set with `SET`.
pub type SessionValues = collections::BTreeMap<String, String>;

/// First message of a session.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Route that the caller asks for.
    pub database: String,
    /// API key of the caller; none for an anonymous session.
    pub key: Option<Vec<u8>>,
}

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreparedStatement {
    /// Whether running the statement may write.
    pub may_write: bool,
    /// Text of the statement.
    pub text: sync::Arc<str>,
}

/// Kind of a statement, with its operands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// Whether the transaction only reads.
        is_read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and discards its writes.
    Rollback,
    /// Reads data.
    Read,
    /// Writes data.
    Write,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// Name of the prepared statement.
        name: String,
        /// Statement to prepare.
        statement: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name of the prepared statement.
        name: String,
        /// Arguments, as the caller sent them.
        arguments: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name of the prepared statement.
        name: String,
    },
}

/// Statement that a caller sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifier that the caller assigned to the statement.
    pub id: String,
    /// Text, as the caller sent it.
    pub text: String,
    /// Parsed statement.
    pub statement: Statement,
}

/// Message from a caller after the startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A statement.
    Call(Call),
    /// A message that cannot be parsed; the daemon answers it with an error.
    Unknown,
    /// The caller ends the session.
    End,
}

/// How to run a statement at an instance.
#[derive(Clone, Copy, Debug)]
pub enum Execution<'a> {
    /// Send the text of the caller.
    Plain(&'a Call),
    /// Run a prepared statement. Its name at the instance may differ from its name
    /// in the caller's session.
    Prepared {
        /// The caller's `EXECUTE`.
        call: &'a Call,
        /// Statement to run.
        statement: &'a PreparedStatement,
        /// Arguments, as the caller sent them.
        arguments: &'a str,
    },
}
