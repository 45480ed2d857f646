//! Interface of the state machine: the events that the driver passes in, and
//! the actions that the driver carries out.

use std::sync;

use config::{Fleet, KeyDigest, Name, Note};
use derive_more::Display;
use errors::Refusal;
use serde::{Deserialize, Serialize};

use crate::{budget, journal, leader, message, position, sample, time, view, view_sync};

/// Identifies a caller's connection to this daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// Identifies one transaction, or one statement outside a transaction.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies an operator's release note that waits for an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SubmissionId(pub u64);

/// Access that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Read only; a replica can serve the request.
    Read,
    /// Write; only the primary can serve the request.
    Write,
}

/// How a granted request ended at the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Nothing was committed.
    Uncommitted,
    /// The instance reported that a write succeeded, possibly with its status
    /// after the write.
    Committed(Option<position::Status>),
    /// The connection broke before any byte was written.
    Unsent,
    /// The connection broke or was closed in any other case.
    ConnectionLost,
    /// A replica refused a write (SQLSTATE 25006); nothing ran.
    ReadOnly,
    /// The instance had no capacity for the statement; nothing ran.
    Busy,
    /// The instance accepts no more connections; nothing ran.
    TooManyConnections,
    /// The instance has not yet applied the floor of the request; nothing ran.
    BehindFloor(position::Position),
}

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Region.
    pub region: Name,
    /// Address that peers connect to, `IP:port`.
    pub peer: String,
    /// Whether the platform is withdrawing the VM.
    pub leaving: bool,
}

/// Row that holds the latest configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfigHead {
    /// Revision number, counted from 1.
    pub revision: u64,
    /// Identifiers of the latest release notes, oldest first.
    pub recent: Vec<Name>,
    /// Configuration at this revision.
    pub fleet: sync::Arc<Fleet>,
}

/// Row that holds the latest budget epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Epoch {
    /// Epoch number, counted from 1.
    pub number: u64,
    /// Daemon runs that share the budgets, sorted.
    pub members: Vec<MemberId>,
    /// Daemon runs that may still use shares of earlier epochs.
    pub former: Vec<MemberId>,
}

/// Identifies one run of a daemon on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberId {
    /// VM.
    pub vm: Name,
    /// Number that distinguishes a restarted daemon from its earlier runs.
    pub incarnation: u64,
}

/// Store entry of a VM that is a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberEntry {
    /// VM that the daemon runs on.
    pub vm: Vm,
    /// Incarnation of the daemon on the VM.
    pub incarnation: u64,
    /// Whether the daemon has given up all that it held.
    pub released: bool,
    /// Whether other VMs hear nothing of this VM; if its daemon still runs, the
    /// daemon writes the entry again.
    #[serde(default)]
    pub doubted: bool,
}

/// A row in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Row {
    /// Latest configuration.
    Head(ConfigHead),
    /// Latest budget epoch.
    Epoch(Epoch),
    /// Entry of a member VM.
    Member(MemberEntry),
    /// Leader of a group.
    Leader(Name, leader::Leader),
}

impl Row {
    /// Key of the row.
    pub fn key(&self) -> RowKey {
        match self {
            Row::Head(_) => RowKey::Head,
            Row::Epoch(_) => RowKey::Epoch,
            Row::Member(entry) => RowKey::Member(entry.vm.name.clone()),
            Row::Leader(group, _) => RowKey::Leader(group.clone()),
        }
    }
}

/// Key of a row.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKey {
    /// Latest configuration.
    #[display("head")]
    Head,
    /// Latest budget epoch.
    #[display("epoch")]
    Epoch,
    /// Entry of a member VM.
    #[display("member/{_0}")]
    Member(Name),
    /// Leader of a group.
    #[display("leader/{_0}")]
    Leader(Name),
}

/// Change of one row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have; 0 if the row must not exist.
    pub version: u64,
    /// Era of the store in which the row had that version. The change must not be made
    /// in another era, in which the version may name another write.
    pub era: u64,
    /// New content; none removes the row.
    pub row: Option<Row>,
}

/// Error for a text that is not a row key.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("the text is not a row key")]
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
    /// The version and content of the row.
    Found(u64, Row),
    /// The row does not exist; its version is 0.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// Result of writing a row with a compare-and-set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The row was written and has this version.
    Written(u64),
    /// The row has another version.
    Conflict,
    /// The store did not answer; the change may have taken effect.
    Unknown,
}

