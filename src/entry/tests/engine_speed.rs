//! What a host learns of an engine's speed and KV cache from the streams that it relays.

use super::fake_platform::FakePlatform;
use super::fake_upstream::FakeUpstream;
use super::fake_upstream::Step::{Wait, Write};
use super::site::{Site, entry, on_site, route};
use crate::desired::{CallerLimits, DesiredState, EngineSpec, Repeat, Route, Service};
use crate::entry::host::Host;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::{HeldModel, UpstreamEntry};
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str = "GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nModel: m\r\nWait-Ms: 9000\r\n\r\n";
const FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";
const FIVE_EVENTS: &str = "2d\r\ndata: 2\n\ndata: 2\n\ndata: 2\n\ndata: 2\n\ndata: 2\n\n\r\n";
const END: &str = "0\r\n\r\n";
const KV_TOKENS: u64 = 100_000;

/// Puts a service of one engine with model `m` into force. The engine sends one event, and more
/// after the flag is set.
async fn start_engine(site: &Site, goes_on: &Rc<Cell<bool>>, more: &[&'static str]) {
    let engine = EngineSpec {
        slots: 4,
        kv_tokens: KV_TOKENS,
        models: [("m".into(), Default::default())].into_iter().collect(),
        ..EngineSpec::default()
    };
    let service = Service {
        max_connections: 0,
        engine: Some(engine),
    };
    site.store.write_desired(DesiredState {
        version: 1,
        routes: vec![Route {
            streams: true,
            ..route(Repeat::Once)
        }],
        services: [("s".into(), service)].into_iter().collect(),
        limits: CallerLimits::default(),
        organisations: None,
    });
    site.until_version(1).await;
    let mut script = vec![Write(FIRST_EVENT), Wait(goes_on.clone())];
    script.extend(more.iter().map(|text| Write(text)));
    let upstream = FakeUpstream::start(&site.executor, vec![script]).await;
    let listed = UpstreamEntry {
        models: vec![HeldModel {
            name: "m".into(),
            adapters: Vec::new(),
        }],
        ..entry("u1", upstream.address)
    };
    site.store.write_upstream("u1", Some(listed));
    site.until(|host| host.upstreams.borrow().get("u1").is_some())
        .await;
}

/// Guards against hosts that do not sample streams, or sample those that are too short.
#[test]
fn a_stream_with_sixteen_events_gives_one_sample_of_its_engine() {
    for (more, expected) in [
        (vec![FIVE_EVENTS, FIVE_EVENTS, FIVE_EVENTS, END], 1),
        (vec![FIVE_EVENTS, FIVE_EVENTS, END], 0),
    ] {
        on_site(|site| async move {
            let goes_on = Rc::new(Cell::new(false));
            start_engine(&site, &goes_on, &more).await;
            // The first event must not be read together with the others.
            let go_on = async {
                let has_begun = |host: &Host<FakePlatform>| {
                    let upstreams = host.upstreams.borrow();
                    let engine = upstreams.get("u1").expect("it is listed");
                    engine.in_flight == 1 && engine.unanswered == 0
                };
                site.until(has_begun).await;
                goes_on.set(true);
            };
            let (answer, ()) = futures_lite::future::zip(site.call(REQUEST), go_on).await;
            assert_eq!(answer.head.status, 200);
            let samples = site.host.event_gaps.borrow_mut().take();
            assert_eq!(samples.len(), expected);
            for sample in samples {
                assert_eq!((&*sample.engine.id, &*sample.model), ("u1", "m"));
            }
        });
    }
}

/// Guards against requests that are sent to an engine whose KV cache is full for longer than their
/// callers wait, and against refusals while it has space.
#[test]
fn a_request_is_refused_when_the_kv_cache_is_full_for_longer_than_its_caller_waits() {
    on_site(|site| async move {
        let goes_on = Rc::new(Cell::new(true));
        start_engine(&site, &goes_on, &[END]).await;
        let set_held = |held_tokens| {
            let work = UpstreamLoad {
                held_tokens,
                ..UpstreamLoad::default()
            };
            let mut state = site.host.orderer_state.borrow_mut();
            state.replace_work(vec![("u1".into(), work)]);
        };
        set_held(KV_TOKENS * 20);
        let refused = site.call(REQUEST).await;
        assert_eq!(refused.head.status, 503, "{}", refused.body);
        assert!(refused.body.contains("after the caller has left"));
        set_held(KV_TOKENS);
        assert_eq!(site.call(REQUEST).await.head.status, 200);
    });
}

/// Guards against tokens that stay counted in an engine's KV cache after their request.
#[test]
fn tokens_are_held_until_a_request_ends() {
    on_site(|site| async move {
        let goes_on = Rc::new(Cell::new(false));
        start_engine(&site, &goes_on, &[END]).await;
        let held = || {
            let upstreams = site.host.upstreams.borrow();
            upstreams.get("u1").map_or(0, |engine| engine.held_tokens)
        };
        let call =
            site.call("GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nModel: m\r\nTokens: 700\r\n\r\n");
        let watch = async {
            site.until(|_| held() > 0).await;
            assert_eq!(held(), 700);
            goes_on.set(true);
        };
        let (answer, ()) = futures_lite::future::zip(call, watch).await;
        assert_eq!(answer.head.status, 200);
        site.until(|_| held() == 0).await;
    });
}
