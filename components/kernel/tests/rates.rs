//! Rates of a customer that are absent, zero or below one request per second, where the store
//! arbitrates.

#[allow(dead_code)]
mod store_arbiter;

use store_arbiter::{Options, Simulation, ms};

/// Requests of the customer that run within ten seconds in which one is sent every 100 ms.
fn count_served(rate: Option<config::Rate>, burst: u32) -> usize {
    let mut sim = Simulation::new(&Options {
        vms: 1,
        rate_limit: (1000, burst),
        ..Options::default()
    });
    sim.other_rate = Some(rate);
    sim.revision += 1;
    sim.run(ms(2000));
    let session = sim.open_session(0, "keyed");
    sim.granted.clear();
    for _ in 0..100 {
        sim.send_request(0, session, false);
        sim.run(ms(100));
    }
    sim.granted.len()
}

fn rate(per_second: f64) -> Option<config::Rate> {
    Some(config::Rate::try_from(per_second).expect("a rate"))
}

// Guards against a customer that is refused everything because its rate is absent or below 1.
#[test]
fn a_rate_is_absent_zero_or_a_fraction() {
    assert_eq!(count_served(None, 0), 100);
    assert_eq!(count_served(rate(0.0), 0), 0);
    let served = count_served(rate(0.5), 1);
    assert!((4..=7).contains(&served), "{served}");
    let served = count_served(rate(2.5), 0);
    assert!((22..=27).contains(&served), "{served}");
}
