//! Random series of overlapping faults, where the store arbitrates: instances that crash or
//! fall silent, VMs that restart or are cut off, and a store that comes back from older copies.
//!
//! A second kind of series has the entries of the instances expire and come back late: it
//! plays crashes of two instances at once, instances that start again with nothing, restarts of all
//! VMs at once, and outages of the store.
//!
//! The simulation records a commit of a replaced leader that is acknowledged, a promotion
//! without acknowledged commits, and orders with old tokens. After the faults the group has
//! to be served again.

#[allow(dead_code)]
mod store_arbiter;

use std::collections;

use kernel::position;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use store_arbiter::{Options, Simulation};

const VMS: usize = 4;

/// Ends all faults of instances and links.
fn heal(sim: &mut Simulation) {
    sim.cut_store.clear();
    sim.cut_peers.clear();
    sim.cut_instances.clear();
    for vm in sim.dead.clone() {
        sim.restart(vm);
    }
    for i in 0..sim.instances.len() {
        if !sim.instances[i].is_alive {
            return_instance(sim, i);
        }
        sim.instances[i].is_unresponsive = false;
        sim.instances[i].replication_cut = false;
    }
}

/// An instance comes back with its log, as a replica if another one leads a later term.
fn return_instance(sim: &mut Simulation, i: usize) {
    let newest = sim.instances.iter().map(|fake| fake.term).max();
    let fake = &mut sim.instances[i];
    fake.is_alive = true;
    fake.replication_paused = false;
    if newest > Some(fake.term) {
        fake.role = position::Role::Replica;
    }
}

/// Adds an entry, or removes it if it is there.
fn toggle<T: Ord + Copy>(set: &mut collections::BTreeSet<T>, entry: T) {
    if !set.remove(&entry) {
        set.insert(entry);
    }
}

/// Begins or ends one fault.
fn disturb(
    sim: &mut Simulation,
    random: &mut SmallRng,
    copies: &mut Vec<store_arbiter::store::Data>,
) {
    let (vm, instance) = (random.random_range(0..VMS), random.random_range(0..3));
    match random.random_range(0..14) {
        0 | 1 if sim.instances[instance].is_alive => sim.instances[instance].is_alive = false,
        0..=2 if !sim.instances[instance].is_alive => return_instance(sim, instance),
        3 | 4 => {
            let fake = &mut sim.instances[instance];
            fake.is_unresponsive ^= true;
            fake.replication_cut = fake.is_unresponsive;
        }
        5 => sim.instances[instance].replication_cut ^= true,
        6 => sim.restart(vm),
        7 => toggle(&mut sim.cut_store, vm),
        8 => toggle(&mut sim.cut_instances, (vm, instance)),
        9 | 10 => copies.push(sim.store.copy()),
        11 | 12 if !copies.is_empty() => {
            let copy = copies.remove(random.random_range(0..copies.len()));
            copies.clear();
            let cut = sim.cut_store.clone();
            sim.cut_store.extend(0..VMS);
            sim.write_for(200);
            sim.store.restore(copy);
            sim.cut_store = cut;
            if random.random_bool(0.5) {
                let survivors = random.random_range(0..VMS);
                (survivors..VMS).for_each(|vm| sim.restart(vm));
            }
        }
        _ => {}
    }
}

fn new_simulation(is_synchronous: bool) -> Simulation {
    Simulation::new(&Options {
        vms: VMS,
        lease_ms: 2000,
        is_synchronous,
        ..Options::default()
    })
}

/// Checks that the group is served after the faults; returns what went wrong.
fn check(mut sim: Simulation) -> Result<(), String> {
    let before = sim.acknowledged.len();
    sim.write_for(1000);
    let is_served = sim.acknowledged.len() >= before + 20;
    let text = format!(
        "{:?}, served {is_served}: {:?}",
        sim.violations, sim.decisions
    );
    (is_served && sim.violations.is_empty())
        .then_some(())
        .ok_or(text)
}

/// Plays a series; returns what went wrong.
fn play(seed: u64, is_synchronous: bool) -> Result<(), String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sim = new_simulation(is_synchronous);
    let mut copies = Vec::new();
    for _ in 0..40 {
        disturb(&mut sim, &mut random, &mut copies);
        sim.write_for(random.random_range(1..24) * 50);
    }
    heal(&mut sim);
    sim.write_for(15_000);
    check(sim)
}

