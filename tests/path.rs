//! End-to-end tests of requests from a PostgreSQL client through real daemons,
//! without injected faults.

mod common;

use std::{io::Read, io::Write, net, thread, time};

use postgres::{Client, NoTls, SimpleQueryMessage, error::SqlState};

#[test]
fn own_writes_are_read_through_the_same_and_another_daemon() {
    let mut plan = testbed::Plan::small().for_fault_free_tests();
    plan.replica_lag = time::Duration::from_millis(500);
    let cluster = testbed::Cluster::start(plan).expect("the cluster starts");
    common::create_orders(&cluster);
    let mut first = common::connect(&cluster, 0);
    for id in 0..20 {
        let changed = common::insert(&mut first, id, id * 2);
        assert_eq!(changed.expect("the order is written"), 1);
        assert_eq!(
            common::quantity(&mut first, id).expect("the rows are read"),
            Some(id * 2)
        );
        let other = 1 + usize::try_from(id).unwrap_or(0) % 2;
        let mut second = common::connect(&cluster, other);
        assert_eq!(
            common::quantity(&mut second, id).expect("the rows are read"),
            Some(id * 2)
        );
    }
}

#[test]
fn wrong_key_is_refused_and_no_key_reaches_a_database() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    for instance in cluster.groups[0].instances() {
        instance.record();
    }
    common::create_orders(&cluster);
    let key = cluster.plan().customers[0].key.clone();
    let wrong = cluster.url(0, 0, 0).replace(&key, "not-the-key");
    let Err(error) = Client::connect(&wrong, NoTls) else {
        panic!("a wrong key was accepted");
    };
    assert_eq!(common::sqlstate(&error), SqlState::INVALID_PASSWORD);
    assert!(common::detail(&error).starts_with("not run"));
    let mut client = common::connect(&cluster, 0);
    let leaking = format!("INSERT INTO orders VALUES (1, '{key}', 1)");
    let error = client
        .batch_execute(&leaking)
        .expect_err("a key in a statement is refused");
    assert_eq!(
        common::sqlstate(&error),
        SqlState::INVALID_AUTHORIZATION_SPECIFICATION
    );
    let parameter = client.execute("INSERT INTO orders VALUES (2, $1, 1)", &[&key]);
    let error = parameter.expect_err("a key as parameter is refused");
    assert_eq!(
        common::sqlstate(&error),
        SqlState::INVALID_AUTHORIZATION_SPECIFICATION
    );
    common::insert(&mut client, 3, 1).expect("the session goes on");
    for instance in cluster.groups[0].instances() {
        let bytes = instance.recorded();
        assert!(!bytes.is_empty());
        let found = bytes.windows(key.len()).any(|w| w == key.as_bytes());
        assert!(!found, "a database saw the key");
    }
}

#[test]
fn cancel_stops_its_own_statement_and_no_later_one() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut sleeper = common::connect(&cluster, 0);
    let token = sleeper.cancel_token();
    let cancelled = thread::spawn(move || sleeper.simple_query("SELECT pg_sleep(20)"));
    let started = time::Instant::now();
    let mut is_done = false;
    while !is_done && started.elapsed() < time::Duration::from_secs(15) {
        token
            .cancel_query(NoTls)
            .expect("the cancel request is accepted");
        is_done = cancelled.is_finished();
    }
    let error = cancelled
        .join()
        .expect("the thread ends")
        .expect_err("the sleep is cancelled");
    assert_eq!(common::sqlstate(&error), SqlState::QUERY_CANCELED);
    let mut next = common::connect(&cluster, 0);
    for _ in 0..50 {
        token
            .cancel_query(NoTls)
            .expect("a late cancel request is accepted");
        let rows = next
            .simple_query("SELECT 41 + 1")
            .expect("the statement of the next caller is not cancelled");
        let found = rows.iter().any(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0) == Some("42"),
            _ => false,
        });
        assert!(found);
    }
}

