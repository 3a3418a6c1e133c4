//! What a host replies to other hosts that ask it as a relay or as the orderer.

use super::fake_platform::FakePlatform;
use super::site::{Site, on_site, sync_request_from};
use crate::desired::{LimitUnit, Organisation, RateLimit};
use crate::entry::host::Host;
use crate::entry::limit_queue;
use crate::entry::limits;
use crate::entry::platform::ModelRef;
use crate::entry::sync::answer;
use crate::entry::upstream_limits;
use crate::group::Member;
use crate::ordering::demand::RequestCounts;
use crate::ordering::message::{OrdererUpdate, SyncReply, SyncRequest};
use crate::ordering::published::{EngineView, EnginesUpdate};
use crate::prelude::*;
use crate::rate_limit::levels::Level;
use crate::rate_limit::line::sums::RankSum;
use crate::rate_limit::{
    LimitsUpdate, LineReport, LinesUpdate, Scope, StatedLimit, UpstreamLimitsReport, Usage,
};
use crate::retry::crash_ledger::CrashId;
use crate::retry::message::{Crash, Evidence};
use crate::retry::{CrashReport, RequestDigest};
use crate::routing::pick::UpstreamLoad;
use crate::test_support::{generation, member};
use crate::upstreams::Lifetime;
use crate::upstreams::rejections::ToldRejectionLimit;

const ASKER: u64 = 7;

fn sync_request() -> SyncRequest {
    sync_request_from(ASKER)
}

fn work(running: u32) -> Vec<(Name, UpstreamLoad)> {
    let work = UpstreamLoad {
        running,
        ..UpstreamLoad::default()
    };
    vec![("e".into(), work)]
}

/// Makes a host one of the relays of a large site.
pub fn make_relay(host: &Host<FakePlatform>) {
    let others = (100..164).map(|n| member(n, "here", 120));
    let me = member(host.incarnation, "here", 500);
    let list: IndexSet<Member> = others.chain([me]).collect();
    host.members
        .borrow_mut()
        .replace(host.now(), generation(1), list);
    host.members.borrow_mut().note_contact(host.now());
    host.apply_member_list();
    assert!(host.is_relay());
}

/// Gives a relay what it would have received from the orderer `age_ms` ago.
fn set_orderer_state(host: &Host<FakePlatform>, age_ms: Millis) {
    let held = ModelRef {
        model: "m".into(),
        adapter: None,
    };
    let engine = EngineView {
        engine: Lifetime {
            id: "e".into(),
            born_at: Millis::ZERO,
        },
        held: vec![held],
    };
    let mut state = host.orderer_state.borrow_mut();
    state.answered_at = Some(host.now() - age_ms);
    state.apply_engines(EnginesUpdate {
        version: (3, 1),
        is_whole: true,
        engines: vec![engine],
        gone: Vec::new(),
        slowness: Vec::new(),
    });
    state.replace_work(work(10));
    host.orders
        .borrow_mut()
        .note_named_orderer(member(1, "there", 500));
}

fn expect_news(reply: SyncReply) -> OrdererUpdate {
    match reply {
        SyncReply::News(news) => *news,
        other => panic!("expected news of the orderer: {other:?}"),
    }
}

#[test]
fn host_that_is_neither_orderer_nor_relay_replies_not_orderer() {
    on_site(|site| async move {
        let reply = answer(&site.host, sync_request());
        assert!(matches!(reply, SyncReply::NotOrderer { .. }));
    });
}

/// Guards against a host that lost the lease and is a relay being taken for the orderer because it
/// replies with what it received before.
#[test]
fn relay_asked_as_orderer_replies_not_orderer() {
    on_site(|site| async move {
        make_relay(&site.host);
        set_orderer_state(&site.host, Millis(100));
        let reply = answer(
            &site.host,
            SyncRequest {
                is_for_orderer: true,
                ..sync_request()
            },
        );
        assert!(matches!(reply, SyncReply::NotOrderer { .. }));
    });
}

#[test]
fn relay_without_orderer_replies_no_news() {
    on_site(|site| async move {
        make_relay(&site.host);
        assert!(matches!(
            answer(&site.host, sync_request()),
            SyncReply::NoNews { .. }
        ));
    });
}

