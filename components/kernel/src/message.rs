//! Messages between daemons.
//!
//! Any message may be lost, duplicated or delayed, and no message relies on order.

use std::sync;

use config::{Name, Note};
use serde::{Deserialize, Serialize};

use crate::{budget, event, position, time, view};

/// What the sender of a report knows of another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerState {
    /// Name of the VM.
    pub vm: Name,
    /// Incarnation of its daemon.
    pub incarnation: u64,
    /// Age of the newest proof that the VM was live, in microseconds; `u64::MAX` if
    /// there is none.
    pub age: u64,
    /// Revision in force on the VM.
    pub revision: u64,
    /// Budget epoch that the VM has confirmed.
    pub epoch: u64,
}

/// State that many VMs of a failure domain have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DomainState {
    /// Failure domain.
    pub domain: Name,
    /// Age of the newest proof that a VM was live, in microseconds; the largest such
    /// age of these VMs.
    pub age: u64,
    /// Revision in force on these VMs.
    pub revision: u64,
    /// Budget epoch that these VMs have confirmed.
    pub epoch: u64,
}

/// State that a daemon reports in each ping and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Incarnation of the sender's daemon.
    pub incarnation: u64,
    /// Revision in force.
    pub revision: u64,
    /// Budget epoch that the sender has confirmed: it uses no shares of earlier
    /// epochs.
    pub epoch: u64,
    /// Whether the sender has a list of VMs.
    pub listed: bool,
    /// Version of the store up to which the sender knows that list.
    pub version: u64,
    /// Digest of that list.
    pub list: u64,
    /// State of the listed VMs that `heard` does not name, by failure domain.
    pub common: Vec<DomainState>,
    /// State of the VMs that the sender names.
    pub heard: Vec<PeerState>,
    /// Newest positions of leaders that the sender knows.
    pub positions: Vec<LeaderPosition>,
}

/// Position of a group's leader at a time before the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaderPosition {
    /// Group.
    pub group: Name,
    /// Position of the leader.
    pub floor: position::Position,
    /// Time since the request was sent that returned the position, in microseconds.
    pub age: u64,
}

/// A claim to replace the leader of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// Group.
    pub group: Name,
    /// Fencing token of the claim.
    pub token: u64,
    /// Whether transactions at the old leader may finish first.
    pub planned: bool,
}

/// Confirmation that a VM no longer uses the leader that a claim replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Claim that is confirmed.
    pub claim: Claim,
    /// Highest position that this process has acknowledged to callers, 0 if none; not known
    /// of processes of earlier versions.
    pub acknowledged: Option<position::Position>,
}

/// A suspicion that a group's primary is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspicion {
    /// Group.
    pub group: Name,
    /// Newest term known to the sender.
    pub term: position::Term,
}

/// Request to a VM that reads the store, for what has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewRequest {
    /// When the follower sent the request, by its own clock; returned in the reply.
    pub sent: time::Time,
    /// Version of the store up to which the follower knows each part.
    pub known: Vec<(view::Part, u64)>,
}

/// What a VM that reads the store knows of one part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PartUpdate {
    /// Part.
    pub part: view::Part,
    /// Age of the part's proof when the reply was sent, in microseconds.
    pub age: u64,
    /// Version of the store up to which the part is known.
    pub version: u64,
    /// Whether the changes are all entries of the part.
    pub whole: bool,
    /// Changes in order.
    pub changes: Vec<view::Change>,
}

/// Reply to a [`ViewRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct ViewReply {
    /// When the follower sent the request.
    pub sent: time::Time,
    /// Parts that the reader knows.
    pub parts: Vec<PartUpdate>,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Carries the sender's report and requests the receiver's. The answer returns
    /// the time at which the ping was sent.
    Ping(time::Time, Report),
    /// Answers a ping, with the time at which the ping was sent.
    Pong(time::Time, Report),
    /// The platform's list of VMs, for a VM that may not have the list.
    Vms(Vec<event::Vm>),
    /// Requests the release notes after a revision.
    FetchNotes(u64),
    /// Release notes that follow the revision, in order.
    Notes(u64, Vec<sync::Arc<Note>>),
    /// The whole configuration.
    Snapshot(sync::Arc<event::ConfigHead>),
    /// The budget epoch in force.
    Epoch(event::Epoch),
    /// Requests units or tokens of a budget.
    RequestTransfer(budget::TransferRequest),
    /// Transfers units or tokens, which the sender has debited already.
    Transfer(budget::Transfer),
    /// Confirms that the receiver has credited the transfer with this nonce.
    ConfirmTransfer(u64),
    /// The sender cannot reach the primary.
    SuspectPrimary(Suspicion),
    /// Requests that the receiver stop using the leader of a group.
    CloseLeader(Claim),
    /// Confirms that the sender no longer uses the leader, and acknowledges no more
    /// commits of that leader.
    LeaderClosed(Closed),
    /// Requests what has changed in the store.
    ViewRequest(ViewRequest),
    /// Returns what has changed in the store.
    ViewReply(ViewReply),
    /// Notifies a follower that the sender's view of the store has changed.
    ViewChanged,
    /// Cancels a statement that runs on the receiver, by process id and secret.
    CancelStatement(i32, i32),
}