#[test]
fn two_hundred_clients_share_sixteen_connections_without_mixed_answers() {
    let mut plan = testbed::Plan::small().for_fault_free_tests();
    plan.replica_lag = time::Duration::from_millis(20);
    plan.limits.wait_timeout = time::Duration::from_secs(60);
    let cluster = testbed::Cluster::start(plan).expect("the cluster starts");
    common::create_orders(&cluster);
    let urls: Vec<_> = (0..3).map(|vm| cluster.url(vm, 0, 0)).collect();
    let callers: Vec<_> = (0..200)
        .map(|caller| {
            let url = urls[usize::try_from(caller).unwrap_or(0) % 3].clone();
            thread::spawn(move || {
                let mut client = Client::connect(&url, NoTls).expect("the key is accepted");
                for round in 0..5 {
                    let id = caller * 100 + round;
                    common::insert(&mut client, id, id + 7).expect("the row is written");
                    let mut open = client.transaction().expect("the transaction begins");
                    let update = "UPDATE orders SET quantity = quantity + 1 WHERE id = $1";
                    open.execute(update, &[&id]).expect("the order is updated");
                    let select = "SELECT id, quantity FROM orders WHERE id = $1";
                    let row = open
                        .query_one(select, &[&id])
                        .expect("the order is read in the transaction");
                    assert_eq!((row.get::<_, i32>(0), row.get::<_, i32>(1)), (id, id + 8));
                    open.commit().expect("the transaction commits");
                    let row = client
                        .query_one(select, &[&id])
                        .expect("the order is read after the commit");
                    assert_eq!((row.get::<_, i32>(0), row.get::<_, i32>(1)), (id, id + 8));
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().expect("every answer matches its request");
    }
    for instance in cluster.groups[0].instances() {
        assert!(instance.peak_connections() <= 16);
    }
    let mut client = common::connect(&cluster, 1);
    let row = client
        .query_one("SELECT count(*) FROM orders", &[])
        .expect("the orders are counted");
    assert_eq!(row.get::<_, i64>(0), 1000);
}

#[test]
fn pipelined_and_large_answers_keep_their_order() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut client = common::connect(&cluster, 0);
    let wide = "x".repeat(60_000);
    client
        .batch_execute("CREATE TABLE notes (id INT PRIMARY KEY, body TEXT)")
        .expect("the table is created");
    for id in 0..40 {
        let insert = "INSERT INTO notes (id, body) VALUES ($1, $2)";
        client
            .execute(insert, &[&id, &wide])
            .expect("the row is written");
    }
    let rows = client
        .query("SELECT id, body FROM notes ORDER BY id", &[])
        .expect("the rows are read");
    let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, (0..40).collect::<Vec<_>>());
    assert!(
        rows.iter()
            .all(|row| row.get::<_, &str>(1).len() == wide.len())
    );
    let text = client
        .simple_query("SELECT 1; SELECT 2; SELECT 3")
        .expect("all three run");
    let values: Vec<_> = text
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_string),
            _ => None,
        })
        .collect();
    assert_eq!(values, ["1", "2", "3"]);
}

#[test]
fn named_statements_and_parameters_survive_pooling() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut clients: Vec<_> = (0..12).map(|i| common::connect(&cluster, i % 3)).collect();
    let statements: Vec<_> = clients
        .iter_mut()
        .map(|client| {
            client
                .prepare("SELECT $1::int + 1")
                .expect("the statement is prepared")
        })
        .collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client
            .batch_execute(&format!("SET app.caller = '{i}'"))
            .expect("the parameter is set");
    }
    for round in 0..10 {
        for (i, client) in clients.iter_mut().enumerate() {
            let row = client
                .query_one(&statements[i], &[&round])
                .expect("the statement runs");
            assert_eq!(row.get::<_, i32>(0), round + 1);
            let shown = client
                .simple_query("SHOW app.caller")
                .expect("the parameter is shown");
            let own = shown.iter().any(|message| match message {
                SimpleQueryMessage::Row(row) => row.get(0) == Some(i.to_string().as_str()),
                _ => false,
            });
            assert!(own, "a parameter of another session was seen");
        }
    }
}

/// Value of a parameter in a new statement, outside of any transaction.
fn show(client: &mut Client, name: &str) -> String {
    let shown = client.simple_query(&format!("SHOW {name}"));
    let shown = shown.expect("the parameter is shown");
    let value = shown.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_string),
        _ => None,
    });
    value.expect("a row")
}

// Guards against a replay of settings other than those that the caller was told of.
#[test]
fn the_settings_that_hold_are_those_that_were_acknowledged() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut client = common::connect(&cluster, 0);
    let mut run = |sql: &str, expected: &str| {
        let _ = client.batch_execute(sql);
        assert_eq!(show(&mut client, "app.x"), expected, "after {sql}");
    };
    run("SET app.x = '1'", "1");
    run("BEGIN; SET app.x = '2'; ROLLBACK", "1");
    run("BEGIN; SET app.x = '3'; COMMIT", "3");
    run("SET app.x = '4'; SELECT no_such_column FROM orders", "3");
    run("SET app.x = '5'; SELECT 1", "5");
    run("BEGIN", "5");
    run("SET app.x = '6'", "6");
    run("ROLLBACK", "5");
    run("RESET ALL", "");
}

