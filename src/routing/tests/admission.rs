//! Tests of the admission to engines by rank.

use super::admission_model::{Kind, Model, Outcome, Rules};
use crate::desired::UrgentRank;
use crate::prelude::*;
use crate::routing::engine_admission::{Candidate, UrgentDemand};
use crate::routing::engine_line::{EngineLine, MAX_WAITING, MAX_WAITING_PER_MODEL};

const HOSTS: [usize; 3] = [9, 73, 985];
const NOW: Millis = Millis(100_000);

fn kinds(load: f64, urgent_share: f64, goal_ms: u64) -> [Kind; 2] {
    let urgent = Kind {
        tokens: 830,
        goal_ms: 400,
        leaves_ms: 2_000,
        load: load * urgent_share,
    };
    let other = Kind {
        tokens: 9_200,
        goal_ms,
        leaves_ms: goal_ms * 4,
        load: load * (1.0 - urgent_share),
    };
    [urgent, other]
}

/// Runs the model without and with admission by rank.
fn compare(hosts: usize, drawn: usize, kinds: [Kind; 2]) -> ([Outcome; 2], [Outcome; 2]) {
    let run = |admits| Model::run(hosts, kinds, Rules { admits, drawn }, 1);
    let (without, with) = (run(false), run(true));
    let shares =
        |outcomes: [Outcome; 2]| outcomes.map(|outcome| (outcome.share_in_time() * 100.0).round());
    println!(
        "{hosts} hosts, {drawn} drawn, goal {} ms, load {:.2} and {:.2}: {:?} of 100 in time, before {:?}",
        kinds[1].goal_ms,
        kinds[0].load,
        kinds[1].load,
        shares(with),
        shares(without)
    );
    (without, with)
}

fn sum_in_time(outcomes: &[Outcome; 2]) -> u32 {
    outcomes.iter().map(|outcome| outcome.in_time).sum()
}

/// Compares at overloaded engines, and returns the smallest share of urgent requests in time.
fn overload(drawn: usize) -> f64 {
    let mut smallest: f64 = 1.0;
    for hosts in HOSTS {
        for (urgent_share, goal_ms) in [(0.1, 800), (0.4, 800), (0.1, 6_000), (0.4, 6_000)] {
            let kinds = kinds(1.5, urgent_share, goal_ms);
            let (without, with) = compare(hosts, drawn, kinds);
            let [urgent, other] = with;
            assert!(urgent.share_in_time() > without[0].share_in_time() * 4.0);
            assert!(sum_in_time(&with) >= sum_in_time(&without));
            assert!(other.share_in_time() > 0.1, "a rank starves");
            assert!(other.longest_held_ms <= goal_ms);
            smallest = smallest.min(urgent.share_in_time());
        }
    }
    smallest
}

/// Guards against engines whose queues are full of less urgent prompts, which makes the urgent ones
/// late, and against admission that serves fewer requests, starves a rank or holds without bound.
#[test]
fn urgent_requests_are_on_time_at_overloaded_engines() {
    assert!(overload(2) > 0.5);
}

/// Guards against the same where all hosts choose the engine that was the best when they last heard
/// of each other. Then many choose the same one, and its queue grows until they hear again.
#[test]
fn urgent_requests_gain_where_hosts_choose_the_same_engine() {
    assert!(overload(4) > 0.2);
}

/// Guards against admission that refuses less urgent requests while engines can read all of them.
#[test]
fn admission_costs_little_where_engines_keep_up() {
    for (hosts, drawn) in HOSTS.into_iter().flat_map(|hosts| [(hosts, 2), (hosts, 4)]) {
        for goal_ms in [800, 6_000] {
            let (without, with) = compare(hosts, drawn, kinds(0.4, 0.4, goal_ms));
            assert!(with[1].share_in_time() > without[1].share_in_time() - 0.1);
            assert!(with[0].share_in_time() > 0.9);
        }
    }
}

fn candidate(rank: u8, arrived_ago_ms: u64, goal_ms: u64, leaves_ms: u64) -> Candidate {
    let arrived_at = NOW - Millis(arrived_ago_ms);
    Candidate {
        rank,
        arrived_at,
        goal_at: arrived_at + Millis(goal_ms),
        caller_leaves_at: arrived_at + Millis(leaves_ms),
    }
}

/// Guards against waits and budgets beyond the caller's time, also for absurd numbers.
#[test]
fn budgets_are_within_the_time_of_the_caller() {
    assert_eq!(candidate(1, 0, 800, 3_200).begins_by(), NOW + Millis(800));
    assert_eq!(candidate(1, 0, 100, 2_000).begins_by(), NOW + Millis(500));
    assert_eq!(
        candidate(1, 0, 9_000, 2_000).begins_by(),
        NOW + Millis(2_000)
    );
    let never = candidate(255, 0, u64::MAX, u64::MAX);
    let urgent = UrgentRank {
        rank: 0,
        goal_ms: Millis::NEVER,
    };
    assert_eq!(never.longest_wait_ms(NOW, urgent), Millis::ZERO);
    assert!((0.0..=1.0).contains(&never.begin_chance(NOW, Millis::NEVER)));
    assert!(never.excess_ms(NOW, Millis::NEVER) == Millis::ZERO);
}

/// Guards against starvation of a rank by more urgent ones at the same host.
#[test]
fn waiting_requests_begin_by_rank_then_time_left_and_age_by_a_rank() {
    let mut line = EngineLine::default();
    let model: Name = "m".into();
    let mut join = |candidate| line.join(&model, candidate).expect("there is room");
    let later = join(candidate(2, 0, 6_000, 24_000));
    let aged = join(candidate(2, 500, 800, 3_200));
    let urgent = join(candidate(1, 0, 900, 3_200));
    let mut begun = Vec::new();
    for _ in 0..3 {
        line.let_first_begin(NOW, "m");
        let waiting = [later, aged, urgent].into_iter();
        let next = waiting.filter(|id| line.may_begin("m", *id) && !begun.contains(id));
        let next: Vec<u64> = next.collect();
        begun.extend(next);
    }
    assert_eq!(begun, [aged, urgent, later]);
}

/// Guards against a line that grows without bound, and against places that are not given back.
#[test]
fn line_is_bounded_by_model_and_in_all() {
    let mut line = EngineLine::default();
    let mut joined = Vec::new();
    for n in 0..MAX_WAITING_PER_MODEL * 10 {
        let model: Name = format!("m{}", n % 9).into();
        joined.extend(
            line.join(&model, candidate(1, 0, 800, 3_200))
                .map(|id| (model, id)),
        );
    }
    assert_eq!(line.waiting(), MAX_WAITING);
    joined.iter().for_each(|(model, id)| line.leave(model, *id));
    assert_eq!(line.waiting(), 0);
    let mut of_one = (0..1_000).filter_map(|_| line.join(&"m".into(), candidate(1, 0, 1, 1)));
    assert_eq!(of_one.by_ref().count(), MAX_WAITING_PER_MODEL);
}

/// Guards against holding requests for urgent ones that do not exist.
#[test]
fn models_without_urgent_requests_are_recognised() {
    let mut demand = UrgentDemand::default();
    let model: Name = "m".into();
    assert!(demand.is_expected(NOW, "m"), "nothing is known");
    (0..8).for_each(|_| demand.note(NOW, &model, false));
    assert!(!demand.is_expected(NOW, "m"));
    demand.note(NOW, &model, true);
    (0..8).for_each(|_| demand.note(NOW, &model, false));
    assert!(demand.is_expected(NOW + Millis(29_999), "m"));
    assert!(!demand.is_expected(NOW + Millis(30_000), "m"));
}
