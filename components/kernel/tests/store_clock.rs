//! Times that answers of the store prove, given the store's clock.

use std::time as std_time;

use kernel::{store_clock, time};

const fn at(ms: u64) -> time::Time {
    time::Time::from_ms(ms)
}

fn store_clock_ms(ms: u64) -> Option<std_time::Duration> {
    Some(std_time::Duration::from_millis(ms))
}

#[test]
fn a_long_poll_proves_the_time_of_its_answer() {
    let mut bounds = store_clock::OffsetBounds::default();
    // The store's clock is 50 s ahead; the one-way delay is 2 ms.
    assert_eq!(
        bounds.proof_time(at(1000), at(1004), store_clock_ms(51_002)),
        at(1000)
    );
    let proven = bounds.proof_time(at(1004), at(3008), store_clock_ms(53_006));
    assert!(proven >= at(3002) && proven <= at(3006), "{proven:?}");
}

#[test]
fn an_answer_proves_nothing_later_than_its_own_time() {
    for delay in [0, 1, 20, 500] {
        let mut bounds = store_clock::OffsetBounds::default();
        bounds.proof_time(at(1000), at(1002), store_clock_ms(51_001));
        // The store sent the answer at 2000 ms; the answer took `delay` ms.
        let proven = bounds.proof_time(at(1002), at(2000 + delay), store_clock_ms(52_000));
        assert!(proven <= at(2000), "{delay} ms: {proven:?}");
    }
}

#[test]
fn a_store_clock_that_jumps_proves_only_the_sending_time() {
    let mut bounds = store_clock::OffsetBounds::default();
    bounds.proof_time(at(1000), at(1002), store_clock_ms(51_001));
    assert_eq!(
        bounds.proof_time(at(1002), at(2000), store_clock_ms(90_000)),
        at(1002)
    );
    assert_eq!(
        bounds.proof_time(at(2000), at(3000), store_clock_ms(10)),
        at(2000)
    );
}

#[test]
fn an_answer_without_a_clock_proves_the_sending_time() {
    let mut bounds = store_clock::OffsetBounds::default();
    assert_eq!(bounds.proof_time(at(1000), at(5000), None), at(1000));
}
