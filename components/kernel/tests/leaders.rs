//! Replacement of leaders under faults, where the store arbitrates.

#[allow(dead_code)]
mod store_arbiter;

use store_arbiter::{Options, Simulation, ms};

/// Sends rounds of one read per session through VM 0, one round every 10 ms.
fn read_rounds(sim: &mut Simulation, sessions: &[kernel::event::SessionId], rounds: usize) {
    for _ in 0..rounds {
        for session in sessions {
            sim.send_request(0, *session, false);
        }
        sim.run(ms(10));
    }
}

#[test]
fn a_lost_leader_is_replaced_once() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    assert!(sim.leader().is_some_and(|leader| leader != 0));
    let last = sim
        .acknowledged
        .last()
        .copied()
        .expect("writes have been acknowledged");
    assert!(
        sim.now.since(last) < ms(200),
        "writes do not go on: {:?}",
        sim.decisions
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_leader_that_leaves_is_replaced_without_losing_a_commit() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_leaving = true;
    sim.write_for(3000);
    assert!(sim.leader().is_some_and(|leader| leader != 0));
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
    // The new leader has received every commit of the old one.
    let acknowledged = sim.acknowledged.len() as u64;
    let leader = sim.leader().expect("an instance leads");
    assert!(sim.instances[leader].received >= 10 + acknowledged);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn every_replacement_has_its_own_fencing_token() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    let first = sim.leader().expect("an instance leads");
    // The VM that sent the order dies, so another VM sends the next one.
    let holder = sim
        .last_order_sender()
        .expect("a VM has ordered a promotion");
    sim.dead.insert(holder);
    sim.instances[0].is_alive = true;
    sim.instances[0].role = kernel::position::Role::Replica;
    sim.run(ms(500));
    sim.restart(holder);
    sim.paused.insert(holder);
    sim.instances[first].is_alive = false;
    sim.write_for(12_000);
    assert_eq!(sim.promotion_orders.len(), 2, "{:?}", sim.decisions);
    assert_ne!(sim.last_order_sender(), Some(holder));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_planned_replacement_waits_for_a_replica() {
    let mut sim = Simulation::new(&Options::default());
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    sim.write_for(500);
    sim.instances[0].is_leaving = true;
    sim.write_for(600);
    assert_eq!(
        sim.promotion_orders,
        Vec::new(),
        "a leader was replaced although no replica has the last commits"
    );
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = false;
    }
    sim.write_for(3000);
    let leader = sim.leader().expect("an instance leads");
    assert_ne!(leader, 0, "{:?}", sim.decisions);
    let acknowledged = u64::try_from(sim.acknowledged.len()).expect("the count fits");
    assert!(sim.instances[leader].received >= 10 + acknowledged);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_leader_that_refuses_connections_as_full_is_not_replaced() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_full = true;
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders, Vec::new(), "{:?}", sim.decisions);
    sim.instances[0].is_full = false;
    let before = sim.acknowledged.len();
    sim.write_for(1000);
    assert!(sim.acknowledged.len() > before);
}

/// Lets entries of instances lapse for 2.5 s while the instances still answer, and
/// checks that requests are served without refusals or long waits.
fn lapse_entries(sim: &mut Simulation, instances: &[usize]) {
    sim.longest_wait = ms(0);
    sim.lapsed_entries.extend(instances);
    sim.write_for(2500);
    sim.lapsed_entries.clear();
    sim.write_for(2000);
    assert_eq!(sim.refusals, [], "{:?}", sim.decisions);
    assert!(sim.longest_wait <= ms(100), "{:?}", sim.longest_wait);
}

#[test]
fn a_leader_that_answers_is_not_replaced_when_its_entry_lapses() {
    for lapsed_entries in [&[0][..], &[0, 1, 2]] {
        let mut sim = Simulation::new(&Options::default());
        sim.write_for(500);
        lapse_entries(&mut sim, lapsed_entries);
        assert_eq!(sim.promotion_orders, Vec::new(), "{:?}", sim.decisions);
        // Three VMs each write every 50 ms, and every write is acknowledged.
        assert_eq!(sim.acknowledged.len(), 3 * 5000 / 50);
    }
}

