//! Metrics of a daemon.

use std::{sync::atomic, time};

use config::Name;
use prometheus_client::{
    encoding::{self, text},
    metrics::{counter, family, gauge, histogram},
    registry,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelValue)]
pub enum Outcome {
    /// Answered by a replica.
    Replica,
    /// Answered by the primary.
    Primary,
    /// Refused; no statement of the request ran.
    Refused,
    /// Reported to the caller as unknown.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct RouteLabels {
    customer: String,
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct RequestLabels {
    customer: String,
    route: String,
    result: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct DecisionLabels {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct MisuseLabels {
    kind: String,
}

type LatencyFamily =
    family::Family<RouteLabels, histogram::Histogram, fn() -> histogram::Histogram>;

/// Registry of the counters, gauges and histograms.
pub struct Metrics {
    registry: registry::Registry,
    latency: LatencyFamily,
    requests: family::Family<RequestLabels, counter::Counter>,
    decisions: family::Family<DecisionLabels, counter::Counter>,
    misuses: family::Family<MisuseLabels, counter::Counter>,
    intake: gauge::Gauge,
    sessions: gauge::Gauge,
    waiting: gauge::Gauge,
    revision: gauge::Gauge,
    fresh: gauge::Gauge<i64, atomic::AtomicI64>,
    evacuated: gauge::Gauge,
    evacuation_ended: counter::Counter,
    evacuation_refused: counter::Counter,
}

/// Upper bound of the first bucket.
const FIRST_BUCKET_S: f64 = 0.0005;
/// Number of buckets; the upper bound of each is twice that of the one before.
const BUCKET_COUNT: u16 = 16;

fn latency_histogram() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(
        FIRST_BUCKET_S,
        2.0,
        BUCKET_COUNT,
    ))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("ebonygauge"),
            latency: family::Family::new_with_constructor(latency_histogram),
            requests: family::Family::default(),
            decisions: family::Family::default(),
            misuses: family::Family::default(),
            intake: gauge::Gauge::default(),
            sessions: gauge::Gauge::default(),
            waiting: gauge::Gauge::default(),
            revision: gauge::Gauge::default(),
            fresh: gauge::Gauge::default(),
            evacuated: gauge::Gauge::default(),
            evacuation_ended: counter::Counter::default(),
            evacuation_refused: counter::Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "latency_seconds",
            "Time from a request to the end of its answer",
            self.latency.clone(),
        );
        registry.register("requests", "Requests by result", self.requests.clone());
        registry.register("decisions", "Decisions by kind", self.decisions.clone());
        registry.register(
            "misuses",
            "Sessions and startups ended since they took too much, by kind",
            self.misuses.clone(),
        );
        registry.register(
            "intake_bytes",
            "Memory charged for what callers send",
            self.intake.clone(),
        );
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register("waiting", "Requests that wait", self.waiting.clone());
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register(
            "fresh",
            "1 if keyed requests are accepted",
            self.fresh.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains that are evacuated",
            self.evacuated.clone(),
        );
        registry.register(
            "evacuation_ended",
            "Requests that were open when their time in an evacuated failure domain was over",
            self.evacuation_ended.clone(),
        );
        registry.register(
            "evacuation_refused",
            "Requests refused because only evacuated instances may run them",
            self.evacuation_refused.clone(),
        );
    }

    /// Records the outcome and latency of a request.
    pub fn record_request(
        &self,
        customer: Option<&Name>,
        route: &str,
        result: Outcome,
        latency: time::Duration,
    ) {
        let customer = customer.map_or(String::new(), ToString::to_string);
        let route_labels = RouteLabels {
            customer: customer.clone(),
            route: route.into(),
        };
        self.latency
            .get_or_create(&route_labels)
            .observe(latency.as_secs_f64());
        let request_labels = RequestLabels {
            customer,
            route: route.into(),
            result,
        };
        self.requests.get_or_create(&request_labels).inc();
    }

    /// Counts a decision.
    pub fn count_decision(&self, kind: &str) {
        let labels = DecisionLabels { kind: kind.into() };
        self.decisions.get_or_create(&labels).inc();
    }

    /// Counts a session or startup that was ended since it took too much.
    pub fn count_misuse(&self, kind: &str) {
        let labels = MisuseLabels { kind: kind.into() };
        self.misuses.get_or_create(&labels).inc();
    }

    /// Records the memory that is charged for what callers send.
    pub fn set_intake(&self, bytes: usize) {
        self.intake.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Records the number of open sessions.
    pub fn set_sessions(&self, count: usize) {
        self.sessions.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the number of waiting requests, the revision in force, and whether keyed
    /// requests are accepted.
    pub fn set_control_state(&self, waiting: usize, revision: u64, fresh: bool) {
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.fresh.set(i64::from(fresh));
    }

    /// Records the number of evacuated failure domains, and how many requests evacuations
    /// have ended and refused so far.
    pub fn set_evacuations(&self, domains: usize, ended: u64, refused: u64) {
        self.evacuated
            .set(i64::try_from(domains).unwrap_or(i64::MAX));
        let order = atomic::Ordering::Relaxed;
        self.evacuation_ended.inner().store(ended, order);
        self.evacuation_refused.inner().store(refused, order);
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
