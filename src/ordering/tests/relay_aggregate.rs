//! A relay passes on the same demand and request load as its hosts would report to the orderer
//! directly.

use crate::entry::platform::ModelRef;
use crate::ordering::demand::RequestCounts;
use crate::ordering::event_gaps::{GapSample, MAX_RELAY_SAMPLES};
use crate::ordering::host_reports::HostReport;
use crate::ordering::relay_aggregate::RelayAggregate;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::test_support::run_seeded;
use crate::upstreams::Lifetime;
use arbtest::arbitrary::{Result, Unstructured};

fn demand(u: &mut Unstructured<'_>) -> Result<Vec<(ModelRef, RequestCounts)>> {
    let mut demand: IndexMap<ModelRef, RequestCounts> = IndexMap::new();
    for _ in 0..u.int_in_range(0..=4u8)? {
        let ask = ModelRef {
            model: format!("m{}", u.int_in_range(0..=3u8)?).into(),
            adapter: None,
        };
        let count = RequestCounts {
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

fn sum_of(demands: &[Vec<(ModelRef, RequestCounts)>], of: impl Fn(&RequestCounts) -> u64) -> u64 {
    demands.iter().flatten().map(|(_, count)| of(count)).sum()
}

#[test]
fn no_request_is_lost_or_counted_twice_by_a_relay() {
    run_seeded(200, |u| {
        let mut relay = RelayAggregate::default();
        let (mut reported, mut passed_on) = (Vec::new(), Vec::new());
        let mut newest: IndexMap<u64, Vec<(ModelRef, RequestCounts)>> = IndexMap::new();
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
                relay.record(now, host, report);
                reported.push(demand.clone());
                newest.insert(host, demand);
            } else {
                let own = demand(u)?;
                reported.push(own.clone());
                let sum = relay.take_demand(now, own.clone());
                let mut present: Vec<_> = newest.values().cloned().collect();
                present.push(own);
                let now_present =
                    |count: &RequestCounts| u64::from(count.waiting * 100 + count.running);
                assert_eq!(
                    sum_of(std::slice::from_ref(&sum), now_present),
                    sum_of(&present, now_present),
                    "what waits and runs is that of each host's last message"
                );
                passed_on.push(sum);
            }
        }
        passed_on.push(relay.take_demand(now, Vec::new()));
        for of in [
            |count: &RequestCounts| u64::from(count.asked),
            |count: &RequestCounts| u64::from(count.long),
            |count: &RequestCounts| count.tokens,
        ] {
            assert_eq!(sum_of(&passed_on, of), sum_of(&reported, of));
        }
        Ok(())
    });
}

#[test]
fn request_load_excludes_the_asking_host_and_hosts_that_stopped_reporting() {
    let mut relay = RelayAggregate::default();
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
    relay.record(Millis(1_000), 1, work(3));
    relay.record(Millis(1_000), 2, work(4));
    let running = |relay: &RelayAggregate, but| {
        let mut sum = IndexMap::new();
        relay.add_work(but, &mut sum);
        sum.get("e").map_or(0, |work: &UpstreamLoad| work.running)
    };
    assert_eq!(running(&relay, None), 7);
    assert_eq!(running(&relay, Some(1)), 4);
    relay.record(Millis(2_600), 2, work(4));
    assert_eq!(running(&relay, None), 4);
}

/// Guards against samples of event gaps that are lost at a relay, passed on twice or unbounded.
#[test]
fn a_relay_passes_on_the_newest_event_gaps_once() {
    let samples = |count: u32| {
        let sample = |gap_us| GapSample {
            engine: Lifetime {
                id: "e".into(),
                born_at: Millis::ZERO,
            },
            model: "m".into(),
            gap_us,
        };
        (0..count).map(sample).collect::<Vec<_>>()
    };
    let mut relay = RelayAggregate::default();
    let report = |count| HostReport {
        event_gaps: samples(count),
        ..HostReport::default()
    };
    relay.record(Millis(1_000), 1, report(3));
    relay.record(Millis(1_000), 2, report(2));
    assert_eq!(relay.take_event_gaps(samples(1)).len(), 6);
    assert_eq!(relay.take_event_gaps(Vec::new()), []);
    relay.record(Millis(1_000), 1, report(100_000));
    assert_eq!(relay.take_event_gaps(samples(4)).len(), MAX_RELAY_SAMPLES);
}
