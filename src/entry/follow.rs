//! Following the tables that the operator and the upstreams write.
//!
//! The orderer reads often; the other hosts read while they do not hear from it how new the tables are.

use crate::entry::desired_copy::{self, DesiredCopy};
use crate::entry::followed::Next;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::list_copy::{self, ListCopy};
use crate::entry::platform::{
    ChangesQuery, PageSize, Platform, StoreCall, StoreError, Table, TablePage, TableRow,
};
use crate::entry::sources::{Sources, is_source};
use crate::entry::table_rows::{
    TableLine, WholeList, put_in_force, take_list, take_row, take_table,
};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use smol::Timer;
use std::rc::Rc;

/// For which part of the contact time a reader of the upstreams rests after a page of changes, so that changes in quick
/// succession come with one call. Desired states are rare and must be in force soon; they are read at once.
const REST_PART: f64 = 0.4;
/// How long the store may take to answer beyond the wait that it was asked for.
const ANSWER_MS: Millis = Millis(500);
/// What is left of the contact time after a rest, a wait and an answer.
const MARGIN_MS: Millis = Millis(100);
/// How long a read of the orderer waits: the other hosts rely on its word while it is not much older than that. Two
/// reads of one host each half second are a small part of what a hundred hosts read by themselves.
const ORDERER_WAIT_MS: Millis = Millis(400);
/// By how much earlier than other hosts a relay reads a table of which the orderer says nothing: two intervals at which
/// hosts ask it. When an orderer of 195 hosts is cut off from the store, 18 of them read the tables.
const RELAY_EARLIER_MS: Millis = Millis(600);
/// The shortest wait, whatever the platform's bounds.
const LEAST_WAIT_MS: Millis = Millis(300);
/// The pauses after failed reads: short first, since a single refusal passes; each refused call is paid too, and an outage
/// in which a site of 80 hosts asks twice a second each costs more calls than a calm day. The longest lets a table be read
/// well within the contact time after an outage.
const RETRY_MS: [Millis; 4] = [Millis(100), Millis(250), Millis(500), Millis(1_000)];
/// Most pages of one whole read; at 500 rows each, far above any site.
const MAX_PAGES: usize = 1_000;

/// How long a host whose place in the list's history is gone looks for a relay that has a newer list: it goes by its own,
/// older one meanwhile.
const LOOK_AGAIN_MS: Millis = Millis(1_000);

/// Where in a table the reader is.
struct Cursor {
    table: Table,
    next: Option<Offset>,
    /// From where on the history was gone when it was read last.
    lost_from: Option<Offset>,
    written_at: IndexMap<Name, Offset>,
    failures: usize,
    trims: usize,
    rested_ms: Millis,
    /// Whether the last news came from the orderer.
    was_told: bool,
    /// What was read of the whole table when a page of it failed.
    partial: Option<PartialTable>,
    /// Whether the last page of changes was cut off before the end of the table.
    is_cut: bool,
}

impl Cursor {
    /// Tells whether all pages of the whole table were read.
    fn has_whole(&self) -> bool {
        let partial = self.partial.as_ref();
        partial.is_some_and(|partial| partial.after.is_none())
    }
}

/// The first pages of a whole table.
struct PartialTable {
    asked_at: Millis,
    /// The end that the first page named.
    end: Offset,
    rows: Vec<TableRow>,
    /// The key after which the next page begins; none when all were read.
    after: Option<Name>,
}

