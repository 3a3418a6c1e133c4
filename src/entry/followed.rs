//! How new this host's copies of the platform's tables are: by its own reads, and by the word of the orderer.
//!
//! Answers the pattern of many hosts that follow the same tables. With polls of its own each host costs the store a
//! call a second and more, and each change ends the polls of all. So the orderer reads the tables often and adds to what
//! it tells each host anyway where they end, how old that is, and the newest rows of the list of upstreams. A host reads
//! by itself while this word is missing or old, so a lost orderer costs calls, not time. In a site of 83 hosts the store
//! gets some 20 calls a second instead of 150.

use crate::desired::DesiredState;
use crate::entry::platform::{RowValue, Table, TableRow};
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use event_listener::{Event as Wakeup, EventListener};
use std::cell::RefCell;
use std::collections::VecDeque;

/// Most rows of one message: some 400 KB. A host that is further behind takes the list itself from its relay.
const MAX_TOLD: usize = 4_096;
/// Rows of the list of upstreams that the orderer and relays keep for the others at least; as many as the list has where these
/// are more. At the start of a large site the list grows by some hundred rows a second, for as long as it takes all upstreams to
/// write their entries, and the rows in a second grow with the list when upstreams are replaced or come back after an outage.
const LEAST_KEPT: usize = MAX_TOLD;

/// A row of the list of upstreams; without an entry it was removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// The upstream's lifetime.
    pub key: Name,
    /// The offset of the record.
    pub offset: Offset,
    /// What it says.
    pub entry: Option<UpstreamEntry>,
}

/// Where a table ended a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEnd {
    /// The offset after its last row.
    pub end: Offset,
    /// How long ago that was asked.
    pub age_ms: Millis,
}

/// What the orderer says of the tables.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TablesWord {
    /// The end of the desired states.
    pub desired: Option<TableEnd>,
    /// The end of the list of upstreams.
    pub upstreams: Option<TableEnd>,
    /// The rows from the offset that was asked for, when the orderer still has all of them.
    pub rows: Vec<UpstreamRow>,
}

/// One table.
#[derive(Debug, Default)]
struct Copy {
    next: Option<Offset>,
    confirmed_at: Option<Millis>,
    /// Where the orderer said that it ends, and as of when.
    told: Option<(Offset, Millis)>,
}

impl Copy {
    fn end(&self, now: Millis) -> Option<TableEnd> {
        Some(TableEnd {
            end: self.next?,
            age_ms: now.since(self.confirmed_at?),
        })
    }
}

#[derive(Debug, Default)]
struct State {
    word_at: Option<Millis>,
    desired: Copy,
    upstreams: Copy,
    told_rows: Vec<UpstreamRow>,
    kept: Option<KeptRows>,
    kept_desired: Option<Arc<DesiredState>>,
}

/// Rows without a gap that the orderer keeps for the others.
#[derive(Debug)]
struct KeptRows {
    from: Offset,
    rows: VecDeque<UpstreamRow>,
    next: Offset,
}

impl KeptRows {
    fn new(from: Offset) -> Self {
        Self {
            from,
            rows: VecDeque::new(),
            next: from,
        }
    }

    fn push(&mut self, row: UpstreamRow, most: usize) {
        self.rows.push_back(row);
        if self.rows.len() > most
            && let Some(dropped) = self.rows.pop_front()
        {
            self.from = Offset(dropped.offset.0 + 1);
        }
    }
}

impl State {
    fn copy(&mut self, table: Table) -> &mut Copy {
        match table {
            Table::Desired => &mut self.desired,
            Table::Upstreams => &mut self.upstreams,
        }
    }
}

/// What to do next about a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Rows came from the orderer, up to this offset.
    Take(Vec<TableRow>, Offset),
    /// The table is to be read: nobody says whether it has more rows.
    Read,
    /// It has more rows, which were not told.
    Behind,
    /// The copy is as new as it must be until then.
    WaitUntil(Millis),
}

/// The copies of all tables.
#[derive(Debug, Default)]
pub struct Followed {
    state: RefCell<State>,
    told: Wakeup,
}

impl Followed {
    /// Takes note of a read of this host's own that was asked at `asked_at` and goes on at `next`. What the orderer confirmed
    /// meanwhile stands: a read that waited for seconds was asked before that.
    pub fn note_read(&self, table: Table, asked_at: Millis, next: Offset) {
        let mut state = self.state.borrow_mut();
        let copy = state.copy(table);
        copy.next = Some(next);
        copy.confirmed_at = copy.confirmed_at.max(Some(asked_at));
    }

    /// Takes note of a read that did not reach the end of the table: it goes on at `next`, and what is known is no newer.
    pub fn note_part_read(&self, table: Table, next: Offset) {
        self.state.borrow_mut().copy(table).next = Some(next);
    }

    /// Keeps rows of the list of upstreams for the other hosts; `listed` is how many upstreams it has. Rows that do not follow
    /// those kept before replace them.
    pub fn keep_rows(&self, from: Offset, rows: &[TableRow], next: Offset, listed: usize) {
        let most = listed.max(LEAST_KEPT);
        let mut state = self.state.borrow_mut();
        let former = state.kept.take().filter(|kept| kept.next == from);
        let mut kept = former.unwrap_or_else(|| KeptRows::new(from));
        for row in rows {
            match upstream_row(row) {
                Some(row) => kept.push(row, most),
                // The others read it by themselves, and each notes that it is unreadable.
                None => kept = KeptRows::new(Offset(row.offset.0 + 1)),
            }
        }
        kept.next = next;
        state.kept = Some(kept);
    }

