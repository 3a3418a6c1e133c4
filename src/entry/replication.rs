//! How fresh this host's copies of the platform's tables are, by its own reads and by what the
//! orderer says.
//!
//! Many hosts follow the same tables. If each polled the store, every host would cost it a call a
//! second and more, and each change would end the polls of all. So the orderer reads the tables
//! often, and adds to the replies that it sends to each host anyway where the tables end, how old
//! that information is, and the newest rows of the list of upstreams. A host reads by itself while
//! these updates are missing or old, so the loss of the orderer costs calls, not time. In a site of
//! 83 hosts the store gets some 20 calls a second instead of 150.

use crate::desired::DesiredState;
use crate::entry::platform::{RowValue, Table, TableRow};
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use event_listener::{Event as Wakeup, EventListener};
use std::cell::RefCell;
use std::collections::VecDeque;

/// The most rows in one update: some 400 KB. A host that is further behind fetches the whole
/// list from its relay.
const MAX_UPDATE_ROWS: usize = 4_096;
/// The least number of rows of the list of upstreams that the orderer and relays buffer for other
/// hosts; they buffer as many as the list has when that is more. At the start of a large site the
/// list grows by some hundred rows a second until all upstreams have written their entries. When
/// upstreams are replaced or come back after an outage, the rows per second grow with the list.
const MIN_BUFFERED_ROWS: usize = MAX_UPDATE_ROWS;

/// A change of the list of upstreams, as hosts pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// The key in the table: the id of the upstream's lifetime.
    pub key: Name,
    /// The position of the record that wrote the row.
    pub position: Position,
    /// The upstream's entry; none when it was removed.
    pub entry: Option<UpstreamEntry>,
}

/// Where a table ended when it was last read or confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEnd {
    /// The position after the table's last row.
    pub end: Position,
    /// How long ago the end was read, counted from when the read was sent.
    pub age_ms: Millis,
}

/// What the orderer or a relay tells a host about the tables.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TablesUpdate {
    /// The end of the table of desired states; none when the sender has not read it.
    pub desired: Option<TableEnd>,
    /// The version of the desired state in force at the sender.
    pub desired_version: Option<u64>,
    /// The end of the list of upstreams; none when the sender has not read it.
    pub upstreams: Option<TableEnd>,
    /// The rows of the list from the position that the host asked for; empty when the sender does not
    /// have all of them or they are too many.
    pub rows: Vec<UpstreamRow>,
}

/// This host's copy of one table: where it ends, and how fresh it is.
#[derive(Debug, Default)]
struct TableCopy {
    /// The position after the last row that this host has.
    next: Option<Position>,
    /// When this copy was last known to reach the end of the table.
    confirmed_at: Option<Millis>,
    /// The end of the table by the last update, and as of when.
    announced: Option<(Position, Millis)>,
    /// Since when updates name a later end than this copy has.
    behind_since: Option<Millis>,
    /// Whether this host's last read of the table failed.
    is_refused: bool,
    /// Whether rows that the table had before the copy was begun may be missing in it.
    is_incomplete: bool,
}

impl TableCopy {
    fn end(&self, now: Millis) -> Option<TableEnd> {
        Some(TableEnd {
            end: self.next?,
            age_ms: now.since(self.confirmed_at?),
        })
    }
}

#[derive(Debug, Default)]
struct State {
    /// When the call was sent whose reply brought the newest update.
    updated_at: Option<Millis>,
    desired: TableCopy,
    upstreams: TableCopy,
    /// The rows of the newest update, until they are applied.
    update_rows: Vec<UpstreamRow>,
    /// Rows that a host which reports to this one read, until they are applied, and the position that
    /// they lead up to.
    reported: Option<(Vec<UpstreamRow>, Position)>,
    /// The rows for other hosts: those that this host read, and at a relay those that it was sent.
    buffered: Option<BufferedRows>,
    /// The desired state in force, for other hosts.
    shared_desired: Option<Arc<DesiredState>>,
}

/// Consecutive rows of the list that this host buffers for other hosts.
#[derive(Debug)]
struct BufferedRows {
    /// The position from which no row is missing.
    from: Position,
    rows: VecDeque<UpstreamRow>,
    /// The position after the last row.
    next: Position,
}

