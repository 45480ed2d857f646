//! Choice of the instance that replaces a lost leader, where the store arbitrates.

#[allow(dead_code)]
mod store_arbiter;

use store_arbiter::{Options, Simulation, ms};

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

/// Sends reads through every VM for a time span in milliseconds.
fn read_for(sim: &mut Simulation, span: u64) {
    let readers: Vec<_> = (0..3)
        .map(|vm| (vm, sim.open_session(vm, "aged")))
        .collect();
    for _ in 0..span / 10 {
        for (vm, session) in &readers {
            sim.send_request(*vm, *session, false);
        }
        sim.run(ms(10));
    }
}

/// Guards against the promotion of a replica that is behind while another one, which has
/// answered reads at a higher position, cannot be paused yet.
#[test]
fn a_replica_known_to_be_ahead_is_waited_for() {
    let mut sim = with_replica_behind();
    // Busy for longer than replicas without a known position are waited for.
    sim.instances[1].busy_fences = 25;
    read_for(&mut sim, 1000);
    sim.instances[0].is_alive = false;
    read_for(&mut sim, CLAIM_TIME + 2000);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert_eq!(sim.promotion_orders[0].1, 1, "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_replica_that_never_confirms_its_pause_is_passed_over() {
    let mut sim = with_replica_behind();
    sim.instances[1].busy_fences = usize::MAX;
    read_for(&mut sim, 1000);
    sim.instances[0].is_alive = false;
    read_for(&mut sim, CLAIM_TIME + 2500);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert_eq!(sim.promotion_orders[0].1, 2, "{:?}", sim.decisions);
    assert!(sim.has_decision("passing over db-1"), "{:?}", sim.decisions);
}

/// Guards against a long wait for a replica that is lost together with the leader.
#[test]
fn a_replica_that_reads_do_not_reach_is_not_waited_for() {
    let mut sim = with_replica_behind();
    read_for(&mut sim, 1000);
    sim.instances[0].is_alive = false;
    sim.instances[1].is_alive = false;
    read_for(&mut sim, CLAIM_TIME + 600);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert_eq!(sim.promotion_orders[0].1, 2, "{:?}", sim.decisions);
}
