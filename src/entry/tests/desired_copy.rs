//! Desired states in quick succession reach a host from its relay, whatever the store answers it.

use super::fake_platform::FakePlatform;
use super::relay_pair::{Pair, until};
use super::site::{Site, on_site};
use crate::desired::DesiredState;
use crate::entry::desired_copy::{answer, fetch};
use crate::entry::follow::follow;
use crate::entry::followed::{TableEnd, TablesWord};
use crate::entry::host::Host;
use crate::entry::platform::Table;
use crate::prelude::*;

fn version(host: &Host<FakePlatform>) -> Option<u64> {
    let routes = host.routes.borrow();
    routes.as_ref().map(|routes| routes.version)
}

/// Returns what the relay of a site says of its desired states.
fn told(site: &Site) -> TablesWord {
    TablesWord {
        desired: site.host.followed.end(site.host.now(), Table::Desired),
        ..TablesWord::default()
    }
}

/// Starts to follow desired states at the host behind the relay, and waits until it has read the first from the store and goes
/// by what it is told.
async fn read_first(site: &Site, pair: &Pair) {
    let first = TablesWord {
        desired: Some(TableEnd {
            end: Offset(1),
            age_ms: Millis::ZERO,
        }),
        ..TablesWord::default()
    };
    pair.asking.followed.take_word(pair.asking.now(), first);
    let store = &pair.asking.platform.0;
    store.is_down.set(false);
    store.order(DesiredState::default());
    let follow = follow(pair.asking.clone(), Table::Desired, Some(pair.sources()));
    site.executor.spawn(follow).detach();
    until(|| version(&pair.asking) == Some(0)).await;
}

/// Guards against a read of each version by every host, and an old version in force where the store turns a host away.
#[test]
fn a_host_that_the_store_turns_away_takes_the_desired_state_from_its_relay() {
    on_site(|site| async move {
        site.order(1, Vec::new());
        site.until_version(1).await;
        let pair = Pair::new(&site).await;
        let test = async {
            read_first(&site, &pair).await;
            pair.asking.platform.0.is_down.set(true);
            for newest in [7, 8] {
                site.order(newest, Vec::new());
                site.until_version(newest).await;
                pair.asking
                    .followed
                    .take_word(pair.asking.now(), told(&site));
                until(|| version(&pair.asking) == Some(newest)).await;
            }
        };
        pair.shared.run(test).await;
    });
}

/// Guards against a host that waits for a relay which cannot give the state.
#[test]
fn a_host_whose_relay_has_read_no_state_since_it_relays_reads_the_store() {
    on_site(|site| async move {
        for version in [4, 5] {
            site.order(version, Vec::new());
            site.until_version(version).await;
        }
        let pair = Pair::new(&site).await;
        let test = async {
            assert!(answer(&site.host).is_none());
            read_first(&site, &pair).await;
            let store = &pair.asking.platform.0;
            store.order(DesiredState {
                version: 5,
                ..DesiredState::default()
            });
            pair.asking
                .followed
                .take_word(pair.asking.now(), told(&site));
            until(|| version(&pair.asking) == Some(5)).await;
        };
        pair.shared.run(test).await;
    });
}

#[test]
fn a_state_that_is_no_newer_is_not_taken_and_a_host_that_relays_for_no_others_gives_none() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let test = async {
            site.order(7, Vec::new());
            site.until_version(7).await;
            let end = told(&site).desired.expect("it was read").end;
            let sources = pair.sources();
            assert!(fetch(&pair.asking, &sources, end).await.is_none());
            let older = Offset(end.0 - 1);
            let copy = fetch(&pair.asking, &sources, older).await;
            assert_eq!(copy.map(|copy| copy.state.version), Some(7));
            assert!(answer(&pair.asking).is_none());
        };
        pair.shared.run(test).await;
    });
}
