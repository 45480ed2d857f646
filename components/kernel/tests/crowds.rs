//! Crowds at daemons whose routes differ in priority: early refusals, returns and busy
//! instances.

#[allow(dead_code)]
mod store_arbiter;

use errors::Cause;
use kernel::event;
use store_arbiter::{Options, Simulation, ms};

fn simulation() -> Simulation {
    let mut sim = Simulation::new(&Options {
        vms: 1,
        connections: 6,
        ranks_routes: true,
        ..Options::default()
    });
    sim.connect_time = ms(10);
    sim.statement_time = ms(190);
    sim
}

fn open_sessions(sim: &mut Simulation, count: usize, route: &str) -> Vec<event::SessionId> {
    let sessions = (0..count).map(|_| sim.open_session(0, route));
    sessions.collect()
}

/// Sends a write on each session and returns the sessions whose writes were refused at once.
fn send_writes(sim: &mut Simulation, sessions: &[event::SessionId]) -> Vec<event::SessionId> {
    let mut refused = Vec::new();
    for session in sessions {
        let before = sim.refusals.len();
        sim.send_request(0, *session, true);
        if sim.refusals.len() > before {
            refused.push(*session);
        }
    }
    refused
}

fn writers(sim: &mut Simulation) -> Vec<event::SessionId> {
    // Writes that can be served, so that their times are known.
    let warm = open_sessions(sim, 40, "keyed");
    assert_eq!(send_writes(sim, &warm), []);
    sim.run(ms(2400));
    sim.refusals.clear();
    sim.retry_hints.clear();
    sim.granted.clear();
    open_sessions(sim, 300, "keyed")
}

#[test]
fn writes_that_cannot_be_served_in_time_are_refused_at_once() {
    let mut sim = simulation();
    let sessions = writers(&mut sim);
    let refused = send_writes(&mut sim, &sessions);
    // Four connections serve 19 writes a second, so 47 before the deadline. The queue of the
    // customer has room for 100.
    let accepted = sessions.len() - refused.len();
    assert!(
        (47..80).contains(&accepted),
        "{accepted} writes were accepted"
    );
    assert!(sim.refusals.iter().all(|cause| *cause == Cause::NoCapacity));
    let hints: std::collections::BTreeSet<_> = sim.retry_hints.iter().copied().collect();
    assert!(
        hints.len() > refused.len() / 2,
        "the times to return differ"
    );
    sim.run(ms(2600));
    let granted: Vec<_> = sim.granted.iter().map(|id| id.0 >> 24).collect();
    let is_granted = |session: &event::SessionId| granted.contains(&session.0);
    assert!(
        !refused.iter().any(is_granted),
        "a refused write was granted"
    );
}

#[test]
fn urgent_writes_are_not_refused_with_the_others() {
    let mut sim = simulation();
    let sessions = writers(&mut sim);
    let refused = send_writes(&mut sim, &sessions);
    assert!(!refused.is_empty(), "the load is too small");
    let urgent = open_sessions(&mut sim, 5, "latest");
    assert_eq!(send_writes(&mut sim, &urgent), []);
    sim.run(ms(1000));
    let granted: Vec<_> = sim.granted.iter().map(|id| id.0 >> 24).collect();
    let is_granted = |session: &event::SessionId| granted.contains(&session.0);
    assert!(urgent.iter().all(is_granted), "an urgent write still waits");
}

#[test]
fn sessions_that_return_are_served_before_later_ones() {
    let mut sim = simulation();
    let sessions = writers(&mut sim);
    let refused = send_writes(&mut sim, &sessions);
    assert!(!refused.is_empty(), "the load is too small");
    sim.run(ms(1500));
    // New sessions wait when those refused before come back.
    let late = open_sessions(&mut sim, 5, "keyed");
    assert_eq!(send_writes(&mut sim, &late), []);
    let returned = &refused[..5];
    assert_eq!(send_writes(&mut sim, returned), []);
    sim.run(ms(3000));
    let place = |session: &event::SessionId| {
        let granted = sim.granted.iter();
        granted.map(|id| id.0 >> 24).position(|id| id == session.0)
    };
    let late: Vec<_> = late.iter().filter_map(place).collect();
    let returned: Vec<_> = returned.iter().filter_map(place).collect();
    assert_eq!((late.len(), returned.len()), (5, 5), "all are served");
    assert!(
        returned.iter().max() < late.iter().min(),
        "{returned:?}, {late:?}"
    );
}

#[test]
fn reads_leave_a_busy_replica_and_do_not_try_it_all_the_time() {
    let mut sim = simulation();
    sim.statement_time = ms(5);
    sim.instances[1].is_busy = true;
    let sessions = open_sessions(&mut sim, 4, "aged");
    for _ in 0..20 {
        for session in &sessions {
            sim.send_request(0, *session, false);
        }
        sim.run(ms(100));
    }
    assert_eq!(sim.refusals, []);
    // One read may try the replica after each pause of 160 ms, on up to 4 connections.
    assert!(sim.busy_answers <= 60, "{} tries in 2 s", sim.busy_answers);
}
