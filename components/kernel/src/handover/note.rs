//! What a replacement records.

use config::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::position;

/// What happened in a replacement, and why.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Note {
    /// This VM asked for the claim.
    #[display("claiming: {}, silent for {silent_ms} ms, {suspects} VMs agree", if *planned { "it is leaving" } else { "it is lost" })]
    Claiming {
        /// The leader is leaving.
        planned: bool,
        /// Time without an answer of the leader, in ms.
        silent_ms: u64,
        /// VMs that suspect it, this one included.
        suspects: usize,
    },
    /// The claim stands.
    #[display("claimed with token {token}, {peers} VMs to close")]
    Claimed {
        /// Fencing token.
        token: u64,
        /// VMs that must stop using the leader.
        peers: usize,
    },
    /// No VM uses the old leader any more.
    #[display("closed after {waited_ms} ms, {silent} VMs waited out")]
    Closed {
        /// Time since the claim, in ms.
        waited_ms: u64,
        /// VMs that did not answer.
        silent: usize,
    },
    /// An instance was chosen.
    #[display("ordering promotion of {instance} at {floor} with token {token}")]
    Ordering {
        /// Instance.
        instance: Name,
        /// Its position.
        floor: position::Floor,
        /// Fencing token.
        token: u64,
    },
    /// The platform refused an order.
    #[display("promotion of {instance} rejected")]
    Rejected {
        /// Instance.
        instance: Name,
    },
    /// The new leader answers as primary.
    #[display("{instance} leads term {term} from {start}, {took_ms} ms after the claim")]
    Leads {
        /// Instance.
        instance: Name,
        /// Its term.
        term: position::Term,
        /// Position at which the term began.
        start: position::Floor,
        /// Time since the claim was sent, in ms.
        took_ms: u64,
    },
    /// The replacement was given up here.
    #[display("given up: {why}")]
    GivenUp {
        /// Reason.
        why: Reason,
    },
}

/// Why a replacement was given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Another VM was faster.
    #[display("another VM has changed the row")]
    Overtaken,
    /// The store did not answer.
    #[display("the store does not answer")]
    Unanswered,
    /// The claim is too old to be used.
    #[display("the claim has expired")]
    Expired,
    /// This VM no longer stands in the list, or is stopping.
    #[display("this VM may not replace leaders now")]
    Unusable,
}
