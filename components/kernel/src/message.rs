//! Messages between daemons.
//!
//! Every message may be lost, doubled or late; none relies on order.

use std::sync;

use config::{Name, Note};
use serde::{Deserialize, Serialize};

use crate::{budget, event, position, time, view};

/// How long ago the sender of a report heard of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heard {
    /// VM.
    pub vm: Name,
    /// Run of its daemon.
    pub incarnation: u64,
    /// Age of the newest proof that it was live, in microseconds; the greatest
    /// number if there is none.
    pub age: u64,
    /// Revision in force there.
    pub revision: u64,
    /// Budget epoch confirmed there.
    pub epoch: u64,
}

/// What holds for many VMs of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Common {
    /// Failure domain.
    pub domain: Name,
    /// Age of the oldest of the newest proofs that they were live, in microseconds.
    pub age: u64,
    /// Revision in force there.
    pub revision: u64,
    /// Budget epoch confirmed there.
    pub epoch: u64,
}

/// State that a daemon reports with every exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Run of the sender's daemon.
    pub incarnation: u64,
    /// Revision in force.
    pub revision: u64,
    /// Budget epoch up to which no old share is in use.
    pub epoch: u64,
    /// It has a list of VMs.
    pub listed: bool,
    /// Version of the store up to which it knows that list.
    pub version: u64,
    /// Digest of that list.
    pub list: u64,
    /// What holds for the other VMs of the list that are not named.
    pub common: Vec<Common>,
    /// What it knows of other VMs.
    pub heard: Vec<Heard>,
    /// Newest positions of leaders that it knows.
    pub positions: Vec<Placed>,
}

/// Position of a group's leader at some time before the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Placed {
    /// Group.
    pub group: Name,
    /// Position.
    pub floor: position::Floor,
    /// Time since the request that told it was sent, in microseconds.
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
    /// Transactions at the old leader may finish first.
    pub planned: bool,
}

/// A suspicion of a lost primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspicion {
    /// Group.
    pub group: Name,
    /// Newest term known to the sender.
    pub term: position::Term,
}

/// Asks a VM that reads the store for what has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Follow {
    /// When the asker sent it, on its own clock; returns in the answer.
    pub sent: time::Time,
    /// Version of the store up to which each part is known.
    pub known: Vec<(view::Part, u64)>,
}

/// What a VM that reads the store knows of one part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PassedPart {
    /// Part.
    pub part: view::Part,
    /// Age of its proof when this was sent, in microseconds.
    pub age: u64,
    /// Version of the store up to which it is known.
    pub version: u64,
    /// The changes are all entries.
    pub whole: bool,
    /// Changes in order.
    pub changes: Vec<view::Change>,
}

/// Answers `Follow`.
#[derive(Clone, Debug, PartialEq)]
pub struct Passed {
    /// When the asker sent its ask.
    pub sent: time::Time,
    /// Parts that it knows.
    pub parts: Vec<PassedPart>,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for a report; `sent` returns in the answer.
    Ping(time::Time, Report),
    /// Answers a ping.
    Pong(time::Time, Report),
    /// The platform's list, for a VM that may not have it.
    Vms(Vec<event::Vm>),
    /// Asks for the notes after a revision.
    Fetch(u64),
    /// Notes that follow the revision, in order.
    Notes(u64, Vec<sync::Arc<Note>>),
    /// The whole configuration.
    Snapshot(sync::Arc<event::ConfigHead>),
    /// The budget epoch in force.
    Epoch(event::Epoch),
    /// Asks for a share of a budget.
    Ask(budget::TransferRequest),
    /// Gives a share; the giver has debited it.
    Give(budget::Transfer),
    /// The share given for the nonce was credited.
    Took(u64),
    /// The sender cannot reach the primary.
    Suspect(Suspicion),
    /// Asks to stop using the leader of a group.
    Close(Claim),
    /// The sender no longer uses the leader, and acknowledges no commit of it.
    Closed(Claim),
    /// Asks for what has changed in the store.
    Follow(Follow),
    /// What has changed in the store.
    Passed(Passed),
    /// The sender, which is followed, has news of the store.
    Changed,
    /// Cancels a statement that runs at the receiver: process and secret.
    Cancel(i32, i32),
}
