//! Who leads a group, as the store says it.
//!
//! The row of a group names its leader, or the claim of a VM that replaces it.
//! While a claim stands nobody uses the old leader. The version of the row with
//! the claim is its fencing token: versions of the store grow over all rows.

use config::Name;
use serde::{Deserialize, Serialize};

use crate::{event, position, time};

/// Leader of a group, or its replacement in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Leader {
    /// Instance that leads, or led before the claim; none if that is not known.
    pub instance: Option<Name>,
    /// Its term; 0 if unknown.
    pub term: position::Term,
    /// Position at which its term began.
    pub start: position::Floor,
    /// Replacement in progress.
    pub claim: Option<Claim>,
}

/// Right of one VM to replace a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// VM that replaces, with its run.
    pub holder: event::MemberId,
    /// Distinguishes claims of one run.
    pub number: u64,
    /// The old leader still answers and may finish its transactions.
    pub planned: bool,
}

/// Leader that this daemon may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Instance.
    pub instance: Name,
    /// Term; 0 until the instance tells it.
    pub term: position::Term,
    /// Position at which the term began, if known.
    pub start: Option<position::Floor>,
    /// End of validity.
    pub until: time::Time,
}
