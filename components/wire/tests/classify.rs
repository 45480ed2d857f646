//! Statements are told apart by what they may do.

use quickcheck::{Gen, QuickCheck};
use wire::{Class, classify};

#[test]
fn classes() {
    for (sql, class) in [
        ("SELECT 1", Class::Read),
        (
            "  -- note\n select * from orders where item = 'insert; into'",
            Class::Read,
        ),
        ("SELECT \"update\" FROM orders", Class::Read),
        ("SELECT $1::int + 1;", Class::Read),
        ("SELECT $x$ insert into $x$", Class::Read),
        ("WITH a AS (SELECT 1) SELECT * FROM a", Class::Read),
        (
            "WITH a AS (DELETE FROM orders RETURNING id) SELECT * FROM a",
            Class::Write,
        ),
        ("SELECT * FROM orders FOR UPDATE", Class::Write),
        ("SELECT * INTO copy FROM orders", Class::Write),
        ("SELECT nextval('ids')", Class::Write),
        ("SELECT pg_advisory_lock(1)", Class::Write),
        ("SELECT 1; INSERT INTO orders VALUES (1)", Class::Write),
        ("INSERT INTO orders VALUES (1)", Class::Write),
        ("EXPLAIN ANALYZE DELETE FROM orders", Class::Write),
        ("BEGIN", Class::Write),
        ("BEGIN READ ONLY", Class::Read),
        ("SET app.caller = '1'", Class::Set),
        ("SET LOCAL app.caller = '1'", Class::Write),
        ("LISTEN orders", Class::Unsupported),
        ("COPY orders FROM STDIN", Class::Unsupported),
        ("CREATE TEMP TABLE a (id INT)", Class::Unsupported),
        ("", Class::Read),
    ] {
        assert_eq!(classify(sql), class, "{sql}");
    }
}

#[test]
fn any_text_is_classified_and_hidden_writes_are_found() {
    let property = |before: String, after: String| {
        classify(&before);
        let plain: String = after.chars().filter(char::is_ascii_alphabetic).collect();
        classify(&format!("SELECT 1; DELETE FROM {plain}")) == Class::Write
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(500)
        .quickcheck(property as fn(String, String) -> bool);
}