/// A caller's request to open a session.
#[derive(Clone, Debug)]
pub struct SessionRequest {
    /// Session to open.
    pub session: SessionId,
    /// Digest of the key that the caller presented, if any.
    pub digest: Option<KeyDigest>,
    /// Name of the requested route.
    pub route: String,
    /// Floor from the token that the caller presented, if any.
    pub token: Option<position::Position>,
}

/// A session's request for a connection to an instance.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifier, never reused.
    pub id: RequestId,
    /// Session that makes the request.
    pub session: SessionId,
    /// Access that the request needs.
    pub access: Access,
    /// Whether the request was granted before and provably did not run; such a
    /// request is not charged again.
    pub retry: bool,
}

/// Input to the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller asked for a session with a key and a route.
    SessionRequested(SessionRequest),
    /// The caller of a session has disconnected.
    SessionClosed(SessionId),
    /// A session needs a connection to an instance.
    ConnectionRequested(Request),
    /// The caller of a waiting request has disconnected.
    RequestAbandoned(RequestId),
    /// A granted connection is free again.
    ConnectionReleased(RequestId, RequestOutcome),
    /// An instance answered a poll, or the poll got no answer.
    PollAnswered(PollReply),
    /// An instance has not answered a statement for a while.
    StatementDelayed(Name),
    /// A poll returned no status; the flag tells whether the instance is known
    /// to be alive.
    PollFailed(Name, bool),
    /// An instance answered a fence, or the fence got no answer.
    FenceAnswered(TermReply),
    /// A replica was asked to resume replication; the flag tells whether the
    /// replica answered.
    ResumeAnswered(Name, bool),
    /// An instance answered a promotion.
    PromotionAnswered(TermReply),
    /// A peer sent a message.
    MessageReceived(Name, message::Message),
    /// The platform's list of VMs was read.
    VmsListed(Vec<Vm>),
    /// Result of reading a row.
    RowLoaded(RowKey, LoadOutcome),
    /// Result of writing or deleting a row.
    RowStored(RowKey, StoreOutcome),
    /// A read of the store returned its state.
    ViewUpdated(view::Update),
    /// A read of the store has ended.
    StoreReadEnded(view_sync::FinishedRead),
    /// An instance returned its position with an answer.
    PositionObserved(Observation),
    /// The platform answered the order to promote an instance of the group, or
    /// the order got no answer.
    PromotionOrdered(Name, OrderOutcome),
    /// An operator submitted a release note.
    NoteSubmitted(SubmissionId, sync::Arc<Note>),
    /// A stop was requested: the daemon is no longer ready, but still serves
    /// callers.
    Drain,
    /// A graceful stop begins.
    Stop,
}

/// Answer of an instance to a poll.
#[derive(Clone, Debug)]
pub struct PollReply {
    /// Instance that the request was sent to.
    pub instance: Name,
    /// When the poll was sent.
    pub sent: time::Time,
    /// Status of the instance, if it answered.
    pub status: Option<position::Status>,
}

/// Position that an instance returned with the answer to a request.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Instance.
    pub instance: Name,
    /// When the request was sent.
    pub sent: time::Time,
    /// Last position visible to reads on the instance.
    pub applied: position::Position,
}

/// Result of ordering a promotion from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The instance cannot take over.
    Rejected,
    /// The platform did not answer; it may have accepted the order, which can no longer
    /// arrive.
    Unknown,
    /// The order expired before it was sent.
    Expired,
}

/// Answer of an instance to a fence or a promotion.
#[derive(Clone, Debug)]
pub struct TermReply {
    /// Instance that the request was sent to.
    pub instance: Name,
    /// Requested term.
    pub term: position::Term,
    /// Whether the instance accepted the term.
    pub accepted: bool,
    /// Status of the instance after the request, if it answered.
    pub status: Option<position::Status>,
}

