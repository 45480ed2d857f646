//! Runtime of a daemon: sockets, threads, timers and HTTP.
//!
//! The runtime turns input and output into events for the kernel, and performs
//! the actions that the kernel returns. All decisions are made in the kernel,
//! none in this crate.

pub mod accept;
mod admin;
mod clock;
mod daemon;
mod dialect_session;
mod failure;
mod handle;
mod links;
mod locks;
mod monitor;
mod platform;
mod pool;
mod requests;
mod runtime;
mod session;
mod sockets;
mod startups;
mod tick_wakeup;
mod tls;
mod workers;

pub use daemon::{Listeners, Running};
pub use failure::Failure;
