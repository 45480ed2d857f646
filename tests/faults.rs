//! End-to-end tests of real daemons under injected faults: killed, partitioned
//! or stopped instances, daemons and stores.

mod common;

use std::{collections, sync, sync::atomic, thread, time};

use postgres::{Client, NoTls, error::SqlState};

const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Outcomes of one writer's orders.
#[derive(Default)]
struct WriteLog {
    acknowledged: Vec<i32>,
    not_run: Vec<i32>,
    unknown: Vec<i32>,
    errors: Vec<String>,
}

/// Inserts orders with ascending ids from `first` until `stop` is set; the URLs
/// are used in turn for new connections.
fn write_orders(urls: &[String], first: i32, stop: &atomic::AtomicBool) -> WriteLog {
    let mut log = WriteLog::default();
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
            Ok(_) => log.acknowledged.push(id),
            Err(error) if common::detail(&error).starts_with("not run") => log.not_run.push(id),
            Err(error) => {
                log.unknown.push(id);
                log.errors.push(format!("{id}: {error:?}"));
            }
        }
        if !open.is_closed() {
            client = Some(open);
        }
        id += 1;
    }
    log
}

fn order_ids(cluster: &testbed::Cluster, vm: usize) -> Vec<i32> {
    let rows = common::connect(cluster, vm).query("SELECT id FROM orders ORDER BY id", &[]);
    rows.expect("the orders are read")
        .iter()
        .map(|row| row.get(0))
        .collect()
}

/// Checks that every acknowledged order exists, that no order reported as "not
/// run" exists, and that no order exists twice or was never reported.
fn check_orders(cluster: &testbed::Cluster, vm: usize, logs: &[WriteLog]) {
    let ids = order_ids(cluster, vm);
    let set: collections::BTreeSet<_> = ids.iter().copied().collect();
    assert_eq!(set.len(), ids.len(), "an order exists twice");
    for log in logs {
        for id in &log.acknowledged {
            assert!(set.contains(id), "acknowledged order {id} is lost");
        }
        for id in &log.not_run {
            assert!(
                !set.contains(id),
                "order {id} ran although the daemon reported it as not run"
            );
        }
    }
    let known: collections::BTreeSet<_> = logs
        .iter()
        .flat_map(|log| log.acknowledged.iter().chain(&log.unknown))
        .collect();
    for id in &set {
        assert!(known.contains(id), "order {id} was never reported");
    }
}

fn run_under_load<T>(
    cluster: &mut testbed::Cluster,
    vms: &[usize],
    inject_fault: impl FnOnce(&mut testbed::Cluster) -> T,
) -> (Vec<WriteLog>, T) {
    let urls: Vec<_> = vms.iter().map(|vm| cluster.url(*vm, 0, 0)).collect();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let writers: Vec<_> = (0..6)
        .map(|writer| {
            let (urls, stop) = (urls.clone(), stop.clone());
            thread::spawn(move || write_orders(&urls, writer * 1_000_000, &stop))
        })
        .collect();
    thread::sleep(time::Duration::from_millis(200));
    let out = inject_fault(cluster);
    stop.store(true, atomic::Ordering::SeqCst);
    let logs = writers
        .into_iter()
        .map(|w| w.join().expect("the writer ends"))
        .collect();
    (logs, out)
}

/// Waits until every running daemon knows a primary other than `old`.
fn await_primary(cluster: &testbed::Cluster, old: &str) -> bool {
    cluster.wait_until(WAIT_LIMIT, |cluster| {
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
fn killed_primary_is_replaced_without_lost_or_duplicate_writes() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (logs, replaced) = run_under_load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster.groups[0].instances()[0].kill();
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(300));
        replaced
    });
    assert!(replaced, "no new primary");
    check_orders(&cluster, 1, &logs);
    cluster.groups[0].instances()[0].revive();
    let mut client = common::connect(&cluster, 0);
    common::insert(&mut client, -1, 1).expect("writes go on");
    assert_eq!(
        common::quantity(&mut client, -1).expect("the order is read"),
        Some(1)
    );
}

