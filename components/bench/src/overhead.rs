//! Overhead of the proxy against a direct connection, without delays.

use std::{thread, time};

use postgres::{Client, NoTls};

use crate::{failure, report};

/// Reads of the latency part, each way.
const READS: usize = 2000;
/// Sessions of the throughput part.
const SESSIONS: usize = 8;

/// Measures both ways in turn and fills in the row.
pub fn measure(row: &mut report::Row, span: time::Duration) -> Result<(), failure::Failure> {
    let mut plan = testbed::Plan::small();
    plan.vms.truncate(1);
    plan.groups[0].sites.truncate(1);
    plan.groups[0].connections = 24;
    let cluster = testbed::Cluster::start(plan)?;
    let proxy = cluster.url(0, 0, 0);
    let user = standin::InstanceSetup::default();
    let address = cluster.instance_link(0, 0);
    let direct = format!(
        "postgres://{}:{}@{address}/orders",
        user.user, user.password
    );
    let create = "CREATE TABLE orders (id INT PRIMARY KEY, item TEXT, quantity INT)";
    let mut client = Client::connect(&proxy, NoTls)?;
    client.batch_execute(create)?;
    client.batch_execute("INSERT INTO orders VALUES (1, 'loaf', 1)")?;
    let (through, straight) = (median(&proxy)?, median(&direct)?);
    row.overhead_us = through - straight;
    let (through, straight) = (throughput(&proxy, span), throughput(&direct, span));
    row.throughput_percent = through * 100.0 / straight.max(1.0);
    row.answered = (through * span.as_secs_f64()) as u64;
    row.p50_ms = row.overhead_us as f64 / 1000.0;
    row.offered = READS as u64 * 2;
    Ok(())
}

fn median(url: &str) -> Result<i64, failure::Failure> {
    let mut client = Client::connect(url, NoTls)?;
    let statement = client.prepare("SELECT quantity FROM orders WHERE id = $1")?;
    let mut micros = Vec::with_capacity(READS);
    for _ in 0..READS {
        let begun = time::Instant::now();
        client.query_one(&statement, &[&1])?;
        micros.push(i64::try_from(begun.elapsed().as_micros()).unwrap_or(i64::MAX));
    }
    micros.sort_unstable();
    Ok(micros[READS / 2])
}

/// Reads a second over one pool of sessions.
fn throughput(url: &str, span: time::Duration) -> f64 {
    let until = time::Instant::now() + span;
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|_| {
            let url = url.to_string();
            thread::spawn(move || count(&url, until).unwrap_or(0))
        })
        .collect();
    let total: u64 = sessions.into_iter().map(|s| s.join().unwrap_or(0)).sum();
    total as f64 / span.as_secs_f64()
}

fn count(url: &str, until: time::Instant) -> Result<u64, postgres::Error> {
    let mut client = Client::connect(url, NoTls)?;
    let statement = client.prepare("SELECT quantity FROM orders WHERE id = $1")?;
    let mut count = 0;
    while time::Instant::now() < until {
        client.query_one(&statement, &[&1])?;
        count += 1;
    }
    Ok(count)
}
