//! Choice of the instance that replaces a lost leader, where the store arbitrates.

#[allow(dead_code)]
mod store_arbiter;

use store_arbiter::{Options, Simulation};

/// Time in which a VM notices the loss of a leader and claims its replacement.
const CLAIM_TIME: u64 = 700;

/// Simulation in which instance 2 lacks the commits of the last second, and every VM
/// reads from instance 1.
fn with_replica_behind() -> Simulation {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[2].replication_cut = true;
    sim.write_for(1000);
    sim
}

/// Guards against a replica that is passed over because it was busy once.
#[test]
fn a_busy_replica_is_asked_again_to_pause() {
    let mut sim = with_replica_behind();
    sim.instances[1].busy_fences = 3;
    sim.instances[0].is_alive = false;
    sim.write_for(CLAIM_TIME + 1500);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert_eq!(sim.promotion_orders[0].1, 1, "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new());
}
