//! Interface to a wire protocol that callers and instances speak.
//!
//! A dialect parses each statement of a caller into a [`Call`] and runs the call
//! over a connection to an instance. A daemon forwards the reply of an instance to
//! the caller unchanged, so both sides of a daemon speak the same dialect. Each
//! implementation registers itself under a name.

mod call;
mod failure;
mod plugin;
mod reply;

pub use call::{Call, Execution, Input, PreparedStatement, SessionValues, Startup, Statement};
pub use failure::{CallerFailure, LinkFailure};
pub use plugin::{Caller, CallerLimits, Dialect, Link, Target, find};
pub use reply::{Outcome, RefusalReason, Reply, StatusReply, TransactionState};
