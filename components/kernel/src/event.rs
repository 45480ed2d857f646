//! The interface of the kernel: events in, actions out.

use std::sync;

use config::{Fleet, KeyDigest, Name, Note};
use derive_more::Display;
use errors::Refusal;
use serde::{Deserialize, Serialize};

use crate::{budget, following, journal, leader, message, position, time, view};

/// A caller's connection at this daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// One transaction, or one statement outside a transaction.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// An operator's call that waits for an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Reads only; a replica will do.
    Read,
    /// May write; the primary is needed.
    Write,
}

/// How a granted request ended at the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Nothing was committed.
    Uncommitted,
    /// The database reported success of a write, and perhaps its status after.
    Committed(Option<position::Status>),
    /// The connection broke before any byte was written.
    Unsent,
    /// The connection broke, or was closed, in any other case.
    ConnectionLost,
    /// A replica refused a write (25006); nothing ran.
    ReadOnly,
    /// The instance had no room; nothing ran.
    Busy,
    /// The instance takes no more connections; nothing ran.
    TooManyConnections,
    /// The instance has not applied the floor yet; nothing ran.
    BehindFloor(position::Floor),
}

/// A VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Address for peers, `IP:port`.
    pub peer: String,
    /// Being withdrawn by the platform.
    pub leaving: bool,
}

/// Row of the configuration head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfigHead {
    /// Number of the revision, from 1.
    pub revision: u64,
    /// Identities of the latest notes, oldest first.
    pub recent: Vec<Name>,
    /// Configuration at this revision.
    pub fleet: sync::Arc<Fleet>,
}

/// Row of the budget epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Epoch {
    /// Number of the epoch, from 1.
    pub number: u64,
    /// VMs that share the budgets, sorted.
    pub members: Vec<MemberId>,
    /// VMs that may still use shares of earlier epochs.
    pub former: Vec<MemberId>,
}

/// One run of a daemon on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberId {
    /// VM.
    pub vm: Name,
    /// Distinguishes a restarted daemon from its predecessor.
    pub incarnation: u64,
}

/// Entry of a VM that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberEntry {
    /// Where it is.
    pub vm: Vm,
    /// Run of its daemon.
    pub incarnation: u64,
    /// It has given up everything that it held.
    pub released: bool,
    /// Others do not hear of it; if it lives, it writes its entry again.
    #[serde(default)]
    pub doubted: bool,
}

/// A row of the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Row {
    /// Configuration head.
    Head(ConfigHead),
    /// Budget epoch.
    Epoch(Epoch),
    /// A VM that takes part.
    Member(MemberEntry),
    /// Who leads a group.
    Leader(Name, leader::Leader),
}

impl Row {
    /// Name of the row.
    pub fn key(&self) -> RowKey {
        match self {
            Row::Head(_) => RowKey::Head,
            Row::Epoch(_) => RowKey::Epoch,
            Row::Member(entry) => RowKey::Member(entry.vm.name.clone()),
            Row::Leader(group, _) => RowKey::Leader(group.clone()),
        }
    }
}

/// Names of the rows.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKey {
    /// Configuration head.
    #[display("head")]
    Head,
    /// Budget epoch.
    #[display("epoch")]
    Epoch,
    /// A VM that takes part.
    #[display("member/{_0}")]
    Member(Name),
    /// Who leads a group.
    #[display("leader/{_0}")]
    Leader(Name),
}

/// One row of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Name of the row.
    pub key: RowKey,
    /// Version that it must have; 0 if it must not exist.
    pub version: u64,
    /// What it becomes; none to remove it.
    pub row: Option<Row>,
}

/// A text that names no row.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("the text names no row")]
pub struct InvalidRowKey;

impl TryFrom<&str> for RowKey {
    type Error = InvalidRowKey;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let name = |raw: &str| Name::try_from(raw).map_err(|_| InvalidRowKey);
        match raw.split_once('/') {
            None if raw == "head" => Ok(RowKey::Head),
            None if raw == "epoch" => Ok(RowKey::Epoch),
            Some(("member", vm)) => Ok(RowKey::Member(name(vm)?)),
            Some(("leader", group)) => Ok(RowKey::Leader(name(group)?)),
            _ => Err(InvalidRowKey),
        }
    }
}

/// Result of reading a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The row at its version.
    Found(u64, Row),
    /// No such row; its version is 0.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// Result of a compare-and-set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// Written at this version.
    Written(u64),
    /// Another version stands there.
    Conflict,
    /// No answer; the change may have taken effect.
    Unknown,
}

/// Start of a session.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// Identity.
    pub session: SessionId,
    /// Digest of the key shown, if any.
    pub digest: Option<KeyDigest>,
    /// Route asked for.
    pub route: String,
    /// Token shown by the caller.
    pub token: Option<position::Floor>,
}

/// A request for a connection.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identity, never reused.
    pub id: RequestId,
    /// Session that asks.
    pub session: SessionId,
    /// What it may do.
    pub access: Access,
    /// Granted before and provably not run; it is not charged again.
    pub retry: bool,
}