#[test]
fn an_appointed_leader_that_answers_is_not_replaced_when_its_entry_lapses() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    let leader = sim.leader().expect("an instance leads");
    sim.refusals.clear();
    lapse_entries(&mut sim, &[leader]);
    assert_eq!(sim.promotion_orders.len(), 1, "{:?}", sim.decisions);
}

#[test]
fn an_instance_that_stays_lapsed_or_was_leaving_gets_no_requests() {
    for leaving in [false, true] {
        let mut sim = Simulation::new(&Options::default());
        // Long enough for another instance to become the leader.
        sim.instances[0].is_leaving = leaving;
        sim.write_for(3000);
        sim.lapsed_entries.insert(0);
        sim.run(ms(if leaving { 100 } else { 3500 }));
        sim.grants.clear();
        sim.write_for(500);
        let used = sim.grants.iter().any(|(instance, _)| *instance == 0);
        assert!(!used, "leaving: {leaving}");
    }
}

#[test]
fn one_vm_that_cannot_reach_the_leader_does_not_replace_it() {
    let mut sim = Simulation::new(&Options::default());
    sim.cut_instances.insert((1, 0));
    sim.write_for(3000);
    assert_eq!(sim.promotion_orders, Vec::new(), "{:?}", sim.decisions);
}

#[test]
fn a_lost_leader_is_replaced_though_only_one_vm_has_traffic() {
    for vms in [2, 3, 7, 24] {
        let mut sim = Simulation::new(&Options {
            vms,
            ..Options::default()
        });
        let session = sim.open_session(0, "latest");
        sim.send_request(0, session, true);
        sim.run(ms(500));
        sim.instances[0].is_alive = false;
        for _ in 0..50 {
            sim.send_request(0, session, true);
            sim.run(ms(50));
        }
        let leader = sim.leader();
        assert!(leader.is_some_and(|l| l != 0), "{vms}: {:?}", sim.decisions);
    }
}

/// Cuts VM 0 off from its peers and the store, but not from the old leader, which
/// the other VMs can no longer reach and replace.
fn replace_leader_of_cut_off_vm(lease_ms: u64, first_lease_ms: Option<u64>) -> Simulation {
    let mut sim = Simulation::new(&Options {
        lease_ms,
        first_lease_ms,
        ..Options::default()
    });
    sim.write_for(500);
    sim.cut_store.insert(0);
    sim.cut_peers.insert(0);
    for vm in [1, 2] {
        sim.cut_instances.insert((vm, 0));
    }
    sim.write_for(5000);
    assert!(
        !sim.promotion_orders.is_empty(),
        "the leader was not replaced: {:?}",
        sim.decisions
    );
    sim
}

#[test]
fn replacement_waits_for_the_lease_of_a_silent_vm() {
    // The lease of 3 s lasts longer than suspicion, the pause of the replicas and
    // the promotion together.
    for lease_ms in [1000, 3000] {
        let sim = replace_leader_of_cut_off_vm(lease_ms, None);
        assert_eq!(sim.violations, Vec::<String>::new(), "{lease_ms}");
    }
}

#[test]
fn simulation_detects_a_silent_vm_with_an_overlong_lease() {
    let sim = replace_leader_of_cut_off_vm(1000, Some(100_000));
    assert!(
        !sim.violations.is_empty(),
        "the simulation did not report the violation"
    );
}

