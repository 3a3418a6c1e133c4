//! What hosts do after an answer of an upstream stated something about further requests, without
//! network: with the platform's list away, the log cut, and peers that were not told.

use crate::attempt::message::{AttemptOutcome, RequestHead, RequestId};
use crate::daemon::event::Event;
use crate::error::Ran;
use crate::idempotency::tests::operations::{head, service_entry, table_edit};
use crate::membership::message::UpstreamEntry;
use crate::membership::tests::cluster::Cluster;
use crate::prelude::*;
use crate::table::message::EditAnswer;
use crate::upstreams::Notice;

const UPSTREAM: &str = "service-1";
const LEAVING: Notice = Notice {
    is_leaving: true,
    rest_ms: None,
};

/// Starts hosts that serve a service with one upstream.
fn cluster_with_service() -> Cluster {
    let mut cluster = Cluster::new(2);
    cluster.upstreams.push(service_entry());
    let call = cluster.edit(0, table_edit("{}"));
    cluster.run_until("the table and the upstream", |cluster| {
        let is_known = |index: usize| {
            let placement = &cluster.hosts[index].node.shared.placement;
            placement.upstreams.contains_key(UPSTREAM)
        };
        let answer = cluster.edits.get(&call);
        matches!(answer, Some(Ok(EditAnswer::InForce { .. }))) && (0..2).all(is_known)
    });
    cluster
}

fn state(cluster: &mut Cluster, entry: &UpstreamEntry, notice: Notice) {
    let stated = Event::UpstreamStated {
        upstream: UPSTREAM.into(),
        address: entry.address,
        notice,
    };
    cluster.send(0, stated);
}

fn is_usable(cluster: &Cluster, host: usize) -> bool {
    let routing = &cluster.hosts[host].node.routing;
    routing.is_usable(cluster.now, UPSTREAM)
}

/// Sends a request to the first host, and returns the refusal if it got one within a second.
fn refusal_of_a_request(cluster: &mut Cluster) -> Option<Refusal> {
    cluster.outputs.clear();
    let head = head(RequestId(7), 7);
    cluster.send(0, Event::RequestArrived { head });
    cluster.run_for(Millis(1_000));
    cluster.outputs.iter().find_map(|(_, effect)| match effect {
        Effect::Refuse { refusal, .. } => Some(refusal.clone()),
        _ => None,
    })
}

// Guards against new requests to an upstream that stated in an answer that it leaves, once the mark
// would expire, while the list is away.
#[test]
fn an_upstream_that_states_that_it_leaves_gets_no_request_while_the_list_is_away() {
    let mut cluster = cluster_with_service();
    cluster.list_away = true;
    state(&mut cluster, &service_entry(), LEAVING);
    cluster.run_for(Millis(30_000));
    assert!(!is_usable(&cluster, 0));
    // The peer learned it from the first host.
    assert!(!is_usable(&cluster, 1));
    let refusal = refusal_of_a_request(&mut cluster).expect("a refusal");
    assert_eq!(refusal.kind, ErrorKind::NoCapacity);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn an_upstream_that_the_list_still_shows_as_live_is_used_again_after_a_while() {
    let mut cluster = cluster_with_service();
    cluster.list_away = true;
    state(&mut cluster, &service_entry(), LEAVING);
    cluster.run_for(Millis(10_000));
    cluster.list_away = false;
    cluster.run_for(Millis(10_000));
    assert!(is_usable(&cluster, 0) && is_usable(&cluster, 1));
}

// Guards against taking the statement of another process for the upstream's.
#[test]
fn the_statement_of_a_process_at_another_address_has_no_effect() {
    let mut cluster = cluster_with_service();
    let former = UpstreamEntry {
        address: ([127, 0, 0, 1], 1).into(),
        ..service_entry()
    };
    state(&mut cluster, &former, LEAVING);
    cluster.run_for(Millis(100));
    assert!(is_usable(&cluster, 0));
}

// Guards against new requests to an upstream within the rest that it asked for, and against a time
// to retry at which it still rests.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_request_until_the_rest_ends() {
    let mut cluster = cluster_with_service();
    let notice = Notice {
        is_leaving: false,
        rest_ms: Some(Millis(30_000)),
    };
    state(&mut cluster, &service_entry(), notice);
    cluster.run_for(Millis(10_000));
    assert!(!is_usable(&cluster, 0));
    // The rest is asked of the first host alone.
    assert!(is_usable(&cluster, 1));
    let refusal = refusal_of_a_request(&mut cluster).expect("a refusal");
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    let after = refusal.retry_after_ms.expect("a time to retry");
    assert!(
        after >= Millis(18_000) && after <= Millis(20_000),
        "{after}"
    );
    cluster.run_for(Millis(20_000));
    assert!(is_usable(&cluster, 0));
    assert_eq!(refusal_of_a_request(&mut cluster), None);
}

// Guards against taking the rest of one process for the next one's under the same name.
#[test]
fn an_upstream_that_starts_again_under_its_name_does_not_rest() {
    let mut cluster = cluster_with_service();
    let notice = Notice {
        is_leaving: false,
        rest_ms: Some(Millis(30_000)),
    };
    state(&mut cluster, &service_entry(), notice);
    cluster.run_for(Millis(100));
    assert!(!is_usable(&cluster, 0));
    cluster.upstreams[0].address = ([127, 0, 0, 1], 10).into();
    cluster.run_for(Millis(5_000));
    assert!(is_usable(&cluster, 0));
}

// Guards against a host that turns a caller away because it reaches no upstream, and does not name
// the hosts that may.
#[test]
fn a_request_that_could_not_be_sent_is_refused_with_the_names_of_other_hosts() {
    let mut cluster = cluster_with_service();
    cluster.outputs.clear();
    let head = RequestHead {
        idempotency_key: None,
        ..head(RequestId(7), 7)
    };
    cluster.send(0, Event::RequestArrived { head });
    cluster.run_for(Millis(100));
    let outcome = AttemptOutcome::NotRun("cannot connect".into());
    cluster.send(
        0,
        Event::AttemptEnded {
            request: RequestId(7),
            number: 1,
            outcome,
        },
    );
    cluster.run_for(Millis(100));
    let refusals = cluster
        .outputs
        .iter()
        .filter_map(|(_, effect)| match effect {
            Effect::Refuse { refusal, .. } => Some(refusal),
            _ => None,
        });
    let refusals: Vec<&Refusal> = refusals.collect();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].kind, ErrorKind::UpstreamFailed);
    assert_eq!(refusals[0].ran, Ran::NotRun);
    assert_eq!(refusals[0].try_hosts.len(), 1);
}
