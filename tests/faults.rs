//! Failures over real daemons.

mod common;

use std::{collections, sync, sync::atomic, thread, time};

use postgres::{Client, NoTls, error::SqlState};

const LIMIT: time::Duration = time::Duration::from_secs(30);

/// What a writer saw of its orders.
#[derive(Default)]
struct Seen {
    acknowledged: Vec<i32>,
    not_run: Vec<i32>,
    unknown: Vec<i32>,
    errors: Vec<String>,
}

/// Writes orders with identities from `first` until told to stop.
fn write(urls: &[String], first: i32, stop: &atomic::AtomicBool) -> Seen {
    let mut seen = Seen::default();
    let mut client = None;
    let mut id = first;
    while !stop.load(atomic::Ordering::SeqCst) {
        let url = &urls[usize::try_from(id).unwrap_or(0) % urls.len()];
        let open = match client.take() {
            Some(open) => Some(open),
            None => Client::connect(url, NoTls).ok(),
        };
        let Some(mut open) = open else {
            thread::sleep(time::Duration::from_millis(5));
            id += 1;
            continue;
        };
        match common::insert(&mut open, id, 1) {
            Ok(_) => seen.acknowledged.push(id),
            Err(error) if common::detail(&error).starts_with("not run") => seen.not_run.push(id),
            Err(error) => {
                seen.unknown.push(id);
                seen.errors.push(format!("{id}: {error:?}"));
            }
        }
        if !open.is_closed() {
            client = Some(open);
        }
        id += 1;
    }
    seen
}

fn ids(cluster: &testbed::Cluster, vm: usize) -> Vec<i32> {
    let rows = common::connect(cluster, vm).query("SELECT id FROM orders ORDER BY id", &[]);
    rows.expect("the orders are read")
        .iter()
        .map(|row| row.get(0))
        .collect()
}

/// Nothing acknowledged is lost, nothing said not to have run did run, nothing
/// stands twice.
fn check(cluster: &testbed::Cluster, vm: usize, all: &[Seen]) {
    let ids = ids(cluster, vm);
    let set: collections::BTreeSet<_> = ids.iter().copied().collect();
    assert_eq!(set.len(), ids.len(), "an order stands twice");
    for seen in all {
        for id in &seen.acknowledged {
            assert!(set.contains(id), "acknowledged order {id} is lost");
        }
        for id in &seen.not_run {
            assert!(
                !set.contains(id),
                "order {id} ran although it was said not to"
            );
        }
    }
    let known: collections::BTreeSet<_> = all
        .iter()
        .flat_map(|seen| seen.acknowledged.iter().chain(&seen.unknown))
        .collect();
    for id in &set {
        assert!(known.contains(id), "order {id} was never reported");
    }
}

fn load<T>(
    cluster: &mut testbed::Cluster,
    vms: &[usize],
    fault: impl FnOnce(&mut testbed::Cluster) -> T,
) -> (Vec<Seen>, T) {
    let urls: Vec<_> = vms.iter().map(|vm| cluster.url(*vm, 0, 0)).collect();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let writers: Vec<_> = (0..6)
        .map(|writer| {
            let (urls, stop) = (urls.clone(), stop.clone());
            thread::spawn(move || write(&urls, writer * 1_000_000, &stop))
        })
        .collect();
    thread::sleep(time::Duration::from_millis(200));
    let out = fault(cluster);
    stop.store(true, atomic::Ordering::SeqCst);
    let seen = writers
        .into_iter()
        .map(|w| w.join().expect("the writer ends"))
        .collect();
    (seen, out)
}

/// Waits until every running daemon has confirmed a primary other than `old`.
fn await_primary(cluster: &testbed::Cluster, old: &str) -> bool {
    cluster.wait_until(LIMIT, |cluster| {
        (0..cluster.vm_count())
            .filter(|vm| cluster.is_running(*vm))
            .all(|vm| {
                cluster.daemon(vm).inspect(|kernel| {
                    let group = kernel.group("orders").expect("the group is configured");
                    group.primary().is_some_and(|name| &***name != old)
                })
            })
    })
}

#[test]
fn killed_primary_is_replaced_and_nothing_is_lost_or_doubled() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (seen, replaced) = load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster.groups[0].instances()[0].kill();
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(300));
        replaced
    });
    assert!(replaced, "no new primary");
    check(&cluster, 1, &seen);
    cluster.groups[0].instances()[0].revive();
    let mut client = common::connect(&cluster, 0);
    common::insert(&mut client, -1, 1).expect("writes go on");
    assert_eq!(
        common::quantity(&mut client, -1).expect("it is read"),
        Some(1)
    );
}

