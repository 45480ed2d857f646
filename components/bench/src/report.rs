//! Rows of the report.

use std::{collections, time};

use serde::Serialize;

use crate::{failure, worker};

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Deployment.
    pub deployment: String,
    /// Load.
    pub load: String,
    /// Variant.
    pub variant: String,
    /// Operations that were due.
    pub offered: u64,
    /// Operations answered.
    pub answered: u64,
    /// Reads served by replicas, in percent.
    pub replica_percent: f64,
    /// Gaps from losing a primary to writing again, in ms.
    pub gaps_ms: Vec<u64>,
    /// Median customer's p50, in ms.
    pub p50_ms: f64,
    /// Median customer's p99, in ms.
    pub p99_ms: f64,
    /// Worst-served customer's p99, in ms; without the one over its rate.
    pub worst_p99_ms: f64,
    /// p99 of each customer, in ms.
    pub customers_p99_ms: Vec<f64>,
    /// Worst-served customer's p99.9, in ms.
    pub worst_p999_ms: f64,
    /// Worst-served customer's answered share of its load, in percent.
    pub worst_goodput_percent: f64,
    /// Requests refused inside the rate, in percent of those inside it.
    pub wrongful_percent: f64,
    /// Refusals by SQLSTATE.
    pub refused: collections::BTreeMap<String, u64>,
    /// Outcomes unknown.
    pub unknown: u64,
    /// Reads that missed an own write.
    pub stale: u64,
    /// Acknowledged writes that are missing.
    pub lost: u64,
    /// Orders that stand twice.
    pub doubled: u64,
    /// Writes that ran although refused as not run.
    pub false_not_run: u64,
    /// Databases that saw a key.
    pub key_seen: u64,
    /// Bytes between regions, a second.
    pub far_bytes: u64,
    /// Time until a note or withdrawal was in force, in ms.
    pub in_force_ms: Vec<u64>,
    /// Overhead at the median, in microseconds.
    pub overhead_us: i64,
    /// Throughput against the direct connection, in percent.
    pub throughput_percent: f64,
}

/// A customer's latencies and counts.
struct Customer {
    latency: hdrhistogram::Histogram<u64>,
    offered: u64,
    answered: u64,
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 * 100.0 / whole as f64
}

impl Row {
    /// Fills in what the sessions saw; `over` is the customer
    /// that goes over its rate or loses its key, which no figure of the others
    /// includes.
    pub fn collect(
        &mut self,
        seen: &[worker::Seen],
        over: Option<usize>,
    ) -> Result<(), failure::Failure> {
        let mut customers = collections::BTreeMap::new();
        let (mut inside, mut wrongful) = (0, 0);
        for session in seen {
            let index = session.task.customer;
            if let collections::btree_map::Entry::Vacant(entry) = customers.entry(index) {
                entry.insert(Customer {
                    latency: hdrhistogram::Histogram::new_from(&session.latency),
                    offered: 0,
                    answered: 0,
                });
            }
            if let Some(customer) = customers.get_mut(&index) {
                customer.offered += session.offered;
                customer.answered += session.answered;
                let added = customer.latency.add(&session.latency);
                debug_assert!(added.is_ok(), "all histograms have one range");
            }
            self.offered += session.offered;
            self.answered += session.answered;
            self.unknown += session.unknown;
            self.stale += session.stale;
            for (state, count) in &session.refused {
                *self.refused.entry(state.clone()).or_default() += count;
            }
            if over != Some(index) {
                inside += session.offered;
                wrongful += session
                    .refused
                    .iter()
                    .filter(|(state, _)| !matches!(state.as_str(), "57P01" | "closed" | "08007"))
                    .map(|(_, count)| count)
                    .sum::<u64>();
            }
        }
        self.wrongful_percent = percent(wrongful, inside);
        let p99 = |c: &Customer| ms(c.latency.value_at_quantile(0.99));
        self.customers_p99_ms = customers.values().map(p99).collect();
        customers.retain(|index, _| over != Some(*index));
        self.judge(&customers.into_values().collect::<Vec<_>>());
        Ok(())
    }

    fn judge(&mut self, customers: &[Customer]) {
        let quantile = |q: f64| {
            let mut all: Vec<_> = customers
                .iter()
                .map(|c| ms(c.latency.value_at_quantile(q)))
                .collect();
            all.sort_unstable_by(f64::total_cmp);
            all
        };
        let middle = |all: &[f64]| all.get((all.len().max(1) - 1) / 2).copied().unwrap_or(0.0);
        self.p50_ms = middle(&quantile(0.5));
        self.p99_ms = middle(&quantile(0.99));
        self.worst_p99_ms = quantile(0.99).last().copied().unwrap_or(0.0);
        self.worst_p999_ms = quantile(0.999).last().copied().unwrap_or(0.0);
        self.worst_goodput_percent = customers
            .iter()
            .map(|c| percent(c.answered, c.offered))
            .fold(100.0, f64::min);
    }

    /// Compares what was acknowledged with what the database holds.
    pub fn audit(&mut self, seen: &[&worker::Seen], ids: &[i32]) {
        let set: collections::HashSet<_> = ids.iter().copied().collect();
        self.doubled += (ids.len() - set.len()) as u64;
        for session in seen {
            let missing = |(id, _): &&(i32, time::Instant)| !set.contains(id);
            self.lost += session.acknowledged.iter().filter(missing).count() as u64;
            let ran = session.not_run.iter().filter(|id| set.contains(id)).count();
            self.false_not_run += ran as u64;
        }
    }

    /// Worst gap and median gap, in ms.
    pub fn gap(&self) -> (u64, u64) {
        let mut gaps = self.gaps_ms.clone();
        gaps.sort_unstable();
        let worst = gaps.last().copied().unwrap_or(0);
        let median = gaps.get((gaps.len().max(1) - 1) / 2).copied().unwrap_or(0);
        (worst, median)
    }
}

/// Prints the head of the table.
pub fn print_header() {
    println!(
        "{:<8} {:<14} {:<10} {:>7} {:>8} {:>8} {:>9} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9} {:>7} faults",
        "user",
        "load",
        "variant",
        "offered",
        "replica%",
        "p50 ms",
        "p99 ms",
        "worst99",
        "worst999",
        "goodput%",
        "wrongful%",
        "unknown",
        "gap ms",
        "in ms"
    );
}

/// Prints one row.
pub fn print_row(row: &Row) {
    let (worst, median) = row.gap();
    let force = row.in_force_ms.iter().max().copied().unwrap_or(0);
    let faults = row.stale + row.lost + row.doubled + row.false_not_run + row.key_seen;
    println!(
        "{:<8} {:<14} {:<10} {:>7} {:>8.1} {:>8.2} {:>9.2} {:>8.2} {:>8.2} {:>9.2} {:>9.3} {:>8} {:>9} {:>7} {}",
        row.deployment,
        row.load,
        row.variant,
        row.offered,
        row.replica_percent,
        row.p50_ms,
        row.p99_ms,
        row.worst_p99_ms,
        row.worst_p999_ms,
        row.worst_goodput_percent,
        row.wrongful_percent,
        row.unknown,
        format!("{median}/{worst}"),
        force,
        faults
    );
    if row.load == "overhead" {
        println!(
            "         overhead {} us at the median, throughput {:.1}% of the direct connection",
            row.overhead_us, row.throughput_percent
        );
    }
}
