//! The PostgreSQL v3 protocol towards callers and databases.
//!
//! Messages that the proxy acts on are decoded with `pgwire`; everything else
//! is passed on by its frame. All sockets block, and every buffer is bounded.

mod batch;
mod caller;
mod classify;
mod deallocate;
mod exchange;
mod failure;
mod framing;
mod reply;
mod server;
mod statements;
mod status;

pub use batch::{Batch, Terminator};
pub use caller::{
    Caller, ConnectionRequest, Startup, accept_session, negotiate_startup, read_key, refuse_startup,
};
pub use classify::{StatementClass, classify};
pub use deallocate::Target;
pub use exchange::{BatchError, BatchOutcome, run_batch};
pub use failure::Failure;
pub use framing::{FramedStream, Stream};
pub use reply::{TransactionStatus, put_error, put_frames, put_ready, put_token};
pub use server::{Endpoint, Login, ServerConnection, cancel};
pub use statements::{Plan, PlanError, SessionStatements};
pub use status::{fence, promote, query_status};
