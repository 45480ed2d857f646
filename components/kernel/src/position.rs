//! Terms, log positions and the status that an instance reports.
//!
//! A position that a reader must be able to see is called a floor.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Term (timeline) of a group's primary.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Offset in the log of a term.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Lsn(pub u64);

/// Position in the log of a group: a term and an offset in the log of that term.
/// Ordered by term, then by offset.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{term}:{lsn}")]
#[serde(rename_all = "snake_case")]
pub struct Position {
    /// Term in which the position was reached.
    pub term: Term,
    /// Offset in the log of that term.
    pub lsn: Lsn,
}

/// Error for a token that is not of the form `term:position`.
#[derive(Clone, Copy, Debug, Display, derive_more::Error)]
#[display("the token is not term:position")]
pub struct InvalidToken;

impl TryFrom<&str> for Position {
    type Error = InvalidToken;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let (term, lsn) = raw.split_once(':').ok_or(InvalidToken)?;
        let term = term.parse().map_err(|_| InvalidToken)?;
        let lsn = lsn.parse().map_err(|_| InvalidToken)?;
        Ok(Self {
            term: Term(term),
            lsn: Lsn(lsn),
        })
    }
}

/// Role that an instance reports.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    #[display("primary")]
    Primary,
    /// Replicates from a primary.
    #[display("replica")]
    Replica,
}

/// Status that an instance reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Term of its log.
    pub term: Term,
    /// Newest term that the instance has accepted; at least `term`.
    pub promised: Term,
    /// Role of the instance in `term`.
    pub role: Role,
    /// Last position in the durable log of the instance.
    pub received: Lsn,
    /// Last position visible to reads.
    pub replayed: Lsn,
    /// Position at which `term` began.
    pub start: Lsn,
}
