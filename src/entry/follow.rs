//! Follows the tables that the operator and the upstreams write in the platform's store.
//!
//! The orderer reads them often. The other hosts read only while the orderer does not report to
//! them how fresh their copies of the tables are.

use crate::entry::desired_copy;
use crate::entry::desired_exchange::apply_copy;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::list_copy::{self, ListCopy};
use crate::entry::platform::{
    ChangesQuery, PageSize, Platform, StoreCall, StoreError, Table, TablePage, TableRow,
};
use crate::entry::replication::NextStep;
use crate::entry::table_rows::{TableLine, UpstreamList, apply_list, apply_row, apply_table};
use crate::entry::table_sources::{TableSources, serves_tables};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use futures_lite::future;
use smol::Timer;
use std::pin::pin;
use std::rc::Rc;

/// The fraction of the contact time for which a host pauses after a page of changes of the list of
/// upstreams, so that changes in quick succession come with one call. Desired states are rare and
/// have to be in force soon; there is no pause after them.
const PAUSE_FRACTION: f64 = 0.4;
/// How long the store may take to answer beyond the wait that it was asked for.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);
/// What remains of the contact time after a pause, a wait and an answer.
const MARGIN_MS: Millis = Millis(100);
/// How long a read of the orderer waits for a change. The other hosts rely on what it last said
/// while that is not much older than this. Two reads of one host every half second are a small part
/// of what a hundred hosts would read themselves.
const ORDERER_WAIT_MS: Millis = Millis(400);
/// How much earlier than other hosts a relay reads a table while the orderer does not answer: two
/// intervals at which hosts ask the relay. When the orderer of 195 hosts is cut off from the store,
/// 18 of them read the tables.
const RELAY_READS_EARLIER_MS: Millis = Millis(600);
/// The minimum wait of a read, whatever the platform's bounds.
const MIN_WAIT_MS: Millis = Millis(300);
/// The pauses after failed reads in a row. The first are short, since a single refusal passes.
/// Refused calls are paid too: an outage in which a site of 80 hosts calls twice a second per host
/// costs more calls than a calm day. The longest pause still lets a table be read well within the
/// contact time after an outage.
const RETRY_PAUSES_MS: [Millis; 4] = [Millis(100), Millis(250), Millis(500), Millis(1_000)];
/// The pause after failed reads of the desired state by a host that exchanges state with others, which
/// tell it of changes.
const RETRY_PAUSE_WHILE_TOLD_MS: Millis = Millis(1_500);
/// The most pages in one read of a whole table; at 500 rows each, far more than any site has.
const MAX_PAGES: usize = 1_000;

/// How long a host looks for a relay with a newer list when the store has trimmed the history after
/// the host's copy. Meanwhile the host uses its copy.
const RELAY_SEARCH_AGAIN_MS: Millis = Millis(1_000);

#[derive(Serialize)]
struct OutdatedLine {
    table: &'static str,
    era: Era,
    /// Where this host's copy of the table ended, in the former era.
    copy_end: Option<Position>,
}

/// The progress of following one table.
struct Cursor {
    table: Table,
    /// The position from which the table is followed; none before the whole table was read, after
    /// its history was trimmed, and after the store was restored from a copy.
    next: Option<Position>,
    /// Where this host's copy ended when the store no longer had the changes after it.
    outdated_at: Option<Position>,
    /// The position of the newest applied row of each key.
    newest_rows: IndexMap<Name, Position>,
    /// Failed reads in a row.
    failures: usize,
    /// How often in a row the history was trimmed.
    trims: usize,
    /// How long the host paused before the next read.
    paused_ms: Millis,
    /// Until when the store is not asked again after a failed read.
    retry_at: Millis,
    /// Whether the orderer, and not the store, last confirmed or changed this copy.
    is_confirmed_by_orderer: bool,
    /// The pages of the whole table that were read before one failed, or before a relay is asked
    /// for the rest.
    partial: Option<PartialTable>,
    /// Whether the last page of changes ended before the end of the table.
    is_cut: bool,
}

impl Cursor {
    /// Tells whether all pages of the whole table were read.
    fn has_all_pages(&self) -> bool {
        let partial = self.partial.as_ref();
        partial.is_some_and(|partial| partial.after.is_none())
    }

