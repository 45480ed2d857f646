//! PostgreSQL protocol version 3, on the side of the callers and on the side of
//! the databases.
//!
//! The proxy decodes the messages that it acts on, encodes its own messages with
//! `pgwire`, and forwards all other messages as opaque frames. All sockets are
//! blocking, and every buffer has a size limit.

mod batch;
mod caller;
mod classify;
mod deallocate;
mod exchange;
mod failure;
mod framing;
mod parameters;
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
pub use exchange::{BatchError, BatchOutcome, Progress, run_batch};
pub use failure::Failure;
pub use framing::{FramedStream, Stream};
pub use parameters::{Effect, Parameters};
pub use reply::{TransactionStatus, put_error, put_frames, put_ready, put_token};
pub use server::{Endpoint, Login, ServerConnection, cancel};
pub use statements::{NameChange, Plan, PlanError, SessionStatements, Step};
pub use status::{fence, promote, query_status};
