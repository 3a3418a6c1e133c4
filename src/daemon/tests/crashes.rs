//! Requests that crash upstreams by a block that their bodies share, at hosts without network that
//! exchange what they saw.

use crate::attempt::message::{AttemptOutcome, Repeatable, RequestHead, RequestId};
use crate::daemon::effect::Effect;
use crate::daemon::event::Event;
use crate::edge::request_reader::prefix_hashes;
use crate::idempotency::tests::operations::{head, service_entry, table_edit};
use crate::membership::message::UpstreamEntry;
use crate::membership::tests::cluster::Cluster;
use crate::prelude::*;
use crate::table::message::{Change, EditAnswer, Service};

const UPSTREAMS: usize = 16;
const COMMON: u64 = 1;
const CRASHING: u64 = 2;
/// With fewer crashes than this the block must be known.
const FIFTH_CRASH: usize = 5;

fn upstream(n: usize) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("service-{n}").into(),
        ..service_entry()
    }
}

/// Starts two hosts that serve a service with many upstreams.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(2);
    cluster.upstreams = (0..UPSTREAMS).map(upstream).collect();
    let mut edit = table_edit("{}");
    let service = Service {
        upstreams: (0..UPSTREAMS).map(|n| upstream(n).name).collect(),
    };
    for change in &mut edit.changes {
        if let Change::PutService { service: put, .. } = change {
            *put = service.clone();
        }
    }
    let call = cluster.edit(0, edit);
    cluster.run_until("the table and the upstreams", |cluster| {
        let is_known = |index: usize| {
            let placement = &cluster.hosts[index].node.shared.placement;
            placement.upstreams.len() == UPSTREAMS
        };
        let answer = cluster.edits.get(&call);
        matches!(answer, Some(Ok(EditAnswer::InForce { .. }))) && (0..2).all(is_known)
    });
    cluster
}

/// Returns a request that differs from all others, with blocks that others share.
fn request(n: u64, blocks: &[u64]) -> RequestHead {
    RequestHead {
        idempotency_key: None,
        repeatable: Repeatable::Yes,
        request_sha256: format!("request {n}").into(),
        prefix_hashes: blocks.to_vec(),
        ..head(RequestId(n), 0)
    }
}

/// Takes what the hosts did since the last call.
fn take_outputs(cluster: &mut Cluster) -> Vec<(usize, Effect)> {
    cluster.run_for(Millis(100));
    std::mem::take(&mut cluster.outputs)
}

/// Sends a request to a host. Each attempt with the crashing block crashes its upstream, all others
/// are answered. Returns how many upstreams crashed and whether it was refused as quarantined.
fn serve(cluster: &mut Cluster, host: usize, head: RequestHead) -> (usize, bool) {
    let is_crashing = head.prefix_hashes.contains(&CRASHING);
    let (mut crashes, mut is_quarantined) = (0, false);
    cluster.send(host, Event::RequestArrived { head });
    loop {
        let outputs = take_outputs(cluster);
        if outputs.is_empty() {
            return (crashes, is_quarantined);
        }
        for (host, effect) in outputs {
            match effect {
                Effect::Begin { attempt } => {
                    crashes += usize::from(is_crashing);
                    let outcome = match is_crashing {
                        true => AttemptOutcome::Unknown("the connection ended".into()),
                        false => AttemptOutcome::Answered,
                    };
                    let ended = Event::AttemptEnded {
                        request: attempt.request,
                        number: attempt.number,
                        outcome,
                    };
                    cluster.send(host, ended);
                }
                Effect::CheckUpstream { lifetime, .. } => {
                    cluster.send(host, Event::UpstreamRefused { lifetime });
                }
                Effect::Refuse { refusal, .. } => {
                    is_quarantined |= refusal.kind == ErrorKind::Quarantined;
                }
                _ => {}
            }
        }
    }
}

/// Guards against hosts without any protection from requests that crash upstreams, each of another
/// one.
#[test]
fn requests_with_a_block_that_crashes_upstreams_are_refused_at_all_hosts() {
    let mut cluster = cluster();
    let mut crashes = 0;
    for n in 0..12 {
        let host = n as usize % 2;
        let (crashed, _) = serve(&mut cluster, host, request(2 * n, &[COMMON, CRASHING]));
        crashes += crashed;
        let (_, is_refused) = serve(&mut cluster, host, request(2 * n + 1, &[COMMON, 10]));
        assert!(!is_refused, "a sound request was refused");
    }
    assert!(crashes <= FIFTH_CRASH, "{crashes} upstreams crashed");
    for host in 0..2 {
        let (_, is_refused) = serve(
            &mut cluster,
            host,
            request(100 + host as u64, &[COMMON, CRASHING]),
        );
        assert!(is_refused);
    }
}

/// Guards against the same for one request that callers repeat.
#[test]
fn a_request_that_crashes_upstreams_is_refused() {
    let mut cluster = cluster();
    let mut crashes = 0;
    for n in 0..8 {
        let head = RequestHead {
            id: RequestId(n),
            ..request(1_000, &[CRASHING])
        };
        let (crashed, _) = serve(&mut cluster, n as usize % 2, head);
        crashes += crashed;
    }
    assert!(crashes <= FIFTH_CRASH, "{crashes} upstreams crashed");
}

#[test]
fn bodies_with_the_same_beginning_share_its_blocks() {
    let body = |end: &str| format!("{}{end}", "x".repeat(600)).into_bytes();
    let (one, other) = (prefix_hashes(&body("a")), prefix_hashes(&body("b")));
    assert_eq!(one.len(), 2);
    assert_eq!(one, other);
    let long = prefix_hashes(&vec![b'x'; 1 << 20]);
    assert_eq!(long.len(), 16);
    assert_eq!(long[..2], one[..]);
    assert_ne!(long[2], long[3]);
}