#[test]
fn a_claim_of_a_killed_vm_is_taken_over() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    // Kills the VM that holds the claim as soon as the claim is in the store.
    let holder = (0..400).find_map(|_| {
        sim.run(ms(5));
        sim.write_for(50);
        let claimed = sim
            .decisions
            .iter()
            .find(|(_, _, line)| line.contains("claimed with"));
        claimed.map(|(_, vm, _)| *vm)
    });
    let holder = holder.expect("a VM claims the leader");
    sim.dead.insert(holder);
    sim.run(ms(500));
    sim.restart(holder);
    sim.write_for(4000);
    assert!(
        sim.leader().is_some_and(|leader| leader != 0),
        "{:?}",
        sim.decisions
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_paused_claim_holder_orders_nothing_after_it_resumes() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    let holder = (0..400).find_map(|_| {
        sim.write_for(50);
        let claimed = sim
            .decisions
            .iter()
            .find(|(_, _, line)| line.contains("claimed with"));
        claimed.map(|(_, vm, _)| *vm)
    });
    let holder = holder.expect("a VM claims the leader");
    let before = sim.promotion_orders.len();
    sim.paused.insert(holder);
    sim.run(ms(12_000));
    assert!(sim.promotion_orders.len() > before || sim.leader().is_some_and(|l| l != 0));
    let orders = sim.promotion_orders.len();
    sim.paused.remove(&holder);
    sim.write_for(2000);
    assert_eq!(sim.promotion_orders.len(), orders, "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn an_order_whose_answer_is_lost_is_repeated_with_the_same_token() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    sim.lose_orders = 1;
    sim.write_for(4000);
    assert!(
        sim.leader().is_some_and(|leader| leader != 0),
        "{:?}",
        sim.decisions
    );
    let tokens: std::collections::BTreeSet<_> = sim
        .promotion_orders
        .iter()
        .map(|(token, _)| *token)
        .collect();
    assert_eq!(tokens.len(), 1);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn reads_avoid_an_instance_that_refuses_connections() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[1].is_alive = false;
    sim.grants.clear();
    let sessions: Vec<_> = (0..8).map(|_| sim.open_session(0, "aged")).collect();
    read_rounds(&mut sim, &sessions, 200);
    let dead = sim
        .grants
        .iter()
        .filter(|(instance, _)| *instance == 1)
        .count();
    assert!(
        dead <= 40,
        "{dead} of {} grants went to the dead instance",
        sim.grants.len()
    );
    assert_eq!(sim.refusals, Vec::new());
}

#[test]
fn reads_avoid_an_instance_that_does_not_answer_connections() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[1].is_unresponsive = true;
    let sessions: Vec<_> = (0..8).map(|_| sim.open_session(0, "aged")).collect();
    sim.grants.clear();
    read_rounds(&mut sim, &sessions, 400);
    let silent = sim.grants.iter().filter(|(i, _)| *i == 1).count();
    // Only reads sent before the first connection attempt is given up go to the
    // instance, at most 16 at a time.
    assert!(silent <= 16, "{silent} of {}", sim.grants.len());
    sim.instances[1].is_unresponsive = false;
    sim.grants.clear();
    read_rounds(&mut sim, &sessions, 100);
    assert!(
        sim.grants.iter().any(|(i, _)| *i == 1),
        "the instance is not used again"
    );
}

#[test]
fn reads_from_a_stalled_replica_respect_the_maximum_age() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[1].replication_cut = true;
    let reader = sim.open_session(2, "aged");
    let writer = sim.open_session(0, "latest");
    for _ in 0..100 {
        sim.send_request(0, writer, true);
        for _ in 0..4 {
            sim.send_request(2, reader, false);
        }
        sim.run(ms(50));
    }
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.refusals, Vec::new());
}

#[test]
fn a_vm_that_is_not_in_its_own_view_uses_no_leader() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    // VM 2 goes on reading the store, but cannot register again.
    sim.failing_writers.insert(2);
    sim.remove_member(2);
    sim.run(ms(50));
    sim.grants.clear();
    let session = sim.open_session(2, "latest");
    sim.send_request(2, session, true);
    sim.run(ms(1000));
    assert_eq!(sim.grants, Vec::new());
    sim.failing_writers.remove(&2);
    sim.run(ms(3000));
    sim.send_request(2, session, true);
    sim.run(ms(100));
    assert!(!sim.grants.is_empty(), "{:?}", sim.decisions);
}