#[test]
fn relay_forwards_orderer_state_with_its_age_and_the_work_of_other_hosts() {
    on_site(|site| async move {
        make_relay(&site.host);
        set_orderer_state(&site.host, Millis(400));
        let other = SyncRequest {
            incarnation: 8,
            work: work(2),
            ..sync_request()
        };
        answer(&site.host, other);
        let own = SyncRequest {
            work: work(5),
            ..sync_request()
        };
        let first = expect_news(answer(&site.host, own));
        assert!(first.age_ms >= Millis(400));
        assert_eq!(first.orderer.incarnation, 1);
        assert_eq!(
            first.work,
            work(12),
            "the asking host's own work must be left out"
        );
        assert!(first.engines.is_whole);
        assert_eq!(
            first.members.map(|members| members.generation),
            Some(generation(1))
        );
        let again = SyncRequest {
            view_version: first.engines.version,
            ..sync_request()
        };
        let second = expect_news(answer(&site.host, again));
        assert_eq!(
            second.engines.engines,
            [],
            "nothing has changed since the first reply"
        );
    });
}

#[test]
fn relay_forwards_urgent_demand_at_once() {
    on_site(|site| async move {
        make_relay(&site.host);
        let waiting = RequestCounts {
            asked: 1,
            waiting: 1,
            ..RequestCounts::default()
        };
        let model = ModelRef {
            model: "m".into(),
            adapter: None,
        };
        let urgent = SyncRequest {
            is_urgent: true,
            demand: vec![(model, waiting)],
            ..sync_request()
        };
        answer(&site.host, urgent);
        assert!(site.host.wait_for_sync_request(Millis(10_000)).await);
        let mut aggregate = site.host.relay_aggregate.borrow_mut();
        let forwarded = aggregate.take_demand(site.host.now(), Vec::new());
        assert_eq!(
            forwarded
                .iter()
                .map(|(_, count)| count.waiting)
                .sum::<u32>(),
            1
        );
    });
}

/// Publishes a desired state with an organisation that has a limit.
fn publish_limit(site: &Site) {
    let organisation = Organisation {
        name: "o".into(),
        rate_limit: Some(RateLimit {
            unit: LimitUnit::Requests,
            per_s: 1_000.0,
            burst: 1_000.0,
        }),
        ..Organisation::default()
    };
    site.publish_desired_for(1, Vec::new(), Some(vec![Arc::new(organisation)]));
}

fn used(requests: i64) -> Vec<Usage> {
    vec![Usage {
        name: "o".into(),
        slots: vec![(0, requests)],
    }]
}

#[test]
fn relay_without_orderer_returns_limits_by_its_own_hosts_usage() {
    on_site(|site| async move {
        publish_limit(&site);
        site.until_version(1).await;
        make_relay(&site.host);
        let report = |host, through, requests| {
            let request = SyncRequest {
                incarnation: host,
                through,
                usage: used(requests),
                ..sync_request()
            };
            match answer(&site.host, request) {
                SyncReply::NoNews { totals, .. } => {
                    totals.limits.expect("a desired state is in force")
                }
                other => panic!("{other:?}"),
            }
        };
        report(100, 0, 0);
        let few = report(101, 7, 0);
        let many = report(102, 39, 1_000);
        assert!(
            few.share < many.share && many.share <= 1.0,
            "{few:?} {many:?}"
        );
        let (name, level) = &many.levels[0];
        assert_eq!(&**name, "o");
        assert!(level.left < 0.0, "{level:?}");
    });
}

// Guards against hosts of one relay that release requests ahead of more urgent ones at another.
#[test]
fn relay_passes_on_what_waits_at_its_hosts_and_beyond() {
    on_site(|site| async move {
        site.publish_desired(1, Vec::new());
        site.until_version(1).await;
        make_relay(&site.host);
        let waiting = |waiting_tokens| {
            let ranks = vec![RankSum {
                rank: 2,
                waiting_tokens,
                used_tokens: 0,
            }];
            vec![LineReport {
                organisation: "o".into(),
                ranks,
            }]
        };
        let from_orderer = LinesUpdate {
            age_ms: Millis::ZERO,
            sums: waiting(500),
        };
        limit_queue::apply_update(&site.host, site.host.now(), &from_orderer);
        for (host, expected) in [(100, 530), (101, 560), (100, 560)] {
            let request = SyncRequest {
                incarnation: host,
                lines: waiting(30),
                ..sync_request()
            };
            let SyncReply::NoNews { totals, .. } = answer(&site.host, request) else {
                panic!("the relay must know of no orderer");
            };
            assert_eq!(totals.lines.sums, waiting(expected));
        }
        assert_eq!(limit_queue::report(&site.host), waiting(60));
    });
}

