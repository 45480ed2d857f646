//! Leaders of groups, as the store records them.
//!
//! The row of a group names its leader, or the claim of a VM that replaces the
//! leader. No VM uses the old leader while a claim is in the row. The version
//! of the row that contains the claim is the fencing token: versions increase
//! across all rows and eras of the store.

use config::Name;
use serde::{Deserialize, Serialize};

use crate::{event, position, replica_set, time};

/// Row of a group: its leader, or the replacement in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Leader {
    /// Instance that leads, or that led before the claim; `None` if unknown.
    pub instance: Option<Name>,
    /// Term of the leader; 0 if unknown.
    pub term: position::Term,
    /// First known position of the leader in the term.
    pub start: position::Position,
    /// Replacement in progress.
    pub claim: Option<Claim>,
    /// Instances that may hold an acknowledged commit; none if unknown, and where commits wait
    /// for no replica.
    #[serde(default)]
    pub replicas: Option<replica_set::ReplicaSet>,
    /// Position of the last acknowledged commit or beyond; only beside a claim, under which
    /// nothing is acknowledged.
    #[serde(default)]
    pub acknowledged: Option<position::Lsn>,
}

/// Exclusive right of one VM to replace a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// VM that replaces the leader, with the incarnation of its daemon.
    pub holder: event::MemberId,
    /// Distinguishes the claims of one incarnation.
    pub number: u64,
    /// Whether the old leader still answers, so that it may finish its
    /// transactions.
    pub planned: bool,
}

/// Leader that the store allows this daemon to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Instance that leads.
    pub instance: Name,
    /// Term of the leader; 0 until the instance reports it.
    pub term: position::Term,
    /// First known position of the leader in the term, if known.
    pub start: Option<position::Position>,
    /// Time at which the assignment expires.
    pub until: time::Time,
}
