//! What a host answers others that ask it as a relay or as the orderer.

use super::fake_platform::FakePlatform;
use super::site::{Site, on_site, sync_ask};
use crate::desired::{LimitUnit, Organisation, RateLimit};
use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::platform::ModelAsk;
use crate::entry::sync::answer;
use crate::group::Member;
use crate::ordering::demand::AskCount;
use crate::ordering::message::{OrdererNews, SyncAsk, SyncReply};
use crate::ordering::published::{EngineView, EnginesNews};
use crate::prelude::*;
use crate::rate_limit::levels::Level;
use crate::rate_limit::{LimitsUpdate, Scope, StatedLimit, UpstreamLimitsReport, Usage};
use crate::retry::crash_ledger::CrashId;
use crate::retry::message::{Crash, Evidence};
use crate::retry::{CrashReport, RequestDigest};
use crate::routing::pick::UpstreamLoad;
use crate::test_support::member;
use crate::upstreams::Lifetime;

const ASKER: u64 = 7;

fn ask() -> SyncAsk {
    sync_ask(ASKER)
}

fn work(running: u32) -> Vec<(Name, UpstreamLoad)> {
    let work = UpstreamLoad {
        running,
        ..UpstreamLoad::default()
    };
    vec![("e".into(), work)]
}

/// Makes a host one of the relays of a large site.
fn make_relay(host: &Host<FakePlatform>) {
    let others = (100..164).map(|n| member(n, "here", 120));
    let me = member(host.incarnation, "here", 500);
    let list: IndexSet<Member> = others.chain([me]).collect();
    host.members.borrow_mut().replace(host.now(), 1, list);
    host.members.borrow_mut().note_heard(host.now());
    host.accept_listed();
    assert!(host.is_relay());
}

