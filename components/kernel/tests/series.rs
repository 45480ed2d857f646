//! Random series of overlapping faults, where the store arbitrates: instances that crash or
//! fall silent, VMs that restart or are cut off, and a store that comes back from older copies.
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

/// Plays a series; returns what went wrong.
fn play(seed: u64, is_synchronous: bool) -> Result<(), String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sim = Simulation::new(&Options {
        vms: VMS,
        lease_ms: 2000,
        is_synchronous,
        ..Options::default()
    });
    let mut copies = Vec::new();
    for _ in 0..40 {
        disturb(&mut sim, &mut random, &mut copies);
        sim.write_for(random.random_range(1..24) * 50);
    }
    heal(&mut sim);
    sim.write_for(15_000);
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

/// Seeds of each run, and seeds that have failed: a leader that had been promoted without a
/// record was waited for without end (20, 39, 52, 68, 136, 140, 154, 159), and replication was
/// resumed while another VM replaced the leader (110).
const SEEDS: [u64; 17] = [
    0, 1, 2, 3, 4, 5, 6, 7, 20, 39, 52, 68, 110, 136, 140, 154, 159,
];

/// Plays the seeds, or those from `SERIES_SEEDS`, as in `SERIES_SEEDS=200..300`.
fn play_all(is_synchronous: bool) {
    let seeds: Vec<u64> = match std::env::var("SERIES_SEEDS") {
        Ok(range) => {
            let (first, last) = range.split_once("..").expect("FIRST..LAST");
            let number = |text: &str| text.parse::<u64>().expect("a number");
            (number(first)..number(last)).collect()
        }
        Err(_) => SEEDS.to_vec(),
    };
    let played = seeds
        .into_iter()
        .map(|seed| (seed, play(seed, is_synchronous)));
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
    play_all(false);
}

#[test]
fn a_synchronous_group_outlasts_series_of_faults() {
    play_all(true);
}
