//! The number of requests that hosts together may have turned away in a second.

use crate::prelude::*;
use crate::upstreams::rejections::{PAUSE_MS, RejectionLimit};
use arbtest::arbtest;

// Guards against a limit of all hosts together that each host applies by itself.
#[test]
fn all_hosts_together_have_no_more_unanswered_requests_than_may_be_turned_away() {
    arbtest(|u| {
        let hosts: IndexSet<u64> = (0..u.int_in_range(1..=300)?)
            .map(|n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 77)
            .collect();
        let per_s = u.int_in_range(1..=60)?;
        let slots = u.int_in_range(1..=96)?;
        let limit = RejectionLimit::new(per_s, Millis::ZERO);
        let share = |own: &u64| limit.max_unanswered("u1", slots, hosts.iter().copied(), *own);
        let total: u32 = hosts.iter().map(share).sum();
        assert!(total <= per_s, "{total} of {per_s}");
        assert!(total >= 1, "no host may use the upstream");
        Ok(())
    });
}

/// A host in the model: when its unanswered requests are turned away, and until when it pauses.
#[derive(Clone, Default)]
struct ModelHost {
    answers_at: Vec<Millis>,
    paused_until: Millis,
}

// Guards against more rejections in any second than the upstream withstands, when it turns every
// request away and all hosts send as much as they may.
#[test]
fn an_upstream_that_turns_everything_away_withstands_it() {
    arbtest(|u| {
        let count: u64 = u.int_in_range(1..=40)?;
        let per_s = u.int_in_range(1..=20)?;
        let limit = RejectionLimit::new(per_s, Millis::ZERO);
        let mut hosts = vec![ModelHost::default(); count as usize];
        let mut rejected_at: Vec<Millis> = Vec::new();
        for now in (0..4_000).step_by(5).map(Millis) {
            for (own, host) in hosts.iter_mut().enumerate() {
                let (due, later): (Vec<Millis>, Vec<Millis>) =
                    host.answers_at.iter().partition(|at| **at <= now);
                host.answers_at = later;
                if !due.is_empty() {
                    host.paused_until = now + PAUSE_MS;
                    rejected_at.extend(due.iter().map(|_| now));
                }
                let share = limit.max_unanswered("u1", 96, 0..count, own as u64) as usize;
                while now >= host.paused_until && host.answers_at.len() < share {
                    let takes_ms: u64 = u.int_in_range(1..=50).unwrap_or(1);
                    host.answers_at.push(now + Millis(takes_ms));
                }
            }
        }
        for from in &rejected_at {
            let in_a_second = rejected_at
                .iter()
                .filter(|at| **at >= *from && at.since(*from) < Millis(1_000));
            let in_a_second = in_a_second.count();
            assert!(in_a_second <= per_s as usize, "{in_a_second} of {per_s}");
        }
        Ok(())
    });
}

#[test]
fn a_statement_counts_for_a_bounded_time() {
    let limit = RejectionLimit::new(3, Millis(1_000));
    assert!(limit.is_current(Millis(10_999)));
    assert!(!limit.is_current(Millis(11_000)));
}
