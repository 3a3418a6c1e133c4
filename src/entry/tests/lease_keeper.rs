//! Holding the lease while the store does not answer the holder.

use super::fake_platform::FakePlatform;
use super::site::{another_host, as_member, bind_peers, on_site};
use crate::entry::host::Host;
use crate::entry::lease_keeper::{append_for_peer, keep_lease};
use crate::entry::peers;
use crate::group::Member;
use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::upstreams::Lifetime;
use std::rc::Rc;

/// Answers the pattern of an orderer that is cut off from the store alone: without another host's help it lost the lease,
/// and nobody ordered loads for the engines' lease time.
#[test]
fn a_holder_that_the_store_refuses_renews_through_another_host() {
    on_site(|site| async move {
        let shared = Arc::new(smol::Executor::new());
        let (own, other) = (bind_peers(&shared), bind_peers(&shared));
        let store = Rc::new(site.store.as_reached_by_another_host());
        let other_host = another_host(site.address, store.clone(), &other);
        let (me, helper) = (
            as_member(&site.host, &own, 0),
            as_member(&other_host, &other, 0),
        );
        let both: IndexSet<Member> = [me.clone(), helper].into_iter().collect();
        let fingerprints: IndexSet<Name> = both
            .iter()
            .map(|member| member.fingerprint.clone())
            .collect();
        own.known.replace(fingerprints.clone());
        other.known.replace(fingerprints);
        let now = site.host.now();
        site.host.members.borrow_mut().replace(now, 1, both);
        let serve = peers::serve(other_host, other, site.executor.clone());
        site.executor.spawn(serve).detach();
        let keep = keep_lease(site.host.clone(), own, me);
        site.executor.spawn(keep).detach();
        let test = async {
            site.until(|host| host.is_orderer()).await;
            site.store.is_down.set(true);
            let before = store.lease_records();
            site.until(|_| store.lease_records() > before + 1).await;
            assert!(site.host.is_orderer());
        };
        shared.run(test).await;
    });
}

#[test]
fn what_is_no_record_of_a_lease_is_not_appended_for_another_host() {
    on_site(|site| async move {
        for foreign in [&b"{}"[..], b"", &[0; 8_192]] {
            let appended = append_for_peer(&site.host, Offset(0), foreign).await;
            assert_eq!(appended, None);
        }
        assert_eq!(site.store.lease_records(), 0);
    });
}

/// Lets a host see a request alone at three crashes.
fn see_crashes(host: &Host<FakePlatform>, digest: RequestDigest) {
    let now = host.now();
    let quarantine = &mut host.retries.borrow_mut().quarantine;
    for n in 0..3 {
        let upstream = Lifetime {
            id: format!("u{n}").into(),
            born_at: Millis::ZERO,
        };
        quarantine.note_connection_lost(now, &upstream, digest);
        quarantine.note_crashed(now, &upstream);
    }
}

fn holds_back(host: &Host<FakePlatform>, digest: &RequestDigest) -> bool {
    let quarantine = &host.retries.borrow().quarantine;
    quarantine.quarantined_ms(host.now(), digest).is_some()
}

/// After a restart of all hosts a request that crashes upstreams would begin anew.
#[test]
fn a_host_that_starts_reads_from_the_lease_which_requests_are_held_back() {
    on_site(|site| async move {
        let shared = Arc::new(smol::Executor::new());
        let (own, other) = (bind_peers(&shared), bind_peers(&shared));
        let store = Rc::new(site.store.as_reached_by_another_host());
        let other_host = another_host(site.address, store.clone(), &other);
        let (me, next) = (
            as_member(&site.host, &own, 0),
            as_member(&other_host, &other, 0),
        );
        let digest = RequestDigest::of(None, "POST", "x", "/a/1", b"crash");
        let keep = keep_lease(site.host.clone(), own, me);
        site.executor.spawn(keep).detach();
        let test = async {
            site.until(|host| host.is_orderer()).await;
            see_crashes(&site.host, digest);
            let before = store.lease_records();
            site.until(|_| store.lease_records() > before).await;
            let keep = keep_lease(other_host.clone(), other, next);
            site.executor.spawn(keep).detach();
            site.until(|_| holds_back(&other_host, &digest)).await;
        };
        shared.run(test).await;
    });
}
