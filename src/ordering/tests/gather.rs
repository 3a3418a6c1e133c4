//! The orderer hears the same through a relay as from each host itself.

use crate::entry::platform::ModelAsk;
use crate::ordering::demand::AskCount;
use crate::ordering::gather::Gather;
use crate::ordering::host_reports::HostReport;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::test_support::seeded;
use arbtest::arbitrary::{Result, Unstructured};

fn demand(u: &mut Unstructured<'_>) -> Result<Vec<(ModelAsk, AskCount)>> {
    let mut demand: IndexMap<ModelAsk, AskCount> = IndexMap::new();
    for _ in 0..u.int_in_range(0..=4u8)? {
        let ask = ModelAsk {
            model: format!("m{}", u.int_in_range(0..=3u8)?).into(),
            adapter: None,
        };
        let count = AskCount {
            asked: u.int_in_range(0..=9u32)?,
            long: 1,
            waiting: u.int_in_range(0..=2u32)?,
            running: u.int_in_range(0..=2u32)?,
            tokens: u.int_in_range(0..=9_000u64)?,
        };
        demand.insert(ask, count);
    }
    Ok(demand.into_iter().collect())
}

fn sum_of(demands: &[Vec<(ModelAsk, AskCount)>], of: impl Fn(&AskCount) -> u64) -> u64 {
    demands.iter().flatten().map(|(_, count)| of(count)).sum()
}

#[test]
fn no_request_is_lost_or_counted_twice_on_the_way_through_a_relay() {
    seeded(200, |u| {
        let mut relay = Gather::default();
        let (mut given, mut told) = (Vec::new(), Vec::new());
        let mut newest: IndexMap<u64, Vec<(ModelAsk, AskCount)>> = IndexMap::new();
        let mut now = Millis(1_000);
        for _ in 0..30 {
            now += Millis(u.int_in_range(0..=40u64)?);
            if u.int_in_range(0..=2u8)? > 0 {
                let host = u.int_in_range(1..=5u64)?;
                let demand = demand(u)?;
                let report = HostReport {
                    demand: demand.clone(),
                    ..HostReport::default()
                };
                relay.take(now, host, report);
                given.push(demand.clone());
                newest.insert(host, demand);
            } else {
                let own = demand(u)?;
                given.push(own.clone());
                let sum = relay.take_demand(now, own.clone());
                let mut present: Vec<_> = newest.values().cloned().collect();
                present.push(own);
                let now_present = |count: &AskCount| u64::from(count.waiting * 100 + count.running);
                assert_eq!(
                    sum_of(std::slice::from_ref(&sum), now_present),
                    sum_of(&present, now_present),
                    "what waits and runs is that of each host's last message"
                );
                told.push(sum);
            }
        }
        told.push(relay.take_demand(now, Vec::new()));
        for of in [
            |count: &AskCount| u64::from(count.asked),
            |count: &AskCount| u64::from(count.long),
            |count: &AskCount| count.tokens,
        ] {
            assert_eq!(sum_of(&told, of), sum_of(&given, of));
        }
        Ok(())
    });
}

#[test]
fn a_host_is_told_the_work_of_the_others_only_and_a_silent_one_counts_no_more() {
    let mut relay = Gather::default();
    let work = |running| {
        let work = UpstreamLoad {
            running,
            ..UpstreamLoad::default()
        };
        HostReport {
            work: vec![(Name::from("e"), work)],
            ..HostReport::default()
        }
    };
    relay.take(Millis(1_000), 1, work(3));
    relay.take(Millis(1_000), 2, work(4));
    let running = |relay: &Gather, but| {
        let mut sum = IndexMap::new();
        relay.add_work(but, &mut sum);
        sum.get("e").map_or(0, |work: &UpstreamLoad| work.running)
    };
    assert_eq!(running(&relay, None), 7);
    assert_eq!(running(&relay, Some(1)), 4);
    relay.take(Millis(2_600), 2, work(4));
    assert_eq!(running(&relay, None), 4);
}
