//! The border to a protocol of callers and databases.
//!
//! A dialect turns what a caller sends into a [`Call`] and knows how to run it
//! over a connection to an instance. Answers of instances are passed on as they
//! are, so a dialect serves both sides. Plug-ins register themselves by name.

mod call;
mod failure;
mod plugin;
mod reply;

pub use call::{Call, Execution, Input, PreparedStatement, SessionValues, Startup, Statement};
pub use failure::{CallerFailure, LinkFailure};
pub use plugin::{Caller, Dialect, Link, Target, find};
pub use reply::{Outcome, RefusalReason, Reply, StatusReply, TransactionState};