    /// Drops the rows that are kept for others: this host orders no more, or the table was read anew.
    pub fn drop_rows(&self) {
        self.state.borrow_mut().kept = None;
    }

    /// Keeps the newest desired state for the other hosts, or drops an older one when this host relays for none.
    pub fn keep_desired(&self, state: Option<Arc<DesiredState>>) {
        self.state.borrow_mut().kept_desired = state;
    }

    /// Returns the newest desired state, if it was kept for the other hosts.
    pub fn kept_desired(&self) -> Option<Arc<DesiredState>> {
        self.state.borrow().kept_desired.clone()
    }

    /// Returns where this host's copy of a table ends.
    pub fn end(&self, now: Millis, table: Table) -> Option<TableEnd> {
        self.state.borrow_mut().copy(table).end(now)
    }

    /// Returns from where this host wants rows of the list of upstreams.
    pub fn wants_from(&self) -> Option<Offset> {
        self.state.borrow().upstreams.next
    }

    /// Returns what an orderer tells a host that wants rows from an offset on.
    pub fn word(&self, now: Millis, wants_from: Option<Offset>) -> TablesWord {
        let state = self.state.borrow();
        let rows = match (wants_from, &state.kept) {
            (Some(from), Some(kept)) if kept.from <= from => {
                let first = kept.rows.partition_point(|row| row.offset < from);
                match kept.rows.len() - first <= MAX_TOLD {
                    true => kept.rows.range(first..).cloned().collect(),
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        };
        TablesWord {
            desired: state.desired.end(now),
            upstreams: state.upstreams.end(now),
            rows,
        }
    }

    /// Takes the orderer's answer to what was asked at `asked_at`. Returns whether the list of upstreams was confirmed.
    pub fn take_word(&self, asked_at: Millis, word: TablesWord) -> bool {
        let mut state = self.state.borrow_mut();
        let newest_row = word.rows.last().map(|row| row.offset);
        let end_of_list = word.upstreams.map(|upstreams| upstreams.end);
        // The rows are used only when they lead from this host's copy to the end that they came with; those of a former
        // word lead to another end.
        let leads_to_end =
            newest_row.is_some_and(|offset| Some(Offset(offset.0 + 1)) == end_of_list);
        state.told_rows = match leads_to_end {
            true => word.rows,
            false => Vec::new(),
        };
        state.word_at = state.word_at.max(Some(asked_at));
        let mut is_confirmed = false;
        for (table, said) in [
            (Table::Desired, word.desired),
            (Table::Upstreams, word.upstreams),
        ] {
            let Some(TableEnd { end, age_ms }) = said else {
                continue;
            };
            let copy = state.copy(table);
            // The answer was made after the question was asked, so this is no later than the truth.
            let at = asked_at - age_ms;
            copy.told = Some((end, at));
            if copy.next == Some(end) {
                is_confirmed |= table == Table::Upstreams && copy.confirmed_at < Some(at);
                copy.confirmed_at = copy.confirmed_at.max(Some(at));
            }
        }
        drop(state);
        self.told.notify(usize::MAX);
        is_confirmed
    }

    /// Returns what wakes when the orderer says something. Listen first, then ask what is next.
    pub fn next_word(&self) -> EventListener {
        self.told.listen()
    }

    /// Returns what to do about a table that is to be confirmed each `within_ms`.
    pub fn next(&self, now: Millis, table: Table, within_ms: Millis) -> Next {
        let mut state = self.state.borrow_mut();
        let word_at = state.word_at;
        let Copy {
            next,
            confirmed_at,
            told,
        } = *state.copy(table);
        let (Some(next), Some(confirmed_at), Some((told_end, _)), Some(word_at)) =
            (next, confirmed_at, told, word_at)
        else {
            return Next::Read;
        };
        if now >= word_at + within_ms {
            return Next::Read;
        }
        if told_end > next {
            let rows = match table {
                Table::Upstreams => std::mem::take(&mut state.told_rows),
                Table::Desired => Vec::new(),
            };
            let rows: Vec<TableRow> = rows.into_iter().map(table_row).collect();
            // Offsets have no gaps, so rows that begin at or before this copy's end lead on from it.
            let leads_on = rows.first().is_some_and(|row| row.offset <= next);
            return match leads_on {
                true => Next::Take(rows, told_end),
                false => Next::Behind,
            };
        }
        let due_at = confirmed_at + within_ms;
        match now < due_at {
            true => Next::WaitUntil(due_at),
            false => Next::Read,
        }
    }

    /// Takes note that rows from the orderer were taken up to an offset.
    pub fn note_taken(&self, table: Table, next: Offset) {
        let mut state = self.state.borrow_mut();
        let copy = state.copy(table);
        copy.next = Some(next);
        let as_of = copy.told.filter(|(end, _)| *end == next).map(|(_, at)| at);
        copy.confirmed_at = copy.confirmed_at.max(as_of);
    }
}

/// Returns a row as other hosts get it; nothing when it is not one of the list of upstreams that can be read.
fn upstream_row(row: &TableRow) -> Option<UpstreamRow> {
    let entry = match &row.value {
        RowValue::Upstream(entry) => Some(entry.clone()),
        RowValue::Removed => None,
        RowValue::Unreadable(_) | RowValue::Desired(_) => return None,
    };
    Some(UpstreamRow {
        key: row.key.clone(),
        offset: row.offset,
        entry,
    })
}

fn table_row(row: UpstreamRow) -> TableRow {
    TableRow {
        key: row.key,
        offset: row.offset,
        value: row.entry.map_or(RowValue::Removed, RowValue::Upstream),
    }
}