#[test]
fn primary_behind_a_partition_acknowledges_nothing_more() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (seen, replaced) = load(&mut cluster, &[0, 1, 2], |cluster| {
        // VM 0 stays with the old primary; the others lose it.
        cluster.groups[0].isolate(0, true);
        let link = cluster.instance_link(0, 0);
        for vm in 1..3 {
            cluster.network.cut(cluster.source_ip(vm), link, true);
        }
        for instance in 1..3 {
            let link = cluster.instance_link(0, instance);
            cluster.network.cut(cluster.source_ip(0), link, true);
        }
        cluster.isolate_from_peers(0, true);
        let replaced = cluster.wait_until(LIMIT, |cluster| {
            (1..3).all(|vm| {
                cluster.daemon(vm).inspect(|kernel| {
                    let group = kernel.group("orders").expect("the group is configured");
                    group.primary().is_some_and(|name| &***name != "orders-0")
                })
            })
        });
        thread::sleep(time::Duration::from_millis(500));
        cluster.groups[0].isolate(0, false);
        for vm in 1..3 {
            cluster.network.cut(cluster.source_ip(vm), link, false);
        }
        for instance in 1..3 {
            let link = cluster.instance_link(0, instance);
            cluster.network.cut(cluster.source_ip(0), link, false);
        }
        cluster.isolate_from_peers(0, false);
        replaced
    });
    assert!(replaced, "no new primary");
    assert!(await_primary(&cluster, "orders-0"));
    check(&cluster, 1, &seen);
    check(&cluster, 0, &seen);
}

#[test]
fn store_outage_does_not_stop_a_promotion() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    cluster.platform.set_down(true);
    let (seen, replaced) = load(&mut cluster, &[0, 1, 2], |cluster| {
        thread::sleep(cluster.plan().timing.refusal_timeout + time::Duration::from_millis(500));
        cluster.groups[0].instances()[0].kill();
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(200));
        replaced
    });
    assert!(replaced, "no new primary");
    let refused: usize = seen.iter().map(|seen| seen.not_run.len()).sum();
    assert_eq!(
        refused, 0,
        "requests were refused while a majority was seen"
    );
    check(&cluster, 2, &seen);
}

#[test]
fn withdrawn_key_ends_busy_and_idle_sessions() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut idle = common::connect(&cluster, 1);
    let mut busy = common::connect(&cluster, 2);
    let mut open = busy.transaction().expect("it begins");
    open.execute("INSERT INTO orders VALUES (1, 'loaf', 1)", &[])
        .expect("it runs");
    let note = "note: second\nwithdrawn:\n  keys: [{customer: tienda, key: first}]\n";
    cluster.apply_note(note).expect("the note is in force");
    let error = open
        .execute("INSERT INTO orders VALUES (2, 'loaf', 1)", &[])
        .expect_err("the busy session is over");
    let cut = error.is_closed()
        || common::sqlstate(&error) == SqlState::INVALID_AUTHORIZATION_SPECIFICATION;
    assert!(cut, "unexpected: {error}");
    let error = idle
        .batch_execute("SELECT 1")
        .expect_err("the idle session is over");
    let cut = error.is_closed()
        || common::sqlstate(&error) == SqlState::INVALID_AUTHORIZATION_SPECIFICATION;
    assert!(cut, "unexpected: {error}");
    for vm in 0..3 {
        let Err(error) = Client::connect(&cluster.url(vm, 0, 0), NoTls) else {
            panic!("a withdrawn key was let in");
        };
        assert_eq!(common::sqlstate(&error), SqlState::INVALID_PASSWORD);
    }
}

#[test]
fn daemon_cut_from_store_and_majority_refuses_keyed_requests() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut client = common::connect(&cluster, 0);
    cluster.isolate_from_peers(0, true);
    cluster.isolate_from_platform(0, true);
    let stale = cluster.wait_until(LIMIT, |cluster| {
        cluster.daemon(0).inspect(|kernel| !kernel.is_fresh())
    });
    assert!(stale, "the daemon still accepts requests");
    let error = common::insert(&mut client, 1, 1).expect_err("it is refused");
    assert_eq!(common::sqlstate(&error), SqlState::CANNOT_CONNECT_NOW);
    assert!(common::detail(&error).starts_with("not run"));
    let note = "note: second\nadded:\n  customers: [{name: hotel, rate: 10, burst: 10}]\n";
    let origin = config::Origin("note".into());
    let parsed = config::read_note(note, &origin).expect("the note is valid");
    let verdict = cluster.daemon(1).apply(parsed);
    assert_eq!(
        verdict,
        kernel::event::SubmissionOutcome::InForce(2),
        "the cut daemon refuses by itself"
    );
    cluster.isolate_from_peers(0, false);
    cluster.isolate_from_platform(0, false);
    assert!(cluster.wait_until(LIMIT, |cluster| {
        cluster
            .daemon(0)
            .inspect(|k| k.is_fresh() && k.revision() == 2)
    }));
    common::insert(&mut client, 1, 1).expect("it goes on");
}

#[test]
fn lost_store_answer_applies_a_note_once() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    cluster.platform.lose_answers(1);
    let note = "note: second\nadded:\n  customers: [{name: hotel, rate: 10, burst: 10}]\n";
    assert_eq!(cluster.apply_note(note).expect("it is accepted"), 2);
    assert_eq!(cluster.apply_note(note).expect("the same note again"), 2);
}

