//! What instances answer.

use derive_more::Display;
use kernel::position;

/// State of a session or connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Outside of a transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed and can only end.
    Failed,
}

/// Why an instance refused a statement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// No room; not run.
    #[display("busy")]
    Busy,
    /// No such prepared statement; not run.
    #[display("statement unknown")]
    StatementUnknown,
    /// The floor has not been applied; not run.
    #[display("behind the floor")]
    Behind,
    /// It is not the primary; not run.
    #[display("read-only")]
    ReadOnly,
    /// It is another instance than expected; not run.
    #[display("another instance")]
    Misrouted,
    /// Too many connections; not run.
    #[display("too many connections")]
    Crowded,
    /// It ran and failed, or nobody can tell.
    #[display("failed")]
    Failed,
}

/// End of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Success.
    Complete,
    /// An error.
    Refused(Reason),
}

/// A whole answer of an instance.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Everything as it came, to be passed on.
    pub raw: Vec<u8>,
    /// How it ended.
    pub end: End,
    /// State of the connection.
    pub state: State,
    /// Last position visible to reads at the instance, if told.
    pub applied: Option<position::Position>,
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug)]
pub enum Standing {
    /// Its status.
    Status(position::Status),
    /// It lives, but has no room to tell more.
    Busy(Option<position::Position>),
}
