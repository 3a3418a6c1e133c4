//! Follows the tables that the operator and the upstreams write in the platform's store.
//!
//! The orderer reads them often. The other hosts read only while the orderer does not report to
//! them how fresh their copies of the tables are.

mod cursor;
mod incomplete;
mod reads;
mod sent;
mod waits;

use crate::entry::desired_copy;
use crate::entry::desired_exchange::apply_copy;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::list_copy::{self, ListCopy};
use crate::entry::platform::{PageSize, Platform, StoreError, Table};
use crate::entry::replication::NextStep;
use crate::entry::table_rows::{TableLine, UpstreamList, apply_list};
use crate::entry::table_sources::{TableSources, serves_tables};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use cursor::{Cursor, note_era_of_copy, note_failure, note_restored, note_success};
use reads::{read_changes, read_first_page, read_remaining_pages};
use sent::{apply_reported, apply_update, is_to_read_for_others, next_step};
use smol::Timer;
use std::rc::Rc;
use waits::{
    RETRY_PAUSES_MS, longest_wait_ms, pause_after_change_ms, reread_pause_ms, retry_pause_ms,
    with_jitter,
};

pub use waits::wait_ms;

/// How long a host looks for a relay with a newer list when the store has trimmed the history after
/// the host's copy. Meanwhile the host uses its copy.
const RELAY_SEARCH_AGAIN_MS: Millis = Millis(1_000);

/// Follows a table until the process ends. `sources` names the relays from which a host that is
/// behind may fetch the table instead of the store; the list of upstreams may also be fetched from
/// them at the start.
pub async fn follow<P: Platform>(host: Rc<Host<P>>, table: Table, sources: Option<TableSources>) {
    let mut cursor = Cursor::new(table);
    loop {
        if table == Table::Desired {
            adopt_position(&host, &mut cursor);
        }
        let read = match cursor.next {
            None => load_table(&host, &mut cursor, sources.as_ref()).await,
            Some(at) if cursor.is_cut => read_more(&host, &mut cursor, at, sources.as_ref()).await,
            Some(_) if cursor.is_reread_due(host.now()) => {
                reread_table(&host, &mut cursor, sources.as_ref()).await
            }
            Some(from) => match wait_until_due(&host, &mut cursor).await {
                Due::Read => {
                    let size = page_size(&host, table, sources.as_ref());
                    read_changes(&host, &mut cursor, from, size).await
                }
                Due::CatchUp => catch_up(&host, &mut cursor, from, sources.as_ref()).await,
                Due::Nothing => continue,
            },
        };
        match read {
            Ok(has_changes) => {
                note_success(&host, &mut cursor);
                let pauses = has_changes && !cursor.is_cut && !host.is_orderer();
                if pauses && table == Table::Upstreams {
                    cursor.paused_ms = pause_after_change_ms(host.settings().bounds.contact_ms);
                    Timer::after(cursor.paused_ms.to_duration()).await;
                }
            }
            Err(StoreError::Trimmed) => {
                lines::write(
                    LogEvent::LogTrimmed,
                    &TableLine {
                        table: table.name(),
                        error: "",
                    },
                );
                cursor.read_anew();
                cursor.trims += 1;
                // A store that trims the history repeatedly is not asked again without a pause.
                if cursor.trims > 1 {
                    Timer::after(RETRY_PAUSES_MS[0].to_duration()).await;
                }
            }
            Err(StoreError::Restored { era }) => note_restored(&host, &mut cursor, era),
            Err(error) => {
                note_failure(&host, &mut cursor, &error);
                if table == Table::Upstreams {
                    host.upstreams.borrow_mut().note_list_unreachable();
                }
                let pause_ms = with_jitter(retry_pause_ms(&host, &cursor));
                cursor.retry_at = host.now() + pause_ms;
                // A host that follows the table applies what other hosts send meanwhile.
                if cursor.next.is_none() || cursor.is_cut {
                    Timer::after(pause_ms.to_duration()).await;
                }
            }
        }
    }
}

