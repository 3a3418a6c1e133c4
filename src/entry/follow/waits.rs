//! How long a host waits for a change at the store, and pauses between two reads.

use super::cursor::Cursor;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, Table};
use crate::prelude::*;

/// The fraction of the contact time for which a host pauses after a page of changes of the list of
/// upstreams, so that changes in quick succession come with one call. Desired states are rare and
/// have to be in force soon; there is no pause after them.
pub(super) const PAUSE_FRACTION: f64 = 0.4;

/// How long the store may take to answer beyond the wait that it was asked for.
pub(super) const ANSWER_TIMEOUT_MS: Millis = Millis(500);

/// What remains of the contact time after a pause, a wait and an answer.
pub(super) const MARGIN_MS: Millis = Millis(100);

/// How long a read of the orderer waits for a change. The other hosts rely on what it last said
/// while that is not much older than this. Two reads of one host every half second are a small part
/// of what a hundred hosts would read themselves.
pub(super) const ORDERER_WAIT_MS: Millis = Millis(400);

/// How long after its start a host that no orderer answers reads as often as the orderer would, so
/// that it can prove the versions of streams that were interrupted by a loss of all hosts.
const STARTED_MS: Millis = Millis(10_000);
/// Up to this many hosts do so at the same time.
const MAX_STARTED_READERS: usize = 16;

/// How much earlier than other hosts a relay reads a table while the orderer does not answer: two
/// intervals at which hosts ask the relay. When the orderer of 195 hosts is cut off from the store,
/// 18 of them read the tables.
pub(super) const RELAY_READS_EARLIER_MS: Millis = Millis(600);

/// The minimum wait of a read, whatever the platform's bounds.
pub(super) const MIN_WAIT_MS: Millis = Millis(300);

/// The pauses after failed reads in a row. The first are short, since a single refusal passes.
/// Refused calls are paid too: an outage in which a site of 80 hosts calls twice a second per host
/// costs more calls than a calm day. The longest pause still lets a table be read well within the
/// contact time after an outage.
pub(super) const RETRY_PAUSES_MS: [Millis; 4] =
    [Millis(100), Millis(250), Millis(500), Millis(1_000)];

/// The pause before a whole table is read again after a read that did not reach its last page, doubled
/// up to the second value.
const REREAD_PAUSES_MS: [Millis; 2] = [Millis(5_000), Millis(60_000)];

/// The pause after failed reads of the desired state by a host that exchanges state with others, which
/// tell it of changes.
pub(super) const RETRY_PAUSE_WHILE_TOLD_MS: Millis = Millis(1_500);

pub(super) fn longest_wait_ms<P: Platform>(
    host: &Host<P>,
    table: Table,
    paused_ms: Millis,
) -> Millis {
    let bounds = host.settings().bounds;
    let known_within_ms = match table {
        Table::Desired => bounds.apply_ms,
        Table::Upstreams => bounds.drain_ms,
    };
    let longest_ms = wait_ms(bounds.contact_ms, known_within_ms, paused_ms);
    // A relay reads before its hosts would, so that they receive the result in time and need not
    // read themselves.
    match host.is_relay() {
        true => (longest_ms - RELAY_READS_EARLIER_MS).max(MIN_WAIT_MS),
        false => longest_ms,
    }
}

/// Returns how long the next read waits for a change.
pub(super) fn next_wait_ms<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Millis {
    let paused_ms = std::mem::take(&mut cursor.paused_ms);
    let longest_ms = longest_wait_ms(host, cursor.table, paused_ms);
    let is_confirmed_by_orderer = std::mem::take(&mut cursor.is_confirmed_by_orderer);
    match (host.is_orderer(), is_confirmed_by_orderer) {
        (true, _) => longest_ms.min(ORDERER_WAIT_MS),
        (false, false) if reads_like_orderer(host, cursor.table) => longest_ms.min(ORDERER_WAIT_MS),
        // The orderer last said something so long ago that a change could stay unknown for too
        // long.
        (false, true) => Millis::ZERO,
        (false, false) => longest_ms,
    }
}

/// Tells whether this host has just started and no orderer answers it, in a site so small that the
/// reads of all hosts are no load for the store.
fn reads_like_orderer<P: Platform>(host: &Host<P>, table: Table) -> bool {
    let now = host.now();
    table == Table::Upstreams
        && host.age_ms(now) < STARTED_MS
        && host.members.borrow().count() <= MAX_STARTED_READERS
        && !host.has_recent_orderer_answer(now)
}

pub(super) fn pause_after_change_ms(contact_ms: Millis) -> Millis {
    Millis((contact_ms.0 as f64 * PAUSE_FRACTION) as u64)
}

/// Returns how long a read waits for a change, given the time in which a change must be known and
/// the pause before the read.
///
/// Two faults can hide a change from a read until its wait ends. A connection can go silent for
/// good without a reset; so pause, wait and answer together fit into the time after which the
/// platform counts this host as in contact again. And a read that reaches the store while the
/// change is being written is not woken by it; so the wait fits into the time in which the change
/// must be known. Shorter waits cost more calls.
pub fn wait_ms(contact_ms: Millis, known_within_ms: Millis, paused_ms: Millis) -> Millis {
    let max_silent_connection_ms = contact_ms - paused_ms - ANSWER_TIMEOUT_MS - MARGIN_MS;
    let max_missed_wakeup_ms = known_within_ms - ANSWER_TIMEOUT_MS;
    max_silent_connection_ms
        .min(max_missed_wakeup_ms)
        .max(MIN_WAIT_MS)
}

pub(super) fn retry_pause_ms<P: Platform>(host: &Host<P>, cursor: &Cursor) -> Millis {
    let is_told = cursor.table == Table::Desired
        && cursor.failures > RETRY_PAUSES_MS.len()
        && host.members.borrow().count() > 1
        && host.has_recent_orderer_answer(host.now());
    match is_told {
        true => RETRY_PAUSE_WHILE_TOLD_MS,
        false => RETRY_PAUSES_MS[cursor.failures.min(RETRY_PAUSES_MS.len()) - 1],
    }
}

/// Returns the pause before a whole table is read again after a read that did not reach its last page,
/// and `earlier` others before it.
pub(super) fn reread_pause_ms(earlier: u32) -> Millis {
    let [first, longest] = REREAD_PAUSES_MS;
    let doubled = Millis(first.0 << earlier.min(16));
    with_jitter(doubled.min(longest))
}

/// Returns the pause with random jitter, so that hosts which were refused together do not retry
/// together.
pub(super) fn with_jitter(pause_ms: Millis) -> Millis {
    Millis(pause_ms.0 / 2 + fastrand::u64(0..=pause_ms.0))
}
