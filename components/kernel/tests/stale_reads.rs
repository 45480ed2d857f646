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

/// Sends a write through each of the VMs every 50 ms for a time span in milliseconds.
fn write_through(sim: &mut Simulation, vms: &[usize], span: u64) {
    let sessions: Vec<_> = vms
        .iter()
        .map(|vm| (*vm, sim.open_session(*vm, "latest")))
        .collect();
    for _ in 0..span / 50 {
        for (vm, session) in &sessions {
            sim.send_request(*vm, *session, true);
        }
        sim.run(ms(50));
    }
}

// The floor was determined at the grant, before the connection was opened.
#[test]
fn a_read_with_a_slow_connection_needs_a_recent_position() {
    let mut sim = Simulation::new(&Options::default());
    write_through(&mut sim, &[1], 500);
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
    write_through(&mut sim, &[0, 1], 500);
    sim.connect_time = ms(5000);
    let session = sim.open_session(0, "latest");
    sim.send_request(0, session, false);
    sim.run(ms(5));
    sim.connect_time = ms(0);
    sim.instances[0].is_leaving = true;
    write_through(&mut sim, &[1], 2500);
    assert!(sim.leader().is_some_and(|leader| leader != 0));
    sim.instances[0].replication_cut = true;
    write_through(&mut sim, &[1], 4000);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Nothing but the store's row says that the instance leads.
#[test]
fn a_primary_read_does_not_run_at_a_replica_that_is_taken_for_the_leader() {
    let mut sim = Simulation::new(&Options::default());
    write_through(&mut sim, &[0], 500);
    sim.instances[1].replication_cut = true;
    write_through(&mut sim, &[0], 500);
    let row = leader::Leader {
        instance: Some(store_arbiter::name("db-1")),
        term: position::Term(1),
        start: position::Position::default(),
        claim: None,
    };
    let row = event::Row::Leader(store_arbiter::name("orders"), row);
    sim.store.put(row);
    sim.run(ms(1600));
    let session = sim.open_session(0, "latest");
    sim.send_request(0, session, false);
    sim.run(ms(100));
    assert_eq!(sim.violations, Vec::<String>::new());
}
