//! How far one table was followed.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::pages::PagedRead;
use crate::entry::platform::{Platform, StoreError, Table, TableRow};
use crate::entry::table_rows::TableLine;
use crate::prelude::*;

#[derive(Serialize)]
struct OutdatedLine {
    table: &'static str,
    era: Era,
    /// Where this host's copy of the table ended, in the former era.
    copy_end: Option<Position>,
}

/// The progress of following one table.
pub(super) struct Cursor {
    pub(super) table: Table,
    /// The position from which the table is followed; none before the whole table was read, after
    /// its history was trimmed, and after the store was restored from a copy.
    pub(super) next: Option<Position>,
    /// Where this host's copy ended when the store no longer had the changes after it.
    pub(super) outdated_at: Option<Position>,
    /// The position of the newest applied row of each key.
    pub(super) newest_rows: IndexMap<Name, Position>,
    /// Failed reads in a row.
    pub(super) failures: usize,
    /// How often in a row the history was trimmed.
    pub(super) trims: usize,
    /// How long the host paused before the next read.
    pub(super) paused_ms: Millis,
    /// Until when the store is not asked again after a failed read.
    pub(super) retry_at: Millis,
    /// Whether the orderer, and not the store, last confirmed or changed this copy.
    pub(super) is_confirmed_by_orderer: bool,
    /// The pages of the whole table that were read before one failed, or before a relay is asked
    /// for the rest.
    pub(super) partial: Option<PartialTable>,
    /// Whether the last page of changes ended before the end of the table.
    pub(super) is_cut: bool,
    /// When the whole table is read again, since the last read of it did not reach its last page.
    pub(super) reread_at: Option<Millis>,
    /// How many such reads there were in a row.
    pub(super) incomplete_reads: u32,
}

impl Cursor {
    pub(super) fn new(table: Table) -> Self {
        Self {
            table,
            next: None,
            outdated_at: None,
            newest_rows: IndexMap::new(),
            failures: 0,
            trims: 0,
            paused_ms: Millis::ZERO,
            retry_at: Millis::ZERO,
            is_confirmed_by_orderer: false,
            partial: None,
            is_cut: false,
            reread_at: None,
            incomplete_reads: 0,
        }
    }

    /// Tells whether all pages of the whole table were read.
    pub(super) fn has_all_pages(&self) -> bool {
        let partial = self.partial.as_ref();
        partial.is_some_and(|partial| partial.read.is_whole())
    }

    /// Tells whether the whole table is to be read again.
    pub(super) fn is_reread_due(&self, now: Millis) -> bool {
        self.reread_at.is_some_and(|at| at <= now)
    }

    /// Records that this host has the whole table.
    pub(super) fn note_whole(&mut self) {
        self.reread_at = None;
        self.incomplete_reads = 0;
    }

    /// Lets the next read begin anew with the whole table.
    pub(super) fn read_anew(&mut self) {
        self.is_cut = false;
        self.partial = None;
        self.outdated_at = self.next.take().or(self.outdated_at);
    }
}

/// The first pages of a whole table.
pub(super) struct PartialTable {
    pub(super) asked_at: Millis,
    /// The end of the table as the first page gave it; none before that was read.
    pub(super) end: Option<Position>,
    pub(super) read: PagedRead<TableRow>,
}

/// Prepares to read the table anew after the store was restored from a copy.
pub(super) fn note_restored<P: Platform>(host: &Host<P>, cursor: &mut Cursor, era: Era) {
    note_outdated(host, cursor, era);
    cursor.read_anew();
}

/// Records that this host's copy of the table is of an earlier era than the store.
pub(super) fn note_outdated<P: Platform>(host: &Host<P>, cursor: &Cursor, era: Era) {
    let line = OutdatedLine {
        table: cursor.table.name(),
        era,
        copy_end: cursor.next,
    };
    lines::write(LogEvent::TableOutdated, &line);
    host.metrics.count_outdated(cursor.table);
    if cursor.table == Table::Upstreams {
        host.upstreams.borrow_mut().note_list_restored(host.now());
    }
}

/// Records a copy from another host that is of a later era than this host's own.
pub(super) fn note_era_of_copy<P: Platform>(host: &Host<P>, cursor: &Cursor, end: Position) {
    if cursor.next.is_some_and(|next| next.era < end.era) {
        note_outdated(host, cursor, end.era);
    }
}

pub(super) fn note_success<P: Platform>(host: &Host<P>, cursor: &mut Cursor) {
    host.replication.set_answered(cursor.table, true);
    if cursor.failures > 1 {
        let table = cursor.table.name();
        lines::write(LogEvent::LogBack, &TableLine { table, error: "" });
    }
    cursor.failures = 0;
}

pub(super) fn note_failure<P: Platform>(host: &Host<P>, cursor: &mut Cursor, error: &StoreError) {
    host.replication.set_answered(cursor.table, false);
    host.version_exchange.note_heard();
    cursor.failures += 1;
    // A single failure is a poll whose connection was closed; two in a row are an outage.
    if cursor.failures == 2 {
        let line = TableLine {
            table: cursor.table.name(),
            error: &error.to_string(),
        };
        lines::write(LogEvent::LogLost, &line);
    }
}
