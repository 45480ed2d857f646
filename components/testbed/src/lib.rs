//! Runs a whole deployment on loopback in one process: daemons, simulated
//! PostgreSQL groups, a simulated platform and the network links between them.
//!
//! The demo, the bench and the end-to-end tests each start a [`Cluster`] from a
//! [`Plan`].

mod cluster;
mod failure;
mod permit;
mod plan;

pub use cluster::Cluster;
pub use failure::Failure;
pub use plan::{CustomerPlan, GroupPlan, Plan, RoutePlan, VmPlan};
