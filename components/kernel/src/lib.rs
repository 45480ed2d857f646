//! The decisions of the fleet as deterministic state machines.
//!
//! [`Daemon`] takes `(now, Event)` and gives `Vec<Action>`. It has no I/O, no
//! threads, no clock and no randomness of its own, so a driver can be a real
//! daemon, a scenario or any other bench. One module holds one decision.

pub mod admission;
mod arrivals;
pub mod budget;
mod commits;
mod configure;
mod control;
mod daemon;
mod dispatch;
mod epochs;
pub mod event;
pub mod group;
pub mod handover;
mod idle;
pub mod journal;
pub mod leader;
mod load;
pub mod membership;
pub mod message;
pub mod plugin;
pub mod position;
pub mod promotion;
pub mod read_policy;
pub mod rendezvous;
mod replacement;
mod reports;
pub mod revision;
mod sessions;
pub mod sharing;
pub mod store_clock;
mod store_watch;
pub mod time;
mod topology;
pub mod view;
pub mod view_sync;

pub use daemon::{Daemon, Setup};
pub use event::{Action, Event};