#[test]
fn relay_subtracts_usage_that_the_orderer_has_not_counted_from_its_limits() {
    on_site(|site| async move {
        publish_limit(&site);
        site.until_version(1).await;
        make_relay(&site.host);
        let level = Level {
            left: 300.0,
            used_per_s: 0.0,
        };
        let orderer_limits = LimitsUpdate {
            age_ms: Millis::ZERO,
            scope: Scope::Site,
            share: 1.0,
            levels: vec![("o".into(), level)],
        };
        limits::apply_reply(&site.host, site.host.now(), Some(orderer_limits));
        let request = SyncRequest {
            usage: used(100),
            ..sync_request()
        };
        let SyncReply::NoNews { totals, .. } = answer(&site.host, request) else {
            panic!("the relay must know of no orderer");
        };
        let limits = totals.limits.expect("a desired state is in force");
        assert_eq!(limits.scope, Scope::Site);
        assert_eq!(limits.levels[0].1.left, 200.0);
    });
}

/// Returns a report of a request that was the only one in flight at three crashes.
fn crash_report() -> (RequestDigest, CrashReport) {
    let digest = RequestDigest::of(None, "POST", "x", "/a/1", b"crash");
    let crash = |n: u64| Crash {
        id: CrashId::of(&Lifetime {
            id: "e".into(),
            born_at: Millis(n),
        }),
        is_shared: false,
    };
    let evidence = Evidence {
        digest,
        crashes: (0..3).map(crash).collect(),
        is_cleared: false,
        age_ms: Millis::ZERO,
    };
    let report = CrashReport {
        evidence: vec![evidence],
        ..CrashReport::default()
    };
    (digest, report)
}

/// Guards against hosts of a small site that, without an orderer, know only the crashes which they
/// saw themselves.
#[test]
fn host_that_is_neither_orderer_nor_relay_shares_crash_evidence() {
    on_site(|site| async move {
        let (digest, crashes) = crash_report();
        answer(
            &site.host,
            SyncRequest {
                crashes,
                ..sync_request()
            },
        );
        let SyncReply::NotOrderer { crashes, .. } = answer(&site.host, sync_request_from(8)) else {
            panic!("the host must not be the orderer");
        };
        let forwarded = crashes.evidence.iter().map(|evidence| evidence.digest);
        assert_eq!(forwarded.collect::<Vec<_>>(), [digest]);
    });
}

#[test]
fn relay_shares_crash_evidence_and_upstream_limits_with_its_hosts() {
    on_site(|site| async move {
        make_relay(&site.host);
        let (digest, crashes) = crash_report();
        let limit = StatedLimit {
            upstream: "e".into(),
            per_s: Some(2.0),
            age_ms: Millis::ZERO,
        };
        let upstream_limits = UpstreamLimitsReport {
            stated: vec![limit],
            ..UpstreamLimitsReport::default()
        };
        let report = SyncRequest {
            crashes,
            upstream_limits,
            ..sync_request()
        };
        answer(&site.host, report);
        let SyncReply::NoNews { totals, .. } = answer(&site.host, sync_request_from(8)) else {
            panic!("the relay must know of no orderer");
        };
        assert_eq!(totals.crashes.evidence[0].digest, digest);
        assert_eq!(totals.upstream_limits.stated[0].per_s, Some(2.0));
        let own = site
            .host
            .retries
            .borrow_mut()
            .quarantine
            .report(site.host.now());
        assert_eq!(
            own.evidence.len(),
            1,
            "the evidence must also go to the orderer"
        );
    });
}

// Guards against a host that sends an upstream more than it can turn away because only other hosts
// have had an answer of it.
#[test]
fn hosts_tell_each_other_how_many_requests_upstreams_can_turn_away() {
    on_site(|site| async move {
        make_relay(&site.host);
        site.start_upstream("u1", vec![vec![]]).await;
        let told = ToldRejectionLimit {
            service: "s".into(),
            per_s: 2,
            age_ms: Millis(9_900),
        };
        let upstream_limits = UpstreamLimitsReport {
            rejections: vec![told],
            ..UpstreamLimitsReport::default()
        };
        let request = SyncRequest {
            upstream_limits,
            ..sync_request()
        };
        let SyncReply::NoNews { totals, .. } = answer(&site.host, request) else {
            panic!("a relay without an orderer has no news");
        };
        let passed_on = &totals.upstream_limits.rejections;
        assert_eq!((&*passed_on[0].service, passed_on[0].per_s), ("s", 2));
        let limit = |host: &Host<FakePlatform>| {
            let upstreams = host.upstreams.borrow();
            let upstream = upstreams.get("u1").expect("it is listed");
            upstreams.rejection_limit(host.now(), upstream)
        };
        assert_eq!(limit(&site.host).map(|limit| limit.per_s), Some(2));
        // It ends with the statement itself, not with its last message.
        site.until(|host| limit(host).is_none()).await;
        assert!(limits_reported(&site.host).is_empty());
    });
}

fn limits_reported(host: &Host<FakePlatform>) -> Vec<ToldRejectionLimit> {
    upstream_limits::report(host).rejections
}