#[test]
fn two_operators_at_once_both_win_or_one_is_told() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    let apply = |vm: usize, name: &str| {
        let text = format!(
            "note: note-{name}\nadded:\n  customers: [{{name: {name}, rate: 10, burst: 10}}]\n"
        );
        let origin = config::Origin("note".into());
        let note = config::read_note(&text, &origin).expect("the note is valid");
        cluster.daemon(vm).apply(note)
    };
    let verdicts = thread::scope(|scope| {
        let first = scope.spawn(|| apply(0, "hotel"));
        let second = scope.spawn(|| apply(1, "school"));
        [
            first.join().expect("it ends"),
            second.join().expect("it ends"),
        ]
    });
    let mut revisions: Vec<_> = verdicts
        .iter()
        .map(|verdict| match verdict {
            kernel::event::SubmissionOutcome::InForce(revision) => *revision,
            other => panic!("unexpected: {other}"),
        })
        .collect();
    revisions.sort_unstable();
    assert_eq!(revisions, [2, 3]);
    cluster.daemon(2).inspect(|kernel| {
        assert!(kernel.fleet().customers.contains_key("hotel"));
        assert!(kernel.fleet().customers.contains_key("school"));
    });
}

#[test]
fn graceful_stop_cuts_no_request() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (seen, ()) = load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster.stop_vm(0);
        cluster.publish_vms(time::Duration::ZERO);
        thread::sleep(time::Duration::from_millis(300));
    });
    check(&cluster, 1, &seen);
    // The client reports a session that ended between two requests with the
    // next request, which it does not send; none of these may have run.
    let ids = ids(&cluster, 1);
    for seen in &seen {
        assert!(
            seen.errors.iter().all(|e| e.contains("Closed")),
            "{:?}",
            seen.errors
        );
        assert!(
            seen.unknown.iter().all(|id| !ids.contains(id)),
            "{:?}",
            seen.unknown
        );
    }
}

#[test]
fn graceful_stop_lets_a_transaction_finish() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut client = common::connect(&cluster, 0);
    let mut open = client.transaction().expect("it begins");
    open.execute("INSERT INTO orders VALUES (1, 'loaf', 1)", &[])
        .expect("it runs");
    thread::scope(|scope| {
        let cluster = &mut cluster;
        let stopping = scope.spawn(move || cluster.stop_vm(0));
        thread::sleep(time::Duration::from_millis(100));
        open.execute("INSERT INTO orders VALUES (2, 'loaf', 1)", &[])
            .expect("it goes on");
        open.commit().expect("it commits");
        stopping.join().expect("the daemon stops");
    });
    assert_eq!(ids(&cluster, 1), [1, 2]);
}

#[test]
fn killed_daemon_doubles_nothing() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (seen, ()) = load(&mut cluster, &[0, 1], |cluster| {
        cluster.kill_vm(0);
        thread::sleep(time::Duration::from_millis(300));
    });
    check(&cluster, 2, &seen);
}

#[test]
fn cancel_reaches_a_session_of_another_daemon() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    let mut sleeper = common::connect(&cluster, 0);
    let token = sleeper.cancel_token();
    drop(token);
    let sleeping = thread::spawn(move || sleeper.simple_query("SELECT pg_sleep(20)"));
    // The cancel key names VM 0, whatever daemon it is shown to.
    let process = cluster.daemon(0).cancel_keys();
    let mut done = false;
    let begun = time::Instant::now();
    while !done && begun.elapsed() < LIMIT {
        for (process, secret) in &process {
            send_cancel(&cluster, 1, *process, *secret);
        }
        thread::sleep(time::Duration::from_millis(20));
        done = sleeping.is_finished();
    }
    let error = sleeping.join().expect("it ends").expect_err("it is cut");
    assert_eq!(common::sqlstate(&error), SqlState::QUERY_CANCELED);
}

fn send_cancel(cluster: &testbed::Cluster, vm: usize, process: i32, secret: i32) {
    use std::io::{Read, Write};
    let mut socket =
        std::net::TcpStream::connect(cluster.daemon(vm).caller_address()).expect("it listens");
    let mut bytes = vec![0, 0, 0, 16, 4, 210, 22, 46];
    bytes.extend_from_slice(&process.to_be_bytes());
    bytes.extend_from_slice(&secret.to_be_bytes());
    socket.write_all(&bytes).expect("it is sent");
    let _ = socket.read_to_end(&mut Vec::new());
}

#[test]
fn leaving_primary_hands_over_and_gets_no_new_work() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (seen, replaced) = load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster
            .apply_note("note: second\nwithdrawn:\n  instances: [orders-0]\n")
            .expect("in force");
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(200));
        replaced
    });
    assert!(replaced, "the leaving primary was not replaced");
    let unknown: Vec<_> = seen.iter().flat_map(|seen| &seen.errors).collect();
    assert!(unknown.is_empty(), "requests were cut: {unknown:?}");
    check(&cluster, 0, &seen);
}
