//! Replays of the load on the memory and the startups of a daemon.

use intake::{Admission, Ledger, Owner, Startups};

/// Largest charge of a legal message.
const MESSAGE: usize = intake::message_charge(1 << 20);

fn fill(ledger: &mut Ledger, owner: &Owner, bytes: usize) -> usize {
    let mut count = 0;
    while ledger.has_room(owner, bytes) {
        ledger.charge(owner, bytes);
        count += 1;
    }
    count
}

#[test]
fn small_messages_are_free() {
    assert_eq!(intake::message_charge(intake::FREE_BYTES), 0);
}

#[test]
fn a_customer_leaves_room_for_the_next_ones() {
    let mut ledger = Ledger::new(64 << 20);
    let owners: Vec<Owner> = ["a", "b", "c"].map(Owner::from).to_vec();
    let counts: Vec<_> = owners
        .iter()
        .map(|owner| fill(&mut ledger, owner, MESSAGE))
        .collect();
    assert_eq!(counts, [8, 4, 2]);
    assert!(ledger.has_room(&"d".into(), MESSAGE));
}

#[test]
fn released_memory_is_free_again() {
    let mut ledger = Ledger::new(16 << 20);
    let owner: Owner = "a".into();
    assert_eq!(fill(&mut ledger, &owner, MESSAGE), 2);
    ledger.release(&owner, 2 * MESSAGE);
    assert_eq!(ledger.held(), 0);
    assert_eq!(fill(&mut ledger, &owner, MESSAGE), 2);
}

#[test]
fn the_largest_legal_message_fits_into_the_smallest_memory() {
    assert!(Ledger::new(16 << 20).has_room(&"a".into(), MESSAGE));
}

#[test]
fn the_oldest_startup_gives_way_at_the_limit() {
    let mut startups = Startups::default();
    for number in 0..3 {
        assert_eq!(startups.admit(number, 1, 4, 0), Admission::Start);
    }
    assert_eq!(startups.admit(3, 1, 4, 0), Admission::Replace(0));
    startups.remove(2);
    assert_eq!(startups.admit(4, 1, 4, 0), Admission::Start);
    assert_eq!(startups.admit(5, 1, 4, 0), Admission::Replace(1));
    assert_eq!(startups.len(), 3);
}

#[test]
fn spare_connections_are_told_that_the_daemon_is_full() {
    let mut startups = Startups::default();
    assert_eq!(startups.admit(0, 4, 4, 1), Admission::Start);
    assert_eq!(startups.admit(1, 4, 4, 1), Admission::Replace(0));
    startups.remove(1);
    assert_eq!(startups.admit(2, 4, 4, 0), Admission::Close);
    assert!(startups.is_empty());
}

#[test]
fn about_four_thousand_startups_at_once_all_start() {
    let mut startups = Startups::default();
    let all_start = (0..4_096).all(|n| startups.admit(n, 0, 4_096, 16) == Admission::Start);
    assert!(all_start);
}
