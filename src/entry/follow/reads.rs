//! Reads of a table in the store, page by page.

use super::cursor::{Cursor, PartialTable};
use super::incomplete::apply_incomplete;
use super::sent::{apply_reported, apply_rows, apply_update, next_step};
use super::waits::{ANSWER_TIMEOUT_MS, longest_wait_ms, next_wait_ms};
use crate::entry::host::Host;
use crate::entry::pages::{Page, PageError, PagedRead};
use crate::entry::platform::{
    ChangesQuery, PageSize, Platform, StoreCall, StoreError, Table, TablePage, TableRow,
};
use crate::entry::replication::NextStep;
use crate::entry::table_rows::{apply_table, log_unusable};
use crate::prelude::*;
use futures_lite::future;
use std::pin::pin;

/// The most pages in one read of a whole table; at 500 rows each, far more than any site has.
pub(super) const MAX_PAGES: usize = 1_000;

/// Reads the first page of a table's newest rows, unless it was read before.
pub(super) async fn read_first_page<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
) -> Result<(), StoreError> {
    let partial = cursor.partial.get_or_insert_with(|| PartialTable {
        asked_at: host.now(),
        end: None,
        read: PagedRead::new(None),
    });
    if partial.read.has_begun() {
        return Ok(());
    }
    let PartialTable {
        asked_at,
        end,
        read,
    } = partial;
    *asked_at = host.now();
    let next = async |after: Option<&[u8]>| read_page(host, cursor.table, end, after).await;
    match read.read_page(next).await {
        Err(PageError::Failed(error)) => Err(error),
        // The other pages may lead on.
        Ok(()) | Err(PageError::Stalled(_)) => Ok(()),
    }
}

/// Reads the remaining pages, and applies the whole table. The pages are no snapshot, so the table
/// is then followed from the end that the first page gave; rows that come again are no newer than
/// what is known, and are skipped. After a failed page, the next attempt continues with that page:
/// if hundreds of hosts began anew, they would keep the store at its limit. Returns false, since no
/// pause is due.
pub(super) async fn read_remaining_pages<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
) -> Result<bool, StoreError> {
    let Some(mut partial) = cursor.partial.take() else {
        return Ok(false);
    };
    let PartialTable { end, read, .. } = &mut partial;
    let next = async |after: Option<&[u8]>| read_page(host, cursor.table, end, after).await;
    match read.read_on(MAX_PAGES, next).await {
        Ok(()) => apply_whole(host, cursor, partial),
        Err(PageError::Failed(error)) => {
            if !matches!(error, StoreError::Restored { .. }) {
                cursor.partial = Some(partial);
            }
            return Err(error);
        }
        Err(PageError::Stalled(stall)) => {
            apply_incomplete(host, cursor, partial, &stall).await?;
        }
    }
    Ok(false)
}

fn apply_whole<P: Platform>(host: &Host<P>, cursor: &mut Cursor, partial: PartialTable) {
    let PartialTable {
        asked_at,
        end,
        read,
    } = partial;
    let rows = read.rows;
    cursor.newest_rows = rows
        .iter()
        .map(|row| (row.key.clone(), row.position))
        .collect();
    cursor.next = end;
    cursor.note_whole();
    if cursor.table == Table::Upstreams {
        host.replication.clear_buffered_rows();
    }
    apply_table(host, cursor.table, rows);
    if let Some(end) = end {
        host.replication.note_read(cursor.table, asked_at, end);
    }
    host.replication.set_incomplete(cursor.table, false);
}

async fn read_page<P: Platform>(
    host: &Host<P>,
    table: Table,
    end: &mut Option<Position>,
    after: Option<&[u8]>,
) -> Result<Page<TableRow>, StoreError> {
    let read = host.platform.read_table(table, after);
    let page = host.count_call(StoreCall::ReadTable, read).await?;
    let first_end = *end.get_or_insert(page.end);
    if page.end.era != first_end.era {
        let era = page.end.era;
        return Err(StoreError::Restored { era });
    }
    log_unusable(table, &page.unusable);
    Ok(Page {
        rows: page.rows,
        next: page.next_page,
    })
}

pub(super) async fn read_changes<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Position,
    size: PageSize,
) -> Result<bool, StoreError> {
    let asked_at = host.now();
    let query = ChangesQuery {
        from,
        wait_ms: next_wait_ms(host, cursor),
        answer_ms: ANSWER_TIMEOUT_MS,
        size,
    };
    let read = host.platform.follow_table(cursor.table, query);
    let read = host.count_call(StoreCall::FollowTable, read);
    let TablePage {
        rows,
        end,
        is_truncated,
        unusable,
        ..
    } = apply_sent_meanwhile(host, cursor, read).await?;
    let reached = cursor.next.map_or(end, |next| next.max(end));
    cursor.next = Some(reached);
    cursor.is_cut = is_truncated;
    cursor.trims = 0;
    log_unusable(cursor.table, &unusable);
    if cursor.table == Table::Upstreams {
        host.upstreams.borrow_mut().note_list_reached(host.now());
        // Also a host that serves no other may have to send what it read up to its parent.
        let listed = host.upstreams.borrow().count();
        host.replication.buffer_rows(from, &rows, end, listed);
    }
    let has_changes = !rows.is_empty();
    apply_rows(host, cursor, Some(from), rows);
    // The log lines of applied rows say for how long this host was behind.
    match is_truncated {
        true => host.replication.note_partial_read(cursor.table, reached),
        false => host.replication.note_read(cursor.table, asked_at, reached),
    }
    Ok(has_changes)
}

/// Waits for the answer to a read. After a failed read, applies rows that other hosts send meanwhile:
/// a store that is silent takes as long as the read may wait.
pub(super) async fn apply_sent_meanwhile<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    read: impl Future<Output = Result<TablePage, StoreError>>,
) -> Result<TablePage, StoreError> {
    let mut read = pin!(read);
    while cursor.failures > 0 {
        let update = host.replication.next_update();
        let within_ms = longest_wait_ms(host, cursor.table, Millis::ZERO);
        if !apply_reported(host, cursor)
            && let NextStep::Apply(rows, end) = next_step(host, cursor.table, host.now(), within_ms)
        {
            apply_update(host, cursor, rows, end);
        }
        let answer = async { Some(read.as_mut().await) };
        let update = async {
            update.await;
            None
        };
        if let Some(page) = future::or(answer, update).await {
            return page;
        }
    }
    read.await
}
