//! Refusals, with the SQLSTATE and the text that callers receive.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The caller sent no key, or a key that belongs to no customer.
    KeyInvalid,
    /// The key was revoked while the session was open.
    KeyWithdrawn,
    /// The customer has no permission for the route.
    RouteForbidden,
    /// The route does not exist.
    RouteUnknown,
    /// The customer exceeds its rate limit, burst included.
    OverRate,
    /// The queue is full, or the request would miss its deadline.
    NoCapacity,
    /// The group has no primary, or no database that may serve the request.
    Unavailable,
    /// Only databases in evacuated failure domains may serve the request.
    Evacuated,
    /// No database that may serve the request is in a home region of the route and the
    /// customer, or in the caller's region.
    OutsideHomes,
    /// The daemon can no longer confirm which configuration is in force.
    Stale,
    /// The daemon is shutting down.
    Stopping,
    /// The statement or message is not supported.
    Unsupported,
    /// The message violates the protocol or a size limit.
    Protocol,
    /// The statement contains the caller's key.
    KeyExposed,
    /// The transaction exceeded the idle timeout.
    IdleTransaction,
    /// The request was sent, and the daemon cannot learn its result.
    OutcomeUnknown,
    /// The connection of the transaction was lost, and the database rolled the
    /// whole transaction back.
    TransactionLost,
    /// No database returned a result for a read.
    ReadFailed,
    /// The session has no prepared statement of the given name.
    StatementUnknown,
    /// An earlier statement of the same transaction failed.
    TransactionFailed,
}

/// Whether the database executed the refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The database did not execute the request.
    No,
    /// The database may have executed the request.
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
    /// SQLSTATE, 5 characters.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Cause::KeyInvalid => "28P01",
            Cause::KeyWithdrawn | Cause::RouteForbidden | Cause::KeyExposed => "28000",
            Cause::RouteUnknown => "3D000",
            Cause::OverRate => "53400",
            Cause::NoCapacity => "53300",
            Cause::Unavailable | Cause::Evacuated | Cause::Stale => "57P03",
            Cause::OutsideHomes => "55000",
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

    /// Error message for the caller.
    pub fn message(self) -> &'static str {
        match self {
            Cause::KeyInvalid => "the key is not valid",
            Cause::KeyWithdrawn => "the key has been withdrawn",
            Cause::RouteForbidden => "the customer may not use this route",
            Cause::RouteUnknown => "no such route; set the database name to a route",
            Cause::OverRate => "the customer is over its rate and burst",
            Cause::NoCapacity => "no capacity before the deadline",
            Cause::Unavailable => "no database of the group may answer now",
            Cause::Evacuated => "the databases that may answer are evacuated",
            Cause::OutsideHomes => "no database in an allowed region may answer now",
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

    fn executed(self) -> Executed {
        match self {
            Cause::OutcomeUnknown | Cause::ReadFailed => Executed::Unknown,
            _ => Executed::No,
        }
    }
}

/// An error that the proxy, not the database, returns for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Reason of the refusal.
    pub cause: Cause,
    /// Whether the database executed the request.
    pub ran: Executed,
    /// Delay before the caller should retry, in ms.
    pub retry_ms: u32,
}

impl Refusal {
    /// Creates a refusal with a retry delay in ms.
    pub fn new(cause: Cause, retry_ms: u32) -> Self {
        Self {
            cause,
            ran: cause.executed(),
            retry_ms,
        }
    }

    /// The same refusal after earlier attempts; a lost one may have executed the request.
    pub fn after_attempts(self, has_lost: bool) -> Self {
        let ran = if has_lost {
            Executed::Unknown
        } else {
            self.ran
        };
        Self { ran, ..self }
    }

    /// DETAIL field: whether the request was executed, and the retry hint.
    pub fn detail(&self) -> String {
        format!("{}; retry after {} ms", self.ran, self.retry_ms)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.cause.message(), self.detail())
    }
}
