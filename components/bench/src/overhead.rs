//! Overhead of the proxy compared with a direct connection, without network
//! delays.

use std::{thread, time};

use postgres::{Client, NoTls};

use crate::{failure, report};

/// Reads of the latency measurement, on each of the two paths.
const READ_COUNT: usize = 2000;
/// Sessions of the throughput measurement.
const SESSION_COUNT: usize = 8;

/// Measures the path through the proxy and the direct path in turn, and fills in
/// the row.
pub fn measure(row: &mut report::Row, span: time::Duration) -> Result<(), failure::Failure> {
    let mut plan = testbed::Plan::small();
    plan.vms.truncate(1);
    plan.groups[0].sites.truncate(1);
    plan.groups[0].connections = 24;
    let cluster = testbed::Cluster::start(plan)?;
    let proxy_url = cluster.url(0, 0, 0);
    let user = standin::InstanceSetup::default();
    let address = cluster.instance_link(0, 0);
    let direct_url = format!(
        "postgres://{}:{}@{address}/orders",
        user.user, user.password
    );
    let create = "CREATE TABLE orders (id INT PRIMARY KEY, item TEXT, quantity INT)";
    let mut client = Client::connect(&proxy_url, NoTls)?;
    client.batch_execute(create)?;
    client.batch_execute("INSERT INTO orders VALUES (1, 'loaf', 1)")?;
    let (proxied, direct) = (
        median_latency_us(&proxy_url)?,
        median_latency_us(&direct_url)?,
    );
    row.overhead_us = proxied - direct;
    let (proxied, direct) = (throughput(&proxy_url, span), throughput(&direct_url, span));
    row.throughput_percent = proxied * 100.0 / direct.max(1.0);
    row.answered = (proxied * span.as_secs_f64()) as u64;
    row.p50_ms = row.overhead_us as f64 / 1000.0;
    row.offered = READ_COUNT as u64 * 2;
    Ok(())
}

fn median_latency_us(url: &str) -> Result<i64, failure::Failure> {
    let mut client = Client::connect(url, NoTls)?;
    let statement = client.prepare("SELECT quantity FROM orders WHERE id = $1")?;
    let mut micros = Vec::with_capacity(READ_COUNT);
    for _ in 0..READ_COUNT {
        let started = time::Instant::now();
        client.query_one(&statement, &[&1])?;
        micros.push(i64::try_from(started.elapsed().as_micros()).unwrap_or(i64::MAX));
    }
    micros.sort_unstable();
    Ok(micros[READ_COUNT / 2])
}

/// Reads a second over [`SESSION_COUNT`] parallel sessions.
fn throughput(url: &str, span: time::Duration) -> f64 {
    let until = time::Instant::now() + span;
    let sessions: Vec<_> = (0..SESSION_COUNT)
        .map(|_| {
            let url = url.to_string();
            thread::spawn(move || count_reads(&url, until).unwrap_or(0))
        })
        .collect();
    let total: u64 = sessions.into_iter().map(|s| s.join().unwrap_or(0)).sum();
    total as f64 / span.as_secs_f64()
}

fn count_reads(url: &str, until: time::Instant) -> Result<u64, postgres::Error> {
    let mut client = Client::connect(url, NoTls)?;
    let statement = client.prepare("SELECT quantity FROM orders WHERE id = $1")?;
    let mut count = 0;
    while time::Instant::now() < until {
        client.query_one(&statement, &[&1])?;
        count += 1;
    }
    Ok(count)
}