// Guards against a Sync after an error that the database does not get, so that it skips what
// follows, and against a setting that is lost after it.
#[test]
fn a_session_goes_on_after_an_error_before_a_flush() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut session = common::raw::Session::connect(&cluster, 0);
    for in_transaction in [false, true] {
        if in_transaction {
            session.send(b'Q', b"BEGIN\0");
            assert_eq!(session.read_tags(), "CZ");
        }
        session.send(b'P', b"\0SELECT a FROM no_such_table\0\0\0");
        session.send(b'H', b"");
        session.send(b'S', b"");
        assert_eq!(session.read_tags(), "EZ");
        if in_transaction {
            assert_eq!(session.transaction_status(), b'E');
            session.send(b'Q', b"ROLLBACK\0");
            assert_eq!(session.read_tags(), "CZ");
        }
        assert_eq!(session.transaction_status(), b'I');
        session.send(b'Q', b"SET app.x = '1'\0");
        assert_eq!(session.read_tags(), "CZ");
        session.send(b'Q', b"SHOW app.x\0");
        assert_eq!(session.read_tags(), "TDCZ");
        assert_eq!(session.last_row(), b"1");
        session.send(b'Q', b"DISCARD ALL\0");
        assert_eq!(session.read_tags(), "CZ");
    }
}

// Guards against an acknowledged setting that is dropped because there are many.
#[test]
fn a_setting_too_many_is_refused_and_none_is_dropped() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut client = common::connect(&cluster, 0);
    let mut acknowledged = Vec::new();
    for n in 0..80 {
        if client
            .batch_execute(&format!("SET app.p{n} = '{n}'"))
            .is_ok()
        {
            acknowledged.push(n);
        }
    }
    assert!(acknowledged.len() >= 60, "{acknowledged:?}");
    for n in acknowledged {
        assert_eq!(show(&mut client, &format!("app.p{n}")), n.to_string());
    }
    client
        .batch_execute("SET app.p0 = 'new'")
        .expect_err("no room");
    client.batch_execute("RESET ALL").expect("all are dropped");
    client
        .batch_execute("SET app.p0 = 'new'")
        .expect("there is room again");
}

#[test]
fn copy_from_the_caller_is_refused_and_the_session_goes_on() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut client = common::connect(&cluster, 0);
    let error = client
        .batch_execute("COPY orders FROM STDIN")
        .expect_err("COPY FROM STDIN is refused");
    assert_eq!(common::sqlstate(&error), SqlState::FEATURE_NOT_SUPPORTED);
    client
        .batch_execute("SELECT 1")
        .expect("the session goes on");
}

fn answer_to(address: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut socket = net::TcpStream::connect(address).expect("the daemon listens");
    socket.write_all(bytes).expect("the bytes are sent");
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    answer
}

#[test]
fn malformed_input_closes_only_its_own_connection() {
    let mut plan = testbed::Plan::small().for_fault_free_tests();
    plan.limits.startup_timeout = time::Duration::from_millis(300);
    let cluster = testbed::Cluster::start(plan).expect("the cluster starts");
    let address = cluster.daemon(0).caller_address();
    let mut client = common::connect(&cluster, 0);
    let startup = b"\x00\x00\x00\x24\x00\x03\x00\x00user\0tienda\0database\0orders\0\0";
    let mut password = startup.to_vec();
    password[3] = u8::try_from(startup.len()).unwrap_or(0);
    password.extend_from_slice(b"p\x00\x00\x00\x17key-of-tienda-7f31\0");
    let mut garbage = password.clone();
    garbage.extend_from_slice(b"\x01\x02\x03\x04\x05\x06\x07\x08");
    let mut huge = password.clone();
    huge.extend_from_slice(b"Q\x7f\xff\xff\xff");
    let mut short = password.clone();
    short.extend_from_slice(b"Q\x00\x00\x00\x01");
    let mut bind = password.clone();
    bind.extend_from_slice(b"B\x00\x00\x00\x05xS\x00\x00\x00\x04");
    for bytes in [
        b"\x00\x00\x00\x00".as_slice(),
        b"\xff\xff\xff\xff\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00\x00\x00\x10",
        &garbage,
        &huge,
        &short,
        &bind,
    ] {
        let answer = answer_to(address, bytes);
        let is_reported = bytes.len() < 40 || answer.windows(5).any(|w| w == b"08P01");
        assert!(is_reported, "no protocol error for {bytes:?}");
        client
            .batch_execute("SELECT 1")
            .expect("other sessions go on");
    }
}

