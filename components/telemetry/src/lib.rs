//! Logs as JSON lines and metrics for Prometheus.

mod logger;
mod metrics;
mod trace;
mod volume;

pub use logger::{Failure, flush, init, recent};
pub use metrics::{Metrics, Result as Outcome};
pub use trace::{Line, trace};
pub use volume::Volume;
