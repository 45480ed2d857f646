//! Loads and faults on a whole deployment, with the figures that count.
//!
//! The generator is open-loop: every operation has a due time, and its latency
//! counts from there, so waiting is not hidden. Every run is bounded in time.

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
