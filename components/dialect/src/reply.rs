//! Replies of instances.

use derive_more::Display;
use kernel::position;

/// Transaction state of a session or connection after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be rolled back.
    Failed,
}

/// Reason why an instance refused a statement or a connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RefusalReason {
    /// The instance has no free capacity and has not run the statement.
    #[display("busy")]
    Busy,
    /// The instance knows no such prepared statement and has not run it.
    #[display("statement unknown")]
    StatementUnknown,
    /// The instance has not applied the floor and has not run the statement.
    #[display("behind the floor")]
    Lagging,
    /// The instance is no primary and has not run the statement.
    #[display("read-only")]
    ReadOnly,
    /// The connection names another instance.
    #[display("another instance")]
    Misrouted,
    /// The instance is at its connection limit.
    #[display("too many connections")]
    TooManyConnections,
    /// The statement ran; whether it took effect is not known.
    #[display("failed")]
    Failed,
    /// The code is not known, and does not tell whether the statement ran.
    #[display("unrecognized")]
    Unrecognized,
}

impl RefusalReason {
    /// Whether an instance that answers a statement with this reason has not run it.
    pub fn proves_not_run(self) -> bool {
        match self {
            Self::Busy | Self::StatementUnknown | Self::Lagging | Self::ReadOnly => true,
            // These two refuse a connection, and say nothing of a statement.
            Self::Misrouted | Self::TooManyConnections => false,
            Self::Failed | Self::Unrecognized => false,
        }
    }
}

/// Outcome of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The statement succeeded.
    Complete,
    /// The instance answered with an error.
    Refused(RefusalReason),
}

/// Complete reply of an instance.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Bytes of the reply, as received, to forward to the caller.
    pub raw: Vec<u8>,
    /// Outcome of the statement.
    pub outcome: Outcome,
    /// Transaction state of the connection.
    pub state: TransactionState,
    /// Last position visible to reads at the instance, if the instance reports one.
    pub applied: Option<position::Position>,
}

/// Reply of an instance to a control call.
#[derive(Clone, Copy, Debug)]
pub enum StatusReply {
    /// Status of the instance.
    Status(position::Status),
    /// The instance is alive, but has no capacity to report its status; the last
    /// position visible to reads is included if the instance reports one.
    Busy(Option<position::Position>),
}