/// What happens to the kernel.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A caller showed a key and a route.
    SessionRequested(SessionRequest),
    /// A caller is gone.
    SessionClosed(SessionId),
    /// A session needs a connection.
    ConnectionRequested(Request),
    /// The caller of a waiting request is gone.
    RequestAbandoned(RequestId),
    /// A granted connection is free again.
    ConnectionReleased(RequestId, RequestOutcome),
    /// Answer to a poll, or none.
    PollAnswered(PollReply),
    /// An instance has not answered a statement for a while.
    StatementDelayed(Name),
    /// A poll gave no status; whether the instance is known to live.
    PollFailed(Name, bool),
    /// Answer to a fence, or none.
    FenceAnswered(TermReply),
    /// A replica was asked to receive again; whether it answered.
    ResumeAnswered(Name, bool),
    /// Answer to a promotion.
    PromotionAnswered(TermReply),
    /// Message of a peer.
    MessageReceived(Name, message::Message),
    /// The platform's list.
    VmsListed(Vec<Vm>),
    /// Answer to a load.
    RowLoaded(RowKey, LoadOutcome),
    /// Answer to a store.
    RowStored(RowKey, StoreOutcome),
    /// A read of the store has told its state.
    ViewUpdated(view::Update),
    /// A read of the store has ended.
    StoreReadEnded(following::Ended),
    /// An instance told its position with an answer.
    PositionObserved(Observation),
    /// Answer to an order, or none.
    PromotionOrdered(Name, OrderOutcome),
    /// An operator's release note.
    NoteSubmitted(SubmissionId, sync::Arc<Note>),
    /// A stop was asked for: not ready any more, but callers are served.
    Drain,
    /// A graceful stop begins.
    Stop,
}

/// Answer of an instance to a poll.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// Instance asked.
    pub instance: Name,
    /// When the poll was sent.
    pub sent: time::Time,
    /// Answer, if any.
    pub status: Option<position::Status>,
}

/// Position that an instance told with an answer.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Instance.
    pub instance: Name,
    /// When the request was sent.
    pub sent: time::Time,
    /// Last position visible to reads there.
    pub applied: position::Floor,
}

/// Result of ordering a promotion from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform has taken the order.
    Accepted,
    /// The instance cannot take over.
    Rejected,
    /// No answer; the order may have been taken.
    Unknown,
}

/// Answer of an instance to a fence or a promotion.
#[derive(Clone, Debug)]
pub struct TermReply {
    /// Instance asked.
    pub instance: Name,
    /// Term asked for.
    pub term: position::Term,
    /// Whether the instance agreed.
    pub accepted: bool,
    /// State of the instance after the call, if it answered.
    pub status: Option<position::Status>,
}

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SubmissionOutcome {
    /// Accepted and in force on every listed VM.
    #[display("revision {_0} is in force")]
    InForce(u64),
    /// Accepted; some VM has neither confirmed nor been silent long enough.
    #[display("revision {_0} is accepted but not yet in force everywhere")]
    Accepted(u64),
    /// Does not fit the fleet.
    #[display("line {_0}: {_1}")]
    Invalid(u64, config::Problem),
    /// The daemon does not see a majority of the listed VMs.
    #[display("this daemon does not see a majority; apply the note through another daemon")]
    NoMajority,
    /// The store did not answer; the note may have been accepted.
    #[display("the store does not answer; apply the same note again later")]
    Unknown,
}

/// What the driver must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Let the session in.
    AcceptSession(SessionId, SessionRoute),
    /// Turn the session away.
    RejectSession(SessionId, Refusal),
    /// End the session as soon as it holds no answer back.
    EndSession(SessionId, Refusal),
    /// Run the request on a connection.
    Grant(Grant),
    /// Answer the request with a refusal.
    RefuseRequest(RequestId, Refusal),
    /// Acknowledge the write before the given time, or report it as unknown.
    AcknowledgeCommit(RequestId, position::Floor, time::Time),
    /// Ask the instance for its status.
    Poll(Name),
    /// Ask the instance to accept a term.
    Fence(Name, position::Term),
    /// Ask the instance to become primary.
    Promote(Name, position::Term),
    /// Peers are where this list says.
    UpdatePeers(Vec<Vm>),
    /// Send a message to a peer.
    Send(Name, message::Message),
    /// Break the connections in use to the instance: it was replaced or is
    /// silent.
    BreakConnections(Name),
    /// Read a row.
    LoadRow(RowKey),
    /// Write a row if its version is as given.
    StoreRow(u64, Row),
    /// Remove a row if its version is as given.
    DeleteRow(u64, RowKey),
    /// Order from the platform that an instance takes over.
    OrderPromotion(PromotionOrder),
    /// Ask the instance to step down below a term.
    Demote(Name, position::Term),
    /// Let a replica that was held receive again.
    ResumeReplication(Name),
    /// Answer an operator.
    AnswerOperator(SubmissionId, SubmissionOutcome),
    /// A new configuration is in force here.
    ApplyConfiguration(sync::Arc<Fleet>, u64),
    /// Connections that this VM may hold to the instance.
    ResizePool(Name, budget::ConnectionLimits),
    /// Cancel the statement of a session here: process and secret.
    CancelStatement(i32, i32),
    /// Note a decision.
    RecordDecision(journal::Entry),
    /// The stop is complete.
    Stopped,
}

/// A promotion to order from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Group.
    pub group: Name,
    /// Instance that takes over.
    pub instance: Name,
    /// Fencing token; grows with every claim.
    pub fencing_token: u64,
    /// Time after which the order must not be sent.
    pub deadline: time::Time,
}

/// Leave to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Request.
    pub request: RequestId,
    /// Instance to run it on.
    pub instance: Name,
    /// The instance is the primary.
    pub primary: bool,
    /// Time before which it must start.
    pub deadline: time::Time,
    /// What the instance must have applied.
    pub floor: Option<position::Floor>,
}

/// What a session is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionRoute {
    /// Customer that holds the key; none on open routes.
    pub customer: Option<Name>,
    /// Database name at the group.
    pub database: String,
    /// Group of the route.
    pub group: Name,
}
