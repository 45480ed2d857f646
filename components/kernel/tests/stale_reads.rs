//! Reads that must see every commit older than the age that their route states.

#[allow(dead_code)]
mod store_arbiter;

use std::time;

use kernel::{event, leader, message, position};

use store_arbiter::{Options, Simulation, ms};

/// VM that reaches the leader throughout and writes there.
const WRITER: usize = 3;

/// Starts four VMs. Only the writer reaches the leader any more, and the other VMs know
/// the leader's position from before `age`. The replicas receive nothing either.
fn cut_leader_off(age: time::Duration) -> Simulation {
    let mut sim = Simulation::new(&Options {
        vms: 4,
        lease_ms: 4200,
        ..Options::default()
    });
    let sessions: Vec<_> = (0..4).map(|vm| sim.open_session(vm, "latest")).collect();
    for (vm, session) in sessions.iter().enumerate() {
        sim.send_request(vm, *session, true);
    }
    sim.run(ms(600));
    sim.cut_peers.insert(WRITER);
    for vm in 0..WRITER {
        sim.cut_store.insert(vm);
        sim.cut_instances.insert((vm, 0));
    }
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    let end = sim.now + age;
    while sim.now < end {
        sim.send_request(WRITER, sessions[WRITER], true);
        sim.run(ms(50));
    }
    sim
}

/// Reads through a VM for a time span in milliseconds.
fn read_through(sim: &mut Simulation, vm: usize, span: u64) {
    let session = sim.open_session(vm, "aged");
    for _ in 0..span / 10 {
        sim.send_request(vm, session, false);
        sim.run(ms(10));
    }
}

// Positions older than the clock of a restarted daemon counted as old as that clock.
#[test]
fn a_restarted_vm_takes_no_old_position_for_a_recent_one() {
    for age in [2000, 3000] {
        for reader in [1, 2] {
            let mut sim = cut_leader_off(ms(age));
            sim.cut_store.remove(&1);
            sim.restart(1);
            sim.run(ms(50));
            read_through(&mut sim, reader, 1000);
            assert_eq!(
                sim.violations,
                Vec::<String>::new(),
                "{age} ms, VM {reader}"
            );
        }
    }
}

/// Report of VM 0 with a position of the leader.
fn report_of_position(age: time::Duration) -> message::Report {
    message::Report {
        incarnation: 1,
        listed: true,
        positions: vec![message::LeaderPosition {
            group: store_arbiter::name("orders"),
            floor: position::Position {
                term: position::Term(1),
                lsn: position::Lsn(11),
            },
            age: u64::try_from(age.as_micros()).expect("the age fits"),
        }],
        ..message::Report::default()
    }
}

