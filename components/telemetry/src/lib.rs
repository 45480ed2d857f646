//! Logs as JSON lines and metrics for Prometheus.

mod line_rate;
mod logger;
mod metrics;
mod trace;

pub use line_rate::Limiter;
pub use logger::{Failure, flush, init, recent_lines};
pub use metrics::{Metrics, Outcome};
pub use trace::{Line, trace};
