//! A whole deployment on loopback: stand-ins, links and daemons in one process.
//!
//! The demo, the bench and the end-to-end tests start it from one plan.

mod cluster;
mod failure;
mod plan;

pub use cluster::Cluster;
pub use failure::Failure;
pub use plan::{CustomerPlan, GroupPlan, Plan, RoutePlan, VmPlan};
