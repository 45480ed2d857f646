//! Evacuation of failure domains, where the store arbitrates. Instance `db-N` stands in
//! `domain-N`, and instance 0 leads at first.

#[allow(dead_code)]
mod store_arbiter;

use errors::Cause;
use kernel::{evacuation, position, time};
use store_arbiter::{Options, Simulation, ms, name};

/// Time that the users allow for an evacuation, in ms.
const BOUND_MS: u64 = 5_000;

fn evacuate(sim: &mut Simulation, instance: usize) {
    sim.evacuated.insert(name(&format!("domain-{instance}")));
}

fn take_back(sim: &mut Simulation, instance: usize) {
    sim.evacuated.remove(&name(&format!("domain-{instance}")));
}

/// Sends reads of an age and writes through each VM for a time span in milliseconds.
fn load(sim: &mut Simulation, span: u64) {
    let vms = 0..sim.daemons.len();
    let sessions: Vec<_> = vms
        .map(|vm| {
            (
                vm,
                sim.open_session(vm, "aged"),
                sim.open_session(vm, "latest"),
            )
        })
        .collect();
    for _ in 0..span / 50 {
        for (vm, reads, writes) in &sessions {
            sim.send_request(*vm, *reads, false);
            sim.send_request(*vm, *writes, true);
        }
        sim.run(ms(50));
    }
}

/// Numbers of the requests that each instance got during a load.
fn grants_under_load(sim: &mut Simulation, span: u64) -> [usize; 3] {
    sim.grants.clear();
    load(sim, span);
    [0, 1, 2].map(|i| {
        sim.grants
            .iter()
            .filter(|(instance, _)| *instance == i)
            .count()
    })
}

fn count_evacuated(sim: &Simulation) -> usize {
    let evacuated = |cause: &&Cause| **cause == Cause::Evacuated;
    sim.refusals.iter().filter(evacuated).count()
}

fn assert_no_commit_lost(sim: &Simulation) {
    let acknowledged = u64::try_from(sim.acknowledged.len()).expect("the count fits");
    let leader = sim.leader().expect("an instance leads");
    assert!(sim.instances[leader].received >= 10 + acknowledged);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn periods_are_parts_of_the_time_limit() {
    let mut state = evacuation::State::default();
    let (at, limit) = (time::Time::from_ms, ms(3_000));
    assert_eq!(state.update(&[].into(), limit, at(1_000)), []);
    let domain = name("domain-1");
    let evacuated = [domain.clone()].into();
    let began = [evacuation::Change::Began(domain.clone())];
    assert_eq!(state.update(&evacuated, limit, at(2_000)), began);
    assert_eq!(state.update(&evacuated, limit, at(2_500)), []);
    let limits = state.limits(&domain).expect("the domain is evacuated");
    assert_eq!(limits.since, at(2_000));
    assert_eq!(limits.closed_at, at(3_500));
    assert_eq!(limits.ends_at, at(5_000));
    assert_eq!(limits.broken_at, at(6_000));
    assert_eq!(state.take_due(at(4_999)), []);
    assert_eq!(
        state.take_due(at(5_000)),
        [evacuation::Due::End(domain.clone())]
    );
    assert_eq!(
        state.take_due(at(6_000)),
        [evacuation::Due::Break(domain.clone())]
    );
    assert_eq!(state.take_due(at(7_000)), []);
    let ended = [evacuation::Change::Ended(domain.clone(), ms(6_000))];
    assert_eq!(state.update(&[].into(), limit, at(8_000)), ended);
    assert_eq!(state.limits(&domain), None);
    assert_eq!(state.returned_at(&domain), Some(at(8_000)));
    state.update(&evacuated, limit, at(9_000));
    assert_eq!(state.returned_at(&domain), None);
}

#[test]
fn reads_leave_an_evacuated_replica_and_return() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    evacuate(&mut sim, 1);
    sim.run(ms(500));
    let grants = grants_under_load(&mut sim, BOUND_MS);
    assert!(grants[1] == 0 && grants[2] > 0, "{grants:?}");
    assert_eq!(sim.refusals, []);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    assert!((0..3).all(|vm| sim.idle_closings.contains(&(vm, 1))));
    take_back(&mut sim, 1);
    evacuate(&mut sim, 2);
    sim.run(ms(500));
    let grants = grants_under_load(&mut sim, 1_000);
    assert!(grants[1] > 0 && grants[2] == 0, "{grants:?}");
    for daemon in &sim.daemons {
        assert!(
            daemon
                .evacuations()
                .returned_at(&name("domain-1"))
                .is_some()
        );
    }
    assert!(sim.has_decision("failure domain domain-1 evacuated"));
    assert!(sim.has_decision("failure domain domain-1 taken back"));
}

