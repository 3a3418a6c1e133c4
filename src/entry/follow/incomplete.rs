//! A read of a whole table that does not reach its last page. Its rows are used, nobody is dropped for
//! being absent from them, and the table is read again later.

use super::cursor::{Cursor, PartialTable};
use super::waits::reread_pause_ms;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::pages::Stall;
use crate::entry::platform::{
    ChangesQuery, PageSize, Platform, StoreCall, StoreError, Table, TablePage, TableRow,
};
use crate::entry::table_rows::{apply_known_rows, log_unusable};
use crate::prelude::*;

/// The most pages of stored changes that are read in place of the missing rows.
const MAX_CHANGE_PAGES: usize = 64;
/// How long the store may take to answer a read of changes.
const ANSWER_TIMEOUT_MS: Millis = Millis(900);

#[derive(Serialize)]
struct IncompleteLine<'a> {
    table: &'static str,
    rows: usize,
    #[serde(flatten)]
    stall: &'a Stall,
    /// Why the stored changes could not be read in place of the missing rows.
    changes_error: Option<String>,
}

/// Applies the rows that were read, and the changes that are still stored: these have the missing rows
/// that were written lately. The table is followed from there, so that the others come when they are
/// written again.
///
/// # Errors
///
/// Fails if neither a page nor the changes could be read.
pub(super) async fn apply_incomplete<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    partial: PartialTable,
    stall: &Stall,
) -> Result<(), StoreError> {
    let table = cursor.table;
    let mut newest = NewestRows::default();
    newest.extend(partial.read.rows);
    let changes = read_stored_changes(host, table, &mut newest).await;
    let line = IncompleteLine {
        table: table.name(),
        rows: newest.0.len(),
        stall,
        changes_error: changes.as_ref().err().map(StoreError::to_string),
    };
    lines::write(LogEvent::TableIncomplete, &line);
    // Without the stored changes, those after the end of the former copy may be among the missing rows.
    let followed_from = match changes {
        Ok(next) => Some(next),
        Err(_) => cursor.next.or(partial.end),
    };
    let Some(next) = followed_from else {
        return Err(StoreError::Unreadable {
            why: stall.why.clone(),
        });
    };
    let mut rows = newest.0.into_values().collect::<Vec<TableRow>>();
    rows.retain(|row| {
        let known = cursor.newest_rows.get(&row.key);
        known.is_none_or(|known| *known < row.position)
    });
    for row in &rows {
        cursor.newest_rows.insert(row.key.clone(), row.position);
    }
    cursor.next = Some(next);
    cursor.reread_at = Some(host.now() + reread_pause_ms(cursor.incomplete_reads));
    cursor.incomplete_reads += 1;
    if table == Table::Upstreams {
        host.replication.clear_buffered_rows();
    }
    apply_known_rows(host, table, rows);
    host.replication.note_partial_read(table, next);
    host.replication.set_incomplete(table, true);
    Ok(())
}

/// The newest row of each key.
#[derive(Default)]
struct NewestRows(IndexMap<Name, TableRow>);

impl NewestRows {
    fn extend(&mut self, rows: Vec<TableRow>) {
        for row in rows {
            let known = self.0.get(&row.key);
            if known.is_none_or(|known| known.position < row.position) {
                self.0.insert(row.key.clone(), row);
            }
        }
    }
}

/// Reads the changes of a table that are still stored. Returns the position after the last one.
async fn read_stored_changes<P: Platform>(
    host: &Host<P>,
    table: Table,
    newest: &mut NewestRows,
) -> Result<Position, StoreError> {
    let read = host.platform.read_retained(table);
    let mut page = host.count_call(StoreCall::FollowTable, read).await?;
    for _ in 1..MAX_CHANGE_PAGES {
        let TablePage {
            rows,
            end,
            is_truncated,
            unusable,
            ..
        } = page;
        log_unusable(table, &unusable);
        newest.extend(rows);
        if !is_truncated {
            return Ok(end);
        }
        let query = ChangesQuery {
            from: end,
            wait_ms: Millis::ZERO,
            answer_ms: ANSWER_TIMEOUT_MS,
            size: PageSize::Full,
        };
        let read = host.platform.follow_table(table, query);
        page = host.count_call(StoreCall::FollowTable, read).await?;
    }
    newest.extend(page.rows);
    Ok(page.end)
}
