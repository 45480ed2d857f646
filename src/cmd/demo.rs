//! `ebonygauge demo`.

use std::{thread, time};

use error_stack::Report;

use crate::{cmd, failure};

/// Replication lag of the demo's replicas.
const REPLICA_LAG: time::Duration = time::Duration::from_millis(200);
/// Orders that the load inserts.
const ORDER_COUNT: i32 = 200;

/// Starts three daemons with simulated instances and runs a short load.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let seconds = matches.get_one::<u64>("seconds").copied();
    let port = matches.get_one::<u16>("port").copied().unwrap_or(0);
    let started = time::Instant::now();
    let mut plan = testbed::Plan::small();
    plan.replica_lag = REPLICA_LAG;
    plan.first_port = port;
    let cluster =
        testbed::Cluster::start(plan).map_err(|f| Report::new(failure::Failure::Testbed(f)))?;
    for vm in 0..cluster.vm_count() {
        println!("{}", cluster.url(vm, 0, 0));
    }
    let summary = run_load(&cluster).map_err(|error| {
        let text = error.to_string();
        Report::new(failure::Failure::Load(text))
    })?;
    println!("{summary}");
    match seconds {
        Some(seconds) => {
            let deadline = started + time::Duration::from_secs(seconds);
            thread::sleep(deadline.saturating_duration_since(time::Instant::now()));
        }
        None => loop {
            thread::park();
        },
    }
    Ok(())
}

/// Inserts each order through one of the daemons in turn, reads the order back
/// at once in the same session and returns a summary.
fn run_load(cluster: &testbed::Cluster) -> Result<String, postgres::Error> {
    let mut clients = Vec::new();
    for vm in 0..cluster.vm_count() {
        clients.push(postgres::Client::connect(
            &cluster.url(vm, 0, 0),
            postgres::NoTls,
        )?);
    }
    let create = "CREATE TABLE IF NOT EXISTS orders \
        (id INT PRIMARY KEY, item TEXT, quantity INT)";
    clients[0].batch_execute(create)?;
    let started = time::Instant::now();
    let mut read_back = 0;
    for id in 1..=ORDER_COUNT {
        let index = usize::try_from(id).unwrap_or(0) % clients.len();
        let insert = "INSERT INTO orders (id, item, quantity) VALUES ($1, $2, $3)";
        clients[index].execute(insert, &[&id, &"harvest loaf", &(id % 12 + 1)])?;
        let select = "SELECT quantity FROM orders WHERE id = $1";
        let row = clients[index].query_opt(select, &[&id])?;
        read_back += i32::from(row.is_some());
    }
    let took = started.elapsed().as_millis();
    Ok(format!(
        "{ORDER_COUNT} orders placed over {} daemons in {took} ms; {read_back} of {ORDER_COUNT} read back at once, \
         with replicas {} ms behind",
        clients.len(),
        REPLICA_LAG.as_millis()
    ))
}