#[test]
fn a_leader_in_an_evacuated_failure_domain_is_replaced_without_losing_a_commit() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    evacuate(&mut sim, 0);
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert_ne!(sim.leader(), Some(0));
    assert_eq!(sim.refusals, [], "{:?}", sim.decisions);
    let before = sim.acknowledged.len();
    let grants = grants_under_load(&mut sim, 3_000);
    assert_eq!(grants[0], 0, "{grants:?}");
    assert!(sim.acknowledged.len() > before + 100);
    assert_no_commit_lost(&sim);
}

#[test]
fn failure_domains_evacuated_after_each_other_leave_the_leader_in_the_third() {
    for pause in [0, 300, 1_500, 6_000] {
        let mut sim = Simulation::new(&Options::default());
        load(&mut sim, 500);
        evacuate(&mut sim, 0);
        load(&mut sim, pause);
        let second = sim.leader().filter(|leader| *leader != 0).unwrap_or(1);
        evacuate(&mut sim, second);
        load(&mut sim, BOUND_MS);
        assert_eq!(sim.leader(), Some(3 - second), "{:?}", sim.decisions);
        let grants = grants_under_load(&mut sim, 1_000);
        assert_eq!(grants[0] + grants[second], 0, "{grants:?}");
        assert!(grants[3 - second] > 0);
        assert_no_commit_lost(&sim);
    }
}

#[test]
fn requests_are_refused_while_all_instances_are_evacuated() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    for instance in 0..3 {
        evacuate(&mut sim, instance);
    }
    load(&mut sim, BOUND_MS);
    sim.refusals.clear();
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants, [0, 0, 0]);
    // Each request was refused at once.
    assert_eq!(count_evacuated(&sim), 2 * 3 * 20);
    assert_eq!(sim.refusals.len(), 2 * 3 * 20);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    take_back(&mut sim, 0);
    sim.run(ms(500));
    sim.refusals.clear();
    let before = sim.acknowledged.len();
    load(&mut sim, 1_000);
    assert_eq!(sim.refusals, []);
    assert!(sim.acknowledged.len() > before);
    assert_no_commit_lost(&sim);
}

#[test]
fn an_evacuated_leader_with_the_only_commits_stays_and_gets_nothing() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    load(&mut sim, 500);
    evacuate(&mut sim, 0);
    load(&mut sim, BOUND_MS);
    sim.refusals.clear();
    let before = sim.acknowledged.len();
    let grants = grants_under_load(&mut sim, 10_000);
    assert_eq!(grants[0], 0, "{grants:?}");
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    assert!(sim.has_decision("stays: no instance that may lead has every commit"));
    assert_eq!(sim.acknowledged.len(), before);
    // Each write was refused at once.
    assert!(count_evacuated(&sim) >= 3 * 200);
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = false;
    }
    load(&mut sim, BOUND_MS);
    assert_ne!(sim.leader(), Some(0), "{:?}", sim.decisions);
    assert!(sim.acknowledged.len() > before);
    assert_no_commit_lost(&sim);
}

// The first VM to claim can't ask the leader for its position.
#[test]
fn a_vm_that_is_cut_off_from_the_leader_does_not_move_it() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    sim.cut_instances.insert((0, 0));
    load(&mut sim, 2_000);
    evacuate(&mut sim, 0);
    load(&mut sim, 10_000);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.cut_instances.clear();
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = false;
    }
    load(&mut sim, BOUND_MS);
    assert_ne!(sim.leader(), Some(0), "{:?}", sim.decisions);
    assert_no_commit_lost(&sim);
}

#[test]
fn instances_that_are_taken_back_are_cold() {
    let limit = config::Warmup {
        period_ms: 3_000,
        rate: 20,
    };
    let mut sim = Simulation::new(&Options {
        warmup: Some(limit),
        ..Options::default()
    });
    // The instances are cold at their start too.
    load(&mut sim, 5_000);
    let warm = grants_under_load(&mut sim, 1_000);
    evacuate(&mut sim, 1);
    evacuate(&mut sim, 2);
    load(&mut sim, BOUND_MS);
    take_back(&mut sim, 1);
    take_back(&mut sim, 2);
    sim.arrivals.clear();
    load(&mut sim, 3_000);
    for replica in [1, 2] {
        let own = sim.arrivals.iter().filter(|(_, i)| *i == replica);
        let times: Vec<_> = own.map(|(at, _)| *at).collect();
        let in_second = |start: &time::Time| {
            let later = times.iter().filter(|at| *at >= start);
            later.filter(|at| at.since(*start) < ms(1_000)).count()
        };
        let peak = times.iter().map(in_second).max().unwrap_or_default();
        assert!(peak <= 20, "replica {replica}: {peak}");
    }
    load(&mut sim, 2_000);
    let returned = grants_under_load(&mut sim, 1_000);
    let reads = |grants: [usize; 3]| grants[1] + grants[2];
    assert!(reads(returned) > 20, "{warm:?} {returned:?}");
}

