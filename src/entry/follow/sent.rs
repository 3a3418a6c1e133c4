//! Rows of the list of upstreams that other hosts send, and who reads for the others.

use super::cursor::Cursor;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, Table, TableRow};
use crate::entry::replication::NextStep;
use crate::entry::table_rows::apply_row;
use crate::entry::table_sources::serves_tables;
use crate::prelude::*;

/// The orderer reads the store; another host reads it until the orderer says how fresh its copy is.
pub(super) fn next_step<P: Platform>(
    host: &Host<P>,
    table: Table,
    now: Millis,
    within_ms: Millis,
) -> NextStep {
    match host.is_orderer() {
        true => NextStep::Read,
        false => host.replication.next(now, table, within_ms),
    }
}

/// Applies rows of the list of upstreams that a host which reports to this one read. Returns whether
/// there were any.
pub(super) fn apply_reported<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> bool {
    if cursor.table != Table::Upstreams {
        return false;
    }
    let Some((rows, end)) = host.replication.take_reported() else {
        return false;
    };
    apply_sent_rows(host, cursor, rows, end);
    host.replication.note_partial_read(cursor.table, end);
    true
}

/// Applies rows up to `end` that the orderer or a relay sent.
pub(super) fn apply_update<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    rows: Vec<TableRow>,
    end: Position,
) {
    apply_sent_rows(host, cursor, rows, end);
    cursor.is_confirmed_by_orderer = true;
    host.replication.note_applied(cursor.table, end);
}

/// Applies rows up to `end` that another host sent.
pub(super) fn apply_sent_rows<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    rows: Vec<TableRow>,
    end: Position,
) {
    if let Some(from) = cursor.next.filter(|_| serves_tables(host)) {
        buffer_for_followers(host, from, &rows, end);
    }
    apply_rows(host, cursor, cursor.next, rows);
    cursor.next = Some(end);
}

/// Tells whether this host is one of the few whose reads of a table follow each other and wait for a
/// change while the orderer cannot read it. The other hosts read once within `within_ms`, and
/// otherwise learn of a change from these few.
pub(super) fn is_to_read_for_others<P: Platform>(
    host: &Host<P>,
    cursor: &Cursor,
    now: Millis,
    within_ms: Millis,
) -> bool {
    !host
        .replication
        .is_read_by_sender(now, cursor.table, within_ms)
        && host.tree.borrow().is_collector(host.incarnation)
}

/// Buffers rows that another host sent, for the hosts that this one serves. The rows may begin before
/// the end of this host's copy.
pub(super) fn buffer_for_followers<P: Platform>(
    host: &Host<P>,
    from: Position,
    rows: &[TableRow],
    end: Position,
) {
    let known = rows.partition_point(|row| row.position < from);
    host.replication
        .buffer_rows(from, &rows[known..], end, host.upstreams.borrow().count());
}

/// Applies rows in order. Skips those before `from`, and those that are no newer than the row
/// already known under their key.
pub(super) fn apply_rows<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Option<Position>,
    rows: Vec<TableRow>,
) {
    let new = rows
        .into_iter()
        .filter(|row| from.is_none_or(|from| row.position >= from));
    for row in new {
        let known = cursor.newest_rows.get(&row.key);
        if known.is_some_and(|known| *known >= row.position) {
            continue;
        }
        cursor.newest_rows.insert(row.key.clone(), row.position);
        apply_row(host, cursor.table, row);
    }
}