/// Answer to an operator who submitted a release note.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum SubmissionOutcome {
    /// Accepted and in force on every listed VM.
    #[display("revision {_0} is in force")]
    InForce(u64),
    /// Accepted, but some VM has neither confirmed the revision nor been silent
    /// for long enough.
    #[display("revision {_0} is accepted but not yet in force everywhere")]
    Accepted(u64),
    /// The note cannot be applied to the configuration.
    #[display("line {_0}: {_1}")]
    Invalid(u64, config::Problem),
    /// The daemon does not see a majority of the listed VMs.
    #[display("this daemon does not see a majority; apply the note through another daemon")]
    NoMajority,
    /// The store did not answer; the note may have been accepted.
    #[display("the store does not answer; apply the same note again later")]
    Unknown,
}

/// Output of the state machine, which the driver carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Accept the session.
    AcceptSession(SessionId, SessionRoute),
    /// Refuse to open the session.
    RejectSession(SessionId, Refusal),
    /// End the session once no answer to its caller is outstanding.
    EndSession(SessionId, Refusal),
    /// Run the request on a connection.
    Grant(Grant),
    /// Answer the request with a refusal.
    RefuseRequest(RequestId, Refusal),
    /// Acknowledge the write before the given time, or report its outcome as
    /// unknown.
    AcknowledgeCommit(RequestId, position::Position, time::Time),
    /// Ask the instance for its status.
    Poll(Name),
    /// Ask the instance for its status during a replacement, over the reserved
    /// connection if requests use all others.
    CheckStatus(Name),
    /// Ask the instance to accept a term; if the store arbitrates, also to pause
    /// replication. Not sent from the given time on.
    Fence(Name, position::Term, time::Time),
    /// Ask the instance to become primary.
    Promote(Name, position::Term),
    /// Connect to peers at the addresses in this list.
    UpdatePeers(Vec<Vm>),
    /// Send a message to a peer.
    Send(Name, message::Message),
    /// Break the connections in use to the instance, because the instance was
    /// replaced or does not answer.
    BreakConnections(Name),
    /// Close the idle connections to the instance.
    CloseIdleConnections(Name),
    /// Read a row.
    LoadRow(RowKey),
    /// Write or remove a row if it has the expected version.
    ChangeRow(RowChange),
    /// Correct, in one transaction, rows that differ in a store that came back from an
    /// older copy.
    RestoreRows(Vec<RowChange>),
    /// Order the platform to promote an instance.
    OrderPromotion(PromotionOrder),
    /// Ask the instance to step down if its term is below the given one. Not sent from
    /// the given time on.
    Demote(Name, position::Term, time::Time),
    /// Ask a replica whose replication was paused to resume. Not sent from the given time
    /// on.
    ResumeReplication(Name, time::Time),
    /// Answer the operator who submitted a release note.
    AnswerOperator(SubmissionId, SubmissionOutcome),
    /// Apply the configuration of the given revision, now in force on this VM.
    ApplyConfiguration(sync::Arc<Fleet>, u64),
    /// Set how many connections this VM may hold to the instance.
    ResizePool(Name, budget::ConnectionLimits),
    /// Cancel the statement of the session on this VM whose cancel key has this
    /// process id and secret.
    CancelStatement(i32, i32),
    /// Log a decision.
    RecordDecision(journal::Entry),
    /// The stop is complete.
    Stopped,
}

/// A promotion that the platform is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Group.
    pub group: Name,
    /// Instance to promote.
    pub instance: Name,
    /// Token that grows with every claim to replace the leader.
    pub fencing_token: u64,
    /// Time from which the order must no longer be sent.
    pub deadline: time::Time,
}

/// Permission to run a request on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Request.
    pub request: RequestId,
    /// Instance to run the request on.
    pub instance: Name,
    /// Whether the instance is the primary.
    pub primary: bool,
    /// Time before which the request must start.
    pub deadline: time::Time,
    /// Whether the instance is cold, so that each statement needs a permission.
    pub is_paced: bool,
}

/// Condition under which a granted request is sent to its instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Precondition {
    /// Floor that the instance must have applied, which the instance itself checks.
    pub floor: Option<position::Position>,
    /// Instance taken for the leader.
    pub leader: Option<Name>,
    /// Sample of the leader's position that yields the floor of a stated age.
    pub sample: Option<sample::Sample>,
}

/// Where the requests of a new session go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionRoute {
    /// Customer that holds the key; none on routes open to callers without keys.
    pub customer: Option<Name>,
    /// Name of the database in the group.
    pub database: String,
    /// Group of the route.
    pub group: Name,
}
