//! Stand-ins for what the fleet meets: database groups, the platform's table
//! service and VM list, and the network between them.
//!
//! They speak the published protocols and bring about the failures that tests
//! need; they keep rows in memory and promise nothing beyond that.

mod engine;
mod execute;
mod failure;
mod group;
mod instance;
mod network;
mod platform;
mod session;
mod sql;
mod values;

pub use failure::Failure;
pub use group::{Group, GroupSetup};
pub use instance::{Instance, InstanceSetup};
pub use network::{Network, Site};
pub use platform::{Platform, Vm};