#[test]
fn partitioned_primary_acknowledges_no_more_writes() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (logs, replaced) = run_under_load(&mut cluster, &[0, 1, 2], |cluster| {
        // VM 0 can reach only the old primary; the other VMs cannot reach the old
        // primary.
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
        let replaced = cluster.wait_until(WAIT_LIMIT, |cluster| {
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
    check_orders(&cluster, 1, &logs);
    check_orders(&cluster, 0, &logs);
}

#[test]
fn store_outage_does_not_stop_a_promotion() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    cluster.platform.set_down(true);
    let (logs, replaced) = run_under_load(&mut cluster, &[0, 1, 2], |cluster| {
        thread::sleep(cluster.plan().timing.refusal_timeout + time::Duration::from_millis(500));
        cluster.groups[0].instances()[0].kill();
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(200));
        replaced
    });
    assert!(replaced, "no new primary");
    let refused: usize = logs.iter().map(|log| log.not_run.len()).sum();
    assert_eq!(
        refused, 0,
        "requests were refused although a majority of daemons was reachable"
    );
    check_orders(&cluster, 2, &logs);
}

#[test]
fn withdrawn_key_ends_busy_and_idle_sessions() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut idle = common::connect(&cluster, 1);
    let mut busy = common::connect(&cluster, 2);
    let mut open = busy.transaction().expect("the transaction begins");
    open.execute("INSERT INTO orders VALUES (1, 'loaf', 1)", &[])
        .expect("the statement runs");
    let note = "note: second\nwithdrawn:\n  keys: [{customer: tienda, key: first}]\n";
    cluster.apply_note(note).expect("the note is in force");
    let error = open
        .execute("INSERT INTO orders VALUES (2, 'loaf', 1)", &[])
        .expect_err("the busy session is closed");
    let is_closed = error.is_closed()
        || common::sqlstate(&error) == SqlState::INVALID_AUTHORIZATION_SPECIFICATION;
    assert!(is_closed, "unexpected: {error}");
    let error = idle
        .batch_execute("SELECT 1")
        .expect_err("the idle session is closed");
    let is_closed = error.is_closed()
        || common::sqlstate(&error) == SqlState::INVALID_AUTHORIZATION_SPECIFICATION;
    assert!(is_closed, "unexpected: {error}");
    for vm in 0..3 {
        let Err(error) = Client::connect(&cluster.url(vm, 0, 0), NoTls) else {
            panic!("a withdrawn key was accepted");
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
    let stale = cluster.wait_until(WAIT_LIMIT, |cluster| {
        cluster.daemon(0).inspect(|kernel| !kernel.is_fresh())
    });
    assert!(stale, "the daemon still accepts requests");
    let error = common::insert(&mut client, 1, 1).expect_err("the write is refused");
    assert_eq!(common::sqlstate(&error), SqlState::CANNOT_CONNECT_NOW);
    assert!(common::detail(&error).starts_with("not run"));
    let note = "note: second\nadded:\n  customers: [{name: hotel, rate: 10, burst: 10}]\n";
    let origin = config::Origin("note".into());
    let parsed = config::read_note(note, &origin).expect("the note is valid");
    let outcome = cluster.daemon(1).apply(parsed);
    assert_eq!(
        outcome,
        kernel::event::SubmissionOutcome::InForce(2),
        "the note does not come into force although the isolated daemon refuses requests by itself"
    );
    cluster.isolate_from_peers(0, false);
    cluster.isolate_from_platform(0, false);
    assert!(cluster.wait_until(WAIT_LIMIT, |cluster| {
        cluster
            .daemon(0)
            .inspect(|k| k.is_fresh() && k.revision() == 2)
    }));
    common::insert(&mut client, 1, 1).expect("the statement runs");
}

#[test]
fn lost_store_answer_applies_a_note_once() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    cluster.platform.lose_answers(1);
    let note = "note: second\nadded:\n  customers: [{name: hotel, rate: 10, burst: 10}]\n";
    assert_eq!(cluster.apply_note(note).expect("the note is accepted"), 2);
    assert_eq!(cluster.apply_note(note).expect("the same note again"), 2);
}

#[test]
fn concurrent_notes_of_two_operators_both_take_effect() {
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
    let outcomes = thread::scope(|scope| {
        let first = scope.spawn(|| apply(0, "hotel"));
        let second = scope.spawn(|| apply(1, "school"));
        [
            first.join().expect("the thread ends"),
            second.join().expect("the thread ends"),
        ]
    });
    let mut revisions: Vec<_> = outcomes
        .iter()
        .map(|outcome| match outcome {
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

// The store comes back from a copy that lacks the first note.
#[test]
fn a_note_in_force_survives_a_restored_store() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    let note = |name: &str| {
        format!("note: note-{name}\nadded:\n  customers: [{{name: {name}, rate: 10, burst: 10}}]\n")
    };
    let copy = cluster.platform.copy();
    let first = cluster.apply_note(&note("hotel"));
    assert_eq!(first.expect("the note is in force"), 2);
    cluster.platform.set_down(true);
    cluster.platform.restore(&copy);
    cluster.platform.set_down(false);
    let second = cluster.apply_note(&note("school"));
    assert_eq!(second.expect("the note is in force"), 3);
    // A daemon that starts now learns both notes.
    cluster.kill_vm(2);
    let added = cluster.add_vm(cluster.plan().vms[2].clone());
    let added = added.expect("the daemon starts");
    cluster.publish_vms(time::Duration::ZERO);
    let knows_both = |cluster: &testbed::Cluster| {
        [0, 1, added].into_iter().all(|vm| {
            cluster.daemon(vm).inspect(|kernel| {
                let customers = &kernel.fleet().customers;
                ["hotel", "school"]
                    .iter()
                    .all(|name| customers.contains_key(*name))
            })
        })
    };
    assert!(cluster.wait_until(WAIT_LIMIT, knows_both));
}

#[test]
fn graceful_stop_interrupts_no_request() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (logs, ()) = run_under_load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster.stop_vm(0);
        cluster.publish_vms(time::Duration::ZERO);
        thread::sleep(time::Duration::from_millis(300));
    });
    check_orders(&cluster, 1, &logs);
    // If the daemon closes a session between two requests, the client library
    // reports the close on the next request without sending the request; none
    // of these requests may have run.
    let ids = order_ids(&cluster, 1);
    for log in &logs {
        assert!(
            log.errors.iter().all(|e| e.contains("Closed")),
            "{:?}",
            log.errors
        );
        assert!(
            log.unknown.iter().all(|id| !ids.contains(id)),
            "{:?}",
            log.unknown
        );
    }
}

