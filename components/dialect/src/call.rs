//! What callers ask for.

use std::{collections, sync};

/// Session values by name.
pub type SessionValues = collections::BTreeMap<String, String>;

/// Start of a session.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Route asked for.
    pub database: String,
    /// Key shown, if any.
    pub key: Option<Vec<u8>>,
}

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreparedStatement {
    /// It may write.
    pub may_write: bool,
    /// Its text.
    pub text: sync::Arc<str>,
}

/// What a statement does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// It only reads.
        is_read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads.
    Read,
    /// Writes.
    Write,
    /// Sets a session value.
    Set {
        /// Name.
        name: String,
        /// Value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name.
        name: String,
        /// Statement.
        statement: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name.
        name: String,
        /// Arguments as sent.
        arguments: String,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name.
        name: String,
    },
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identity that the caller gave it.
    pub id: String,
    /// Its text, as sent.
    pub text: String,
    /// What it does.
    pub statement: Statement,
}

/// What comes from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A statement.
    Call(Call),
    /// A statement that cannot be understood; it is answered with an error.
    Unknown,
    /// The end of the session.
    End,
}

/// A statement as it runs at an instance.
#[derive(Clone, Copy, Debug)]
pub enum Execution<'a> {
    /// As the caller sent it.
    Plain(&'a Call),
    /// A prepared statement, whatever its name at the instance.
    Prepared {
        /// The caller's statement.
        call: &'a Call,
        /// What was prepared.
        statement: &'a PreparedStatement,
        /// Arguments.
        arguments: &'a str,
    },
}