/// Random protocol messages, some with a wrong length, an arbitrary body or an
/// unknown type.
fn random_messages(g: &mut quickcheck::Gen) -> Vec<u8> {
    use quickcheck::Arbitrary;
    let bodies: [&[u8]; 8] = [
        b"SELECT 1\0",
        b"\0SELECT 1\0\0\0",
        b"\0\0\0\0\0\0\0\0",
        b"S\0",
        b"P\0",
        b"\0\0\0\0\0",
        b"",
        b"DEALLOCATE \"\0",
    ];
    let mut bytes = Vec::new();
    for _ in 0..u8::arbitrary(g) % 12 {
        let body = match u8::arbitrary(g) % 4 {
            0 => Vec::<u8>::arbitrary(g),
            _ => g.choose(&bodies).expect("a body").to_vec(),
        };
        let tag = g.choose(b"QPBDECSHXFdcfp\0").copied();
        bytes.push(tag.unwrap_or_default());
        let length = match u8::arbitrary(g) % 8 {
            0 => u32::arbitrary(g),
            _ => u32::try_from(body.len() + 4).expect("a short body"),
        };
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&body);
    }
    bytes
}

#[test]
fn random_messages_end_only_their_own_session() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    let mut other = common::connect(&cluster, 0);
    // The fixed seed makes every run send the same messages.
    let mut g = quickcheck::Gen::from_size_and_seed(40, 12);
    for _ in 0..150 {
        let session = common::raw::Session::connect(&cluster, 0);
        session.send_bytes(&random_messages(&mut g), time::Duration::from_millis(60));
        other
            .batch_execute("SELECT 1")
            .expect("other sessions go on");
    }
}

#[test]
fn deallocate_drops_statements_prepared_by_protocol_messages() {
    let cluster = testbed::Cluster::start(testbed::Plan::small().for_fault_free_tests())
        .expect("the cluster starts");
    common::create_orders(&cluster);
    let mut session = common::raw::Session::connect(&cluster, 0);
    // Parse a named statement, then Sync.
    session.send(b'P', b"mine\0SELECT id FROM orders\0\0\0");
    session.send(b'S', b"");
    assert_eq!(session.read_tags(), "1Z");
    session.send(b'Q', b"DEALLOCATE mine\0");
    assert_eq!(session.read_tags(), "CZ");
    session.send(b'Q', b"DEALLOCATE mine\0");
    assert_eq!(session.read_tags(), "EZ");
    assert_eq!(session.sqlstate(), "26000");
    // DEALLOCATE through the extended protocol, after Parse of another statement.
    session.send(b'P', b"yours\0SELECT id FROM orders\0\0\0");
    session.send(b'P', b"\0DEALLOCATE ALL\0\0\0");
    session.send(b'B', b"\0\0\0\0\0\0\0\0");
    session.send(b'D', b"P\0");
    session.send(b'E', b"\0\0\0\0\0");
    session.send(b'S', b"");
    assert_eq!(session.read_tags(), "112nCZ");
    session.send(b'Q', b"DEALLOCATE yours\0");
    assert_eq!(session.read_tags(), "EZ");
    // DEALLOCATE in an open transaction, then in a failed one.
    session.send(b'Q', b"BEGIN\0");
    assert_eq!(session.read_tags(), "CZ");
    session.send(b'Q', b"DEALLOCATE ALL\0");
    assert_eq!(session.read_tags(), "CZ");
    assert_eq!(session.transaction_status(), b'T');
    session.send(b'Q', b"DEALLOCATE nobody\0");
    assert_eq!(session.read_tags(), "EZ");
    assert_eq!(session.transaction_status(), b'E');
    session.send(b'Q', b"DEALLOCATE ALL\0");
    assert_eq!(session.read_tags(), "EZ");
    assert_eq!(session.sqlstate(), "25P02");
    session.send(b'Q', b"ROLLBACK\0");
    assert_eq!(session.read_tags(), "CZ");
    assert_eq!(session.transaction_status(), b'I');
}
