//! Runs loads and faults against a whole deployment and reports latencies,
//! refusals and consistency faults.
//!
//! The load generator is open-loop: every operation has a due time, and its
//! latency is measured from the due time, so that queueing before the request is
//! sent counts too. Every run is bounded in time.

mod deployment;
mod failure;
mod load;
mod overhead;
mod report;
mod run;
mod slopes;
mod worker;

pub use deployment::Deployment;
pub use failure::Failure;
pub use load::{Load, Variant};
pub use report::{Row, print_header, print_row};
pub use run::{Setup, run};
pub use slopes::{Point, Slope, measure};
