//! Reservations that are made at one host and claimed at another.

use super::hosts::{Hosts, on_hosts, until};
use super::site::route;
use crate::desired::Repeat;
use crate::entry::active_request::{ActiveRequest, Origin, prepare};
use crate::entry::places::{claim, due_tokens, keep};
use crate::http1::RequestHead;
use crate::ordering::message::PeerCall;
use crate::prelude::*;
use crate::rate_limit::tests::places_model::{CALL_BYTES, FIRST_CALL_BYTES};
use smol::Timer;

/// Longer than the longest part of the refill that one reservation takes in these tests.
const RETRY_AFTER_MS: Millis = Millis(100);

/// Returns a request of the limited organisation as it arrives at a host.
fn request(hosts: &Hosts, host: usize, body: &str) -> ActiveRequest {
    let head = "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nKey: key-1\r\nContent-Length: 1\r\n\r\n";
    let parsed = RequestHead::parse(head.as_bytes(), 64 << 10);
    let (head, _) = parsed.expect("a valid head").expect("a whole head");
    let host = &hosts.hosts[host].host;
    let origin = Origin::Host { resume_after: None };
    let prepared = prepare(host, head, body.into(), host.now(), origin);
    prepared.expect("a request that can be served")
}

/// Refuses a request at a host and waits until its caller comes back. Returns the index of the second
/// keeper.
async fn refuse(hosts: &Hosts, host: usize, body: &str) -> usize {
    let refused = request(hosts, host, body);
    let retry_after_ms = keep(&hosts.hosts[host].host, &refused, RETRY_AFTER_MS);
    assert!(retry_after_ms >= RETRY_AFTER_MS);
    assert_eq!(due_tokens(&hosts.hosts[host].host)[0].tokens, 1);
    let second = |n: &usize| *n != host && !hosts.hosts[*n].host.places.is_empty();
    until(|| (0..hosts.hosts.len()).any(|n| second(&n))).await;
    Timer::after(retry_after_ms.to_duration()).await;
    (0..hosts.hosts.len())
        .find(second)
        .expect("a second keeper")
}

// Guards against a caller whose reservation is not found at another host, or serves twice.
#[test]
fn a_reservation_is_claimed_once_at_any_host() {
    on_hosts(3, |hosts| async move {
        hosts.apply_limited_route(route(Repeat::Idempotent)).await;
        for (n, body) in ["a", "b", "c", "d", "e", "f"].into_iter().enumerate() {
            let first_arrival = hosts.hosts[0].host.now();
            let second = refuse(&hosts, 0, body).await;
            let at = n % 3;
            let found = claim(&hosts.hosts[at].host, &request(&hosts, at, body)).await;
            let place = found.expect("a reservation");
            assert_eq!((&*place.organisation, place.cost), ("o", 1));
            assert!(place.arrived_at.since(first_arrival) < RETRY_AFTER_MS);
            until(|| hosts.hosts[second].host.places.is_empty()).await;
            // The answers to its next calls remove the copy of the host that refused.
            let refused_by = &hosts.hosts[0].host;
            for other in 0..100 {
                if refused_by.places.is_empty() {
                    break;
                }
                claim(refused_by, &request(&hosts, 0, &other.to_string())).await;
            }
            assert!(refused_by.places.is_empty());
            for host in 0..3 {
                let again = claim(&hosts.hosts[host].host, &request(&hosts, host, body)).await;
                assert_eq!(again, None);
            }
        }
    });
}

// Guards against a request that fails or waits for long because the keeper of its reservation is gone.
#[test]
fn a_keeper_that_does_not_answer_leaves_the_request_without_a_reservation() {
    on_hosts(3, |hosts| async move {
        hosts.apply_limited_route(route(Repeat::Idempotent)).await;
        let second = refuse(&hosts, 0, "a").await;
        let third = 3 - second;
        hosts.hosts[0].peers.close();
        hosts.hosts[second].peers.close();
        let found = claim(&hosts.hosts[third].host, &request(&hosts, third, "a")).await;
        assert!(found.is_none());
        let found = claim(&hosts.hosts[0].host, &request(&hosts, 0, "a")).await;
        assert!(found.is_some(), "the host that refused has a copy");
    });
}

/// On how many new connections calls are counted.
const CONNECTIONS: usize = 5;

// Guards against a model that counts fewer bytes than calls need.
#[test]
fn a_call_takes_no_more_bytes_than_the_model_of_messages_counts() {
    on_hosts(2, |hosts| async move {
        let [asking, asked] = &hosts.hosts[..] else {
            panic!("two hosts")
        };
        let to = asked.peers.address().expect("an address");
        let call = PeerCall::ClaimPlace {
            from: 1,
            key: u64::MAX,
        };
        let bytes = async || {
            let before = asking.peers.transferred_bytes();
            assert!(asking.peers.call(to, &call).await.is_some());
            // Acknowledgements come later than the answer.
            Timer::after(Millis(100).to_duration()).await;
            asking.peers.transferred_bytes() - before
        };
        // A busy machine delays packets so that some are sent again, which the model does not count.
        let (mut first, mut second) = (u64::MAX, u64::MAX);
        for _ in 0..CONNECTIONS {
            asking.peers.close_connections();
            first = first.min(bytes().await);
            second = second.min(bytes().await);
        }
        println!("{first} bytes with a handshake, {second} without");
        assert!(first <= FIRST_CALL_BYTES && second <= CALL_BYTES);
    });
}
