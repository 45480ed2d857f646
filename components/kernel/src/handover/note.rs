//! Journal notes of a leader replacement.

use config::Name;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{journal, position};

/// Event of a replacement, with its reason.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Note {
    /// This VM has sent a claim to the store.
    #[display("claiming: {}, silent for {silent_ms} ms, {suspects} VMs agree", if *planned { "it is leaving" } else { "it is lost" })]
    Claiming {
        /// Whether the leader is leaving rather than lost.
        planned: bool,
        /// Time without an answer from the leader, in ms.
        silent_ms: u64,
        /// Number of VMs that suspect the leader, including this one.
        suspects: usize,
    },
    /// The store has accepted the claim.
    #[display("claimed with token {token}, {peers} VMs to close")]
    Claimed {
        /// Fencing token.
        token: u64,
        /// Number of VMs that must stop using the leader.
        peers: usize,
    },
    /// No VM uses the old leader any more.
    #[display("closed after {waited_ms} ms, {silent} VMs waited out")]
    Closed {
        /// Time from the start of closing, in ms.
        waited_ms: u64,
        /// Number of VMs that did not answer.
        silent: usize,
    },
    /// An instance that is ahead of the candidates has not confirmed its pause in time.
    #[display("passing over {instance}, known at {known}, which did not confirm its pause")]
    PassedOver {
        /// Instance name.
        instance: Name,
        /// Highest position known of the instance.
        known: position::Position,
    },
    /// No candidate is proved to have every acknowledged commit.
    #[display(
        "no candidate is proved to have every commit: {} may have more and have not answered",
        journal::list_names(missing)
    )]
    Unproved {
        /// Instances that are waited for.
        missing: Vec<Name>,
    },
    /// All VMs have stated what they acknowledged.
    #[display("every acknowledged commit is at or below {lsn}")]
    Acknowledged {
        /// Position of the last acknowledged commit, or beyond.
        lsn: position::Lsn,
    },
    /// Only instances of abandoned branches have answered; the best of them is used.
    #[display(
        "{instance} is on an abandoned branch at {position}: the last term began at {start}, and no instance of it answers"
    )]
    Abandoned {
        /// Instance name.
        instance: Name,
        /// Position of the instance.
        position: position::Position,
        /// Position at which the recorded term began.
        start: position::Position,
    },
    /// An instance was chosen for promotion.
    #[display("ordering promotion of {instance} at {floor} with token {token}")]
    Ordering {
        /// Instance name.
        instance: Name,
        /// Position of the instance.
        floor: position::Position,
        /// Fencing token.
        token: u64,
    },
    /// The platform has rejected a promotion order.
    #[display("promotion of {instance} rejected")]
    Rejected {
        /// Instance name.
        instance: Name,
    },
    /// The new leader answers as primary.
    #[display("{instance} leads term {term} from {start}, {took_ms} ms after the claim")]
    Leads {
        /// Instance name.
        instance: Name,
        /// Term of the new leader.
        term: position::Term,
        /// Position at which the term began.
        start: position::Position,
        /// Time since the claim was sent, in ms.
        took_ms: u64,
    },
    /// The leader stays, since no instance that may replace it is known to have all its
    /// commits.
    #[display("{instance} stays: no instance that may lead has every commit up to {received}")]
    Kept {
        /// Leader that stays.
        instance: Name,
        /// Last position of the leader.
        received: position::Lsn,
    },
    /// The instances' answers show who leads, which the restored store does not prove.
    #[display(
        "{instance} leads term {term}: {answered} of {known} instances have answered, none of a later term"
    )]
    Proven {
        /// Instance that leads.
        instance: Name,
        /// Its term.
        term: position::Term,
        /// Number of instances that have answered.
        answered: usize,
        /// Number of known instances.
        known: usize,
    },
    /// This VM has given up the replacement.
    #[display("given up: {why}")]
    GivenUp {
        /// Reason for giving up.
        why: Reason,
    },
}

/// Reason for giving up a replacement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Another VM has changed the group's row, or has made a later claim.
    #[display("another VM has changed the row")]
    Overtaken,
    /// The store did not answer.
    #[display("the store does not answer")]
    Unanswered,
    /// The store came back from an older copy, which may lack the claim.
    #[display("the store has come back from an older copy")]
    StoreRestored,
    /// The claim is too old to be used.
    #[display("the claim has expired")]
    Expired,
    /// This VM is no longer in the member list, or is stopping.
    #[display("this VM may not replace leaders now")]
    Unusable,
}
