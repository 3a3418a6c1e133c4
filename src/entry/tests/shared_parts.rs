//! Parts of prompts that crash each upstream which begins to answer on them, in requests of which no
//! two are alike, and sound requests that share the other parts.

use super::fake_upstream::Step::{CrashOnPart, CrashSlowlyOnPart, Write};
use super::fake_upstream::{FakeUpstream, Step};
use super::site::{Answer, Site, on_site, route};
use crate::desired::{Repeat, Route};

const STREAM: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n0\r\n\r\n";

/// The beginning of a stream, and its end.
const BEGUN: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";
const REST: &str = "d\r\nid:2\ndata:b\n\n\r\n0\r\n\r\n";

/// The first part of all prompts of the route.
const COMMON: u64 = 0xc0;
/// A part that crashes upstreams.
const CRASHING: u64 = 0xbad;
/// A part of sound requests.
const SOUND: u64 = 0x50;
/// With fewer crashes than this the part must be known.
const FIFTH_CRASH: usize = 5;

fn streams(repeat: Repeat) -> Route {
    Route {
        streams: true,
        attempts: 3,
        ..route(repeat)
    }
}

/// Returns a request that differs from all others in its body and the last part of its prompt.
fn request(id: usize, parts: &[u64]) -> String {
    let parts: Vec<_> = parts.iter().map(|part| format!("{part:x}:100")).collect();
    let parts = parts.join(",");
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i{id}\r\nWait-Ms: 5000\r\nParts: {parts},{own:x}:9\r\nContent-Length: 6\r\n\r\n{id:06}",
        own = 0x1_0000 + id
    )
}

/// Starts upstreams that crash with the part and answer all other requests.
async fn upstreams(site: &Site, count: usize) -> Vec<FakeUpstream> {
    let script: Vec<Step> = vec![CrashOnPart(CRASHING), Write(STREAM)];
    let versions = vec!["v1"; count];
    site.start_upstreams_of(&versions, vec![script]).await
}

fn crashes(upstreams: &[FakeUpstream]) -> usize {
    let crashed = upstreams.iter().filter(|one| one.has_crashed.get());
    crashed.count()
}

fn assert_refused_unrun(answer: &Answer) {
    assert_eq!(answer.head.status, 503, "{}", answer.body);
    let after = answer.head.headers.text("Retry-After");
    let after_s: f64 = after.and_then(|after| after.parse().ok()).unwrap_or(0.0);
    assert!(after_s > 1_000.0, "{:?}", answer.head);
}

/// Guards against requests that are never alike crashing one upstream each, because their evidence is
/// kept under the digest of one request.
#[test]
fn requests_with_a_part_that_crashes_upstreams_are_held_back() {
    on_site(|site| async move {
        site.apply_route(streams(Repeat::Once)).await;
        let upstreams = upstreams(&site, 24).await;
        for n in 0..20 {
            let with_part = site.call(&request(2 * n, &[COMMON, CRASHING])).await;
            if crashes(&upstreams) == FIFTH_CRASH - 1 && n >= FIFTH_CRASH {
                assert_refused_unrun(&with_part);
            }
            let sound = site.call(&request(2 * n + 1, &[COMMON, SOUND])).await;
            assert_eq!(sound.head.status, 200, "{}", sound.body);
        }
        let crashes = crashes(&upstreams);
        assert!(crashes < FIFTH_CRASH, "{crashes} upstreams crashed");
    });
}

/// Guards against second attempts that carry such a part to the next upstream.
#[test]
fn second_attempts_with_a_suspected_part_are_not_made() {
    on_site(|site| async move {
        site.apply_route(streams(Repeat::Idempotent)).await;
        let upstreams = upstreams(&site, 30).await;
        for n in 0..20 {
            site.call(&request(2 * n, &[COMMON, CRASHING])).await;
            let sound = site.call(&request(2 * n + 1, &[COMMON, SOUND])).await;
            assert_eq!(sound.head.status, 200, "{}", sound.body);
        }
        let crashes = crashes(&upstreams);
        assert!(crashes <= FIFTH_CRASH, "{crashes} upstreams crashed");
    });
}

/// Calls a resumable route with the crashing part, and with a sound one after each call, at upstreams
/// with this script. Returns how many of them crashed.
async fn crashes_of_resumable_streams(site: &Site, script: Vec<Step>) -> usize {
    site.apply_route(streams(Repeat::Resumable)).await;
    let upstreams = site.start_upstreams_of(&["v1"; 30], vec![script]).await;
    for n in 0..20 {
        site.call(&request(2 * n, &[COMMON, CRASHING])).await;
        let sound = site.call(&request(2 * n + 1, &[COMMON, SOUND])).await;
        assert_eq!(sound.head.status, 200, "{}", sound.body);
        assert!(sound.is_whole);
    }
    crashes(&upstreams)
}

/// Guards against resumed streams that carry such a part to the next upstream.
#[test]
fn streams_with_a_suspected_part_are_not_resumed() {
    on_site(|site| async move {
        let script = vec![Write(BEGUN), CrashOnPart(CRASHING), Write(REST)];
        let crashes = crashes_of_resumable_streams(&site, script).await;
        assert!(crashes <= FIFTH_CRASH, "{crashes} upstreams crashed");
    });
}

/// Guards against a crash that counts late because the check whether the upstream crashed connects to
/// its listener, which closes a moment after the connections.
#[test]
fn crash_of_an_upstream_that_accepts_connections_for_a_moment_is_noticed() {
    on_site(|site| async move {
        let script = vec![Write(BEGUN), CrashSlowlyOnPart(CRASHING), Write(REST)];
        let crashes = crashes_of_resumable_streams(&site, script).await;
        assert!(crashes <= FIFTH_CRASH, "{crashes} upstreams crashed");
    });
}

/// Guards against holding back the first part of a route because at first only requests with a
/// crashing part use it.
#[test]
fn a_part_that_was_only_seen_beside_a_crashing_part_is_served_without_it() {
    on_site(|site| async move {
        site.apply_route(streams(Repeat::Once)).await;
        let upstreams = upstreams(&site, 12).await;
        for n in 0..8 {
            site.call(&request(n, &[COMMON, CRASHING])).await;
        }
        for n in 20..24 {
            let sound = site.call(&request(n, &[COMMON, SOUND])).await;
            assert_eq!(sound.head.status, 200, "{}", sound.body);
            let with_part = site.call(&request(10 + n, &[COMMON, CRASHING])).await;
            assert_refused_unrun(&with_part);
        }
        let crashes = crashes(&upstreams);
        assert!(crashes < FIFTH_CRASH, "{crashes} upstreams crashed");
    });
}
