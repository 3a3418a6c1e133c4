//! Tests of the choice of urgent ranks.

use crate::desired::urgency::UrgentRanks;
use crate::desired::{Route, Target};
use crate::prelude::*;
use crate::test_support;

fn stream(rank: u8, goal_ms: u64) -> Route {
    Route {
        rank,
        goal_ms: Millis(goal_ms),
        streams: true,
        ..test_support::route()
    }
}

fn urgent(routes: &[Route]) -> Vec<u8> {
    let ranks = UrgentRanks::new(routes.iter());
    (0..4).filter(|rank| ranks.is_urgent("s", *rank)).collect()
}

/// Guards against short streams that wait behind prompts whose callers have time.
#[test]
fn the_most_urgent_rank_is_urgent_where_all_others_have_twice_its_time() {
    let routes = [stream(1, 800), stream(2, 6_000), stream(0, 400)];
    assert_eq!(urgent(&routes), [0]);
}

/// Guards against an order by rank where it only moves the delay to other callers.
#[test]
fn no_rank_is_urgent_where_goals_are_close_or_ranks_are_equal() {
    assert!(urgent(&[stream(0, 800), stream(1, 1_000), stream(1, 2_000)]).is_empty());
    assert!(urgent(&[stream(1, 400), stream(1, 4_000)]).is_empty());
    assert!(urgent(&[stream(0, 400), stream(0, 1_000), stream(1, 1_500)]).is_empty());
    assert!(urgent(&[]).is_empty());
}

/// Guards against plain calls, or streams of another service, that make a rank urgent.
#[test]
fn only_streams_of_the_same_service_are_compared() {
    let plain = Route {
        streams: false,
        ..stream(1, 4_000)
    };
    let elsewhere = Route {
        targets: vec![Target {
            service: "other".into(),
            weight: 1,
        }],
        ..stream(1, 4_000)
    };
    assert!(urgent(&[stream(0, 400), plain, elsewhere]).is_empty());
}

/// Guards against an absurd goal that overflows the comparison.
#[test]
fn a_goal_without_bound_is_compared_like_any_other() {
    assert!(urgent(&[stream(0, u64::MAX), stream(1, u64::MAX - 1)]).is_empty());
    assert_eq!(urgent(&[stream(0, 0), stream(1, 0)]), [0]);
}