/// Time without a heartbeat after which an entry is removed, in ms.
const ENTRY_TIME: u64 = 3600;
/// Longest time until an instance that reaches the store has registered, in ms.
const REGISTRATION_TIME: u64 = 1200;

/// Time in which an instance that is gone leaves the replica set, in ms.
const LEAVE_TIME: u64 = 12_000;

/// Entries of the instances, which expire and come back.
#[derive(Default)]
struct Entries {
    is_store_down: bool,
    /// Time for which each instance has not reached the store, in ms.
    silent: [u64; 3],
    /// Time until the next heartbeat of each instance, in ms.
    until_heartbeat: [u64; 3],
}

impl Entries {
    /// Advances by a time span in ms.
    fn advance(&mut self, sim: &mut Simulation, span: u64) {
        for i in 0..3 {
            if !sim.instances[i].is_alive || self.is_store_down {
                self.silent[i] += span;
                let is_expired = self.silent[i] >= ENTRY_TIME && !self.is_store_down;
                if is_expired {
                    sim.lapsed_entries.insert(i);
                }
                continue;
            }
            self.until_heartbeat[i] = self.until_heartbeat[i].saturating_sub(span);
            if self.until_heartbeat[i] == 0 {
                self.until_heartbeat[i] = REGISTRATION_TIME;
                self.silent[i] = 0;
                sim.lapsed_entries.remove(&i);
            }
        }
    }

    /// Sends writes through each VM for a time span in ms.
    fn write_for(&mut self, sim: &mut Simulation, span: u64) {
        let sessions: Vec<_> = (0..VMS)
            .map(|vm| (vm, sim.open_session(vm, "latest")))
            .collect();
        for _ in 0..span / 50 {
            for (vm, session) in &sessions {
                sim.send_request(*vm, *session, true);
            }
            sim.run(store_arbiter::ms(50));
            self.advance(sim, 50);
        }
    }

    /// Starts a process of an instance again.
    fn restart(&mut self, sim: &mut Simulation, instance: usize, has_log: bool) {
        sim.instances[instance].started += 1;
        return_instance(sim, instance);
        if !has_log {
            let fake = &mut sim.instances[instance];
            (fake.term, fake.received) = (0, 0);
        }
        // A process writes its entry when it starts.
        self.until_heartbeat[instance] = 0;
    }

    /// Begins or ends one fault.
    fn disturb(&mut self, sim: &mut Simulation, random: &mut SmallRng) {
        let (vm, instance) = (random.random_range(0..VMS), random.random_range(0..3));
        let is_alive = sim.instances[instance].is_alive;
        match random.random_range(0..14) {
            0 | 1 => crash(sim, &[instance]),
            2 | 3 => {
                let others: Vec<_> = (0..3).filter(|i| *i != instance).collect();
                crash(sim, &others);
            }
            4..=6 if !is_alive => self.restart(sim, instance, true),
            7 if !is_alive && has_other_leader(sim, instance) => {
                self.restart(sim, instance, false);
            }
            8 => (0..VMS).for_each(|vm| sim.restart(vm)),
            9 => sim.restart(vm),
            10 | 11 => {
                self.is_store_down ^= true;
                if self.is_store_down {
                    sim.cut_store.extend(0..VMS);
                } else {
                    sim.cut_store.clear();
                }
            }
            12 => sim.instances[instance].replication_cut ^= true,
            13 => toggle(&mut sim.cut_instances, (vm, instance)),
            _ => {}
        }
    }

    /// Ends all faults.
    fn heal(&mut self, sim: &mut Simulation) {
        self.is_store_down = false;
        for i in 0..3 {
            if !sim.instances[i].is_alive {
                self.restart(sim, i, true);
            }
        }
        heal(sim);
    }
}

