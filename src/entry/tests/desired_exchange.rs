//! Which hosts get a new desired state while the store turns some of them away.

use super::exchanging_hosts::{absent_hosts, on_exchanging_hosts};
use super::relay_pair::until;

/// Guards against a host without relays that keeps an old desired state while the store refuses it.
#[test]
fn host_refused_by_the_store_takes_the_desired_state_of_the_orderer() {
    on_exchanging_hosts(&[0; 3], Vec::new(), |site| async move {
        site.start_with_orderer(0).await;
        site.turn_away(&[2]);
        site.publish(2);
        site.until_version_everywhere(2).await;
    });
}

/// Guards against an orderer that the store refuses, and that leaves all refused hosts with an old
/// desired state although other hosts report to it.
#[test]
fn orderer_refused_by_the_store_takes_the_desired_state_of_a_reporting_host() {
    on_exchanging_hosts(&[0; 4], Vec::new(), |site| async move {
        site.start_with_orderer(0).await;
        site.turn_away(&[0, 1, 2]);
        for version in [2, 3] {
            site.publish(version);
            site.until_version_everywhere(version).await;
        }
    });
}

/// Guards against a relay that the store refuses, and that keeps the hosts behind it on an old desired
/// state.
#[test]
fn relay_refused_by_the_store_takes_the_desired_state_of_the_orderer() {
    on_exchanging_hosts(&[120, 500, 120], absent_hosts(), |site| async move {
        site.start_with_orderer(0).await;
        assert!(site.hosts[1].host.is_relay());
        site.turn_away(&[1, 2]);
        site.publish(2);
        site.until_version_everywhere(2).await;
    });
}

/// Guards against a host that starts while the store refuses it, and refuses its callers although other
/// hosts have the desired state.
#[test]
fn host_that_starts_while_the_store_refuses_it_takes_the_desired_state_of_another_host() {
    on_exchanging_hosts(&[0; 3], Vec::new(), |site| async move {
        for number in [0, 1] {
            site.start(number);
        }
        site.make_orderer(0).await;
        site.publish(1);
        for number in [0, 1] {
            site.hosts[number].until_version(1).await;
        }
        site.turn_away(&[2]);
        site.start(2);
        site.until_version_everywhere(1).await;
    });
}

/// Guards against refused hosts that keep an old desired state because no host holds the lease.
#[test]
fn refused_hosts_without_an_orderer_take_the_desired_state_of_another_host() {
    on_exchanging_hosts(&[0; 5], Vec::new(), |site| async move {
        site.start_all();
        site.publish(1);
        site.until_version_everywhere(1).await;
        site.turn_away(&[1, 2, 3, 4]);
        site.publish(2);
        site.until_version_everywhere(2).await;
    });
}

/// Guards against a refused host that all others refuse too, once its membership has lapsed and its
/// connections have ended.
#[test]
fn host_whose_membership_lapsed_still_takes_the_desired_state_of_the_orderer() {
    on_exchanging_hosts(&[0; 3], Vec::new(), |site| async move {
        site.start_with_orderer(0).await;
        site.turn_away(&[2]);
        site.drop_from_lists(2);
        site.close_connections();
        site.publish(2);
        site.until_version_everywhere(2).await;
    });
}

/// Guards against hosts that read the desired state only once in a while, and without waiting for a
/// change, because an orderer which cannot read it goes on answering.
#[test]
fn host_waits_for_a_change_at_the_store_while_the_orderer_cannot() {
    on_exchanging_hosts(&[0; 3], Vec::new(), |site| async move {
        site.start_with_orderer(0).await;
        let reader = &site.hosts[1];
        until(|| reader.store.waiting_reads.get() == 0).await;
        site.turn_away(&[0]);
        until(|| reader.store.waiting_reads.get() > 0).await;
    });
}

/// Guards against an older desired state that comes over another host and replaces a newer one.
#[test]
fn older_desired_state_of_another_host_never_replaces_a_newer_one() {
    on_exchanging_hosts(&[0; 3], Vec::new(), |site| async move {
        site.start_all();
        site.make_orderer(0).await;
        site.publish(5);
        site.until_version_everywhere(5).await;
        site.turn_away(&[0, 1]);
        site.publish(3);
        site.publish(6);
        site.until_version_everywhere(6).await;
        site.publish(4);
        site.publish(7);
        site.until_version_everywhere(7).await;
        for one in &site.hosts {
            assert_eq!(one.version(), Some(7));
        }
    });
}
