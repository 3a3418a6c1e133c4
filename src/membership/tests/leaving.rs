//! Hints that an upstream is leaving spread, and do not outlive the first-hand word.

use crate::membership::leaving::{LEAVING_MARK_MS, Leaving};
use crate::prelude::*;

#[test]
fn a_hint_passed_around_ends_with_the_first_hand_word() {
    let upstream: Name = "engine-1".into();
    let mut hosts = [Leaving::default(), Leaving::default()];
    let said_at = Millis(1_000_000);
    assert!(hosts[0].mark(&upstream, said_at));
    let mut now = said_at;
    while now.since(said_at) <= LEAVING_MARK_MS {
        let (from, to) = if now.0.is_multiple_of(2_000) {
            (0, 1)
        } else {
            (1, 0)
        };
        for hint in hosts[from].hints(now) {
            hosts[to].mark(&hint.upstream, now - hint.age_ms);
        }
        now += Millis(1_000);
    }
    assert_eq!(hosts[0].expire(now), std::slice::from_ref(&upstream));
    assert_eq!(hosts[1].expire(now), [upstream]);
}