/// Reads the whole table from the store. A list of upstreams that has more than one page there, or
/// that the store refuses, is fetched from a relay if one has it. A host whose copy is outdated asks
/// its relays first, since all hosts find that at the same time; for a desired state, which must be
/// in force soon, it asks them once only.
async fn load_table<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    sources: Option<&TableSources>,
) -> Result<bool, StoreError> {
    let search_ms = match cursor.table {
        Table::Desired => Millis::ZERO,
        Table::Upstreams => RELAY_SEARCH_AGAIN_MS,
    };
    if let (Some(outdated_at), Some(sources)) = (cursor.outdated_at, sources)
        && fetch_from_relay(host, cursor, outdated_at, sources, search_ms).await
    {
        return Ok(false);
    }
    let first = read_first_page(host, cursor).await;
    let search_ms = match &first {
        Ok(()) if cursor.has_all_pages() => None,
        Ok(()) if cursor.outdated_at.is_some() => Some(Millis::ZERO),
        Ok(()) => Some(list_copy::RELAY_SEARCH_MS),
        Err(_) => Some(Millis::ZERO),
    };
    if let (Table::Upstreams, Some(sources), Some(search_ms)) = (cursor.table, sources, search_ms)
        && let Some(copy) = list_copy::fetch(host, sources, cursor.outdated_at, search_ms).await
    {
        apply_list_copy(host, cursor, copy);
        return Ok(false);
    }
    first?;
    read_remaining_pages(host, cursor).await
}

/// Reads a table again of which this host misses rows.
async fn reread_table<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    sources: Option<&TableSources>,
) -> Result<bool, StoreError> {
    cursor.reread_at = None;
    if let (Table::Upstreams, Some(sources)) = (cursor.table, sources)
        && let Some(copy) = list_copy::fetch(host, sources, None, Millis::ZERO).await
    {
        apply_list_copy(host, cursor, copy);
        return Ok(false);
    }
    let read = match read_first_page(host, cursor).await {
        Ok(()) => read_remaining_pages(host, cursor).await,
        Err(error) => Err(error),
    };
    if read.is_err() {
        // The table is followed meanwhile, so the pages that were read grow old.
        cursor.partial = None;
        cursor.reread_at = Some(host.now() + reread_pause_ms(cursor.incomplete_reads));
    }
    read
}

fn apply_list_copy<P: Platform>(host: &Host<P>, cursor: &mut Cursor, copy: ListCopy) {
    note_era_of_copy(host, cursor, copy.end);
    cursor.partial = None;
    cursor.newest_rows.clear();
    cursor.next = Some(copy.end);
    cursor.note_whole();
    host.replication
        .note_read(cursor.table, copy.as_of, copy.end);
    host.replication.set_incomplete(cursor.table, false);
    host.replication.clear_buffered_rows();
    let list = UpstreamList {
        as_of: copy.as_of,
        from: Some(copy.relay),
        entries: copy.entries,
        unreadable: Vec::new(),
        is_whole: true,
    };
    apply_list(host, list);
}

/// Catches up with a table that has rows which the orderer did not send: fetches the table from a
/// relay, or else reads the changes from the store. Hundreds of hosts that fell behind together
/// would otherwise keep the store at its limit, and fall further behind.
async fn catch_up<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Position,
    sources: Option<&TableSources>,
) -> Result<bool, StoreError> {
    if let Some(sources) = sources
        && fetch_from_relay(host, cursor, from, sources, Millis::ZERO).await
    {
        return Ok(false);
    }
    let size = page_size(host, cursor.table, sources);
    read_changes(host, cursor, from, size).await
}