#[test]
fn a_lost_leader_is_replaced_by_the_evacuated_replica_with_every_commit() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    evacuate(&mut sim, 2);
    sim.instances[1].replication_cut = true;
    load(&mut sim, 500);
    sim.instances[0].is_alive = false;
    load(&mut sim, BOUND_MS);
    let orders: Vec<_> = sim.promotion_orders.iter().map(|order| order.1).collect();
    assert_eq!(orders.first(), Some(&2), "{:?}", sim.decisions);
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants[2], 0, "{grants:?}");
    sim.instances[1].replication_cut = false;
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
    assert_no_commit_lost(&sim);
}

#[test]
fn a_leader_is_not_moved_to_an_evacuated_replica() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    sim.instances[1].replication_cut = true;
    load(&mut sim, 500);
    evacuate(&mut sim, 0);
    evacuate(&mut sim, 2);
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    sim.instances[1].replication_cut = false;
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.leader(), Some(1), "{:?}", sim.decisions);
    assert_no_commit_lost(&sim);
}

// One of the VMs holds the claim.
#[test]
fn a_vm_that_dies_at_any_time_does_not_hold_up_the_replacement() {
    for moment in (0..1_500).step_by(100) {
        for vm in 0..3 {
            let mut sim = Simulation::new(&Options::default());
            load(&mut sim, 500);
            evacuate(&mut sim, 0);
            sim.run(ms(moment));
            sim.dead.insert(vm);
            sim.run(ms(10_000));
            sim.restart(vm);
            sim.run(ms(3_000));
            let grants = grants_under_load(&mut sim, 1_000);
            assert!(
                sim.leader() != Some(0) && grants[0] == 0,
                "{:?}",
                sim.decisions
            );
            assert_no_commit_lost(&sim);
        }
    }
}

#[test]
fn a_lost_leader_is_replaced_outside_of_evacuated_failure_domains() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    evacuate(&mut sim, 1);
    load(&mut sim, 500);
    sim.instances[0].is_alive = false;
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.leader(), Some(2), "{:?}", sim.decisions);
    assert_eq!(sim.promotion_orders.len(), 1);
    assert_no_commit_lost(&sim);
}

#[test]
fn a_leader_gets_nothing_while_the_store_is_down_and_is_replaced_afterwards() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    evacuate(&mut sim, 0);
    sim.run(ms(50));
    sim.cut_store = (0..3).collect();
    load(&mut sim, BOUND_MS);
    assert_eq!(sim.promotion_orders, [], "{:?}", sim.decisions);
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants[0], 0, "{grants:?}");
    sim.cut_store.clear();
    load(&mut sim, BOUND_MS);
    assert_ne!(sim.leader(), Some(0), "{:?}", sim.decisions);
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants[0], 0, "{grants:?}");
    assert_no_commit_lost(&sim);
}

#[test]
fn a_vm_without_the_store_does_not_hold_up_the_replacement() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    sim.cut_store.insert(2);
    sim.cut_peers.insert(2);
    evacuate(&mut sim, 0);
    load(&mut sim, BOUND_MS);
    assert_ne!(sim.leader(), Some(0), "{:?}", sim.decisions);
    // The VM does not know of the evacuation, and uses no leader either.
    assert!(sim.daemons[2].evacuations().is_empty());
    sim.grants.clear();
    let session = sim.open_session(2, "latest");
    sim.send_request(2, session, true);
    sim.run(ms(1_000));
    assert_eq!(sim.grants, []);
    sim.cut_store.clear();
    sim.cut_peers.clear();
    load(&mut sim, 2_000);
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants[0], 0, "{grants:?}");
    assert_no_commit_lost(&sim);
}

#[test]
fn a_vm_that_starts_into_an_evacuation_sends_nothing_there() {
    let mut sim = Simulation::new(&Options::default());
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    load(&mut sim, 500);
    evacuate(&mut sim, 0);
    load(&mut sim, BOUND_MS);
    sim.grants.clear();
    sim.restart(1);
    load(&mut sim, 6_000);
    assert!(sim.daemons[1].is_ready());
    assert!(sim.grants.iter().all(|(instance, _)| *instance != 0));
    assert_no_commit_lost(&sim);
}

