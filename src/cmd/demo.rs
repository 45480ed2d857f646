//! `ebonygauge demo`.

use std::{thread, time};

use error_stack::Report;

use crate::{cmd, failure};

/// Lag of the demo's replicas.
const LAG: time::Duration = time::Duration::from_millis(200);
/// Orders that the load places.
const ORDERS: i32 = 200;

/// Serves three daemons over stand-ins and shows a short load.
pub fn run(matches: &clap::ArgMatches) -> cmd::Outcome {
    let seconds = matches.get_one::<u64>("seconds").copied();
    let port = matches.get_one::<u16>("port").copied().unwrap_or(0);
    let begun = time::Instant::now();
    let mut plan = testbed::Plan::small();
    plan.replica_lag = LAG;
    plan.first_port = port;
    let cluster =
        testbed::Cluster::start(plan).map_err(|f| Report::new(failure::Failure::Testbed(f)))?;
    for vm in 0..cluster.vm_count() {
        println!("{}", cluster.url(vm, 0, 0));
    }
    let summary = load(&cluster).map_err(|error| {
        let text = error.to_string();
        Report::new(failure::Failure::Load(text))
    })?;
    println!("{summary}");
    match seconds {
        Some(seconds) => {
            let until = begun + time::Duration::from_secs(seconds);
            thread::sleep(until.saturating_duration_since(time::Instant::now()));
        }
        None => loop {
            thread::park();
        },
    }
    Ok(())
}

/// Places orders at one daemon and reads each at another.
fn load(cluster: &testbed::Cluster) -> Result<String, postgres::Error> {
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
    let begun = time::Instant::now();
    let mut own = 0;
    for id in 1..=ORDERS {
        let index = usize::try_from(id).unwrap_or(0) % clients.len();
        let insert = "INSERT INTO orders (id, item, quantity) VALUES ($1, $2, $3)";
        clients[index].execute(insert, &[&id, &"harvest loaf", &(id % 12 + 1)])?;
        let select = "SELECT quantity FROM orders WHERE id = $1";
        let row = clients[index].query_opt(select, &[&id])?;
        own += i32::from(row.is_some());
    }
    let took = begun.elapsed().as_millis();
    Ok(format!(
        "{ORDERS} orders placed over {} daemons in {took} ms; {own} of {ORDERS} read back at once, \
         with replicas {} ms behind",
        clients.len(),
        LAG.as_millis()
    ))
}