#[test]
fn graceful_stop_lets_a_transaction_finish() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut client = common::connect(&cluster, 0);
    let mut open = client.transaction().expect("the transaction begins");
    open.execute("INSERT INTO orders VALUES (1, 'loaf', 1)", &[])
        .expect("the statement runs");
    thread::scope(|scope| {
        let cluster = &mut cluster;
        let stopping = scope.spawn(move || cluster.stop_vm(0));
        thread::sleep(time::Duration::from_millis(100));
        open.execute("INSERT INTO orders VALUES (2, 'loaf', 1)", &[])
            .expect("the statement runs");
        open.commit().expect("the transaction commits");
        stopping.join().expect("the daemon stops");
    });
    assert_eq!(order_ids(&cluster, 1), [1, 2]);
}

#[test]
fn killed_daemon_duplicates_no_write() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (logs, ()) = run_under_load(&mut cluster, &[0, 1], |cluster| {
        cluster.kill_vm(0);
        thread::sleep(time::Duration::from_millis(300));
    });
    check_orders(&cluster, 2, &logs);
}

#[test]
fn cancel_reaches_a_session_of_another_daemon() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    let mut sleeper = common::connect(&cluster, 0);
    let token = sleeper.cancel_token();
    drop(token);
    let sleeping = thread::spawn(move || sleeper.simple_query("SELECT pg_sleep(20)"));
    // The cancel key identifies VM 0, whichever daemon receives the request.
    let cancel_keys = cluster.daemon(0).cancel_keys();
    let mut is_done = false;
    let started = time::Instant::now();
    while !is_done && started.elapsed() < WAIT_LIMIT {
        for (process, secret) in &cancel_keys {
            send_cancel(&cluster, 1, *process, *secret);
        }
        thread::sleep(time::Duration::from_millis(20));
        is_done = sleeping.is_finished();
    }
    let error = sleeping
        .join()
        .expect("the thread ends")
        .expect_err("the sleep is cancelled");
    assert_eq!(common::sqlstate(&error), SqlState::QUERY_CANCELED);
}

fn send_cancel(cluster: &testbed::Cluster, vm: usize, process: i32, secret: i32) {
    use std::io::{Read, Write};
    let mut socket = std::net::TcpStream::connect(cluster.daemon(vm).caller_address())
        .expect("the daemon listens");
    let mut bytes = vec![0, 0, 0, 16, 4, 210, 22, 46];
    bytes.extend_from_slice(&process.to_be_bytes());
    bytes.extend_from_slice(&secret.to_be_bytes());
    socket.write_all(&bytes).expect("the request is sent");
    let _ = socket.read_to_end(&mut Vec::new());
}

#[test]
fn withdrawn_primary_is_replaced_without_interrupted_requests() {
    let mut cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let (logs, replaced) = run_under_load(&mut cluster, &[0, 1, 2], |cluster| {
        cluster
            .apply_note("note: second\nwithdrawn:\n  instances: [orders-0]\n")
            .expect("the note is in force");
        let replaced = await_primary(cluster, "orders-0");
        thread::sleep(time::Duration::from_millis(200));
        replaced
    });
    assert!(replaced, "the leaving primary was not replaced");
    let unknown: Vec<_> = logs.iter().flat_map(|log| &log.errors).collect();
    assert!(unknown.is_empty(), "requests were interrupted: {unknown:?}");
    check_orders(&cluster, 0, &logs);
}