#[test]
fn a_restarted_instance_is_used_at_once() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[1].is_alive = false;
    let sessions: Vec<_> = (0..8).map(|_| sim.open_session(0, "aged")).collect();
    read_rounds(&mut sim, &sessions, 300);
    sim.instances[1].is_alive = true;
    sim.instances[1].started = 2;
    sim.run(ms(20));
    sim.grants.clear();
    for session in &sessions {
        sim.send_request(0, *session, false);
    }
    sim.run(ms(5));
    assert!(
        sim.grants.iter().any(|(i, _)| *i == 1),
        "the instance is not used again"
    );
}

#[test]
fn replicas_serve_reads_with_a_maximum_age_without_a_leader() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.instances[0].is_alive = false;
    let session = sim.open_session(1, "aged");
    for _ in 0..40 {
        sim.send_request(1, session, false);
        sim.run(ms(10));
    }
    assert_eq!(sim.refusals, Vec::new(), "{:?}", sim.decisions);
}

#[test]
fn a_vm_behind_a_relay_without_the_store_stays_listed() {
    let mut sim = Simulation::new(&Options {
        vms: 4,
        regions: vec!["home", "home", "far", "far"],
        ..Options::default()
    });
    // The relay of the far region does not see the new revision.
    sim.cut_store.insert(2);
    sim.revision += 1;
    sim.run(ms(8000));
    let evicted = sim
        .decisions
        .iter()
        .any(|(_, _, line)| line.contains("vm-3 removed"));
    assert!(!evicted, "{:?}", sim.decisions);
}

#[test]
fn a_vm_that_was_removed_registers_again() {
    let mut sim = Simulation::new(&Options::default());
    sim.cut_peers.insert(2);
    sim.cut_store.insert(2);
    sim.run(ms(9000));
    assert!(sim.has_decision("vm-2 removed from the store"));
    sim.cut_peers.remove(&2);
    sim.cut_store.remove(&2);
    sim.run(ms(4000));
    assert!(sim.daemons[2].is_ready(), "{:?}", sim.decisions);
}

#[test]
fn a_vm_cut_off_from_its_peers_alone_stays_ready() {
    let mut sim = Simulation::new(&Options::default());
    sim.cut_peers.insert(2);
    for _ in 0..400 {
        sim.run(ms(50));
        assert!(sim.daemons[2].is_fresh(), "{:?}", sim.decisions);
    }
    assert!(
        !sim.has_decision("removed from the store"),
        "{:?}",
        sim.decisions
    );
}

#[test]
fn a_vm_cut_off_from_its_peers_replaces_no_leader() {
    let mut sim = Simulation::new(&Options::default());
    sim.cut_peers.insert(2);
    sim.cut_instances.insert((2, 0));
    sim.write_for(12_000);
    assert_eq!(sim.promotion_orders, Vec::new(), "{:?}", sim.decisions);
}