// The answer arrives after the daemon that pinged has been replaced, whose clock was ahead.
#[test]
fn an_answer_to_an_earlier_run_dates_no_position() {
    let mut sim = cut_leader_off(ms(2000));
    sim.cut_store.remove(&1);
    let sent = sim.local_time(1);
    sim.restart(1);
    sim.run(ms(50));
    let pong = message::Message::Pong(sent, report_of_position(ms(2500)));
    let event = event::Event::MessageReceived(store_arbiter::name("vm-0"), pong);
    sim.dispatch(1, event);
    read_through(&mut sim, 1, 1000);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// The floor was determined at the grant, before the connection was opened.
#[test]
fn a_read_with_a_slow_connection_needs_a_recent_position() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_through(&[1], 500);
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    let session = sim.open_session(0, "aged");
    let writer = sim.open_session(1, "latest");
    for _ in 0..80 {
        sim.connect_time = ms(1000);
        sim.send_request(0, session, false);
        sim.run(ms(5));
        sim.connect_time = ms(0);
        sim.send_request(1, writer, true);
        sim.run(ms(45));
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

// The leader is replaced while the connection to it is being opened.
#[test]
fn a_primary_read_with_a_slow_connection_does_not_run_at_a_replaced_leader() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_through(&[0, 1], 500);
    sim.connect_time = ms(5000);
    let session = sim.open_session(0, "latest");
    sim.send_request(0, session, false);
    sim.run(ms(5));
    sim.connect_time = ms(0);
    sim.instances[0].is_leaving = true;
    sim.write_through(&[1], 2500);
    assert!(sim.leader().is_some_and(|leader| leader != 0));
    sim.instances[0].replication_cut = true;
    sim.write_through(&[1], 4000);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Nothing but the store's row says that the instance leads.
#[test]
fn a_primary_read_does_not_run_at_a_replica_that_is_taken_for_the_leader() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_through(&[0], 500);
    sim.instances[1].replication_cut = true;
    sim.write_through(&[0], 500);
    let row = leader::Leader {
        instance: Some(store_arbiter::name("db-1")),
        term: position::Term(1),
        start: position::Position::default(),
        claim: None,
        replicas: None,
        acknowledged: None,
    };
    let row = event::Row::Leader(store_arbiter::name("orders"), row);
    sim.store.put(row);
    sim.run(ms(1600));
    let session = sim.open_session(0, "latest");
    sim.send_request(0, session, false);
    sim.run(ms(100));
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// VM that cannot reach the store but reaches the old leader.
const ISOLATED: usize = 3;

/// Replaces the leader, which one VM without the store still reaches. The old leader is
/// not told, and the last replica receives nothing from the new leader.
fn replace_behind_a_vm() -> Simulation {
    let mut sim = Simulation::new(&Options {
        vms: 4,
        ..Options::default()
    });
    sim.run(ms(600));
    sim.cut_store.insert(ISOLATED);
    for vm in 0..ISOLATED {
        sim.cut_instances.insert((vm, 0));
    }
    sim.instances[2].replication_cut = true;
    sim
}

/// Writes through VM 1 and reads through another VM.
fn write_and_read(sim: &mut Simulation, reader: usize, span: u64) {
    let writer = sim.open_session(1, "latest");
    let reading = sim.open_session(reader, "aged");
    for _ in 0..span / 20 {
        sim.send_request(1, writer, true);
        sim.send_request(reader, reading, false);
        sim.run(ms(20));
    }
}

// Positions of an instance count as the leader's only while the store assigns it.
#[test]
fn a_vm_without_the_store_takes_no_position_from_a_replaced_leader() {
    let mut sim = replace_behind_a_vm();
    sim.cut_peers.insert(ISOLATED);
    write_and_read(&mut sim, ISOLATED, 12_000);
    assert_eq!(sim.instances[1].term, 2, "the leader was replaced");
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Answer of the replaced leader to a poll of the VM that still reaches it. A daemon
/// polls its leader whenever a session opens on a route without an age.
fn poll_old_leader(sim: &mut Simulation) {
    let status = position::Status {
        term: position::Term(1),
        promised: position::Term(1),
        role: position::Role::Primary,
        received: position::Lsn(sim.instances[0].received),
        replayed: position::Lsn(sim.instances[0].received),
        start: position::Lsn(0),
    };
    let reply = event::PollReply {
        instance: store_arbiter::name("db-0"),
        sent: sim.local_time(ISOLATED),
        status: Some(status),
    };
    sim.dispatch(ISOLATED, event::Event::PollAnswered(reply));
}

// The same positions reach VMs that know the new leader, once they hear that VM again.
#[test]
fn peers_take_no_position_from_a_replaced_leader() {
    let mut sim = replace_behind_a_vm();
    sim.cut_peers.insert(ISOLATED);
    write_and_read(&mut sim, 0, 4_000);
    sim.cut_peers.remove(&ISOLATED);
    assert_eq!(sim.instances[0].role, position::Role::Primary);
    assert_eq!(sim.instances[1].term, 2, "the leader was replaced");
    let mut older = 0;
    let writer = sim.open_session(1, "latest");
    for round in 0..200 {
        poll_old_leader(&mut sim);
        if round % 15 == 0 {
            sim.send_request(1, writer, true);
        }
        sim.run(ms(20));
        let group = sim.daemons[0].group("orders").expect("the group exists");
        let sample = group.sample_of_age(ms(1500), sim.local_time(0));
        let is_older = sample.is_some_and(|sample| sample.position.term < position::Term(2));
        older += usize::from(is_older);
    }
    assert_eq!(older, 0, "floors of a replaced leader");
}

// A replica that restarts receives the log again, so the new term may start later than
// the position at which the replica was paused.
#[test]
fn a_floor_that_a_promotion_kept_is_not_capped_below_it() {
    let mut sim = Simulation::new(&Options {
        vms: 4,
        ..Options::default()
    });
    sim.run(ms(600));
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    write_and_read(&mut sim, 0, 1_000);
    for vm in 0..4 {
        sim.cut_instances.insert((vm, 0));
    }
    while sim.promotion_orders.is_empty() {
        sim.run(ms(5));
    }
    let (_, promoted) = sim.promotion_orders[0];
    sim.instances[promoted].started += 1;
    sim.instances[promoted].replication_paused = false;
    sim.instances[promoted].replication_cut = false;
    sim.run(ms(100));
    let kept = sim.instances[promoted].received;
    sim.instances[promoted].replication_cut = true;
    let reading = sim.open_session(0, "aged");
    for _ in 0..100 {
        sim.send_request(0, reading, false);
        sim.run(ms(10));
    }
    assert_eq!(sim.instances[promoted].term, 2);
    let group = sim.daemons[0].group("orders").expect("the group exists");
    let floor = position::Position {
        term: position::Term(1),
        lsn: position::Lsn(kept),
    };
    let start = group.assignment().and_then(|assignment| assignment.start);
    let violations = sim.violations.len();
    let capped = group.cap_floor(floor);
    assert!(
        capped.lsn >= floor.lsn,
        "{capped}, start {start:?}, {violations} violations"
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

// The new leader has none of the last positions of the old one.
#[test]
fn a_floor_that_a_promotion_rolled_back_is_one_that_the_leader_has() {
    let mut sim = Simulation::new(&Options::default());
    sim.write_for(500);
    for replica in [1, 2] {
        sim.instances[replica].replication_cut = true;
    }
    sim.write_for(500);
    let lost = position::Position {
        term: position::Term(1),
        lsn: position::Lsn(sim.instances[0].received),
    };
    sim.instances[0].is_alive = false;
    sim.write_for(3000);
    let leader = sim.leader().expect("an instance leads");
    let group = sim.daemons[0].group("orders").expect("the group exists");
    let held = position::Position {
        term: position::Term(sim.instances[leader].term),
        lsn: position::Lsn(sim.instances[leader].received),
    };
    let capped = group.cap_floor(lost);
    assert_eq!(capped.term, held.term);
    assert!(capped <= held, "{capped} of {held}");
}

/// Moves the route `aged` to another group and lets a session read there.
fn move_route(sim: &mut Simulation, session: event::SessionId, group: &'static str) {
    sim.aged_group = group;
    sim.revision += 1;
    sim.run(ms(100));
    sim.send_request(0, session, false);
    sim.run(ms(100));
}

/// Floor that a replica has to have applied for a read of a session of VM 0.
fn replica_floor(sim: &Simulation, session: event::SessionId) -> Option<position::Position> {
    let (replica, now) = (store_arbiter::name("db-1"), sim.local_time(0));
    let condition = sim.daemons[0].precondition(session, &replica, event::Access::Read, now);
    condition.expect("the replica serves reads").floor
}

/// Simulation without a bound on the age of reads, and a session on the route `aged`.
fn without_age() -> (Simulation, event::SessionId) {
    let mut sim = Simulation::new(&Options::default());
    sim.age_ms = None;
    sim.revision += 1;
    sim.run(ms(100));
    let session = sim.open_session(0, "aged");
    (sim, session)
}

// Guards against a session that misses its own write after its route was moved to another
// group and back. Positions of one group mean nothing in another.
#[test]
fn a_session_keeps_the_floor_of_each_group_while_its_route_moves() {
    let (mut sim, session) = without_age();
    // A read that overtakes the write shows the leader's position without the write.
    let other = sim.open_session(0, "latest");
    sim.statement_time = ms(200);
    sim.send_request(0, session, true);
    sim.run(ms(100));
    sim.statement_time = ms(0);
    sim.send_request(0, other, false);
    sim.run(ms(150));
    let written = sim.daemons[0].session_floor(session, "orders");
    assert!(written.is_some());
    assert_eq!(replica_floor(&sim, session), written);
    for _ in 0..2 {
        move_route(&mut sim, session, "others");
        assert_eq!(sim.daemons[0].session_floor(session, "others"), None);
        move_route(&mut sim, session, "orders");
        assert_eq!(replica_floor(&sim, session), written);
    }
}

// Guards against a commit that counts in the group to which the route was moved while the
// commit was at work.
#[test]
fn a_commit_counts_in_the_group_in_which_it_ran() {
    let (mut sim, session) = without_age();
    sim.send_request(0, session, true);
    sim.run(ms(100));
    let earlier = sim.daemons[0].session_floor(session, "orders");
    sim.statement_time = ms(300);
    sim.send_request(0, session, true);
    sim.run(ms(50));
    move_route(&mut sim, session, "others");
    sim.run(ms(300));
    assert_eq!(sim.daemons[0].session_floor(session, "others"), None);
    assert!(sim.daemons[0].session_floor(session, "orders") > earlier);
}

// Guards against a caller that gets no answer at all to a commit that was at work when the
// configuration took its service away.
#[test]
fn a_commit_whose_service_is_taken_away_is_answered() {
    let (mut sim, session) = without_age();
    sim.statement_time = ms(300);
    sim.send_request(0, session, true);
    sim.run(ms(50));
    sim.is_service_gone = true;
    move_route(&mut sim, session, "others");
    sim.run(ms(500));
    assert_eq!(sim.unknown_outcomes, 1, "{:?}", sim.decisions);
}

// Guards against a floor that is dropped while the route reads at the primary, or asks for
// another age.
#[test]
fn a_session_keeps_its_floor_while_its_route_is_of_another_kind() {
    let (mut sim, session) = without_age();
    sim.send_request(0, session, true);
    sim.run(ms(100));
    let written = replica_floor(&sim, session);
    assert!(written.is_some());
    for (reads, age) in [
        (config::ReadConsistency::Latest, None),
        (config::ReadConsistency::OwnAndAge, Some(1500)),
        (config::ReadConsistency::OwnAndAge, Some(0)),
    ] {
        (sim.aged_reads, sim.age_ms) = (reads, age);
        move_route(&mut sim, session, "orders");
        (sim.aged_reads, sim.age_ms) = (config::ReadConsistency::OwnAndAge, None);
        move_route(&mut sim, session, "orders");
        assert_eq!(replica_floor(&sim, session), written);
    }
}

// Guards against a bound of 0 that counts as none, for sessions from before its change too.
#[test]
fn reads_under_a_bound_of_zero_run_at_the_leader() {
    let mut sim = Simulation::new(&Options::default());
    let before = sim.open_session(0, "aged");
    sim.write_for(500);
    sim.age_ms = Some(0);
    sim.revision += 1;
    sim.write_for(500);
    let after = sim.open_session(0, "aged");
    sim.grants.clear();
    sim.refusals.clear();
    for session in [before, after] {
        for _ in 0..10 {
            sim.send_request(0, session, false);
            sim.run(ms(20));
        }
    }
    assert_eq!(sim.grants, [(0, true); 20], "{:?}", sim.decisions);
    assert_eq!(sim.refusals, []);
}
