//! The shell around the kernel: sockets, threads, timers and HTTP.
//!
//! Everything that happens becomes an event for the kernel, and every action
//! of the kernel is carried out here. No decision is made in this crate.

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
mod tick_wakeup;
mod tls;
mod workers;

pub use daemon::{Listeners, Running};
pub use failure::Failure;
