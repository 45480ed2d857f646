//! Replacement of the leader of a group whose commits wait for one replica, where the store
//! arbitrates. The simulation records a promotion of an instance that lacks acknowledged
//! commits.

#[allow(dead_code)]
mod store_arbiter;

use errors::Cause;
use store_arbiter::{Options, Simulation, ms};

/// Simulation in which instance 2 has received nothing for a second, so that instance 1
/// alone has the commits of the leader, instance 0.
fn with_replica_behind() -> Simulation {
    let mut sim = Simulation::new(&Options {
        is_synchronous: true,
        ..Options::default()
    });
    sim.write_for(500);
    sim.instances[2].replication_cut = true;
    sim.write_for(1000);
    assert!(sim.instances[1].received > sim.instances[2].received);
    sim
}

/// Cuts an instance off from everyone, or ends that.
fn set_dark(sim: &mut Simulation, instance: usize, is_dark: bool) {
    sim.instances[instance].is_unresponsive = is_dark;
    sim.instances[instance].replication_cut = is_dark;
}

/// Checks that writes are acknowledged within a time span in milliseconds, and that no
/// acknowledged commit was lost.
fn assert_served_within(sim: &mut Simulation, span: u64) {
    let before = sim.acknowledged.len();
    sim.write_for(span);
    assert!(sim.acknowledged.len() > before, "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new(), "{:?}", sim.decisions);
}

// Guards against the promotion of the only replica that answers, though it is behind; the
// leader leads again as soon as it answers.
#[test]
fn a_leader_that_answers_again_leads_while_no_other_candidate_is_proved() {
    for span in [900, 1200, 3000, 9000] {
        let mut sim = with_replica_behind();
        set_dark(&mut sim, 1, true);
        set_dark(&mut sim, 0, true);
        sim.write_for(span);
        assert_eq!(sim.promotion_orders, [], "{span}: {:?}", sim.decisions);
        set_dark(&mut sim, 0, false);
        sim.instances[2].replication_cut = false;
        assert_served_within(&mut sim, 2000);
        assert_eq!(sim.leader(), Some(0), "{span}: {:?}", sim.decisions);
        assert!(sim.promotion_orders.iter().all(|(_, i)| *i == 0));
    }
}

// Guards against the same when the leader comes back as a replica.
#[test]
fn a_leader_that_comes_back_as_a_replica_is_a_candidate() {
    let mut sim = with_replica_behind();
    set_dark(&mut sim, 1, true);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.instances[0].is_alive = true;
    sim.instances[0].role = kernel::position::Role::Replica;
    sim.instances[2].replication_cut = false;
    assert_served_within(&mut sim, 3000);
    assert_eq!(sim.leader(), Some(0), "{:?}", sim.decisions);
}

// Guards against a wait that ends before the replica with the commits answers.
#[test]
fn the_replica_with_the_commits_is_waited_for() {
    for span in [1000, 2500, 9000] {
        let mut sim = with_replica_behind();
        set_dark(&mut sim, 1, true);
        sim.instances[0].is_alive = false;
        sim.write_for(span);
        assert_eq!(sim.promotion_orders, [], "{span}: {:?}", sim.decisions);
        set_dark(&mut sim, 1, false);
        sim.instances[2].replication_cut = false;
        assert_served_within(&mut sim, 4000);
        assert_eq!(sim.leader(), Some(1), "{span}: {:?}", sim.decisions);
    }
}

#[test]
fn a_lost_leader_is_replaced_at_once_if_all_replicas_answer() {
    let mut sim = with_replica_behind();
    sim.instances[0].is_alive = false;
    sim.write_for(1500);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
    sim.instances[2].replication_cut = false;
    assert_served_within(&mut sim, 500);
}

// Guards against an order for the next candidate, which lacks commits, after the platform
// has rejected the order for the best one.
#[test]
fn a_rejected_order_is_not_followed_by_one_for_a_replica_behind() {
    let mut sim = with_replica_behind();
    sim.order_delays = (0..3).map(|vm| (vm, ms(100))).collect();
    sim.instances[0].is_alive = false;
    while !sim.has_decision("ordering promotion of db-1") {
        sim.write_for(50);
    }
    sim.instances[1].is_alive = false;
    sim.write_for(3000);
    assert!(sim.promotion_orders.iter().all(|(_, i)| *i == 1));
    sim.instances[1].is_alive = true;
    sim.instances[2].replication_cut = false;
    assert_served_within(&mut sim, 4000);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
}

// Guards against an instance that is forgotten with its registration, though it may have
// commits that the others lack.
#[test]
fn an_instance_that_is_gone_counts_until_the_others_have_what_it_had() {
    for catches_up in [false, true] {
        let mut sim = with_replica_behind();
        sim.instances[1].is_alive = false;
        sim.lapsed_entries.insert(1);
        if catches_up {
            sim.instances[2].replication_cut = false;
        }
        sim.write_for(8000);
        sim.instances[0].is_alive = false;
        sim.write_for(4000);
        let leader = if catches_up { 2 } else { 0 };
        sim.instances[0].is_alive = true;
        if catches_up {
            sim.instances[0].role = kernel::position::Role::Replica;
        }
        sim.instances[2].replication_cut = false;
        assert_served_within(&mut sim, 3000);
        assert_eq!(sim.leader(), Some(leader), "{:?}", sim.decisions);
    }
}

// Guards against a planned replacement that goes on without the commits, and against one
// that interrupts the leader over and over.
#[test]
fn a_leaving_leader_goes_on_until_a_replica_has_its_commits() {
    let mut sim = with_replica_behind();
    set_dark(&mut sim, 1, true);
    sim.instances[0].is_leaving = true;
    sim.write_for(6000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    set_dark(&mut sim, 1, false);
    sim.instances[2].replication_cut = false;
    assert_served_within(&mut sim, 5000);
    assert!(sim.leader() != Some(0), "{:?}", sim.decisions);
}

// Guards against callers that are held while it is not known when there will be a leader.
#[test]
fn writes_are_refused_at_once_while_no_candidate_is_proved() {
    let mut sim = with_replica_behind();
    set_dark(&mut sim, 1, true);
    sim.instances[0].is_alive = false;
    sim.write_for(3500);
    sim.refusals.clear();
    let sessions: Vec<_> = (0..3)
        .map(|vm| (vm, sim.open_session(vm, "latest")))
        .collect();
    for (vm, session) in sessions {
        sim.send_request(vm, session, true);
    }
    sim.run(ms(50));
    assert_eq!(sim.refusals, [Cause::Unavailable; 3], "{:?}", sim.decisions);
    assert!(sim.retry_hints.iter().all(|hint| *hint > 0));
}

// The operators give up commits that no instance may have any more.
#[test]
fn a_group_that_no_longer_waits_for_replicas_gets_a_leader() {
    let mut sim = with_replica_behind();
    sim.instances[0].is_alive = false;
    sim.instances[1].is_alive = false;
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.is_synchronous = false;
    sim.revision += 1;
    assert_served_within(&mut sim, 4000);
    assert_eq!(sim.leader(), Some(2), "{:?}", sim.decisions);
}

// Guards against a promotion by the answers of the replicas of a leader that was promoted, but
// not recorded.
#[test]
fn a_leader_without_a_record_is_waited_for() {
    let mut sim = with_replica_behind();
    sim.instances[2].replication_cut = false;
    sim.run(ms(50));
    // Instance 1 leads term 2; it and instance 2 have its commits.
    sim.instances[0].role = kernel::position::Role::Replica;
    sim.instances[1].role = kernel::position::Role::Primary;
    sim.instances[1].term = 2;
    sim.run(ms(50));
    sim.instances[0].replication_cut = true;
    sim.instances[0].term = 2;
    let before = sim.acknowledged.len();
    sim.write_for(300);
    assert!(sim.acknowledged.len() > before, "{:?}", sim.decisions);
    set_dark(&mut sim, 2, true);
    set_dark(&mut sim, 1, true);
    sim.write_for(4000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    set_dark(&mut sim, 1, false);
    sim.instances[0].replication_cut = false;
    assert_served_within(&mut sim, 5000);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
}

// Guards against an instance that counts as one that has answered, though it has lost its log.
#[test]
fn an_instance_that_has_lost_its_log_proves_nothing() {
    let mut sim = with_replica_behind();
    let readers: Vec<_> = (0..3)
        .map(|vm| (vm, sim.open_session(vm, "aged")))
        .collect();
    for _ in 0..50 {
        for (vm, session) in &readers {
            sim.send_request(*vm, *session, false);
        }
        sim.run(ms(10));
    }
    sim.instances[0].is_alive = false;
    sim.instances[1].replication_cut = true;
    sim.instances[1].received = 0;
    sim.instances[1].started += 1;
    sim.write_for(4000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.instances[0].is_alive = true;
    sim.instances[1].replication_cut = false;
    assert_served_within(&mut sim, 3000);
    assert_eq!(sim.leader(), Some(0), "{:?}", sim.decisions);
}

/// Ends the process of an instance.
fn crash(sim: &mut Simulation, instance: usize) {
    sim.instances[instance].is_alive = false;
}

/// Starts an instance again, with its log or with nothing, and registers it.
fn come_back(sim: &mut Simulation, instance: usize, has_log: bool) {
    let newest = sim.instances.iter().filter(|fake| fake.is_alive);
    let newest = newest.map(|fake| fake.term).max();
    let fake = &mut sim.instances[instance];
    fake.is_alive = true;
    fake.started += 1;
    fake.replication_paused = false;
    if !has_log {
        (fake.term, fake.received) = (0, 0);
    }
    if !has_log || newest > Some(fake.term) {
        fake.role = kernel::position::Role::Replica;
    }
    sim.lapsed_entries.remove(&instance);
}

/// Simulation whose replica set is stored, in which instance 2 has just fallen behind by a few
/// commits, which are at instances 0 and 1 and acknowledged.
fn with_far_replica() -> Simulation {
    let mut sim = Simulation::new(&Options {
        is_synchronous: true,
        ..Options::default()
    });
    sim.write_for(9000);
    // Each VM notes a position of the leader, and none that follows at once.
    write_once(&mut sim);
    sim.instances[2].replication_cut = true;
    let before = sim.acknowledged.len();
    write_once(&mut sim);
    assert!(sim.acknowledged.len() > before);
    assert!(sim.instances[1].received > sim.instances[2].received);
    sim
}

/// Sends a write through each VM, and waits until it is answered.
fn write_once(sim: &mut Simulation) {
    for vm in 0..sim.daemons.len() {
        let session = sim.open_session(vm, "latest");
        sim.send_request(vm, session, true);
    }
    sim.run(ms(20));
}

fn restart_all(sim: &mut Simulation) {
    (0..sim.daemons.len()).for_each(|vm| sim.restart(vm));
}

/// Time for which the entry of an instance that has crashed stays.
const ENTRY_TIME: u64 = 3600;
/// Time until writes are served after an instance with every commit has registered.
const RETURN_TIME: u64 = 1500;

// Guards against a wait for the old leader because of commits that it had when it answered
// another one, and that were not acknowledged.
#[test]
fn commits_that_nobody_acknowledged_are_not_waited_for() {
    let mut sim = Simulation::new(&Options {
        is_synchronous: true,
        ..Options::default()
    });
    sim.write_for(9000);
    sim.unreplicated = 3;
    write_once(&mut sim);
    crash(&mut sim, 0);
    sim.write_for(1000);
    sim.unreplicated = 0;
    assert_served_within(&mut sim, RETURN_TIME);
}

// Guards against the promotion of a replica that is behind by less than the positions lie apart
// that were noted of the leader, once the entries of the instances that crashed have expired.
#[test]
fn two_instances_that_crash_together_are_waited_for() {
    for span in [5000, 7000, 12_000] {
        let mut sim = with_far_replica();
        crash(&mut sim, 0);
        crash(&mut sim, 1);
        sim.write_for(ENTRY_TIME);
        sim.lapsed_entries.extend([0, 1]);
        sim.write_for(span);
        assert_eq!(sim.promotion_orders, [], "{span}: {:?}", sim.decisions);
        sim.instances[2].replication_cut = false;
        come_back(&mut sim, 1, true);
        assert_served_within(&mut sim, RETURN_TIME);
        assert_eq!(sim.leader(), Some(1), "{span}: {:?}", sim.decisions);
    }
}

// Guards against the list of registered instances as it is right after an outage of the store,
// in which an instance came back and received commits.
#[test]
fn an_instance_that_came_back_during_an_outage_is_waited_for() {
    for away_for in [3200, 15_000] {
        let mut sim = Simulation::new(&Options {
            is_synchronous: true,
            lease_ms: 4200,
            ..Options::default()
        });
        sim.write_for(9000);
        crash(&mut sim, 1);
        sim.write_for(ENTRY_TIME);
        sim.lapsed_entries.insert(1);
        sim.write_for(away_for);
        sim.cut_store.extend(0..3);
        sim.write_for(500);
        come_back(&mut sim, 1, true);
        sim.lapsed_entries.insert(1);
        sim.write_for(2000);
        sim.instances[2].replication_cut = true;
        sim.write_for(50);
        crash(&mut sim, 0);
        sim.write_for(1000);
        sim.cut_store.clear();
        sim.write_for(800);
        assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
        sim.instances[2].replication_cut = false;
        sim.lapsed_entries.remove(&1);
        assert_served_within(&mut sim, RETURN_TIME);
        assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
    }
}

// Guards against processes that start while instances are away, and know nothing of those:
// after the positions were stated, and at the moment of the crash.
#[test]
fn processes_that_start_anew_know_which_instances_may_have_commits() {
    for restarted_after in [0, 100, ENTRY_TIME] {
        let mut sim = with_far_replica();
        crash(&mut sim, 0);
        crash(&mut sim, 1);
        if restarted_after > 0 {
            sim.write_for(restarted_after);
        }
        restart_all(&mut sim);
        sim.write_for(ENTRY_TIME);
        sim.lapsed_entries.extend([0, 1]);
        restart_all(&mut sim);
        sim.write_for(8000);
        assert_eq!(
            sim.promotion_orders,
            [],
            "{restarted_after}: {:?}",
            sim.decisions
        );
        sim.instances[2].replication_cut = false;
        come_back(&mut sim, 1, true);
        assert_served_within(&mut sim, RETURN_TIME);
        assert_eq!(
            sim.leader(),
            Some(1),
            "{restarted_after}: {:?}",
            sim.decisions
        );
    }
}

// Guards against an instance whose answer counts though it has started again with nothing.
#[test]
fn an_instance_that_is_born_anew_proves_nothing() {
    for has_new_processes in [false, true] {
        let mut sim = with_far_replica();
        crash(&mut sim, 0);
        crash(&mut sim, 1);
        if has_new_processes {
            restart_all(&mut sim);
        }
        sim.write_for(1000);
        come_back(&mut sim, 1, false);
        // The store still has the entry of its former process for a while.
        sim.instances[1].started -= 1;
        sim.write_for(2000);
        sim.instances[1].started += 1;
        sim.write_for(6000);
        assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
        sim.instances[2].replication_cut = false;
        come_back(&mut sim, 0, true);
        assert_served_within(&mut sim, RETURN_TIME);
        assert_eq!(sim.leader(), Some(0), "{:?}", sim.decisions);
    }
}

// Guards against a wait for an instance that is lost for good, though what it had is elsewhere.
#[test]
fn an_instance_that_is_lost_for_good_is_not_waited_for() {
    for has_new_processes in [false, true] {
        let mut sim = Simulation::new(&Options {
            is_synchronous: true,
            ..Options::default()
        });
        sim.write_for(9000);
        crash(&mut sim, 1);
        sim.write_for(ENTRY_TIME);
        sim.lapsed_entries.insert(1);
        sim.write_for(15_000);
        crash(&mut sim, 0);
        if has_new_processes {
            restart_all(&mut sim);
            // The new processes register, and notice the loss of the leader.
            sim.write_for(2000);
            sim.write_for(2000);
        }
        sim.write_for(2000);
        assert_eq!(sim.leader(), Some(2), "{:?}", sim.decisions);
        // A commit needs a replica.
        come_back(&mut sim, 0, true);
        assert_served_within(&mut sim, RETURN_TIME);
    }
}

// Guards against a set of the leader alone, to which a replica then comes back that lacks
// commits of the leader and of the instance that has left.
#[test]
fn the_last_replica_that_has_the_commits_of_the_leader_stays_in_the_set() {
    let mut sim = Simulation::new(&Options {
        is_synchronous: true,
        ..Options::default()
    });
    sim.write_for(9000);
    sim.instances[2].replication_cut = true;
    sim.write_for(1000);
    crash(&mut sim, 1);
    crash(&mut sim, 2);
    sim.write_for(ENTRY_TIME);
    sim.lapsed_entries.extend([1, 2]);
    sim.write_for(12_000);
    come_back(&mut sim, 2, true);
    sim.write_for(12_000);
    crash(&mut sim, 0);
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.instances[2].replication_cut = false;
    come_back(&mut sim, 1, true);
    assert_served_within(&mut sim, RETURN_TIME);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
}

// Guards against a set of an older copy of the store, which lacks an instance that has joined.
#[test]
fn a_set_from_an_older_copy_proves_nothing() {
    let mut sim = Simulation::new(&Options {
        is_synchronous: true,
        ..Options::default()
    });
    sim.lapsed_entries.insert(1);
    sim.write_for(12_000);
    let copy = sim.store.copy();
    sim.lapsed_entries.remove(&1);
    sim.write_for(1000);
    sim.instances[2].replication_cut = true;
    sim.write_for(50);
    crash(&mut sim, 0);
    crash(&mut sim, 1);
    sim.lapsed_entries.extend([0, 1]);
    sim.store.restore(copy);
    restart_all(&mut sim);
    sim.write_for(8000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.instances[2].replication_cut = false;
    come_back(&mut sim, 0, true);
    assert_served_within(&mut sim, 6000);
    assert_eq!(sim.leader(), Some(0), "{:?}", sim.decisions);
}
