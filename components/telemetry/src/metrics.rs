//! Metrics of one daemon.

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
    /// Refused, not run.
    Refused,
    /// Reported as unknown.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct Class {
    customer: String,
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct Ending {
    customer: String,
    route: String,
    result: Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, encoding::EncodeLabelSet)]
struct Kind {
    kind: String,
}

type Latency = family::Family<Class, histogram::Histogram, fn() -> histogram::Histogram>;

/// Counters, gauges and histograms with their registry.
pub struct Metrics {
    registry: registry::Registry,
    latency: Latency,
    requests: family::Family<Ending, counter::Counter>,
    decisions: family::Family<Kind, counter::Counter>,
    sessions: gauge::Gauge,
    waiting: gauge::Gauge,
    revision: gauge::Gauge,
    fresh: gauge::Gauge<i64, atomic::AtomicI64>,
}

/// Upper bound of the first bucket, in seconds.
const FIRST_BUCKET: f64 = 0.0005;
/// Number of buckets, each twice as wide as the one before.
const BUCKETS: u16 = 16;

fn buckets() -> histogram::Histogram {
    histogram::Histogram::new(histogram::exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("ebonygauge"),
            latency: family::Family::new_with_constructor(buckets),
            requests: family::Family::default(),
            decisions: family::Family::default(),
            sessions: gauge::Gauge::default(),
            waiting: gauge::Gauge::default(),
            revision: gauge::Gauge::default(),
            fresh: gauge::Gauge::default(),
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
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register("waiting", "Requests that wait", self.waiting.clone());
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register(
            "fresh",
            "1 if keyed requests are accepted",
            self.fresh.clone(),
        );
    }

    /// Notes the end of a request.
    pub fn record_request(
        &self,
        customer: Option<&Name>,
        route: &str,
        result: Outcome,
        took: time::Duration,
    ) {
        let customer = customer.map_or(String::new(), ToString::to_string);
        let class = Class {
            customer: customer.clone(),
            route: route.into(),
        };
        self.latency
            .get_or_create(&class)
            .observe(took.as_secs_f64());
        let ending = Ending {
            customer,
            route: route.into(),
            result,
        };
        self.requests.get_or_create(&ending).inc();
    }

    /// Counts a decision.
    pub fn count_decision(&self, kind: &str) {
        let kind = Kind { kind: kind.into() };
        self.decisions.get_or_create(&kind).inc();
    }

    /// Notes the number of sessions.
    pub fn set_sessions(&self, count: usize) {
        self.sessions.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Notes the state of the control plane.
    pub fn set_control_state(&self, waiting: usize, revision: u64, fresh: bool) {
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.fresh.set(i64::from(fresh));
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
