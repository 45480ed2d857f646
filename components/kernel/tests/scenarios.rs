//! Runs the scripts under `scenarios/`.
//!
//! A script drives kernels by commands, one a block; the expected output
//! follows `----`. Commands:
//!
//! - `fleet [vms=N] [rate=R] [burst=B] [age=MS] [durability=D] [lease=MS]
//!   [first-lease=MS] [refusal=MS] [budget=P] [admission=P] [reads=P]`
//! - `run ms=N`: lets time pass
//! - `open vm=V session=S [key=K] [token]`
//! - `read` or `write`, with `vm=V session=S [count=N] [every=MS]`
//! - `cut` or `join`, with `vm=V` and `peers`, `store`, `db=I`
//! - `pause`, `resume`, `kill`, `restart`, `delist`, with `vm=V`
//! - `db=I` with `kill`, `revive`, `isolate`, `join`, `hold`, `release`
//! - `store down|up|lose=N`, `messages double|once|drop-gives|keep-gives`
//! - `note vm=V` with the text as input
//! - `show primary|counts|verdicts|decisions|fresh|units|violations`

mod common;

use std::{fmt::Write, path, time};

use kernel::event;

struct Script {
    options: common::Options,
    world: Option<common::World>,
}

fn argument<T: std::str::FromStr>(case: &datadriven::TestCase, name: &str) -> Option<T> {
    case.args.get(name)?.first()?.parse().ok()
}

fn has(case: &datadriven::TestCase, name: &str) -> bool {
    case.args.contains_key(name)
}

impl Script {
    fn run(&mut self, case: &datadriven::TestCase) -> String {
        if case.directive == "fleet" {
            self.fleet(case);
            return "ok\n".into();
        }
        let world = self.world.as_mut().expect("a script begins with `fleet`");
        let vm = argument(case, "vm").unwrap_or(0);
        match case.directive.as_str() {
            "run" => world.run(time::Duration::from_millis(
                argument(case, "ms").unwrap_or(0),
            )),
            "open" => open(world, case, vm),
            "read" | "write" => request(world, case, vm),
            "cut" | "join" => cut(world, case, vm),
            "pause" => {
                world.paused.insert(vm);
            }
            "resume" => {
                world.paused.remove(&vm);
            }
            "kill" => {
                world.dead.insert(vm);
            }
            "restart" => world.restart(vm),
            "delist" => world.delist(vm),
            "db" => database(world, case),
            "store" => store(world, case),
            "messages" => messages(world, case),
            "note" => world.apply(vm, &case.input),
            "stop" => world.drive(vm, event::Event::Stop),
            "show" => return show(world, case, &self.options),
            other => panic!("unknown command {other}"),
        }
        "ok\n".into()
    }

    fn fleet(&mut self, case: &datadriven::TestCase) {
        let mut options = common::Options::default();
        if let Some(vms) = argument(case, "vms") {
            options.vms = vms;
        }
        if let Some(rate) = argument(case, "rate") {
            options.rate = rate;
        }
        if let Some(burst) = argument(case, "burst") {
            options.burst = burst;
        }
        if let Some(age) = argument(case, "age") {
            options.age_ms = age;
        }
        if let Some(lease) = argument(case, "lease") {
            options.lease_ms = lease;
        }
        options.first_lease_ms = argument(case, "first-lease");
        if let Some(refusal) = argument(case, "refusal") {
            options.refusal_ms = refusal;
        }
        if argument::<String>(case, "durability").as_deref() == Some("primary") {
            options.durability = "primary";
        }
        for (name, slot) in [
            ("budget", &mut options.budget),
            ("admission", &mut options.admission),
            ("reads", &mut options.reads),
        ] {
            if let Some(value) = argument(case, name) {
                *slot = value;
            }
        }
        self.world = Some(common::World::new(&options));
        self.options = options;
    }
}

fn open(world: &mut common::World, case: &datadriven::TestCase, vm: usize) {
    let session = argument(case, "session").unwrap_or(1);
    let key: String = argument(case, "key").unwrap_or(common::KEY.into());
    let caller = world.callers.get(&event::SessionId(session));
    let token = caller
        .and_then(|caller| caller.token)
        .filter(|_| has(case, "token"));
    world.session(vm, session, &key, token);
}