#[test]
fn a_promotion_order_for_the_current_leader_completes() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    // The claim names a replica as the leader, while the actual leader goes on.
    sim.write_stale_claim();
    sim.write_for(15_000);
    let last = sim
        .acknowledged
        .last()
        .copied()
        .expect("writes have been acknowledged");
    assert!(
        sim.now.since(last) < ms(200),
        "writes do not go on: {:?}",
        sim.decisions
    );
    assert!(
        sim.instances.iter().all(|fake| !fake.replication_paused),
        "a replica does not receive again: {:?}",
        sim.decisions
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a lost leader that nobody misses because its service has no requests.
#[test]
fn a_leader_that_is_lost_while_its_service_is_idle_is_replaced() {
    for restarts in [false, true] {
        let mut sim = Simulation::new(&Options::default());
        sim.write_for(500);
        let first = sim.replace_first_leader();
        sim.run(ms(1000));
        let orders = sim.promotion_orders.len();
        sim.instances[first].is_alive = false;
        sim.run(ms(1500));
        sim.lapsed_entries.insert(first);
        if restarts {
            sim.dead.extend([0, 1, 2]);
            sim.run(ms(1000));
            for vm in 0..3 {
                sim.restart(vm);
            }
        }
        sim.run(ms(7000));
        assert_eq!(
            sim.promotion_orders.len(),
            orders + 1,
            "{:?}",
            sim.decisions
        );
        sim.write_for(1000);
        assert!(sim.leader().is_some_and(|leader| leader != first));
        assert_eq!(sim.refusals, []);
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}

/// Guards against the replacement of a leader that the daemons do not know yet.
#[test]
fn a_leader_that_registers_after_the_daemons_started_is_not_replaced() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    let first = sim.replace_first_leader();
    sim.run(ms(1000));
    let orders = sim.promotion_orders.len();
    sim.dead.extend([0, 1, 2]);
    sim.lapsed_entries.extend([0, 1, 2]);
    sim.run(ms(1000));
    for vm in 0..3 {
        sim.restart(vm);
    }
    sim.run(ms(500));
    // The other instances reach the store first.
    sim.lapsed_entries.retain(|instance| *instance == first);
    sim.run(ms(2000));
    sim.lapsed_entries.clear();
    sim.write_for(6000);
    assert_eq!(sim.promotion_orders.len(), orders, "{:?}", sim.decisions);
    assert_eq!(sim.leader(), Some(first));
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against replicas that one VM resumes while another VM relies on their pause.
#[test]
fn no_vm_resumes_replication_while_the_leader_is_replaced() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    sim.write_stale_claim();
    while !sim.has_decision("leads term 1") {
        assert!(sim.local_time(0) < kernel::time::Time(30_000_000));
        sim.write_for(50);
    }
    // The next holder has to wait for a silent VM. Meanwhile an instance that had not
    // answered the VM that resumes is in reach again.
    let unreached: Vec<_> = (0..3).map(|vm| (vm, 2)).collect();
    sim.cut_instances.extend(unreached.iter().copied());
    sim.write_for(400);
    let silent = (sim.last_order_sender().expect("a VM has ordered") + 1) % 3;
    sim.paused.insert(silent);
    let leader = sim.leader().expect("an instance leads");
    sim.instances[leader].is_alive = false;
    sim.write_for(1000);
    for cut in unreached {
        sim.cut_instances.remove(&cut);
    }
    sim.write_for(6000);
    assert!(sim.promotion_orders.len() > 1, "{:?}", sim.decisions);
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_restarted_fleet_is_ready_within_a_second() {
    let mut sim = Simulation::new(&Options::default());
    sim.dead.extend([0, 1, 2]);
    sim.run(ms(1000));
    for vm in 0..3 {
        sim.restart(vm);
    }
    sim.run(ms(1000));
    let ready = sim.daemons.iter().all(kernel::Daemon::is_ready);
    assert!(ready, "{:?}", sim.decisions);
}

#[test]
fn unanswered_transfer_requests_back_off() {
    let mut sim = Simulation::new(&Options::default());
    sim.run(ms(2000));
    // Every VM needs more connections to the leader than there are.
    for vm in 0..3 {
        for _ in 0..20 {
            let session = sim.open_session(vm, "latest");
            sim.send_request(vm, session, true);
        }
    }
    sim.instances[0].is_full = true;
    sim.run(ms(1000));
    sim.transfer_requests = 0;
    sim.run(ms(1000));
    assert!(
        sim.transfer_requests <= 60,
        "{} transfer requests in a second",
        sim.transfer_requests
    );
}

#[test]
fn a_waiting_request_is_refused_when_its_key_is_withdrawn() {
    let mut sim = Simulation::new(&Options {
        connections: 0,
        ..Options::default()
    });
    let session = sim.open_session(0, "keyed");
    sim.send_request(0, session, false);
    sim.run(ms(100));
    assert_eq!(
        sim.refusals,
        Vec::new(),
        "the request should wait for a connection"
    );
    sim.key_withdrawn = true;
    sim.revision += 1;
    sim.run(ms(100));
    assert_eq!(sim.refusals, vec![errors::Cause::KeyWithdrawn]);
    // New connections must not go to the request that has ended.
    sim.connections = 16;
    sim.revision += 1;
    sim.run(ms(3000));
    assert_eq!(sim.grants, Vec::new());
}