    /// Lets the next read begin anew with the whole table.
    fn read_anew(&mut self) {
        self.is_cut = false;
        self.partial = None;
        self.outdated_at = self.next.take().or(self.outdated_at);
    }
}

/// The first pages of a whole table.
struct PartialTable {
    asked_at: Millis,
    /// The end of the table as the first page gave it.
    end: Position,
    rows: Vec<TableRow>,
    /// The key after which the next page begins; none when all pages were read.
    after: Option<Name>,
}

/// Follows a table until the process ends. `sources` names the relays from which a host that is
/// behind may fetch the table instead of the store; the list of upstreams may also be fetched from
/// them at the start.
pub async fn follow<P: Platform>(host: Rc<Host<P>>, table: Table, sources: Option<TableSources>) {
    let mut cursor = Cursor {
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
    };
    loop {
        if table == Table::Desired {
            adopt_position(&host, &mut cursor);
        }
        let read = match cursor.next {
            None => load_table(&host, &mut cursor, sources.as_ref()).await,
            Some(at) if cursor.is_cut => read_more(&host, &mut cursor, at, sources.as_ref()).await,
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

fn apply_list_copy<P: Platform>(host: &Host<P>, cursor: &mut Cursor, copy: ListCopy) {
    note_era_of_copy(host, cursor, copy.end);
    cursor.partial = None;
    cursor.newest_rows.clear();
    cursor.next = Some(copy.end);
    host.replication
        .note_read(cursor.table, copy.as_of, copy.end);
    host.replication.clear_buffered_rows();
    let list = UpstreamList {
        as_of: copy.as_of,
        from: Some(copy.relay),
        entries: copy.entries,
        unreadable: Vec::new(),
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
    /// Nothing more: rows that the orderer sent were applied.
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
        if apply_reported(host, cursor) {
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
                with_timeout(due_at.since(now), update).await;
            }
        }
    }
}

/// The orderer reads the store; another host reads it until the orderer says how fresh its copy is.
fn next_step<P: Platform>(
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
fn apply_reported<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> bool {
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
fn apply_update<P: Platform>(
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
fn apply_sent_rows<P: Platform>(
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

/// Tells whether this host is one of the few whose reads of a table follow each other and wait for a
/// change while the orderer cannot read it. The other hosts read once within `within_ms`, and
/// otherwise learn of a change from these few.
fn is_to_read_for_others<P: Platform>(
    host: &Host<P>,
    cursor: &Cursor,
    now: Millis,
    within_ms: Millis,
) -> bool {
    is_unread_by_orderer(host, cursor.table, now, within_ms)
        && host.tree.borrow().is_collector(host.incarnation)
}

/// Tells whether the orderer that this host hears of has not read a table within `within_ms`.
fn is_unread_by_orderer<P: Platform>(
    host: &Host<P>,
    table: Table,
    now: Millis,
    within_ms: Millis,
) -> bool {
    !host.replication.is_read_by_sender(now, table, within_ms)
}

/// Buffers rows that another host sent, for the hosts that this one serves. The rows may begin before
/// the end of this host's copy.
fn buffer_for_followers<P: Platform>(
    host: &Host<P>,
    from: Position,
    rows: &[TableRow],
    end: Position,
) {
    let known = rows.partition_point(|row| row.position < from);
    host.replication
        .buffer_rows(from, &rows[known..], end, host.upstreams.borrow().count());
}

fn longest_wait_ms<P: Platform>(host: &Host<P>, table: Table, paused_ms: Millis) -> Millis {
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
fn next_wait_ms<P: Platform>(host: &Host<P>, cursor: &mut Cursor) -> Millis {
    let paused_ms = std::mem::take(&mut cursor.paused_ms);
    let longest_ms = longest_wait_ms(host, cursor.table, paused_ms);
    let is_confirmed_by_orderer = std::mem::take(&mut cursor.is_confirmed_by_orderer);
    match (host.is_orderer(), is_confirmed_by_orderer) {
        (true, _) => longest_ms.min(ORDERER_WAIT_MS),
        // The orderer last said something so long ago that a change could stay unknown for too
        // long.
        (false, true) => Millis::ZERO,
        (false, false) => longest_ms,
    }
}

fn pause_after_change_ms(contact_ms: Millis) -> Millis {
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

/// Prepares to read the table anew after the store was restored from a copy.
fn note_restored<P: Platform>(host: &Host<P>, cursor: &mut Cursor, era: Era) {
    note_outdated(host, cursor, era);
    cursor.read_anew();
}

/// Records that this host's copy of the table is of an earlier era than the store.
fn note_outdated<P: Platform>(host: &Host<P>, cursor: &Cursor, era: Era) {
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
fn note_era_of_copy<P: Platform>(host: &Host<P>, cursor: &Cursor, end: Position) {
    if cursor.next.is_some_and(|next| next.era < end.era) {
        note_outdated(host, cursor, end.era);
    }
}

fn note_success<P: Platform>(host: &Host<P>, cursor: &mut Cursor) {
    host.replication.set_answered(cursor.table, true);
    if cursor.failures > 1 {
        let table = cursor.table.name();
        lines::write(LogEvent::LogBack, &TableLine { table, error: "" });
    }
    cursor.failures = 0;
}

fn note_failure<P: Platform>(host: &Host<P>, cursor: &mut Cursor, error: &StoreError) {
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

fn retry_pause_ms<P: Platform>(host: &Host<P>, cursor: &Cursor) -> Millis {
    let is_told = cursor.table == Table::Desired
        && cursor.failures > RETRY_PAUSES_MS.len()
        && host.members.borrow().count() > 1
        && host.has_recent_orderer_answer(host.now());
    match is_told {
        true => RETRY_PAUSE_WHILE_TOLD_MS,
        false => RETRY_PAUSES_MS[cursor.failures.min(RETRY_PAUSES_MS.len()) - 1],
    }
}

/// Returns the pause with random jitter, so that hosts which were refused together do not retry
/// together.
fn with_jitter(pause_ms: Millis) -> Millis {
    Millis(pause_ms.0 / 2 + fastrand::u64(0..=pause_ms.0))
}

/// Reads the first page of a table's newest rows, unless it was read before.
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

/// Reads the remaining pages, and applies the whole table. The pages are no snapshot, so the table
/// is then followed from the end that the first page gave; rows that come again are no newer than
/// what is known, and are skipped. After a failed page, the next attempt continues with that page:
/// if hundreds of hosts began anew, they would keep the store at its limit. Returns false, since no
/// pause is due.
async fn read_remaining_pages<P: Platform>(
    host: &Host<P>,
    cursor: &mut Cursor,
) -> Result<bool, StoreError> {
    let Some(mut partial) = cursor.partial.take() else {
        return Ok(false);
    };
    for _ in 0..MAX_PAGES {
        let Some(key) = &partial.after else { break };
        match read_page(host, cursor.table, Some(key)).await {
            Ok(page) if page.end.era != partial.end.era => {
                let era = page.end.era;
                return Err(StoreError::Restored { era });
            }
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
    cursor.newest_rows = rows
        .iter()
        .map(|row| (row.key.clone(), row.position))
        .collect();
    cursor.next = Some(next);
    if cursor.table == Table::Upstreams {
        host.replication.clear_buffered_rows();
    }
    apply_table(host, cursor.table, rows);
    host.replication.note_read(cursor.table, asked_at, next);
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
    from: Position,
    size: PageSize,
) -> Result<bool, StoreError> {
    let asked_at = host.now();
    let within_ms = longest_wait_ms(host, cursor.table, Millis::ZERO);
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
        ..
    } = apply_sent_meanwhile(host, cursor, read).await?;
    let reached = cursor.next.map_or(end, |next| next.max(end));
    cursor.next = Some(reached);
    cursor.is_cut = is_truncated;
    cursor.trims = 0;
    if cursor.table == Table::Upstreams {
        host.upstreams.borrow_mut().note_list_reached(host.now());
        match serves_tables(host) || is_unread_by_orderer(host, cursor.table, host.now(), within_ms)
        {
            true => {
                let listed = host.upstreams.borrow().count();
                host.replication.buffer_rows(from, &rows, end, listed);
            }
            false => host.replication.clear_buffered_rows(),
        }
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
async fn apply_sent_meanwhile<P: Platform>(
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

/// Applies rows in order. Skips those before `from`, and those that are no newer than the row
/// already known under their key.
fn apply_rows<P: Platform>(
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