/// Follows a table until the process ends. `sources` are the hosts from which it may be taken when this one is behind, the list of
/// upstreams also at first.
pub async fn follow<P: Platform>(host: Rc<Host<P>>, table: Table, sources: Option<Sources>) {
    let mut cursor = Cursor {
        table,
        next: None,
        lost_from: None,
        written_at: IndexMap::new(),
        failures: 0,
        trims: 0,
        rested_ms: Millis::ZERO,
        was_told: false,
        partial: None,
        is_cut: false,
    };
    loop {
        let read = match cursor.next {
            None => begin(&host, &mut cursor, sources.as_ref()).await,
            Some(from) if cursor.is_cut => go_on(&host, &mut cursor, from, sources.as_ref()).await,
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
            Ok(changed) => {
                note_answer(&mut cursor);
                let rests = changed && !cursor.is_cut && !host.is_orderer();
                if rests && table == Table::Upstreams {
                    cursor.rested_ms = rest_ms(host.settings().bounds.contact_ms);
                    Timer::after(cursor.rested_ms.to_duration()).await;
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
                cursor.is_cut = false;
                cursor.lost_from = cursor.next.take();
                cursor.trims += 1;
                // A store that has dropped the history again and again is not asked without pause.
                if cursor.trims > 1 {
                    Timer::after(RETRY_MS[0].to_duration()).await;
                }
            }
            Err(error) => {
                note_failure(&mut cursor, &error);
                if table == Table::Upstreams {
                    host.upstreams.borrow_mut().note_list_unreachable();
                }
                let pause_ms = RETRY_MS[cursor.failures.min(RETRY_MS.len()) - 1];
                Timer::after(spread(pause_ms).to_duration()).await;
            }
        }
    }
}

/// Takes the whole table from the store. When a list of upstreams has more than a page there, or the store refuses it, it is taken
/// from a relay, where one has it.
async fn begin<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    sources: Option<&Sources>,
) -> Result<bool, StoreError> {
    let first = read_first_page(host, cursor).await;
    let look_ms = match &first {
        Ok(()) if cursor.has_whole() => None,
        Ok(()) if cursor.lost_from.is_some() => Some(LOOK_AGAIN_MS),
        Ok(()) => Some(list_copy::LOOK_MS),
        Err(_) => Some(Millis::ZERO),
    };
    if let (Table::Upstreams, Some(sources), Some(look_ms)) = (cursor.table, sources, look_ms)
        && let Some(copy) = list_copy::fetch(host, sources, cursor.lost_from, look_ms).await
    {
        take_copy(host, cursor, copy);
        return Ok(false);
    }
    first?;
    read_rest(host, cursor).await
}

fn take_copy<P: Platform>(host: &Host<P>, cursor: &mut Cursor, copy: ListCopy) {
    cursor.partial = None;
    cursor.written_at.clear();
    cursor.next = Some(copy.end);
    host.followed.note_read(cursor.table, copy.as_of, copy.end);
    host.followed.drop_rows();
    let list = WholeList {
        as_of: copy.as_of,
        from: Some(copy.relay),
        entries: copy.entries,
        unreadable: Vec::new(),
    };
    take_list(host, list);
}

fn take_desired_copy<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    asked_at: Millis,
    copy: DesiredCopy,
) {
    cursor.next = Some(copy.end);
    host.followed
        .note_read(cursor.table, asked_at - copy.age_ms, copy.end);
    put_in_force(host, copy.state);
}

/// Takes what the orderer knows of a table and this host does not: the table as its relay has it, else the changes from the store.
/// Hundreds of hosts that fell behind together would keep the store at its limit, and fall further behind.
async fn catch_up<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Offset,
    sources: Option<&Sources>,
) -> Result<bool, StoreError> {
    if let Some(sources) = sources
        && take_from_relay(host, cursor, from, sources, Millis::ZERO).await
    {
        return Ok(false);
    }
    let size = page_size(host, cursor.table, sources);
    read_changes(host, cursor, from, size).await
}

/// Goes on after a page that was cut off: with the table as a relay has it, else with full pages. All reads share the bytes that
/// the store gives a second; were hundreds of hosts to read a list that is being written, relays and the orderer would
/// wait behind them.
async fn go_on<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Offset,
    sources: Option<&Sources>,
) -> Result<bool, StoreError> {
    if let Some(sources) = sources {
        let new_for_ms = list_copy::LOOK_MS - host.age_ms(host.now());
        let look_ms = new_for_ms.max(LOOK_AGAIN_MS);
        if take_from_relay(host, cursor, from, sources, look_ms).await {
            return Ok(false);
        }
    }
    read_changes(host, cursor, from, PageSize::Full).await
}

/// Returns how much a host reads at once that may take the rest from another one.
fn page_size<P: Platform>(host: &Host<P>, table: Table, sources: Option<&Sources>) -> PageSize {
    let may_ask = sources.is_some() && !is_source(host);
    match (table, may_ask) {
        (Table::Upstreams, true) => PageSize::Short,
        (Table::Upstreams, false) | (Table::Desired, _) => PageSize::Full,
    }
}

