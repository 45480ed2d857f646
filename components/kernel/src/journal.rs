//! Decisions that changed state, with their causes.

use std::collections;

use config::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{position, time};

/// Entries kept.
const CAPACITY: usize = 512;

/// A decision and its cause.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Decision {
    /// The primary is considered lost here.
    #[display("primary of {group} in term {term} suspected: silent for {silent_ms} ms")]
    Suspected {
        /// Group.
        group: Name,
        /// Newest term known.
        term: position::Term,
        /// Time without an answer, in ms.
        silent_ms: u64,
    },
    /// This daemon began a promotion.
    #[display("fencing {group} at term {term}: {witness} in another failure domain agrees")]
    Fencing {
        /// Group.
        group: Name,
        /// Term asked for.
        term: position::Term,
        /// VM that agrees.
        witness: Name,
    },
    /// A promotion was given up.
    #[display("fencing {group} at term {term} given up: {accepted} of {needed} instances accepted")]
    GivenUp {
        /// Group.
        group: Name,
        /// Term asked for.
        term: position::Term,
        /// Instances that accepted.
        accepted: usize,
        /// Majority.
        needed: usize,
    },
    /// An instance was told to become primary.
    #[display(
        "promoting {instance} of {group} in term {term}: highest position {lsn} of a majority"
    )]
    Promoting {
        /// Group.
        group: Name,
        /// Instance chosen.
        instance: Name,
        /// New term.
        term: position::Term,
        /// Its position.
        lsn: position::Lsn,
    },
    /// A new primary is confirmed.
    #[display("{instance} is primary of {group} in term {term}")]
    Primary {
        /// Group.
        group: Name,
        /// Instance.
        instance: Name,
        /// Term.
        term: position::Term,
    },
    /// A configuration came into force here.
    #[display("revision {revision} in force, from {source}")]
    Revision {
        /// Number.
        revision: u64,
        /// Where it was learnt.
        source: RevisionSource,
    },
    /// Keyed requests are refused, or accepted again.
    #[display("keyed requests {}: last confirmed {silent_ms} ms ago", if *refused { "refused" } else { "accepted" })]
    Freshness {
        /// Whether requests are refused from now on.
        refused: bool,
        /// Time since the last confirmation, in ms.
        silent_ms: u64,
    },
    /// Balancers may send callers here, or may not any more.
    #[display("{}", match lacks { Some(lacks) => format!("not ready: {lacks}"), None => "ready".into() })]
    Readiness {
        /// What is missing; none if the VM is ready.
        lacks: Option<UnreadyReason>,
    },
    /// What requests waited for since the last entry.
    #[display("tokens: {tokens}; connections: {connections}; {asks} asks sent, {gives} gives")]
    Load {
        /// Requests that waited for a token and got one.
        tokens: WaitStats,
        /// Requests that were granted a connection.
        connections: WaitStats,
        /// Asks for shares and tokens sent to peers.
        asks: u64,
        /// Asks of peers that were met.
        gives: u64,
    },
    /// A budget epoch was adopted.
    #[display("budget epoch {number} with {members} members, {}", if *grown { "shares grown" } else { "shrunk first" })]
    Epoch {
        /// Number.
        number: u64,
        /// Members.
        members: usize,
        /// Whether shares could grow.
        grown: bool,
    },
    /// A silent VM was removed from the store.
    #[display("{vm} removed from the store: {}", if *released { "it has stopped" } else { "silent" })]
    Evicted {
        /// VM.
        vm: Name,
        /// It had given up what it held.
        released: bool,
    },
    /// A step in the replacement of a leader that the store arbitrates.
    #[display("leader of {group}: {note}")]
    Handover {
        /// Group.
        group: Name,
        /// What happened and why.
        note: crate::handover::Note,
    },
    /// A burst of refusals to one customer.
    #[display("{count} requests of {customer} refused: {cause}")]
    Refusals {
        /// Customer.
        customer: Name,
        /// Count since the last entry.
        count: u64,
        /// SQLSTATE of the first.
        cause: String,
    },
    /// The daemon is stopping.
    #[display("graceful stop with {sessions} sessions")]
    Stopping {
        /// Sessions open.
        sessions: usize,
    },
}

/// What a VM lacks to be ready.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreadyReason {
    /// The VM is leaving or stopping.
    #[display("stopping")]
    Stopping,
    /// No configuration that is known to be in force.
    #[display("no confirmed configuration")]
    View,
    /// Its part of the budgets.
    #[display("no part of the budgets yet")]
    Shares,
}

/// WaitStats of requests.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{count} requests waited {total_ms} ms in all, {longest_ms} ms at most")]
pub struct WaitStats {
    /// Requests.
    pub count: u64,
    /// Sum, in ms.
    pub total_ms: u64,
    /// Longest, in ms.
    pub longest_ms: u64,
}

/// Where a revision was learnt.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevisionSource {
    /// From the platform's store.
    #[display("the store")]
    Store,
    /// From a peer.
    #[display("{_0}")]
    Peer(Name),
    /// Accepted by this daemon.
    #[display("an operator")]
    Operator,
}

/// A decision at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// When, in microseconds since the daemon's start.
    pub at: time::Time,
    /// What and why.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A bounded ring of entries.
#[derive(Debug, Default)]
pub struct Journal {
    entries: collections::VecDeque<Entry>,
}

impl Journal {
    /// Adds an entry, evicting the oldest.
    pub fn push(&mut self, entry: Entry) {
        if self.entries.len() == CAPACITY {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