impl BufferedRows {
    fn new(from: Position) -> Self {
        Self {
            from,
            rows: VecDeque::new(),
            next: from,
        }
    }

    fn push(&mut self, row: UpstreamRow, max_rows: usize) {
        self.rows.push_back(row);
        if self.rows.len() > max_rows
            && let Some(dropped) = self.rows.pop_front()
        {
            self.from = dropped.position.next();
        }
    }
}

impl State {
    /// Returns the buffered rows from a position; nothing if some are missing or they are too many.
    fn rows_from(&self, from: Position) -> Vec<UpstreamRow> {
        let Some(buffered) = self.buffered.as_ref().filter(|rows| rows.from <= from) else {
            return Vec::new();
        };
        let first = buffered.rows.partition_point(|row| row.position < from);
        match buffered.rows.len() - first <= MAX_UPDATE_ROWS {
            true => buffered.rows.range(first..).cloned().collect(),
            false => Vec::new(),
        }
    }

    fn copy(&mut self, table: Table) -> &mut TableCopy {
        match table {
            Table::Desired => &mut self.desired,
            Table::Upstreams => &mut self.upstreams,
        }
    }
}

/// What to do next about a table.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Apply these rows from the orderer; the copy then reaches this position.
    Apply(Vec<TableRow>, Position),
    /// Read the table: nobody says whether it has more rows.
    Read,
    /// Catch up: the table has more rows, and the update did not bring them.
    CatchUp,
    /// Wait until then; the copy is fresh enough so far.
    WaitUntil(Millis),
}

/// The freshness of this host's copies of all tables, and what it buffers for other hosts.
#[derive(Debug, Default)]
pub struct ReplicationState {
    state: RefCell<State>,
    updated: Wakeup,
}

impl ReplicationState {
    /// Records a read by this host that was sent at `asked_at` and reached the end of the table;
    /// the table is followed from `next`. A later confirmation by the orderer stands, since a read
    /// can wait for seconds.
    pub fn note_read(&self, table: Table, asked_at: Millis, next: Position) {
        let mut state = self.state.borrow_mut();
        let copy = state.copy(table);
        copy.next = Some(next);
        copy.behind_since = None;
        copy.confirmed_at = copy.confirmed_at.max(Some(asked_at));
    }

    /// Records a read that did not reach the end of the table. It continues at `next`; the copy
    /// becomes no fresher by it.
    pub fn note_partial_read(&self, table: Table, next: Position) {
        self.state.borrow_mut().copy(table).next = Some(next);
    }

    /// Records whether rows that the table had before may be missing in this host's copy.
    pub fn set_incomplete(&self, table: Table, is_incomplete: bool) {
        self.state.borrow_mut().copy(table).is_incomplete = is_incomplete;
    }

    /// Tells whether rows may be missing in this host's copy of a table.
    pub fn is_incomplete(&self, table: Table) -> bool {
        self.state.borrow_mut().copy(table).is_incomplete
    }

    /// Buffers rows of the list of upstreams, which were read from `from` up to `next`, for other
    /// hosts. `listed` is the number of upstreams in the list. Rows that do not follow the buffered
    /// ones replace them.
    pub fn buffer_rows(&self, from: Position, rows: &[TableRow], next: Position, listed: usize) {
        let max_rows = listed.max(MIN_BUFFERED_ROWS);
        let mut state = self.state.borrow_mut();
        let former = state
            .buffered
            .take()
            .filter(|buffered| buffered.next == from);
        let mut buffered = former.unwrap_or_else(|| BufferedRows::new(from));
        for row in rows {
            match upstream_row(row) {
                Some(row) => buffered.push(row, max_rows),
                // Other hosts read this row from the store themselves, and each logs that it is
                // unreadable.
                None => buffered = BufferedRows::new(row.position.next()),
            }
        }
        buffered.next = next;
        state.buffered = Some(buffered);
    }

    /// Drops the rows that are buffered for other hosts, when this host has read the whole table
    /// anew.
    pub fn clear_buffered_rows(&self) {
        self.state.borrow_mut().buffered = None;
    }

    /// Keeps the desired state in force for other hosts.
    pub fn share_desired(&self, state: Arc<DesiredState>) {
        self.state.borrow_mut().shared_desired = Some(state);
    }

