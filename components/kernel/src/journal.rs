//! Journal of the decisions that changed state, with their causes.

use std::collections;

use config::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{position, time, view};

/// Maximum number of entries kept.
const CAPACITY: usize = 512;

/// A decision and its cause.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Decision {
    /// This VM considers the primary lost.
    #[display("primary of {group} in term {term} suspected: silent for {silent_ms} ms")]
    Suspected {
        /// Group.
        group: Name,
        /// Latest term known.
        term: position::Term,
        /// Time without an answer, in ms.
        silent_ms: u64,
    },
    /// This daemon began to fence a group before a promotion.
    #[display("fencing {group} at term {term}: {witness} in another failure domain agrees")]
    Fencing {
        /// Group.
        group: Name,
        /// Requested term.
        term: position::Term,
        /// VM that also suspects the primary.
        witness: Name,
    },
    /// This daemon abandoned a promotion.
    #[display("fencing {group} at term {term} given up: {accepted} of {needed} instances accepted")]
    GivenUp {
        /// Group.
        group: Name,
        /// Requested term.
        term: position::Term,
        /// Instances that accepted.
        accepted: usize,
        /// Instances needed for a majority.
        needed: usize,
    },
    /// This daemon told an instance to become primary.
    #[display(
        "promoting {instance} of {group} in term {term}: highest position {lsn} of a majority"
    )]
    Promoting {
        /// Group.
        group: Name,
        /// Chosen instance.
        instance: Name,
        /// New term.
        term: position::Term,
        /// Position of the instance.
        lsn: position::Lsn,
    },
    /// A new primary was confirmed.
    #[display("{instance} is primary of {group} in term {term}")]
    Primary {
        /// Group.
        group: Name,
        /// Instance.
        instance: Name,
        /// Term.
        term: position::Term,
    },
    /// A revision came into force on this VM.
    #[display("revision {revision} in force, from {source}")]
    Revision {
        /// Revision number.
        revision: u64,
        /// Source that the revision came from.
        source: RevisionSource,
    },
    /// The daemon started to refuse keyed requests, or accepts them again.
    #[display("keyed requests {}: last confirmed {silent_ms} ms ago", if *refused { "refused" } else { "accepted" })]
    Freshness {
        /// Whether requests are refused from now on.
        refused: bool,
        /// Time since the last confirmation, in ms.
        silent_ms: u64,
    },
    /// Load balancers may start, or must stop, sending callers to this VM.
    #[display("{}", match lacks { Some(lacks) => format!("not ready: {lacks}"), None => "ready".into() })]
    Readiness {
        /// Why the VM is not ready; none if the VM is ready.
        lacks: Option<UnreadyReason>,
    },
    /// Waits of requests since the last entry.
    #[display("tokens: {tokens}; connections: {connections}; {asks} asks sent, {gives} gives")]
    Load {
        /// Requests that waited for a rate token and got one.
        tokens: WaitStats,
        /// Requests that were granted a connection.
        connections: WaitStats,
        /// Requests for shares and tokens that this VM sent to peers.
        asks: u64,
        /// Requests of peers that this VM met.
        gives: u64,
    },
    /// Requests refused for lack of capacity since the last entry.
    #[display(
        "no capacity for {} requests: {at_once} refused at once, {queue_full} at a full queue, \
        {expired} at their deadline; expected wait up to {expected_ms} ms; by priority {priorities:?}",
        at_once + queue_full + expired
    )]
    CapacityRefusals {
        /// Requests that could not have been served before their deadline.
        at_once: u64,
        /// Requests whose customers had too many waiting requests.
        queue_full: u64,
        /// Requests that reached their deadline in the queue.
        expired: u64,
        /// Longest wait that a refused request had to expect, in ms.
        expected_ms: u64,
        /// Refused requests by priority.
        priorities: collections::BTreeMap<u32, u64>,
    },
    /// A budget epoch was adopted.
    #[display("budget epoch {number} with {members} members, {}", if *grown { "shares grown" } else { "shrunk first" })]
    Epoch {
        /// Epoch number.
        number: u64,
        /// Number of members.
        members: usize,
        /// Whether the shares have grown; shares that shrink do so first.
        grown: bool,
    },
    /// The entry of a stopped or silent VM was removed from the store.
    #[display("{vm} removed from the store: {}", if *released { "it has stopped" } else { "silent" })]
    Evicted {
        /// VM.
        vm: Name,
        /// Whether the VM had stopped and given up all that it held.
        released: bool,
    },
    /// A peer answered a request that this run of the daemon has not sent.
    #[display("answer of {vm} ignored: this daemon has not sent the request")]
    UnknownRequest {
        /// VM that answered.
        vm: Name,
    },
    /// A step in the replacement of a leader where the store arbitrates.
    #[display("leader of {group}: {note}")]
    Handover {
        /// Group.
        group: Name,
        /// What happened and why.
        note: crate::handover::Note,
    },
    /// A read of the store returned a state older than the known one, and was
    /// discarded.
    #[display("{part} of the store at version {version} discarded: version {known} is known")]
    OlderRead {
        /// Part that was read.
        part: view::Part,
        /// Version of the store in the answer.
        version: u64,
        /// Known version.
        known: u64,
    },
    /// The store has come back from an older copy.
    #[display("{part} of the store restored, era {era}: {outdated} rows differ from those known{}", if *has_gap { ", which may be outdated" } else { "" })]
    StoreRestored {
        /// Part that was read.
        part: view::Part,
        /// New era.
        era: u64,
        /// Rows that this VM knows in a newer version than the store, or as removed.
        outdated: usize,
        /// Whether this VM had no valid view when the store came back.
        has_gap: bool,
    },
    /// Rows that differ in the restored store are corrected.
    #[display("{rows} rows of the restored store are corrected")]
    RowsRestored {
        /// Number of rows.
        rows: usize,
    },
    /// The instances that may hold an acknowledged commit are stored.
    #[display(
        "replica set of {group}: {}, {caught_up} of them caught up",
        list_names(replicas)
    )]
    ReplicaSet {
        /// Group.
        group: Name,
        /// Instances that may hold an acknowledged commit.
        replicas: Vec<Name>,
        /// Number of those whose log has all that former processes had.
        caught_up: usize,
    },
    /// Requests of one customer were refused.
    #[display("{count} requests of {customer} refused: {cause}")]
    Refusals {
        /// Customer.
        customer: Name,
        /// Number of refusals since the last entry.
        count: u64,
        /// SQLSTATE of the first refusal.
        cause: String,
    },
    /// A failure domain is evacuated.
    #[display("failure domain {domain} evacuated: its {instances} instances get no new requests")]
    Evacuation {
        /// Failure domain.
        domain: Name,
        /// Number of its instances.
        instances: usize,
    },
    /// The time for open transactions in an evacuated failure domain is over.
    #[display("evacuation of {domain}: {open} open requests end")]
    EvacuationDue {
        /// Failure domain.
        domain: Name,
        /// Requests that hold a connection to one of its instances.
        open: u64,
    },
    /// An evacuated failure domain was taken back.
    #[display("failure domain {domain} taken back after {evacuated_ms} ms")]
    TakenBack {
        /// Failure domain.
        domain: Name,
        /// Time since this VM learned of the evacuation, in ms.
        evacuated_ms: u64,
    },
    /// Requests were refused because no instance in an allowed region could serve them.
    #[display(
        "{count} requests on {route} of {} refused outside of homes: route {}, customer {}",
        customer.as_ref().map_or("-", |customer| customer),
        list_regions(route_homes),
        list_regions(customer_homes)
    )]
    OutsideHomes {
        /// Group of the route, if the route still exists.
        group: Option<Name>,
        /// Route.
        route: Name,
        /// Customer; none on open routes.
        customer: Option<Name>,
        /// Number of refusals since the last entry.
        count: u64,
        /// Home regions of the route; empty if it has none.
        route_homes: Vec<Name>,
        /// Home regions of the customer; empty if it has none.
        customer_homes: Vec<Name>,
    },
    /// An instance is cold, or may be because it may have restarted.
    #[display(
        "{instance} is cold for another {left_ms} ms: {granted} requests granted for tokens, \
         {refused} refused"
    )]
    Cold {
        /// Instance.
        instance: Name,
        /// Rest of its period, in ms; 0 if it may have restarted.
        left_ms: u64,
        /// Requests that were granted for tokens since the last entry.
        granted: u64,
        /// Writes that were refused because their tokens would come too late.
        refused: u64,
    },
    /// The daemon is stopping.
    #[display("graceful stop with {sessions} sessions")]
    Stopping {
        /// Number of open sessions.
        sessions: usize,
    },
}

