//! What can be wrong with a document.

use derive_more::{Display, Error};

/// A document that could not be read.
#[derive(Debug, Display, Error)]
#[display("{file}:{line}: {problem}")]
pub struct Failure {
    /// File, or the name of the source.
    pub file: String,
    /// Line, from 1; 0 where none is known.
    pub line: u64,
    /// What is wrong and what to do.
    pub problem: Problem,
}

/// What is wrong, with the remedy in the text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// Not readable as a file.
    #[display("cannot be read: {_0}; check the path and its permissions")]
    Unreadable(String),
    /// YAML or shape error, unknown fields among them.
    #[display("{_0}; correct the field or remove it")]
    Syntax(String),
    /// A name with forbidden characters.
    #[display("`{_0}` is not a name; use 1 to 63 of a-z A-Z 0-9 - _ .")]
    BadName(String),
    /// A duration without a unit or out of range.
    #[display("`{_0}` is not a duration; write a number and a unit, such as 500ms or 2s")]
    BadDuration(String),
    /// An address that is not `IP:port`.
    #[display("`{_0}` is not an address; write IP:port")]
    BadAddress(String),
    /// A digest that is not 64 hexadecimal digits.
    #[display("the digest is not 64 hexadecimal digits; use `ebonygauge digest`")]
    BadDigest,
    /// A number out of range.
    #[display("{_0} must be between {_1} and {_2}")]
    OutOfRange(&'static str, u64, u64),
    /// Two entries with one name.
    #[display("{_0} `{_1}` stands twice; remove one or rename it")]
    Duplicate(&'static str, String),
    /// Reference to an entry that does not exist.
    #[display("{_0} `{_1}` does not exist; add it first or correct the name")]
    NotFound(&'static str, String),
    /// Withdrawn entry that others still use.
    #[display("{_0} `{_1}` is still used by `{_2}`; withdraw or change that first")]
    InUse(&'static str, String, String),
    /// An entry that exists already.
    #[display("{_0} `{_1}` exists already; list it under `changed`")]
    AlreadyExists(&'static str, String),
    /// A group that cannot tell a majority.
    #[display("group `{_0}` has no instance; list at least one")]
    EmptyGroup(String),
    /// An open route also names customers.
    #[display("route `{_0}` must either be open or name its customers")]
    RouteAccess(String),
    /// A policy that no plug-in provides.
    #[display("policy `{_0}` is not registered; use one of: {_1}")]
    UnknownPolicy(String, String),
}

impl std::error::Error for Problem {}