    /// Returns the desired state in force.
    pub fn shared_desired(&self) -> Option<Arc<DesiredState>> {
        self.state.borrow().shared_desired.clone()
    }

    /// Records whether the store answered this host's last read of a table.
    pub fn set_answered(&self, table: Table, is_answered: bool) {
        self.state.borrow_mut().copy(table).is_refused = !is_answered;
    }

    /// Tells whether the store answered this host's last read of a table.
    pub fn is_answered(&self, table: Table) -> bool {
        !self.state.borrow_mut().copy(table).is_refused
    }

    /// Returns the position after the last row that this host has of a table.
    pub fn position(&self, table: Table) -> Option<Position> {
        self.state.borrow_mut().copy(table).next
    }

    /// Returns where this host's copy of a table ends, and how old that information is.
    pub fn end(&self, now: Millis, table: Table) -> Option<TableEnd> {
        self.state.borrow_mut().copy(table).end(now)
    }

    /// Returns for how long this host has known that a table has newer rows than its copy; nothing if
    /// it knows of none.
    pub fn behind_ms(&self, now: Millis, table: Table) -> Option<Millis> {
        let since = self.state.borrow_mut().copy(table).behind_since?;
        Some(now.since(since))
    }

    /// Returns the position from which this host needs rows of the list of upstreams; nothing before
    /// its first read.
    pub fn next_position(&self) -> Option<Position> {
        self.state.borrow().upstreams.next
    }

    /// Returns the update for a host that needs rows of the list from a position.
    pub fn update_for(&self, now: Millis, next_position: Option<Position>) -> TablesUpdate {
        let state = self.state.borrow();
        let rows = next_position.map(|from| state.rows_from(from));
        TablesUpdate {
            desired: state.desired.end(now),
            desired_version: state.shared_desired.as_ref().map(|desired| desired.version),
            upstreams: state.upstreams.end(now),
            rows: rows.unwrap_or_default(),
        }
    }

    /// Returns the rows of the list of upstreams that the orderer or the relay lacks, by the end that
    /// it last stated. Returns nothing unless this host has all of them, and while the list was read
    /// within `within_ms` there: it is then read there again.
    pub fn rows_for_parent(&self, now: Millis, within_ms: Millis) -> Vec<UpstreamRow> {
        let state = self.state.borrow();
        let unread = state
            .upstreams
            .announced
            .filter(|(_, read_at)| now >= *read_at + within_ms);
        match unread.filter(|(end, _)| state.upstreams.next > Some(*end)) {
            Some((end, _)) => state.rows_from(end),
            None => Vec::new(),
        }
    }

    /// Records rows that a host which reports to this one read. They say nothing about how fresh the
    /// copy is, since it is not known when the report was sent. Rows that do not continue the copy are
    /// dropped.
    pub fn note_reported(&self, rows: Vec<UpstreamRow>) {
        let mut state = self.state.borrow_mut();
        let next = state.upstreams.next;
        let (Some(first), Some(last)) = (rows.first(), rows.last()) else {
            return;
        };
        let end = last.position.next();
        let known = state.reported.as_ref().map(|(_, end)| *end).max(next);
        if Some(first.position) > next || Some(end) <= known {
            return;
        }
        state.reported = Some((rows, end));
        drop(state);
        self.updated.notify(usize::MAX);
    }

    /// Takes the rows that were reported and go beyond this host's copy of the list, and the position
    /// that they lead up to.
    pub fn take_reported(&self) -> Option<(Vec<TableRow>, Position)> {
        let mut state = self.state.borrow_mut();
        let (rows, end) = state.reported.take()?;
        let next = state.upstreams.next;
        let continues_copy = rows.first().map(|row| row.position) <= next && Some(end) > next;
        continues_copy.then(|| (rows.into_iter().map(table_row).collect(), end))
    }

