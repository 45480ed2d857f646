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
mod exchange;
pub mod following;
pub mod group;
pub mod handover;
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
pub mod time;
pub mod view;
mod warm;
mod watching;

pub use daemon::{Daemon, Setup};
pub use event::{Action, Event};
