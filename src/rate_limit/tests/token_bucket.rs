//! Tests that a bucket's level does not depend on when its use is reported.

use crate::prelude::*;
use crate::rate_limit::token_bucket::{Refill, SLOT_MS, SLOTS, TokenBucket};
use arbtest::arbtest;

const START: Millis = Millis(1_000_000);
const REFILL: Refill = Refill {
    per_s: 1_000.0,
    burst: 500.0,
};

fn at(slots: u64) -> Millis {
    START + Millis(slots * SLOT_MS.0)
}

#[test]
fn a_bucket_refills_up_to_its_burst() {
    let bucket = TokenBucket::new(START, -1_000.0);
    assert_eq!(bucket.level(at(4), REFILL), 0.0);
    assert_eq!(bucket.level(at(400), REFILL), 500.0);
}

#[test]
fn late_report_costs_the_same_as_a_timely_one() {
    let mut in_time = TokenBucket::new(START, 500.0);
    let mut late = in_time.clone();
    for slot in 0..12 {
        in_time.add(at(slot), 0, 200, REFILL);
    }
    for slot in 0..12 {
        late.add(at(11), 11 - slot, 200, REFILL);
    }
    assert_eq!(in_time.level(at(11), REFILL), late.level(at(11), REFILL));
    // Without slots, three seconds of use counted at once would leave a level of -1,900.
    assert!(late.level(at(11), REFILL) > 0.0);
}

#[test]
fn the_order_in_which_use_is_reported_changes_nothing() {
    arbtest(|u| {
        let uses: Vec<(u64, i64)> = (0..u.int_in_range(0..=40)?)
            .map(|_| Ok((u.int_in_range(0..=SLOTS - 1)?, u.int_in_range(-300..=700)?)))
            .collect::<arbtest::arbitrary::Result<_>>()?;
        let now = at(SLOTS - 1);
        let mut forwards = TokenBucket::new(START, 500.0);
        let mut backwards = forwards.clone();
        for (ago, amount) in &uses {
            forwards.add(now, *ago, *amount, REFILL);
        }
        for (ago, amount) in uses.iter().rev() {
            backwards.add(now, *ago, *amount, REFILL);
        }
        let later = now + Millis(u.int_in_range(0..=20_000)?);
        assert_eq!(
            forwards.level(later, REFILL),
            backwards.level(later, REFILL)
        );
        Ok(())
    });
}

#[test]
fn advancing_changes_no_level() {
    arbtest(|u| {
        let mut moved = TokenBucket::new(START, 500.0);
        let mut now = START;
        for _ in 0..u.int_in_range(0..=60)? {
            now += Millis(u.int_in_range(0..=3_000)?);
            let before = moved.level(now, REFILL);
            moved.add(now, 0, 0, REFILL);
            assert!((moved.level(now, REFILL) - before).abs() < 1e-6);
            moved.add(now, 0, u.int_in_range(0..=900)?, REFILL);
        }
        Ok(())
    });
}

#[test]
fn recent_use_is_averaged_over_one_second() {
    let mut bucket = TokenBucket::new(START, 500.0);
    for slot in 0..20 {
        bucket.add(at(slot), 0, 250, REFILL);
    }
    let present = bucket.used_per_s(at(20));
    assert!((present - 1_000.0).abs() < 1.0, "{present}");
    assert_eq!(bucket.used_per_s(at(40)), 0.0);
}
