//! The PostgreSQL v3 protocol towards callers and databases.
//!
//! Messages that the proxy acts on are decoded with `pgwire`; everything else
//! is passed on by its frame. All sockets block, and every buffer is bounded.

mod batch;
mod caller;
mod channel;
mod classify;
mod deallocate;
mod exchange;
mod failure;
mod reply;
mod server;
mod statements;
mod status;

pub use batch::{Batch, End};
pub use caller::{Caller, Hello, Startup, greet, read_key, refuse_startup, welcome};
pub use channel::{Channel, Stream};
pub use classify::{Class, classify};
pub use deallocate::Target;
pub use exchange::{Exchange, Fault, run};
pub use failure::Failure;
pub use reply::{Block, error, made, ready, token};
pub use server::{Endpoint, Login, Server, cancel};
pub use statements::{Plan, Refused, Statements};
pub use status::{fence, poll, promote};
