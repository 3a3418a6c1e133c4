//! Streams whose engine has not answered yet: how long a host waits for it.

use super::fake_upstream::Step::{Hang, Wait, Write};
use super::fake_upstream::{FakeUpstream, Step};
use super::site::{Site, entry, on_site, route};
use crate::desired::{CallerLimits, DesiredState, EngineSpec, Repeat, Route, Service};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::{HeldModel, UpstreamEntry};
use std::cell::Cell;
use std::rc::Rc;

/// The start of a stream, with its first event.
pub const START: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";
const EVENT: &str = "d\r\nid:2\ndata:b\n\n\r\n";
/// The end of a stream.
pub const END: &str = "0\r\n\r\n";
/// Prompt tokens of other hosts that take an engine longer to read than any request waits here.
const OVERLOAD_TOKENS: u64 = 2_000_000;

/// Returns a request for the model of the engines whose caller waits for `wait_ms`.
pub fn request(id: &str, wait_ms: u64) -> String {
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: {id}\r\nModel: m\r\nWait-Ms: {wait_ms}\r\nContent-Length: 3\r\n\r\nabc"
    )
}

/// Publishes one service of engines and routes with streams.
pub async fn publish_engines(site: &Site) {
    publish_ranks(site, [0, 0]).await;
}

/// Publishes one service of engines and routes with streams of these ranks, at `/a/` and `/b/`.
pub async fn publish_ranks(site: &Site, ranks: [u8; 2]) {
    let service = Service {
        max_connections: 100,
        engine: Some(EngineSpec::default()),
    };
    site.store.write_desired(DesiredState {
        version: 1,
        routes: ["/a/", "/b/"]
            .into_iter()
            .zip(ranks)
            .map(|(path, rank)| Route {
                path_prefix: path.into(),
                rank,
                streams: true,
                goal_ms: Millis(6_000),
                ..route(Repeat::Resumable)
            })
            .collect(),
        services: [(Name::from("s"), service)].into_iter().collect(),
        limits: CallerLimits::default(),
        organisations: None,
    });
    site.until_version(1).await;
}

/// Starts an engine that holds the model, and lists it.
pub async fn start_engine(site: &Site, id: &str, scripts: Vec<Vec<Step>>) -> FakeUpstream {
    let engine = FakeUpstream::start(&site.executor, scripts).await;
    let listed = UpstreamEntry {
        models: vec![HeldModel {
            name: "m".into(),
            adapters: Vec::new(),
        }],
        ..entry(id, engine.address)
    };
    site.store.write_upstream(id, Some(listed));
    site.until(|host| host.upstreams.borrow().get(id).is_some())
        .await;
    engine
}

/// Lets other hosts have more prompts at an engine than it reads before any caller leaves.
pub fn overload(site: &Site, engine: &str) {
    let load = UpstreamLoad {
        prompt_tokens: OVERLOAD_TOKENS,
        ..UpstreamLoad::default()
    };
    let mut state = site.host.orderer_state.borrow_mut();
    state.replace_work(vec![(engine.into(), load)]);
}

/// Guards against a second send of a stream to an overloaded engine while the first one still
/// serves: the prompt was read twice.
#[test]
fn a_slow_engine_that_serves_other_streams_is_not_left() {
    const EVENTS: usize = 12;
    const GAP_MS: Millis = Millis(250);
    on_site(|site| async move {
        publish_engines(&site).await;
        let flags: Vec<Rc<Cell<bool>>> = (0..EVENTS).map(|_| Rc::default()).collect();
        let gaps = flags
            .iter()
            .flat_map(|flag| [Wait(flag.clone()), Write(EVENT)]);
        let other_stream = [Write(START)].into_iter().chain(gaps).chain([Write(END)]);
        let may_answer = Rc::new(Cell::new(false));
        let slow = vec![Wait(may_answer.clone()), Write(START), Write(END)];
        let first = start_engine(&site, "e1", vec![other_stream.collect(), slow]).await;
        let second = start_engine(&site, "e2", vec![vec![Hang]]).await;
        overload(&site, "e2");
        let mut other_caller = site.connect().await;
        other_caller.send(&request("i1", 10_000)).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        let mut caller = site.connect().await;
        caller.send(&request("i2", 5_000)).await;
        for flag in &flags {
            let since = site.host.now();
            site.until(|host| host.now().since(since) >= GAP_MS).await;
            flag.set(true);
        }
        may_answer.set(true);
        let answer = caller.answer().await;
        assert_eq!(&*answer.body, "id:1\ndata:a\n\n");
        assert!(answer.is_whole);
        assert_eq!(first.arrivals.borrow().len(), 2);
        assert!(second.arrivals.borrow().is_empty());
    });
}

/// Guards against waiting for a dead engine until the caller has left.
#[test]
fn a_silent_engine_is_left_while_there_is_time_for_another_one() {
    const WAIT_MS: u64 = 10_000;
    const ENOUGH_MS: u64 = 7_000;
    on_site(|site| async move {
        publish_engines(&site).await;
        let first = start_engine(&site, "e1", vec![vec![Hang]]).await;
        let second = start_engine(&site, "e2", vec![vec![Write(START), Write(END)]]).await;
        overload(&site, "e2");
        let answer = site.call(&request("i1", WAIT_MS)).await;
        assert!(answer.is_whole, "{}", answer.body);
        assert_eq!(first.arrivals.borrow().len(), 1);
        let arrival = second.arrivals.borrow()[0].clone();
        let left_ms = arrival.head.headers.number("Wait-Ms").expect("it is set");
        assert!(left_ms > ENOUGH_MS, "{left_ms}");
    });
}

/// Guards against waiting for an engine that lags behind its prediction while another one is idle.
#[test]
fn a_stream_leaves_a_living_engine_for_an_idle_one() {
    on_site(|site| async move {
        publish_engines(&site).await;
        let first = start_engine(&site, "e1", vec![vec![Hang]]).await;
        let second = start_engine(&site, "e2", vec![vec![Write(START), Write(END)]]).await;
        overload(&site, "e2");
        let mut caller = site.connect().await;
        caller.send(&request("i1", 10_000)).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        {
            let mut upstreams = site.host.upstreams.borrow_mut();
            let lifetime = upstreams.get("e1").expect("it is listed").lifetime();
            upstreams.note_heard(site.host.now() + Millis(60_000), &lifetime);
        }
        let no_work = Vec::new();
        site.host.orderer_state.borrow_mut().replace_work(no_work);
        let answer = caller.answer().await;
        assert_eq!(&*answer.body, "id:1\ndata:a\n\n");
        assert_eq!(second.arrivals.borrow().len(), 1);
    });
}
