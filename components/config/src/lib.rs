//! Settings of a daemon and release notes of the fleet.
//!
//! Text is read in two steps. A raw document mirrors the YAML and keeps the
//! line of every name; `TryFrom` turns it into checked types and refuses
//! unknown fields, bad units, duplicate names and dangling references with the
//! line and what to do.

mod document;
mod failure;
mod fleet;
mod key;
mod name;
mod note;
mod settings;

pub use document::{Origin, read_note, read_settings};
pub use failure::{Failure, Problem};
pub use fleet::{Customer, Durability, Fleet, Group, Instance, ReadConsistency, Route};
pub use key::KeyDigest;
pub use name::Name;
pub use note::{Change, Entry, Note, Withdrawal};
pub use settings::{Credentials, Limits, Policy, Settings, Timing, Tls};