fn list_regions(regions: &[Name]) -> String {
    if regions.is_empty() {
        "any region".into()
    } else {
        list_names(regions)
    }
}

/// Names in one line.
pub(crate) fn list_names(names: &[Name]) -> String {
    let names: Vec<&str> = names.iter().map(|name| &***name).collect();
    names.join(", ")
}

/// Why a VM is not ready.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreadyReason {
    /// The VM is leaving or stopping.
    #[display("stopping")]
    Stopping,
    /// The VM has no configuration that is known to be in force.
    #[display("no confirmed configuration")]
    View,
    /// The VM has no share of the budgets yet.
    #[display("no part of the budgets yet")]
    Shares,
}

/// Number and duration of the waits of requests.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{count} requests waited {total_ms} ms in all, {longest_ms} ms at most")]
pub struct WaitStats {
    /// Number of requests.
    pub count: u64,
    /// Total wait, in ms.
    pub total_ms: u64,
    /// Longest wait, in ms.
    pub longest_ms: u64,
}

/// Source of a revision.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevisionSource {
    /// Read from the platform's store.
    #[display("the store")]
    Store,
    /// Received from a peer.
    #[display("{_0}")]
    Peer(Name),
    /// Submitted to this daemon by an operator.
    #[display("an operator")]
    Operator,
}

/// A decision and when it was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Time of the decision, in microseconds since the daemon's start.
    pub at: time::Time,
    /// Decision and its cause.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A bounded queue of entries.
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

    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