fn request(world: &mut common::World, case: &datadriven::TestCase, vm: usize) {
    let session = argument(case, "session").unwrap_or(1);
    let every = time::Duration::from_millis(argument(case, "every").unwrap_or(0));
    for _ in 0..argument(case, "count").unwrap_or(1) {
        world.request(vm, session, case.directive == "write");
        world.run(every);
    }
}

fn cut(world: &mut common::World, case: &datadriven::TestCase, vm: usize) {
    let cut = case.directive == "cut";
    if has(case, "peers") {
        for other in 0..world.kernels.len() {
            for pair in [(vm, other), (other, vm)] {
                if cut {
                    world.cut_peers.insert(pair);
                } else {
                    world.cut_peers.remove(&pair);
                }
            }
        }
    }
    if has(case, "store") {
        if cut {
            world.cut_store.insert(vm);
        } else {
            world.cut_store.remove(&vm);
        }
    }
    for db in case.args.get("db").into_iter().flatten() {
        let pair = (vm, db.parse().expect("an instance"));
        if cut {
            world.cut_instances.insert(pair);
        } else {
            world.cut_instances.remove(&pair);
        }
    }
}

fn database(world: &mut common::World, case: &datadriven::TestCase) {
    let index: usize = argument(case, "id").unwrap_or(0);
    let fake = &mut world.instances[index];
    for word in case.args.keys() {
        match word.as_str() {
            "kill" => fake.alive = false,
            "revive" => fake.alive = true,
            "isolate" => fake.isolated = true,
            "join" => fake.isolated = false,
            "hold" => fake.held_replay = true,
            "release" => fake.held_replay = false,
            _ => {}
        }
    }
}

fn store(world: &mut common::World, case: &datadriven::TestCase) {
    if has(case, "down") {
        world.store_down = true;
    }
    if has(case, "up") {
        world.store_down = false;
    }
    if let Some(count) = argument(case, "lose") {
        world.lose_answers = count;
    }
}

fn messages(world: &mut common::World, case: &datadriven::TestCase) {
    for word in case.args.keys() {
        match word.as_str() {
            "double" => world.double = true,
            "once" => world.double = false,
            "drop-gives" => world.drop_gives = true,
            "keep-gives" => world.drop_gives = false,
            _ => {}
        }
    }
}

fn show(
    world: &mut common::World,
    case: &datadriven::TestCase,
    options: &common::Options,
) -> String {
    let mut out = String::new();
    if has(case, "primary") {
        for vm in 0..world.kernels.len() {
            let text = match world.confirmed(vm) {
                Some((db, term)) => format!("db-{db} in term {term}"),
                None => "none".into(),
            };
            let _ = writeln!(out, "vm-{vm}: {text}");
        }
    }
    if has(case, "counts") {
        let _ = writeln!(out, "acknowledged {}", world.acknowledged);
        let (replica, primary) = (world.replica_reads, world.primary_reads);
        let _ = writeln!(
            out,
            "reads: {replica} at replicas, {primary} at the primary"
        );
        for (state, count) in &world.refused {
            let _ = writeln!(out, "refused with {state}: {count}");
        }
    }
    if has(case, "verdicts") {
        for verdict in world.verdicts.drain(..) {
            let _ = writeln!(out, "{verdict}");
        }
    }
    if has(case, "decisions") {
        let word: String = argument(case, "decisions").unwrap_or_default();
        for line in world.log.drain(..).filter(|line| line.contains(&word)) {
            let _ = writeln!(out, "{line}");
        }
    }
    if has(case, "fresh") {
        for (vm, kernel) in world.kernels.iter().enumerate() {
            let _ = writeln!(
                out,
                "vm-{vm}: fresh {}, revision {}",
                kernel.is_fresh(),
                kernel.revision()
            );
        }
    }
    if has(case, "units") {
        let rate = world.rate_units();
        let connections = world.connection_units(0);
        let _ = writeln!(out, "rate units {rate}, connections to db-0 {connections}");
    }
    if has(case, "violations") {
        world.check_rate(options.rate.into(), options.burst.into());
        if world.violations.is_empty() {
            out.push_str("none\n");
        }
        for violation in &world.violations {
            let _ = writeln!(out, "{violation}");
        }
    }
    out
}

#[test]
fn scripts() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    datadriven::walk(root.to_str().expect("a plain path"), |file| {
        let mut script = Script {
            options: common::Options::default(),
            world: None,
        };
        file.run(|case| script.run(case));
    });
}
