//! Logs as JSON lines, metrics for Prometheus, and the trace of a request in the logs.

mod line_rate;
mod logger;
mod metrics;
mod trace;

pub use line_rate::Limiter;
pub use logger::{Failure, flush, init, recent_lines};
pub use metrics::{Metrics, Outcome};
pub use trace::{Line, trace};