/// Returns whether a relay had what is newer than `from`.
async fn take_from_relay<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Offset,
    sources: &Sources,
    look_ms: Millis,
) -> bool {
    let asked_at = host.now();
    match cursor.table {
        Table::Upstreams => {
            let copy = list_copy::fetch(host, sources, Some(from), look_ms).await;
            let Some(copy) = copy else { return false };
            take_copy(host, cursor, copy);
        }
        Table::Desired => {
            let copy = desired_copy::fetch(host, sources, from).await;
            let Some(copy) = copy else { return false };
            take_desired_copy(host, cursor, asked_at, copy);
        }
    }
    cursor.is_cut = false;
    true
}

/// What is to be done about a table.
enum Due {
    /// Nothing more: rows that the orderer sent were taken.
    Nothing,
    /// It is to be read by this host itself.
    Read,
    /// The orderer knows of rows that it did not send.
    CatchUp,
}

/// Waits until something is to be done about the table; takes rows that the orderer sent before that.
async fn wait_until_due<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Due {
    loop {
        let word = host.followed.next_word();
        let now = host.now();
        let within_ms = longest_wait_ms(host, cursor.table, Millis::ZERO);
        // A host that reads by itself goes on so until it is told that it need not.
        let next = match host.is_orderer() {
            true => Next::Read,
            false => host.followed.next(now, cursor.table, within_ms),
        };
        match next {
            Next::Read => return Due::Read,
            Next::Behind => return Due::CatchUp,
            Next::Take(rows, end) => {
                if let Some(from) = cursor.next.filter(|_| host.is_relay()) {
                    keep_told(host, from, &rows, end);
                }
                take_rows(host, cursor, cursor.next, rows);
                cursor.next = Some(end);
                cursor.was_told = true;
                host.followed.note_taken(cursor.table, end);
                return Due::Nothing;
            }
            Next::WaitUntil(due_at) => {
                cursor.was_told = true;
                with_timeout(due_at.since(now), word).await;
            }
        }
    }
}

/// Keeps rows that the orderer sent for the hosts of this relay. They may begin before what this host has.
fn keep_told<P: Platform>(host: &Host<P>, from: Offset, rows: &[TableRow], end: Offset) {
    let known = rows.partition_point(|row| row.offset < from);
    host.followed
        .keep_rows(from, &rows[known..], end, host.upstreams.borrow().count());
}

fn longest_wait_ms<P: Platform>(host: &Host<P>, table: Table, rested_ms: Millis) -> Millis {
    let bounds = host.settings().bounds;
    let known_within_ms = match table {
        Table::Desired => bounds.apply_ms,
        Table::Upstreams => bounds.drain_ms,
    };
    let longest_ms = wait_ms(bounds.contact_ms, known_within_ms, rested_ms);
    // A relay reads before its hosts would, so that they hear of it in time and need not read themselves.
    match host.is_relay() {
        true => (longest_ms - RELAY_EARLIER_MS).max(LEAST_WAIT_MS),
        false => longest_ms,
    }
}

/// Returns how long the next read waits for a change.
fn next_wait_ms<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Millis {
    let rested_ms = std::mem::take(&mut cursor.rested_ms);
    let longest_ms = longest_wait_ms(host, cursor.table, rested_ms);
    let was_told = std::mem::take(&mut cursor.was_told);
    match (host.is_orderer(), was_told) {
        (true, _) => longest_ms.min(ORDERER_WAIT_MS),
        // The time for which a change may stay unknown has passed since the orderer's last word.
        (false, true) => Millis::ZERO,
        (false, false) => longest_ms,
    }
}

fn rest_ms(contact_ms: Millis) -> Millis {
    Millis((contact_ms.0 as f64 * REST_PART) as u64)
}

/// Returns how long a read waits for a change. Two things can keep a change from it until its end: a connection that
/// went silent for good without a reset, so rest, wait and answer together fit into the time after which the
/// platform counts this host as in contact again; and a read that reaches the store while the change is being
/// written, which is not woken, so the wait fits into the time in which the change must be known. Shorter waits
/// cost more calls.
pub fn wait_ms(contact_ms: Millis, known_within_ms: Millis, rested_ms: Millis) -> Millis {
    let for_silence = contact_ms - rested_ms - ANSWER_MS - MARGIN_MS;
    let for_missed_wakeup = known_within_ms - ANSWER_MS;
    for_silence.min(for_missed_wakeup).max(LEAST_WAIT_MS)
}

fn note_answer(cursor: &mut Cursor) {
    if cursor.failures > 1 {
        let table = cursor.table.name();
        lines::write(LogEvent::LogBack, &TableLine { table, error: "" });
    }
    cursor.failures = 0;
}

