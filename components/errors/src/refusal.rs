//! Refusals and their wire representation.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No key, or a key that no customer holds.
    KeyInvalid,
    /// The key was withdrawn while the session was open.
    KeyWithdrawn,
    /// The customer may not use the route.
    RouteForbidden,
    /// The route does not exist.
    RouteUnknown,
    /// The customer is over its rate and burst.
    OverRate,
    /// The queue is full or the deadline cannot be met.
    NoCapacity,
    /// No primary, or no database that may answer.
    Unavailable,
    /// The configuration in force can no longer be known.
    Stale,
    /// The daemon is stopping.
    Stopping,
    /// The statement or message is not supported.
    Unsupported,
    /// The message breaks the protocol or a size limit.
    Protocol,
    /// The statement contains the caller's key.
    KeyExposed,
    /// The transaction was idle for too long.
    IdleTransaction,
    /// The result of the request cannot be known.
    OutcomeUnknown,
    /// The transaction was lost and rolled back; nothing of it is kept.
    TransactionLost,
    /// A read did not give a result.
    ReadFailed,
    /// The session has no prepared statement of that name.
    StatementUnknown,
    /// An earlier statement of the transaction has failed.
    TransactionFailed,
}

/// Whether the refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// Certainly not.
    No,
    /// Nobody can tell.
    Unknown,
}

impl fmt::Display for Executed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Executed::No => "not run",
            Executed::Unknown => "outcome unknown",
        })
    }
}

impl Cause {
    /// SQLSTATE of the refusal, 5 characters.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Cause::KeyInvalid => "28P01",
            Cause::KeyWithdrawn | Cause::RouteForbidden | Cause::KeyExposed => "28000",
            Cause::RouteUnknown => "3D000",
            Cause::OverRate => "53400",
            Cause::NoCapacity => "53300",
            Cause::Unavailable | Cause::Stale => "57P03",
            Cause::Stopping => "57P01",
            Cause::Unsupported => "0A000",
            Cause::Protocol => "08P01",
            Cause::IdleTransaction => "25P03",
            Cause::OutcomeUnknown => "08007",
            Cause::TransactionLost => "40000",
            Cause::ReadFailed => "58030",
            Cause::StatementUnknown => "26000",
            Cause::TransactionFailed => "25P02",
        }
    }

    /// Sentence for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Cause::KeyInvalid => "the key is not valid",
            Cause::KeyWithdrawn => "the key has been withdrawn",
            Cause::RouteForbidden => "the customer may not use this route",
            Cause::RouteUnknown => "no such route; set the database name to a route",
            Cause::OverRate => "the customer is over its rate and burst",
            Cause::NoCapacity => "no capacity before the deadline",
            Cause::Unavailable => "no database of the group may answer now",
            Cause::Stale => "the configuration in force cannot be confirmed",
            Cause::Stopping => "the proxy is stopping; connect again",
            Cause::Unsupported => "the statement is not supported by the proxy",
            Cause::Protocol => "the message breaks the protocol or a size limit",
            Cause::KeyExposed => "the statement contains the caller's key",
            Cause::IdleTransaction => "the transaction was idle for too long",
            Cause::OutcomeUnknown => "the result of the request is not known",
            Cause::TransactionLost => "the transaction was lost and rolled back",
            Cause::ReadFailed => "no database gave a result in time",
            Cause::StatementUnknown => "no such prepared statement in this session",
            Cause::TransactionFailed => "the transaction has failed; roll it back first",
        }
    }

    fn ran(self) -> Executed {
        match self {
            Cause::OutcomeUnknown | Cause::ReadFailed => Executed::Unknown,
            _ => Executed::No,
        }
    }
}

/// A final answer that is not the database's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether the request ran.
    pub ran: Executed,
    /// Time after which a retry makes sense, in ms.
    pub retry_ms: u32,
}

impl Refusal {
    /// A refusal with the retry hint in ms.
    pub fn new(cause: Cause, retry_ms: u32) -> Self {
        Self {
            cause,
            ran: cause.ran(),
            retry_ms,
        }
    }

    /// DETAIL field: what ran, and the retry hint.
    pub fn detail(&self) -> String {
        format!("{}; retry after {} ms", self.ran, self.retry_ms)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause.message(), self.detail())
    }
}
