//! Desired states in quick succession reach a host through its relay, whatever the store answers
//! it.

use super::fake_platform::FakePlatform;
use super::relay_pair::{Pair, until};
use super::site::{Site, on_site};
use crate::desired::DesiredState;
use crate::entry::desired_copy::{answer, fetch};
use crate::entry::desired_exchange::{fetch_newer, note_version};
use crate::entry::follow::follow;
use crate::entry::host::Host;
use crate::entry::platform::Table;
use crate::entry::replication::{TableEnd, TablesUpdate};
use crate::prelude::*;

fn version(host: &Host<FakePlatform>) -> Option<u64> {
    let routes = host.routes.borrow();
    routes.as_ref().map(|routes| routes.version)
}

/// Returns what the relay would tell hosts about its table of desired states.
fn relay_update(site: &Site) -> TablesUpdate {
    TablesUpdate {
        desired: site.host.replication.end(site.host.now(), Table::Desired),
        ..TablesUpdate::default()
    }
}

/// Starts to follow desired states at the host behind the relay. Waits until it has read the first
/// one from the store and relies on updates from then on.
async fn read_first(site: &Site, pair: &Pair) {
    let first = TablesUpdate {
        desired: Some(TableEnd {
            end: Position::new(Era(0), 1),
            age_ms: Millis::ZERO,
        }),
        ..TablesUpdate::default()
    };
    pair.asking
        .replication
        .apply_update(pair.asking.now(), first);
    let store = &pair.asking.platform.0;
    store.is_down.set(false);
    store.write_desired(DesiredState::default());
    let follow = follow(pair.asking.clone(), Table::Desired, Some(pair.sources()));
    site.executor.spawn(follow).detach();
    until(|| version(&pair.asking) == Some(0)).await;
}

/// Guards against every host reading every version from the store, and against an old version
/// staying in force at a host that the store refuses.
#[test]
fn host_refused_by_the_store_fetches_the_desired_state_from_its_relay() {
    on_site(|site| async move {
        site.publish_desired(1, Vec::new());
        site.until_version(1).await;
        let pair = Pair::new(&site).await;
        let test = async {
            read_first(&site, &pair).await;
            pair.asking.platform.0.is_down.set(true);
            for newest in [7, 8] {
                site.publish_desired(newest, Vec::new());
                site.until_version(newest).await;
                pair.asking
                    .replication
                    .apply_update(pair.asking.now(), relay_update(&site));
                until(|| version(&pair.asking) == Some(newest)).await;
            }
        };
        pair.shared.run(test).await;
    });
}

/// Guards against a host that waits for a relay which cannot serve the desired state.
#[test]
fn host_reads_the_store_when_its_relay_has_no_desired_state() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let test = async {
            assert!(answer(&site.host).is_none());
            read_first(&site, &pair).await;
            let store = &pair.asking.platform.0;
            store.write_desired(DesiredState {
                version: 5,
                ..DesiredState::default()
            });
            let told = TablesUpdate {
                desired: Some(TableEnd {
                    end: Position::new(Era(0), 2),
                    age_ms: Millis::ZERO,
                }),
                ..TablesUpdate::default()
            };
            let now = pair.asking.now();
            pair.asking.replication.apply_update(now, told);
            until(|| version(&pair.asking) == Some(5)).await;
        };
        pair.shared.run(test).await;
    });
}

/// Guards against a host that starts after the store was restored from a copy, and serves by an older
/// version than all others until the operator has written the newer one again.
#[test]
fn host_takes_the_newer_desired_state_of_its_relay_although_the_table_has_no_more_rows() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let test = async {
            site.publish_desired(7, Vec::new());
            site.until_version(7).await;
            read_first(&site, &pair).await;
            let fetch = fetch_newer(pair.asking.clone(), pair.peers.clone());
            site.executor.spawn(fetch).detach();
            note_version(&pair.asking, &pair.relay, Some(7));
            until(|| version(&pair.asking) == Some(7)).await;
        };
        pair.shared.run(test).await;
    });
}

#[test]
fn desired_state_is_fetched_only_if_newer_and_served_by_every_host_that_has_one() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let test = async {
            site.publish_desired(7, Vec::new());
            site.until_version(7).await;
            let end = relay_update(&site).desired.expect("it was read").end;
            let sources = pair.sources();
            assert!(fetch(&pair.asking, &sources, end).await.is_none());
            let older = Position::new(end.era, end.offset.0 - 1);
            let copy = fetch(&pair.asking, &sources, older).await;
            assert_eq!(copy.map(|(_, copy)| copy.state.version), Some(7));
            assert!(answer(&pair.asking).is_none());
            read_first(&site, &pair).await;
            let served = answer(&pair.asking);
            assert_eq!(served.map(|copy| copy.state.version), Some(0));
        };
        pair.shared.run(test).await;
    });
}
