//! The load limiter keeps the start rate below the store's limit and adapts the number of
//! concurrent loads.

use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;

const LOADS_PER_S: f64 = 2.1;
const WINDOW_MS: Millis = Millis(5_000);
/// The loads that the store allows in one window: the rate with an excess of a tenth, and three
/// more.
const ALLOWED: f64 = LOADS_PER_S * 5.0 * 1.1 + 3.0;

#[test]
fn load_starts_in_any_window_stay_below_the_limit_across_changes_of_the_holder() {
    arbtest::arbtest(|u| {
        let mut now = Millis(1_000_000);
        let mut limiter = StoreLoadLimiter::new(now, None);
        let mut begun: Vec<Millis> = Vec::new();
        for _ in 0..u.int_in_range(0..=300u16)? {
            now += Millis(u.int_in_range(0..=400u64)?);
            match u.int_in_range(0..=30u8)? {
                0 => {
                    // A new holder sends no order before the engines' lease time after the previous
                    // holder's last.
                    now += Millis(3_000);
                    limiter = StoreLoadLimiter::new(now, None);
                }
                _ if limiter.admits(now, LOADS_PER_S, 0) => {
                    limiter.record_start();
                    begun.push(now);
                }
                _ => {}
            }
        }
        for end in &begun {
            let in_window = |at: &&Millis| **at <= *end && **at + WINDOW_MS >= *end;
            let loads = begun.iter().filter(in_window).count() as f64;
            assert!(loads <= ALLOWED, "{loads} loads in one window");
        }
        Ok(())
    });
}

#[test]
fn the_limit_drops_to_one_for_a_store_that_serves_one_load_at_a_time() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    for concurrent in [4, 3, 2] {
        let took_ms = Millis(13_200 * concurrent);
        limiter.record_finish(took_ms, Millis(13_200), concurrent as usize);
    }
    assert_eq!(limiter.max_concurrent(), 1);
    assert!(limiter.admits(Millis(100_000), 19.0, 0));
    assert!(!limiter.admits(Millis(100_000), 19.0, 1));
}

#[test]
fn an_overdue_load_lowers_the_limit_before_it_ends() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    assert!(limiter.admits(Millis(100_000), 19.0, 1));
    limiter.record_overdue(Millis(13_500), Millis(13_200), 2);
    assert_eq!(limiter.max_concurrent(), 2);
    limiter.record_overdue(Millis(15_400), Millis(13_200), 2);
    assert_eq!(limiter.max_concurrent(), 1);
}

#[test]
fn a_single_overdue_load_does_not_lower_the_limit() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    limiter.record_overdue(Millis(60_000), Millis(13_200), 1);
    assert_eq!(limiter.max_concurrent(), 2);
}

#[test]
fn the_limit_reaches_the_typical_number_after_few_loads_at_full_speed() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    limiter.record_finish(Millis(6_200), Millis(6_000), 2);
    limiter.record_finish(Millis(6_200), Millis(6_000), 2);
    assert!(limiter.max_concurrent() >= 3);
    limiter.record_finish(Millis(6_200), Millis(6_000), 3);
    assert_eq!(limiter.max_concurrent(), 4);
}

#[test]
fn a_new_holder_starts_with_the_limit_that_its_predecessor_learned() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    assert_eq!(limiter.learned_max_concurrent(), None);
    limiter.record_overdue(Millis(15_400), Millis(13_200), 2);
    let next = StoreLoadLimiter::new(Millis(20_000), limiter.learned_max_concurrent());
    assert_eq!(next.max_concurrent(), 1);
}

#[test]
fn the_limit_grows_while_loads_run_at_full_speed() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    for _ in 0..20 {
        let concurrent = limiter.max_concurrent();
        limiter.record_finish(Millis(6_200), Millis(6_000), concurrent);
    }
    assert!(limiter.max_concurrent() >= 7);
}

#[test]
fn one_late_load_lowers_the_limit_only_for_a_while() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, Some(4));
    // The engine itself was slow: the load took as long as with ten concurrent loads.
    limiter.record_finish(Millis(15_000), Millis(6_000), 4);
    assert_eq!(limiter.max_concurrent(), 3);
    for _ in 0..10 {
        limiter.record_finish(Millis(6_200), Millis(6_000), 3);
    }
    assert_eq!(limiter.max_concurrent(), 4);
}

/// Regression test: a store that serves thousands of engines received only two loads at a time at
/// first.
#[test]
fn a_store_with_a_high_rate_gets_many_concurrent_loads_from_the_start() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    assert!(limiter.admits(Millis(10_000), 2_800.0, 80));
    assert!(!limiter.admits(Millis(10_000), 2_800.0, 90));
    for _ in 0..100 {
        limiter.record_finish(Millis(13_400), Millis(13_200), limiter.max_concurrent());
    }
    assert!(limiter.max_concurrent() > 100);
}

/// Regression test: the stated rate was taken for the number of concurrent loads at full speed.
#[test]
fn the_limit_drops_for_a_store_that_serves_few_concurrent_loads_despite_a_high_rate() {
    let mut limiter = StoreLoadLimiter::new(Millis::ZERO, None);
    assert!(limiter.admits(Millis(10_000), 2_800.0, 80));
    let served_at_once = 4;
    for _ in 0..16 {
        let at_once = limiter.max_concurrent();
        let passed_ms = Millis(13_200 * (at_once as u64 / served_at_once));
        limiter.record_overdue(passed_ms, Millis(13_200), at_once);
    }
    assert!(
        limiter.max_concurrent() <= 8,
        "{} concurrent loads",
        limiter.max_concurrent()
    );
}
