//! `DEALLOCATE` in SQL.

use wire::Target;

fn name(name: &'static str) -> Option<Target> {
    Some(Target::Name(name.into()))
}

#[test]
fn targets_are_read_as_the_database_reads_them() {
    for (sql, target) in [
        ("DEALLOCATE _pg3_0", name("_pg3_0")),
        ("  deallocate  prepare Mine ;", name("mine")),
        ("DEALLOCATE prepare", name("prepare")),
        ("DEALLOCATE \"S\"\"1\"", name("S\"1")),
        ("DEALLOCATE ALL", Some(Target::All)),
        ("DEALLOCATE PREPARE ALL;", Some(Target::All)),
        ("DEALLOCATE allocated", name("allocated")),
        ("DEALLOCATE", None),
        ("DEALLOCATE a b", None),
        ("DEALLOCATE \"a", None),
        ("DEALLOCATE a; SELECT 1", None),
        ("DEALLOCATED a", None),
        ("SELECT 1", None),
    ] {
        assert_eq!(Target::of(sql), target, "{sql}");
    }
}
