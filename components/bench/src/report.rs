//! Rows of the report and their output as a table.

use std::{collections, time};

use serde::Serialize;

use crate::{failure, worker};

/// Results of one run.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Deployment.
    pub deployment: String,
    /// Load.
    pub load: String,
    /// Variant.
    pub variant: String,
    /// Operations that became due.
    pub offered: u64,
    /// Operations answered.
    pub answered: u64,
    /// Reads served by replicas, in percent.
    pub replica_percent: f64,
    /// Times from each loss of a primary to the next acknowledged write, in ms.
    pub gaps_ms: Vec<u64>,
    /// Median over the customers of their p50 latency, in ms.
    pub p50_ms: f64,
    /// Median over the customers of their p99 latency, in ms.
    pub p99_ms: f64,
    /// Highest p99 latency of a customer, in ms, without the excluded customer.
    pub worst_p99_ms: f64,
    /// p99 latency of each customer, in ms; includes the excluded customer.
    pub customers_p99_ms: Vec<f64>,
    /// Highest p99.9 latency of a customer, in ms.
    pub worst_p999_ms: f64,
    /// Lowest share of a customer's operations that were answered, in percent,
    /// without the excluded customer.
    pub worst_goodput_percent: f64,
    /// Requests refused although their customer kept to its rate, in percent of
    /// all requests of such customers.
    pub wrongful_percent: f64,
    /// Refusals by SQLSTATE.
    pub refused: collections::BTreeMap<String, u64>,
    /// Operations with an unknown outcome.
    pub unknown: u64,
    /// Reads that missed an earlier write of the same session.
    pub stale: u64,
    /// Acknowledged writes that are missing.
    pub lost: u64,
    /// Orders that exist twice.
    pub doubled: u64,
    /// Writes that ran although the daemon reported "not run".
    pub false_not_run: u64,
    /// Instances that received a customer's key.
    pub key_seen: u64,
    /// Bytes a second sent between regions.
    pub far_bytes: u64,
    /// Times until each release note was in force, in ms.
    pub in_force_ms: Vec<u64>,
    /// Median latency added by the proxy, in microseconds.
    pub overhead_us: i64,
    /// Throughput relative to the direct connection, in percent.
    pub throughput_percent: f64,
}

/// Latencies and counts of a customer.
struct CustomerStats {
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
    /// Adds the results of all sessions. `excluded` is the customer that exceeds
    /// its rate or loses its key; `wrongful_percent` and all
    /// latency and goodput figures but `customers_p99_ms` leave this customer out.
    pub fn add_results(
        &mut self,
        results: &[worker::SessionResult],
        excluded: Option<usize>,
    ) -> Result<(), failure::Failure> {
        let mut customers = collections::BTreeMap::new();
        let (mut inside, mut wrongful) = (0, 0);
        for session in results {
            let index = session.task.customer;
            if let collections::btree_map::Entry::Vacant(entry) = customers.entry(index) {
                entry.insert(CustomerStats {
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
            if excluded != Some(index) {
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
        let p99 = |c: &CustomerStats| ms(c.latency.value_at_quantile(0.99));
        self.customers_p99_ms = customers.values().map(p99).collect();
        customers.retain(|index, _| excluded != Some(*index));
        self.summarize(&customers.into_values().collect::<Vec<_>>());
        Ok(())
    }

    fn summarize(&mut self, customers: &[CustomerStats]) {
        let quantile = |q: f64| {
            let mut all: Vec<_> = customers
                .iter()
                .map(|c| ms(c.latency.value_at_quantile(q)))
                .collect();
            all.sort_unstable_by(f64::total_cmp);
            all
        };
        let median = |all: &[f64]| all.get((all.len().max(1) - 1) / 2).copied().unwrap_or(0.0);
        self.p50_ms = median(&quantile(0.5));
        self.p99_ms = median(&quantile(0.99));
        self.worst_p99_ms = quantile(0.99).last().copied().unwrap_or(0.0);
        self.worst_p999_ms = quantile(0.999).last().copied().unwrap_or(0.0);
        self.worst_goodput_percent = customers
            .iter()
            .map(|c| percent(c.answered, c.offered))
            .fold(100.0, f64::min);
    }

    /// Compares the reported outcomes of writes with the orders in the database.
    pub fn check_orders(&mut self, results: &[&worker::SessionResult], ids: &[i32]) {
        let set: collections::HashSet<_> = ids.iter().copied().collect();
        self.doubled += (ids.len() - set.len()) as u64;
        for session in results {
            let missing = |(id, _): &&(i32, time::Instant)| !set.contains(id);
            self.lost += session.acknowledged.iter().filter(missing).count() as u64;
            let ran = session.not_run.iter().filter(|id| set.contains(id)).count();
            self.false_not_run += ran as u64;
        }
    }

    /// Longest and median write gap, in ms.
    pub fn worst_and_median_gap(&self) -> (u64, u64) {
        let mut gaps = self.gaps_ms.clone();
        gaps.sort_unstable();
        let worst = gaps.last().copied().unwrap_or(0);
        let median = gaps.get((gaps.len().max(1) - 1) / 2).copied().unwrap_or(0);
        (worst, median)
    }
}

/// Prints the header of the table.
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
    let (worst, median) = row.worst_and_median_gap();
    let in_force = row.in_force_ms.iter().max().copied().unwrap_or(0);
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
        in_force,
        faults
    );
    if row.load == "overhead" {
        println!(
            "         overhead {} us at the median, throughput {:.1}% of the direct connection",
            row.overhead_us, row.throughput_percent
        );
    }
}