#[test]
fn open_transactions_end_within_their_time() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    sim.statement_time = ms(60_000);
    let session = sim.open_session(0, "aged");
    for _ in 0..8 {
        sim.send_request(0, session, false);
    }
    sim.run(ms(100));
    let held: Vec<_> = sim
        .grants
        .iter()
        .rev()
        .take(8)
        .map(|grant| grant.0)
        .collect();
    let replica = *held
        .iter()
        .find(|instance| **instance != 0)
        .expect("a read on a replica");
    let open = held.iter().filter(|instance| **instance == replica).count();
    let instance = name(&format!("db-{replica}"));
    evacuate(&mut sim, replica);
    sim.run(ms(2_900));
    assert!(sim.daemons[0].may_continue(&instance, sim.local_time(0)));
    sim.run(ms(400));
    assert!(!sim.daemons[0].may_continue(&instance, sim.local_time(0)));
    assert_eq!(sim.breaks, []);
    let counts = sim.daemons[0].evacuations().counts();
    assert_eq!(counts.ended, u64::try_from(open).expect("the count fits"));
    sim.run(ms(1_000));
    assert!((0..3).all(|vm| sim.breaks.contains(&(vm, replica))));
}

#[test]
fn evacuations_outlast_a_store_that_comes_back_from_an_older_copy() {
    let mut sim = Simulation::new(&Options::default());
    evacuate(&mut sim, 2);
    load(&mut sim, 500);
    let copy = sim.store.copy();
    take_back(&mut sim, 2);
    evacuate(&mut sim, 1);
    load(&mut sim, 500);
    let known = |sim: &Simulation, domain: &str| {
        let all = sim.daemons.iter();
        all.map(|daemon| daemon.evacuations().limits(&name(domain)).is_some())
            .collect::<Vec<_>>()
    };
    assert_eq!(known(&sim, "domain-1"), [true; 3]);
    assert_eq!(known(&sim, "domain-2"), [false; 3]);
    sim.is_operator_away = true;
    sim.store.restore(copy);
    load(&mut sim, 3_000);
    assert_eq!(known(&sim, "domain-1"), [true; 3], "lost with the copy");
    assert_eq!(
        known(&sim, "domain-2"),
        [false; 3],
        "returned with the copy"
    );
    // The operators write again what the store has lost, and go on.
    sim.is_operator_away = false;
    load(&mut sim, 500);
    take_back(&mut sim, 1);
    evacuate(&mut sim, 0);
    load(&mut sim, BOUND_MS);
    assert_eq!(known(&sim, "domain-1"), [false; 3]);
    assert_eq!(known(&sim, "domain-2"), [false; 3]);
    assert_eq!(known(&sim, "domain-0"), [true; 3]);
    assert_ne!(sim.leader(), Some(0), "{:?}", sim.decisions);
    assert_no_commit_lost(&sim);
}

#[test]
fn an_evacuation_written_right_after_a_restore_takes_effect() {
    let mut sim = Simulation::new(&Options::default());
    load(&mut sim, 500);
    let copy = sim.store.copy();
    load(&mut sim, 500);
    sim.store.restore(copy);
    evacuate(&mut sim, 1);
    load(&mut sim, 1_000);
    let grants = grants_under_load(&mut sim, 1_000);
    assert_eq!(grants[1], 0, "{grants:?}");
    // A leader that a replica replaces keeps its role for other rules.
    assert_eq!(sim.instances[0].role, position::Role::Primary);
}

#[test]
fn a_region_reader_passes_evacuations_on() {
    let mut sim = Simulation::new(&Options {
        vms: 24,
        lease_ms: 4200,
        ..Options::default()
    });
    sim.run(ms(3_000));
    sim.store_readers.clear();
    evacuate(&mut sim, 1);
    sim.run(ms(1_500));
    assert_eq!(sim.store_readers.len(), 1, "{:?}", sim.store_readers);
    let domain = name("domain-1");
    let evacuated = |sim: &Simulation| {
        let known = sim.daemons.iter();
        known
            .filter(|daemon| daemon.evacuations().limits(&domain).is_some())
            .count()
    };
    assert_eq!(evacuated(&sim), 24);
    take_back(&mut sim, 1);
    sim.run(ms(1_500));
    assert_eq!(evacuated(&sim), 0);
}
