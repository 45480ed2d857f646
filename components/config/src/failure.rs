//! Errors in settings and release notes.

use derive_more::{Display, Error};

/// An invalid document.
#[derive(Debug, Display, Error)]
#[display("{file}:{line}: {problem}")]
pub struct Failure {
    /// File, or name of another source.
    pub file: String,
    /// Line number from 1; 0 if unknown.
    pub line: u64,
    /// What is wrong and how to correct it.
    pub problem: Problem,
}

/// What is wrong; the text says how to correct it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// The file cannot be read.
    #[display("cannot be read: {_0}; check the path and its permissions")]
    Unreadable(String),
    /// Invalid YAML, a wrong type, or a missing or unknown field.
    #[display("{_0}; correct the field or remove it")]
    Syntax(String),
    /// A name that is empty, too long or has forbidden characters.
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
    #[display("{_0} `{_1}` appears twice; remove one or rename it")]
    Duplicate(&'static str, String),
    /// A reference to an entry that does not exist.
    #[display("{_0} `{_1}` does not exist; add it first or correct the name")]
    NotFound(&'static str, String),
    /// A withdrawn entry that another entry uses.
    #[display("{_0} `{_1}` is still used by `{_2}`; withdraw or change that first")]
    InUse(&'static str, String, String),
    /// An added entry that already exists.
    #[display("{_0} `{_1}` already exists; list it under `changed`")]
    AlreadyExists(&'static str, String),
    /// A failure domain in which no instance stands.
    #[display("failure domain `{_0}` has no instance; correct the name")]
    UnknownDomain(String),
    /// A group without instances, which has no majority.
    #[display("group `{_0}` has no instance; list at least one")]
    EmptyGroup(String),
    /// A group whose durability only the platform's configuration can state.
    #[display("group `{_0}`: durability must be `majority` or `primary`")]
    Durability(String),
    /// A route that is open and names customers, or is neither.
    #[display("route `{_0}` must either be open or name its customers")]
    RouteAccess(String),
    /// A policy that no plug-in implements.
    #[display("policy `{_0}` is not registered; use one of: {_1}")]
    UnknownPolicy(String, String),
}

impl std::error::Error for Problem {}
