//! Settings of a daemon and release notes of the fleet.
//!
//! A document is read in two steps. Parsing yields a raw document that mirrors the
//! YAML, rejects unknown fields and keeps the line of each value. `TryFrom` converts
//! the raw document to validated types and rejects invalid units and duplicate names.
//! [`Note::apply`] rejects references to entries that don't exist. Each error names
//! the line, where it is known, and the correction.

mod document;
pub mod environment;
mod failure;
mod fleet;
mod key;
mod name;
mod note;
mod settings;

pub use document::{Origin, read_note, read_settings};
pub use failure::{Failure, Problem};
pub use fleet::{
    Customer, Durability, Fleet, Group, Instance, InvalidRate, Rate, ReadConsistency, Route, Warmup,
};
pub use key::KeyDigest;
pub use name::Name;
pub use note::{Change, Entry, Note, Withdrawal};
pub use settings::{Credentials, Intake, Limits, Policy, Settings, Timing, Tls};
