//! Ages of what the store has told.

use std::time as std_time;

use kernel::{store_clock, time};

const fn at(ms: u64) -> time::Time {
    time::Time::from_ms(ms)
}

fn clock(ms: u64) -> Option<std_time::Duration> {
    Some(std_time::Duration::from_millis(ms))
}

#[test]
fn a_read_that_waited_proves_the_time_of_its_answer() {
    let mut store = store_clock::OffsetBounds::default();
    // The store's clock is 50 s ahead; each way takes 2 ms.
    assert_eq!(
        store.proof_time(at(1000), at(1004), clock(51_002)),
        at(1000)
    );
    let proved = store.proof_time(at(1004), at(3008), clock(53_006));
    assert!(proved >= at(3002) && proved <= at(3006), "{proved:?}");
}

#[test]
fn an_answer_never_proves_more_than_its_own_time() {
    for delay in [0, 1, 20, 500] {
        let mut store = store_clock::OffsetBounds::default();
        store.proof_time(at(1000), at(1002), clock(51_001));
        // The answer left the store at 2000 and took `delay` ms.
        let proved = store.proof_time(at(1002), at(2000 + delay), clock(52_000));
        assert!(proved <= at(2000), "{delay} ms: {proved:?}");
    }
}

#[test]
fn a_clock_that_jumps_proves_no_more_than_the_sending() {
    let mut store = store_clock::OffsetBounds::default();
    store.proof_time(at(1000), at(1002), clock(51_001));
    assert_eq!(
        store.proof_time(at(1002), at(2000), clock(90_000)),
        at(1002)
    );
    assert_eq!(store.proof_time(at(2000), at(3000), clock(10)), at(2000));
}

#[test]
fn without_a_clock_the_sending_counts() {
    let mut store = store_clock::OffsetBounds::default();
    assert_eq!(store.proof_time(at(1000), at(5000), None), at(1000));
}