/// Continues after a page that ended before the end of the table: fetches the table from a relay,
/// or else reads full pages. All reads share the bytes that the store gives per second; if hundreds
/// of hosts read a list that is being written, relays and the orderer would have to wait behind
/// them.
async fn read_more<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Position,
    sources: Option<&TableSources>,
) -> Result<bool, StoreError> {
    if let Some(sources) = sources {
        let new_for_ms = list_copy::RELAY_SEARCH_MS - host.age_ms(host.now());
        let search_ms = new_for_ms.max(RELAY_SEARCH_AGAIN_MS);
        if fetch_from_relay(host, cursor, from, sources, search_ms).await {
            return Ok(false);
        }
    }
    read_changes(host, cursor, from, PageSize::Full).await
}

/// Returns the page size for a read of changes: short for a host that may fetch the rest from
/// another one.
fn page_size<P: Platform>(
    host: &Host<P>,
    table: Table,
    sources: Option<&TableSources>,
) -> PageSize {
    let may_ask = sources.is_some() && !serves_tables(host);
    match (table, may_ask) {
        (Table::Upstreams, true) => PageSize::Short,
        (Table::Upstreams, false) | (Table::Desired, _) => PageSize::Full,
    }
}

/// Fetches the table from a relay. Returns false when none has anything newer than `from`.
async fn fetch_from_relay<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Position,
    sources: &TableSources,
    search_ms: Millis,
) -> bool {
    let asked_at = host.now();
    match cursor.table {
        Table::Upstreams => {
            let copy = list_copy::fetch(host, sources, Some(from), search_ms).await;
            let Some(copy) = copy else { return false };
            apply_list_copy(host, cursor, copy);
        }
        Table::Desired => {
            let copy = desired_copy::fetch(host, sources, from).await;
            let Some(copy) = copy else { return false };
            let (from, copy) = copy;
            apply_copy(host, asked_at, from, copy);
            adopt_position(host, cursor);
        }
    }
    cursor.is_cut = false;
    true
}

/// What a host has to do next about a table.
enum Due {
    /// Nothing more: rows that the orderer sent were applied, or the whole table is to be read again.
    Nothing,
    /// Read the table from the store.
    Read,
    /// Catch up: the orderer knows of rows that it did not send.
    CatchUp,
}

/// Waits until something has to be done about the table. Applies rows that other hosts sent
/// meanwhile.
async fn wait_until_due<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Due {
    loop {
        let update = host.replication.next_update();
        let now = host.now();
        if apply_reported(host, cursor) || cursor.is_reread_due(now) {
            return Due::Nothing;
        }
        let within_ms = longest_wait_ms(host, cursor.table, Millis::ZERO);
        match next_step(host, cursor.table, now, within_ms) {
            NextStep::Apply(rows, end) => {
                apply_update(host, cursor, rows, end);
                return Due::Nothing;
            }
            NextStep::Read | NextStep::CatchUp if now < cursor.retry_at => {
                with_timeout(cursor.retry_at.since(now), update).await;
                return Due::Nothing;
            }
            NextStep::Read => return Due::Read,
            NextStep::CatchUp => return Due::CatchUp,
            NextStep::WaitUntil(_) if is_to_read_for_others(host, cursor, now, within_ms) => {
                return Due::Read;
            }
            NextStep::WaitUntil(due_at) => {
                cursor.is_confirmed_by_orderer = true;
                let due_at = cursor.reread_at.map_or(due_at, |at| at.min(due_at));
                with_timeout(due_at.since(now), update).await;
            }
        }
    }
}

/// Goes on after the end of a copy of the desired state that another host passed on meanwhile, if
/// that is later than the end of this host's own reads.
fn adopt_position<P: Platform>(host: &Host<P>, cursor: &mut Cursor) {
    let known = cursor.next.max(cursor.outdated_at);
    let copied = host.replication.position(cursor.table);
    if let Some(end) = copied.filter(|_| copied > known) {
        note_era_of_copy(host, cursor, end);
        cursor.next = Some(end);
        cursor.partial = None;
    }
}