/// Ends instances just after commits that the others have not received.
fn crash(sim: &mut Simulation, crashed: &[usize]) {
    let were_cut = [0, 1, 2].map(|i| sim.instances[i].replication_cut);
    for i in (0..3).filter(|i| !crashed.contains(i)) {
        sim.instances[i].replication_cut = true;
    }
    for vm in 0..VMS {
        let session = sim.open_session(vm, "latest");
        sim.send_request(vm, session, true);
    }
    sim.run(store_arbiter::ms(20));
    for i in crashed {
        sim.instances[*i].is_alive = false;
    }
    for (i, was_cut) in were_cut.into_iter().enumerate() {
        sim.instances[i].replication_cut = was_cut;
    }
}

/// Whether another instance leads the newest term, or led it and keeps its log.
fn has_other_leader(sim: &Simulation, instance: usize) -> bool {
    let newest = sim.instances.iter().map(|fake| fake.term).max();
    let leader = sim
        .instances
        .iter()
        .position(|fake| fake.role == position::Role::Primary && newest == Some(fake.term));
    leader.is_some_and(|leader| leader != instance)
}

/// Plays a series in which entries expire, with commits of others beside each one that is
/// answered; returns what went wrong.
fn play_entries(seed: u64, is_synchronous: bool, unreplicated: u64) -> Result<(), String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sim = new_simulation(is_synchronous);
    sim.unreplicated = unreplicated;
    let mut entries = Entries::default();
    entries.write_for(&mut sim, random.random_range(0..10) * 1000);
    for _ in 0..12 {
        entries.disturb(&mut sim, &mut random);
        if random.random_bool(0.3) {
            entries.disturb(&mut sim, &mut random);
        }
        let span = if random.random_bool(0.1) {
            LEAVE_TIME
        } else {
            random.random_range(1..60) * 50
        };
        entries.write_for(&mut sim, span);
    }
    entries.heal(&mut sim);
    entries.write_for(&mut sim, 15_000);
    check(sim)
}

/// Seeds of each run, and seeds that have failed: a leader that had been promoted without a
/// record was waited for without end (20, 39, 52, 68, 136, 140, 154, 159), and replication was
/// resumed while another VM replaced the leader (110).
const SEEDS: [u64; 17] = [
    0, 1, 2, 3, 4, 5, 6, 7, 20, 39, 52, 68, 110, 136, 140, 154, 159,
];

/// Seeds of each run in which entries expire, and seeds that have failed: a replica was
/// promoted without commits of instances whose entries had expired (1, 12, 19, 22, 34, 41, 46,
/// 50, 61), or of the last one that had the commits of the leader (277).
const ENTRY_SEEDS: [u64; 17] = [0, 1, 2, 3, 4, 5, 6, 7, 12, 19, 22, 34, 41, 46, 50, 61, 277];

/// Plays the seeds, or those from `SERIES_SEEDS`, as in `SERIES_SEEDS=200..300`.
fn play_all(usual: &[u64], play: impl Fn(u64) -> Result<(), String>) {
    let seeds: Vec<u64> = match std::env::var("SERIES_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("FIRST..LAST");
            let number = |text: &str| text.parse::<u64>().expect("a number");
            (number(first)..number(last)).collect()
        }
        Err(_) => usual.to_vec(),
    };
    let played = seeds.into_iter().map(|seed| (seed, play(seed)));
    let failed: Vec<_> = played
        .filter_map(|(seed, played)| Some((seed, played.err()?)))
        .collect();
    if let Some((seed, text)) = failed.first() {
        println!("seed {seed}: {}", text.replace("), (", "\n"));
    }
    let seeds: Vec<_> = failed.iter().map(|(seed, _)| seed).collect();
    assert!(seeds.is_empty(), "failed seeds: {seeds:?}");
}

#[test]
fn a_group_outlasts_series_of_faults() {
    play_all(&SEEDS, |seed| play(seed, false));
}

#[test]
fn a_synchronous_group_outlasts_series_of_faults() {
    play_all(&SEEDS, |seed| play(seed, true));
}

#[test]
fn a_group_outlasts_series_of_expired_entries() {
    play_all(&ENTRY_SEEDS, |seed| play_entries(seed, false, 0));
}

#[test]
fn a_synchronous_group_outlasts_series_of_expired_entries() {
    play_all(&ENTRY_SEEDS, |seed| play_entries(seed, true, 0));
}

#[test]
fn a_synchronous_group_outlasts_expired_entries_beside_commits_in_flight() {
    play_all(&ENTRY_SEEDS, |seed| play_entries(seed, true, 2));
}
