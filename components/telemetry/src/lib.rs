//! Logs as JSON lines and metrics for Prometheus.

mod logger;
mod metrics;

pub use logger::{Failure, flush, init};
pub use metrics::{Metrics, Result as Outcome};