fn note_failure(cursor: &mut Cursor, error: &StoreError) {
    cursor.failures += 1;
    // A single failure is a poll whose connection was closed; the second in a row is an outage.
    if cursor.failures == 2 {
        let line = TableLine {
            table: cursor.table.name(),
            error: &error.to_string(),
        };
        lines::write(LogEvent::LogLost, &line);
    }
}

/// Returns a pause around the given one, so that hosts which were refused together do not come back together.
fn spread(pause_ms: Millis) -> Millis {
    Millis(pause_ms.0 / 2 + fastrand::u64(0..=pause_ms.0))
}

/// Reads the first page of the newest rows, unless it was read before.
async fn read_first_page<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
) -> Result<(), StoreError> {
    if cursor.partial.is_some() {
        return Ok(());
    }
    let asked_at = host.now();
    let first = read_page(host, cursor.table, None).await?;
    cursor.partial = Some(PartialTable {
        asked_at,
        end: first.end,
        rows: first.rows,
        after: first.more_after,
    });
    Ok(())
}

/// Reads the other pages. They are no snapshot, so reading goes on at the end that the first page named; rows that come
/// again are older than what is known and passed over. After a page that failed it goes on with that page: hundreds of
/// hosts that all began anew would keep the store at its limit. Returns whether a rest is due.
async fn read_rest<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Result<bool, StoreError> {
    let Some(mut partial) = cursor.partial.take() else {
        return Ok(false);
    };
    for _ in 0..MAX_PAGES {
        let Some(key) = &partial.after else { break };
        match read_page(host, cursor.table, Some(key)).await {
            Ok(page) => {
                partial.rows.extend(page.rows);
                partial.after = page.more_after;
            }
            Err(error) => {
                cursor.partial = Some(partial);
                return Err(error);
            }
        }
    }
    let PartialTable {
        asked_at,
        end: next,
        rows,
        ..
    } = partial;
    cursor.written_at = rows
        .iter()
        .map(|row| (row.key.clone(), row.offset))
        .collect();
    cursor.next = Some(next);
    host.followed.note_read(cursor.table, asked_at, next);
    if cursor.table == Table::Upstreams {
        host.followed.drop_rows();
    }
    take_table(host, cursor.table, rows);
    Ok(false)
}

async fn read_page<P: Platform>(
    host: &Host<P>,
    table: Table,
    after: Option<&str>,
) -> Result<TablePage, StoreError> {
    let read = host.platform.read_table(table, after);
    host.count_call(StoreCall::ReadTable, read).await
}

async fn read_changes<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Offset,
    size: PageSize,
) -> Result<bool, StoreError> {
    let asked_at = host.now();
    let ask = ChangesQuery {
        from,
        wait_ms: next_wait_ms(host, cursor),
        answer_ms: ANSWER_MS,
        size,
    };
    let read = host.platform.follow_table(cursor.table, ask);
    let page = host.count_call(StoreCall::FollowTable, read).await?;
    let TablePage { rows, end, .. } = page;
    cursor.next = Some(end);
    cursor.is_cut = page.is_truncated;
    cursor.trims = 0;
    match page.is_truncated {
        true => host.followed.note_part_read(cursor.table, end),
        false => host.followed.note_read(cursor.table, asked_at, end),
    }
    if cursor.table == Table::Upstreams {
        host.upstreams.borrow_mut().note_list_reached(host.now());
        match is_source(host) {
            true => {
                let listed = host.upstreams.borrow().count();
                host.followed.keep_rows(from, &rows, end, listed);
            }
            false => host.followed.drop_rows(),
        }
    }
    let changed = !rows.is_empty();
    take_rows(host, cursor, Some(from), rows);
    Ok(changed)
}

/// Takes rows in order. Those before `from`, and those that a page of the whole table showed already, change nothing.
fn take_rows<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
    from: Option<Offset>,
    rows: Vec<TableRow>,
) {
    let new = rows
        .into_iter()
        .filter(|row| from.is_none_or(|from| row.offset >= from));
    for row in new {
        let known = cursor.written_at.get(&row.key);
        if known.is_some_and(|known| *known >= row.offset) {
            continue;
        }
        cursor.written_at.insert(row.key.clone(), row.offset);
        take_row(host, cursor.table, row);
    }
}