/// Lets a relay know what the orderer said a while ago.
fn tell(host: &Host<FakePlatform>, age_ms: Millis) {
    let held = ModelAsk {
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
    let mut view = host.view.borrow_mut();
    view.answered_at = Some(host.now() - age_ms);
    view.take_engines(EnginesNews {
        version: (3, 1),
        is_whole: true,
        engines: vec![engine],
        gone: Vec::new(),
    });
    view.take_work(work(10));
    host.orders.borrow_mut().note_told(member(1, "there", 500));
}

fn news(reply: SyncReply) -> OrdererNews {
    match reply {
        SyncReply::News(news) => *news,
        other => panic!("no news: {other:?}"),
    }
}

#[test]
fn a_host_that_neither_orders_nor_relays_says_so() {
    on_site(|site| async move {
        let reply = answer(&site.host, ask());
        assert!(matches!(reply, SyncReply::NotOrderer { .. }));
    });
}

/// A host that lost the lease and relays must not be taken for the orderer by what it heard before.
#[test]
fn a_relay_that_is_taken_for_the_orderer_says_that_it_is_none() {
    on_site(|site| async move {
        make_relay(&site.host);
        tell(&site.host, Millis(100));
        let reply = answer(
            &site.host,
            SyncAsk {
                is_for_orderer: true,
                ..ask()
            },
        );
        assert!(matches!(reply, SyncReply::NotOrderer { .. }));
    });
}

#[test]
fn a_relay_that_has_heard_of_no_orderer_says_so() {
    on_site(|site| async move {
        make_relay(&site.host);
        assert!(matches!(
            answer(&site.host, ask()),
            SyncReply::NoNews { .. }
        ));
    });
}

#[test]
fn a_relay_passes_on_what_the_orderer_said_with_its_age_and_the_work_of_the_others() {
    on_site(|site| async move {
        make_relay(&site.host);
        tell(&site.host, Millis(400));
        let other = SyncAsk {
            incarnation: 8,
            work: work(2),
            ..ask()
        };
        answer(&site.host, other);
        let own = SyncAsk {
            work: work(5),
            ..ask()
        };
        let first = news(answer(&site.host, own));
        assert!(first.age_ms >= Millis(400));
        assert_eq!(first.orderer.incarnation, 1);
        assert_eq!(first.work, work(12), "the asker's own work is not among it");
        assert!(first.engines.is_whole);
        assert_eq!(first.members.map(|members| members.generation), Some(1));
        let again = SyncAsk {
            view_version: first.engines.version,
            ..ask()
        };
        let second = news(answer(&site.host, again));
        assert_eq!(second.engines.engines, [], "nothing has changed since");
    });
}

#[test]
fn what_a_relays_hosts_ask_for_goes_up_at_once_when_it_is_urgent() {
    on_site(|site| async move {
        make_relay(&site.host);
        let waiting = AskCount {
            asked: 1,
            waiting: 1,
            ..AskCount::default()
        };
        let model = ModelAsk {
            model: "m".into(),
            adapter: None,
        };
        let urgent = SyncAsk {
            is_urgent: true,
            demand: vec![(model, waiting)],
            ..ask()
        };
        answer(&site.host, urgent);
        assert!(site.host.wait_for_news(Millis(10_000)).await);
        let mut gather = site.host.gather.borrow_mut();
        let told = gather.take_demand(site.host.now(), Vec::new());
        assert_eq!(told.iter().map(|(_, count)| count.waiting).sum::<u32>(), 1);
    });
}

/// Lets an organisation with a limit be known at a host.
fn order_limit(site: &Site) {
    let organisation = Organisation {
        name: "o".into(),
        rate_limit: Some(RateLimit {
            unit: LimitUnit::Requests,
            per_s: 1_000.0,
            burst: 1_000.0,
        }),
        ..Organisation::default()
    };
    site.order_for(1, Vec::new(), Some(vec![Arc::new(organisation)]));
}

fn used(requests: i64) -> Vec<Usage> {
    vec![Usage {
        name: "o".into(),
        slots: vec![(0, requests)],
    }]
}

#[test]
fn a_relay_without_an_orderer_tells_what_is_left_at_the_hosts_that_it_hears() {
    on_site(|site| async move {
        order_limit(&site);
        site.until_version(1).await;
        make_relay(&site.host);
        let tell = |host, through, requests| {
            let ask = SyncAsk {
                incarnation: host,
                through,
                usage: used(requests),
                ..ask()
            };
            match answer(&site.host, ask) {
                SyncReply::NoNews { totals } => totals.limits.expect("there is a desired state"),
                other => panic!("{other:?}"),
            }
        };
        tell(100, 0, 0);
        let few = tell(101, 7, 0);
        let many = tell(102, 39, 1_000);
        assert!(
            few.share < many.share && many.share <= 1.0,
            "{few:?} {many:?}"
        );
        let (name, level) = &many.levels[0];
        assert_eq!(&**name, "o");
        assert!(level.left < 0.0, "{level:?}");
    });
}

#[test]
fn a_relay_passes_the_orderers_word_of_limits_on_less_what_it_was_not_told() {
    on_site(|site| async move {
        order_limit(&site);
        site.until_version(1).await;
        make_relay(&site.host);
        let level = Level {
            left: 300.0,
            used_per_s: 0.0,
        };
        let word = LimitsUpdate {
            age_ms: Millis::ZERO,
            scope: Scope::Site,
            share: 1.0,
            levels: vec![("o".into(), level)],
        };
        limits::take_reply(&site.host, site.host.now(), Some(word));
        let ask = SyncAsk {
            usage: used(100),
            ..ask()
        };
        let SyncReply::NoNews { totals } = answer(&site.host, ask) else {
            panic!("no orderer is known");
        };
        let limits = totals.limits.expect("there is a desired state");
        assert_eq!(limits.scope, Scope::Site);
        assert_eq!(limits.levels[0].1.left, 200.0);
    });
}

/// Returns a report of requests that were alone at three crashes.
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
        known: 0,
    };
    (digest, report)
}

/// While nobody orders in a small site each host would know only the crashes that it saw.
#[test]
fn a_host_that_neither_orders_nor_relays_tells_others_which_requests_crash_upstreams() {
    on_site(|site| async move {
        let (digest, crashes) = crash_report();
        answer(&site.host, SyncAsk { crashes, ..ask() });
        let SyncReply::NotOrderer { crashes, .. } = answer(&site.host, sync_ask(8)) else {
            panic!("the host orders nothing");
        };
        let told = crashes.evidence.iter().map(|evidence| evidence.digest);
        assert_eq!(told.collect::<Vec<_>>(), [digest]);
    });
}

#[test]
fn a_relay_tells_its_hosts_which_requests_crash_upstreams_and_which_limits_upstreams_name() {
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
            usage: Vec::new(),
        };
        let report = SyncAsk {
            crashes,
            upstream_limits,
            ..ask()
        };
        answer(&site.host, report);
        let SyncReply::NoNews { totals } = answer(&site.host, sync_ask(8)) else {
            panic!("no orderer is known");
        };
        assert_eq!(totals.crashes.evidence[0].digest, digest);
        assert_eq!(totals.upstream_limits.stated[0].per_s, Some(2.0));
        let own = site
            .host
            .retries
            .borrow_mut()
            .quarantine
            .report(site.host.now());
        assert_eq!(own.evidence.len(), 1, "the orderer is to hear it");
    });
}