    /// Records an update, in reply to a call sent at `asked_at`. Returns whether it confirmed the
    /// copy of the list of upstreams.
    pub fn apply_update(&self, asked_at: Millis, update: TablesUpdate) -> bool {
        let mut state = self.state.borrow_mut();
        let newest_row = update.rows.last().map(|row| row.position);
        let end_of_list = update.upstreams.map(|upstreams| upstreams.end);
        // The rows are used only when they lead up to the end in the same update; those of an
        // earlier update lead to another end.
        let leads_to_end = newest_row.is_some_and(|position| Some(position.next()) == end_of_list);
        state.update_rows = match leads_to_end {
            true => update.rows,
            false => Vec::new(),
        };
        state.updated_at = state.updated_at.max(Some(asked_at));
        let mut is_confirmed = false;
        for (table, said) in [
            (Table::Desired, update.desired),
            (Table::Upstreams, update.upstreams),
        ] {
            let Some(TableEnd { end, age_ms }) = said else {
                continue;
            };
            let copy = state.copy(table);
            // The update was made after the call was sent, so this is not after the true time.
            let at = asked_at - age_ms;
            copy.announced = Some((end, at));
            copy.behind_since = match copy.next < Some(end) {
                true => copy.behind_since.or(Some(asked_at)),
                false => None,
            };
            if copy.next == Some(end) {
                is_confirmed |= table == Table::Upstreams && copy.confirmed_at < Some(at);
                copy.confirmed_at = copy.confirmed_at.max(Some(at));
            }
        }
        drop(state);
        self.updated.notify(usize::MAX);
        is_confirmed
    }

    /// Returns a listener for the next update. Listen before calling [`ReplicationState::next`], so
    /// that no update is missed.
    pub fn next_update(&self) -> EventListener {
        self.updated.listen()
    }

    /// Returns what to do next about a table that must be confirmed every `within_ms`.
    pub fn next(&self, now: Millis, table: Table, within_ms: Millis) -> NextStep {
        let mut state = self.state.borrow_mut();
        let updated_at = state.updated_at;
        let TableCopy {
            next,
            confirmed_at,
            announced,
            ..
        } = *state.copy(table);
        let (Some(next), Some(confirmed_at), Some((announced_end, _)), Some(updated_at)) =
            (next, confirmed_at, announced, updated_at)
        else {
            return NextStep::Read;
        };
        if now >= updated_at + within_ms {
            return NextStep::Read;
        }
        if announced_end > next {
            let rows = match table {
                Table::Upstreams => std::mem::take(&mut state.update_rows),
                Table::Desired => Vec::new(),
            };
            let rows: Vec<TableRow> = rows.into_iter().map(table_row).collect();
            // Positions of one era have no gaps, so rows that begin at or before the end of this copy
            // continue it. Rows of a later era than the copy do not.
            let continues_copy = rows.first().is_some_and(|row| row.position <= next);
            return match continues_copy {
                true => NextStep::Apply(rows, announced_end),
                false => NextStep::CatchUp,
            };
        }
        let due_at = confirmed_at + within_ms;
        match now < due_at {
            true => NextStep::WaitUntil(due_at),
            false => NextStep::Read,
        }
    }

    /// Tells whether the sender of the last update has itself read the table, or been told of it, within
    /// a time.
    pub fn is_read_by_sender(&self, now: Millis, table: Table, within_ms: Millis) -> bool {
        let announced = self.state.borrow_mut().copy(table).announced;
        announced.is_some_and(|(_, read_at)| now < read_at + within_ms)
    }

    /// Records that rows from the orderer were applied up to a position.
    pub fn note_applied(&self, table: Table, next: Position) {
        let mut state = self.state.borrow_mut();
        let copy = state.copy(table);
        copy.next = Some(next);
        let as_of = copy
            .announced
            .filter(|(end, _)| *end == next)
            .map(|(_, at)| at);
        copy.confirmed_at = copy.confirmed_at.max(as_of);
    }
}

/// Returns a row in the form in which it is sent to other hosts; nothing when it is not a readable
/// row of the list of upstreams.
fn upstream_row(row: &TableRow) -> Option<UpstreamRow> {
    let entry = match &row.value {
        RowValue::Upstream(entry) => Some(entry.clone()),
        RowValue::Removed => None,
        RowValue::Unreadable(_) | RowValue::Desired(_) => return None,
    };
    Some(UpstreamRow {
        key: row.key.clone(),
        position: row.position,
        entry,
    })
}

fn table_row(row: UpstreamRow) -> TableRow {
    TableRow {
        key: row.key,
        position: row.position,
        value: row.entry.map_or(RowValue::Removed, RowValue::Upstream),
    }
}
