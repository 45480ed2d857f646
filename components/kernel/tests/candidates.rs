//! Choice of the instance that replaces a lost leader, where the store arbitrates.

#[allow(dead_code)]
mod store_arbiter;

use kernel::{event, leader, position};
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

/// Simulation in which the leader of term 1 has come back with commits that the leader of
/// term 2 lacks, while that leader and the other replica are lost. Returns the latter two.
fn with_abandoned_branch() -> (Simulation, usize, usize) {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    let leader = sim.leader().expect("an instance leads");
    let other = 3 - leader;
    sim.instances[leader].is_alive = false;
    sim.instances[other].is_alive = false;
    sim.instances[0].is_alive = true;
    sim.instances[0].role = position::Role::Replica;
    sim.instances[0].received = sim.instances[leader].received + 50;
    (sim, leader, other)
}

fn recorded_leader(sim: &Simulation) -> leader::Leader {
    let key = event::RowKey::Leader(store_arbiter::name("orders"));
    match sim.store.row(&key) {
        Some(event::Row::Leader(_, leader)) => leader.clone(),
        other => panic!("no leader is recorded: {other:?}"),
    }
}

/// Guards against commits that return with an instance of an abandoned branch while the
/// leader that replaced it is about to come back.
#[test]
fn an_instance_of_an_abandoned_branch_waits_for_the_recorded_leader() {
    let (mut sim, leader, _) = with_abandoned_branch();
    let before = recorded_leader(&sim);
    sim.write_for(CLAIM_TIME + 1500);
    sim.instances[leader].is_alive = true;
    sim.write_for(3500);
    let promoted: Vec<_> = sim.promotion_orders.iter().map(|(_, i)| *i).collect();
    assert!(!promoted.contains(&0), "{promoted:?}: {:?}", sim.decisions);
    assert_eq!(sim.leader(), Some(leader), "{:?}", sim.decisions);
    let last = sim.acknowledged.last().copied().expect("a write");
    assert!(sim.now.since(last) < ms(200), "{:?}", sim.decisions);
    // Positions of abandoned branches are held against the start, which belongs to the term.
    let start = recorded_leader(&sim).start;
    assert!(start.term > before.start.term || start == before.start);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a planned replacement by an instance whose log is longer only because of
/// commits that were rolled back.
#[test]
fn a_planned_replacement_leaves_an_abandoned_branch_alone() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    let leader = sim.leader().expect("an instance leads");
    let other = 3 - leader;
    sim.instances[0].is_alive = true;
    sim.instances[0].role = position::Role::Replica;
    sim.instances[0].replication_cut = true;
    sim.instances[0].received = sim.instances[leader].received + 500;
    sim.instances[leader].is_leaving = true;
    sim.promotion_orders.clear();
    sim.write_for(3000);
    let promoted: Vec<_> = sim.promotion_orders.iter().map(|(_, i)| *i).collect();
    assert_eq!(promoted, [other], "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a service that stays without a leader because only an instance of an
/// abandoned branch is left.
#[test]
fn an_instance_of_an_abandoned_branch_leads_if_no_other_is_left() {
    let (mut sim, _, _) = with_abandoned_branch();
    sim.write_for(CLAIM_TIME + 6000);
    assert_eq!(sim.leader(), Some(0), "{:?}", sim.decisions);
    assert!(
        sim.has_decision("db-0 is on an abandoned branch"),
        "{:?}",
        sim.decisions
    );
}

/// Guards against the higher position of an abandoned branch outranking a replica that
/// lacks only later commits.
#[test]
fn an_instance_of_an_abandoned_branch_ranks_below_one_that_is_behind() {
    let (mut sim, _, other) = with_abandoned_branch();
    let start = recorded_leader(&sim).start;
    sim.instances[other].is_alive = true;
    sim.instances[other].term = 1;
    sim.instances[other].received = start.lsn.0 - 1;
    sim.write_for(CLAIM_TIME + 2000);
    assert_eq!(sim.leader(), Some(other), "{:?}", sim.decisions);
}
