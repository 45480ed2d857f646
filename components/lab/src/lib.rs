//! A whole deployment on loopback: stand-ins, links and daemons in one process.
//!
//! The demo, the bench and the end-to-end tests start it from one plan.

mod failure;
mod fleet;
mod plan;

pub use failure::Failure;
pub use fleet::Lab;
pub use plan::{CustomerPlan, GroupPlan, Plan, RoutePlan, VmPlan};
