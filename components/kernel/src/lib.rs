//! Deterministic state machines that make the decisions of the fleet.
//!
//! [`Daemon`] takes the time and an [`Event`], and returns the [`Action`]s to
//! carry out. [`Daemon`] has no I/O, threads, clock or randomness of its own, so
//! its driver can be a real daemon, a test scenario or a benchmark. Each module
//! makes one kind of decision.

pub mod admission;
mod arrivals;
pub mod budget;
mod capacity;
mod commits;
mod configure;
mod control;
mod daemon;
mod dispatch;
mod epochs;
pub mod evacuation;
pub mod event;
pub mod group;
pub mod handover;
pub mod homes;
mod idle;
pub mod journal;
pub mod leader;
mod load;
pub mod membership;
pub mod message;
pub mod overload;
pub mod plugin;
pub mod position;
pub mod promotion;
pub mod read_policy;
pub mod rendezvous;
mod replacement;
pub mod replica_set;
mod reports;
mod requirement;
pub mod revision;
pub mod sample;
mod sent_requests;
mod sessions;
pub mod sharing;
pub mod store_clock;
mod store_watch;
pub mod time;
mod topology;
pub mod version;
pub mod view;
pub mod view_sync;
pub mod warmup;

pub use daemon::{Daemon, Setup};
pub use event::{Action, Event};
