//! Writes what the store lacks about streams, and hands it on where the store refuses this host.

use super::{MAX_ROWS, StreamStore};
use crate::entry::host::Host;
use crate::entry::platform::{Platform, StoreCall, StoreError};
use crate::entry::resumption::proof::list_as_of;
use crate::prelude::*;
use crate::resumption::stored::{StoredStream, bucket, bucket_keepers};

/// How new the list of upstreams is while other hosts read it from the store.
const OTHERS_READ_WITHIN_MS: Millis = Millis(1_000);

/// Writes the rows that the store lacks.
pub(super) async fn write<P: Platform>(host: &Host<P>, store: &StreamStore) {
    let now = host.now();
    let mut changes = store.version_changes(host, now);
    let versions = changes.len();
    let own = store.own.borrow_mut().take_changes(now, MAX_ROWS);
    changes.extend(own);
    if changes.is_empty() {
        return;
    }
    let written = host.platform.write_stored(&changes);
    match host.count_call(StoreCall::WriteStored, written).await {
        Ok(()) => {
            store.note_written(host, &changes[..versions]);
            store.note_success(now);
        }
        Err(error) => {
            let is_refused = matches!(
                error,
                StoreError::Refused { .. } | StoreError::NotSent { .. }
            );
            let may_write_later = !is_refused;
            let mut own = store.own.borrow_mut();
            own.note_unwritten(&changes[versions..], may_write_later);
            drop(own);
            store.note_failure(host.now(), StoreCall::WriteStored, changes.len(), &error);
            hand_on(host, store);
        }
    }
}

/// Hands streams that the store did not take on to other hosts, if it seems to answer some: those that
/// tell this host of the list.
fn hand_on<P: Platform>(host: &Host<P>, store: &StreamStore) {
    let now = host.now();
    let is_reached_by_others =
        list_as_of(host).is_some_and(|as_of| now.since(as_of) < OTHERS_READ_WITHIN_MS);
    if !is_reached_by_others || host.members.borrow().count() < 2 {
        return;
    }
    let members = host.members.borrow();
    let queue = |stream: StoredStream| {
        let mut keepers = bucket_keepers(members.iter(), bucket(stream.key));
        let other = keepers.find(|keeper| keeper.incarnation != host.incarnation);
        other.is_some_and(|other| store.outbox.push(other.peer_address, stream))
    };
    store.own.borrow_mut().pass_on_unwritten(now, queue);
}
