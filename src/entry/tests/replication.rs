//! How fresh a host may take its copies of the tables to be when updates are lost, late or out of
//! order.

use crate::entry::platform::{RowValue, Table, TableRow};
use crate::entry::replication::{NextStep, ReplicationState, TableEnd, TablesUpdate};
use crate::prelude::*;

const WITHIN_MS: Millis = Millis(1_500);
const LISTED: usize = 100;

fn at(offset: u64) -> Position {
    Position::new(Era(1), offset)
}

fn rows(offsets: std::ops::Range<u64>) -> Vec<TableRow> {
    let row = |offset| TableRow {
        key: format!("u{offset}").into(),
        position: at(offset),
        value: RowValue::Removed,
    };
    offsets.map(row).collect()
}

/// Returns an orderer that has read up to `end`, and has buffered the rows from `buffered_from` on.
fn orderer(asked_at: Millis, buffered_from: u64, end: u64) -> ReplicationState {
    let orderer = ReplicationState::default();
    orderer.note_read(Table::Upstreams, asked_at, at(end));
    orderer.buffer_rows(
        at(buffered_from),
        &rows(buffered_from..end),
        at(end),
        LISTED,
    );
    orderer
}

#[test]
fn host_waits_while_the_orderer_confirms_its_copy() {
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(1_000), at(5));
    let update = orderer(Millis(9_800), 0, 5).update_for(Millis(10_000), host.next_position());
    assert!(host.apply_update(Millis(9_990), update));
    let next = host.next(Millis(10_010), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::WaitUntil(Millis(9_790) + WITHIN_MS));
    let next = host.next(Millis(11_300), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::Read);
}

#[test]
fn rows_that_continue_the_copy_are_applied_and_a_gap_needs_a_catch_up() {
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(9_000), at(5));
    let update = orderer(Millis(9_900), 3, 8).update_for(Millis(10_000), host.next_position());
    host.apply_update(Millis(9_990), update);
    let next = host.next(Millis(10_010), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::Apply(rows(5..8), at(8)));
    host.note_applied(Table::Upstreams, at(8));
    let next = host.next(Millis(10_010), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::WaitUntil(Millis(9_890) + WITHIN_MS));

    let update = orderer(Millis(10_100), 10, 12).update_for(Millis(10_200), host.next_position());
    host.apply_update(Millis(10_190), update);
    let next = host.next(Millis(10_210), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::CatchUp);
}

#[test]
fn host_without_an_update_reads_the_store() {
    let host = ReplicationState::default();
    host.note_read(Table::Desired, Millis(10_000), at(5));
    let next = host.next(Millis(10_001), Table::Desired, WITHIN_MS);
    assert_eq!(next, NextStep::Read);
}

/// Guards against a host that takes the answers of an orderer which cannot read the desired state for a
/// sign that it reads it.
#[test]
fn orderer_that_cannot_read_a_table_is_told_from_one_that_does() {
    let orderer = ReplicationState::default();
    orderer.note_read(Table::Desired, Millis(1_000), at(5));
    let host = ReplicationState::default();
    host.note_read(Table::Desired, Millis(9_990), at(5));
    host.apply_update(Millis(9_980), orderer.update_for(Millis(10_000), None));
    assert!(!host.is_read_by_sender(Millis(10_010), Table::Desired, WITHIN_MS));

    orderer.note_read(Table::Desired, Millis(9_900), at(5));
    host.apply_update(Millis(9_990), orderer.update_for(Millis(10_000), None));
    assert!(host.is_read_by_sender(Millis(10_010), Table::Desired, WITHIN_MS));
}

/// A table that grows, an orderer that reads it with a delay, and a host that receives the
/// orderer's updates late, not at all or out of order.
struct Site {
    now: Millis,
    written: Vec<Millis>,
    orderer: ReplicationState,
    orderer_next: u64,
    host: ReplicationState,
    host_next: u64,
    in_flight: Vec<(Millis, TablesUpdate)>,
}

impl Site {
    fn orderer_reads(&mut self, takes_ms: u64) {
        let asked_at = self.now;
        let end = self.written.len() as u64;
        // Rows that are written while the answer is in flight are not in it.
        self.now += Millis(takes_ms);
        let from = at(self.orderer_next);
        let read = rows(self.orderer_next..end);
        self.orderer.note_read(Table::Upstreams, asked_at, at(end));
        self.orderer.buffer_rows(from, &read, at(end), LISTED);
        self.orderer_next = end;
    }

    fn host_asks(&mut self, takes_ms: u64) {
        let asked_at = self.now;
        let next_position = self.host.next_position();
        self.now += Millis(takes_ms);
        let update = self.orderer.update_for(self.now, next_position);
        self.in_flight.push((asked_at, update));
    }

    fn host_acts(&mut self) {
        match self.host.next(self.now, Table::Upstreams, WITHIN_MS) {
            NextStep::Apply(rows, end) => {
                let offsets: Vec<u64> = rows.iter().map(|row| row.position.offset.0).collect();
                let expected: Vec<u64> = (offsets[0]..end.offset.0).collect();
                assert!(offsets[0] <= self.host_next, "rows are missing");
                assert_eq!(offsets, expected);
                self.host.note_applied(Table::Upstreams, end);
                self.host_next = self.host_next.max(end.offset.0);
            }
            NextStep::Read | NextStep::CatchUp => {
                let end = self.written.len() as u64;
                self.host.note_read(Table::Upstreams, self.now, at(end));
                self.host_next = end;
            }
            NextStep::WaitUntil(due_at) => {
                assert!(due_at > self.now);
                let unknown = self.written[self.host_next as usize..].iter();
                for written_at in unknown {
                    let known_by = *written_at + WITHIN_MS;
                    assert!(
                        known_by >= due_at,
                        "a row written at {written_at:?} would stay unread until {due_at:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn no_row_stays_unread_beyond_the_bound_while_a_host_waits() {
    arbtest::arbtest(|u| {
        let mut site = Site {
            now: Millis(1_000_000),
            written: Vec::new(),
            orderer: ReplicationState::default(),
            orderer_next: 0,
            host: ReplicationState::default(),
            host_next: 0,
            in_flight: Vec::new(),
        };
        for _ in 0..u.int_in_range(0..=200u16)? {
            site.now += Millis(u.int_in_range(0..=300u64)?);
            match u.int_in_range(0..=9u8)? {
                0 | 1 => site.written.push(site.now),
                2 | 3 => site.orderer_reads(u.int_in_range(0..=600u64)?),
                4 | 5 => site.host_asks(u.int_in_range(0..=900u64)?),
                6 | 7 if !site.in_flight.is_empty() => {
                    let nth = u.choose_index(site.in_flight.len())?;
                    let (asked_at, update) = site.in_flight.swap_remove(nth);
                    site.host.apply_update(asked_at, update);
                }
                // The orderer is replaced; the next one has buffered no rows.
                8 if u.int_in_range(0..=5u8)? == 0 => site.orderer.clear_buffered_rows(),
                // It reads rows without buffering them, as it does while another host orders.
                8 if u.int_in_range(0..=5u8)? == 0 => {
                    let end = site.written.len() as u64;
                    site.orderer.note_read(Table::Upstreams, site.now, at(end));
                    site.orderer_next = end;
                }
                _ => site.host_acts(),
            }
        }
        Ok(())
    });
}

#[test]
fn rows_with_a_gap_are_not_sent() {
    let orderer = orderer(Millis(9_900), 0, 3);
    // It read rows 3 and 4 while another host ordered, and buffered neither.
    orderer.note_read(Table::Upstreams, Millis(9_950), at(5));
    orderer.buffer_rows(at(5), &rows(5..7), at(7), LISTED);
    assert_eq!(orderer.update_for(Millis(10_000), Some(at(1))).rows, []);
    let sent = orderer.update_for(Millis(10_000), Some(at(5))).rows;
    assert_eq!(sent.len(), 2);
}

/// Guards against lost rows when a host loses the lease and regains it without a new row in
/// between.
#[test]
fn rows_buffered_after_others_were_dropped_are_sent() {
    let orderer = orderer(Millis(9_900), 0, 3);
    orderer.clear_buffered_rows();
    orderer.buffer_rows(at(3), &rows(3..5), at(5), LISTED);
    let sent = orderer.update_for(Millis(10_000), Some(at(3))).rows;
    assert_eq!(sent.len(), 2);
}

/// Guards against a host that polls again at once, for ever: a poll which waited for seconds and
/// ends without rows was sent before the orderer's latest updates, so its own time alone must not
/// decide.
#[test]
fn end_of_a_poll_does_not_undo_a_later_confirmation() {
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(9_000), at(5));
    let update = orderer(Millis(9_900), 0, 5).update_for(Millis(10_000), host.next_position());
    host.apply_update(Millis(9_990), update);
    host.note_read(Table::Upstreams, Millis(9_000), at(5));
    let next = host.next(Millis(10_600), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::WaitUntil(Millis(9_890) + WITHIN_MS));
}

/// Guards against taking an equal offset of another timeline as a confirmation.
#[test]
fn end_of_another_era_confirms_no_copy_although_the_offset_is_equal() {
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(9_000), at(5));
    for (era, expected) in [(0, NextStep::Read), (2, NextStep::CatchUp)] {
        let end = TableEnd {
            end: Position::new(Era(era), 5),
            age_ms: Millis::ZERO,
        };
        let update = TablesUpdate {
            upstreams: Some(end),
            ..TablesUpdate::default()
        };
        assert!(!host.apply_update(Millis(10_000), update));
        let next = host.next(Millis(10_600), Table::Upstreams, WITHIN_MS);
        assert_eq!(next, expected, "an update of era {era}");
    }
}

/// Guards against rows of the restored list that are applied on top of the former one, and against
/// buffered rows of a former list.
#[test]
fn rows_are_passed_on_within_one_era_only() {
    let relay = orderer(Millis(9_000), 0, 8);
    let in_later_era = Position::new(Era(2), 3);
    assert_eq!(relay.update_for(Millis(9_500), Some(in_later_era)).rows, []);
    relay.note_read(Table::Upstreams, Millis(9_900), Position::new(Era(2), 4));
    relay.buffer_rows(in_later_era, &[], Position::new(Era(2), 4), LISTED);
    assert_eq!(relay.update_for(Millis(10_000), Some(at(2))).rows, []);
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(9_000), at(8));
    host.apply_update(Millis(9_990), relay.update_for(Millis(10_000), Some(at(8))));
    let next = host.next(Millis(10_010), Table::Upstreams, WITHIN_MS);
    assert_eq!(next, NextStep::CatchUp);
}

/// Guards against an orderer that reports the middle of a long list as its end.
#[test]
fn truncated_page_does_not_make_the_list_fresher() {
    let orderer = orderer(Millis(1_000), 0, 5);
    orderer.note_partial_read(Table::Upstreams, at(3_000));
    let end = orderer.end(Millis(4_000), Table::Upstreams);
    let expected = TableEnd {
        end: at(3_000),
        age_ms: Millis(3_000),
    };
    assert_eq!(end, Some(expected));
}

/// Guards against relays that buffer fewer rows than arrive between two messages while upstreams
/// write their first entries.
#[test]
fn relay_sends_all_rows_while_the_list_is_being_written() {
    let relay = ReplicationState::default();
    let host = ReplicationState::default();
    let (mut from, mut taken) = (0, 0);
    host.note_read(Table::Upstreams, Millis(0), at(0));
    for second in 1..=10 {
        let now = Millis(second * 1_000);
        let end = second * 700;
        relay.note_read(Table::Upstreams, now, at(end));
        relay.buffer_rows(at(from), &rows(from..end), at(end), from as usize);
        from = end;
        // The host calls its relay every two seconds only.
        if second % 2 == 0 {
            host.apply_update(now, relay.update_for(now, host.next_position()));
            let next = host.next(now, Table::Upstreams, WITHIN_MS);
            let NextStep::Apply(rows, end) = next else {
                panic!("rows expected: {next:?}");
            };
            taken += rows.len();
            host.note_applied(Table::Upstreams, end);
        }
    }
    assert_eq!(taken, 7_000);
}

/// Guards against relays that buffer fewer rows than arrive between two messages during a release.
#[test]
fn relay_sends_all_rows_of_a_release_in_a_large_site() {
    let listed = 10_000;
    let relay = ReplicationState::default();
    relay.note_read(Table::Upstreams, Millis(1_000), at(3_000));
    relay.buffer_rows(at(0), &rows(0..3_000), at(3_000), listed);
    let host = ReplicationState::default();
    host.note_read(Table::Upstreams, Millis(500), at(0));
    host.apply_update(
        Millis(1_010),
        relay.update_for(Millis(1_020), host.next_position()),
    );
    let next = host.next(Millis(1_030), Table::Upstreams, WITHIN_MS);
    assert!(matches!(next, NextStep::Apply(rows, end) if rows.len() == 3_000 && end == at(3_000)));
}

/// Returns a host that read up to row 8 and was told that the list ends before row 5.
fn host_ahead_of_its_orderer() -> ReplicationState {
    let host = orderer(Millis(9_950), 4, 8);
    let stated = orderer(Millis(9_900), 0, 5).update_for(Millis(10_000), host.next_position());
    host.apply_update(Millis(9_990), stated);
    host
}

/// Guards against hosts that all send their rows to an orderer which reads the same rows itself.
#[test]
fn rows_are_reported_once_the_orderer_has_not_read_the_list_for_some_time() {
    let host = host_ahead_of_its_orderer();
    assert_eq!(host.rows_for_parent(Millis(11_000), WITHIN_MS), []);
    let reported = host.rows_for_parent(Millis(11_500), WITHIN_MS);
    let positions: Vec<Position> = reported.iter().map(|row| row.position).collect();
    assert_eq!(positions, [at(5), at(6), at(7)]);
}

/// Guards against lost rows, rows that are applied again, and a copy that counts as fresh although
/// nobody knows when the report was sent.
#[test]
fn reported_rows_are_taken_once_where_they_continue_the_copy() {
    let host = host_ahead_of_its_orderer();
    let reported = || host.rows_for_parent(Millis(11_500), WITHIN_MS);
    let refused = orderer(Millis(9_900), 0, 5);
    refused.note_reported(reported());
    assert_eq!(refused.take_reported(), Some((rows(5..8), at(8))));
    assert_eq!(refused.take_reported(), None);
    let age_ms = |host: &ReplicationState| {
        let end = host.end(Millis(11_600), Table::Upstreams);
        end.map(|end| end.age_ms)
    };
    refused.note_partial_read(Table::Upstreams, at(8));
    assert_eq!(age_ms(&refused), Some(Millis(1_700)));
    refused.note_reported(reported());
    assert_eq!(refused.take_reported(), None);
    let behind = orderer(Millis(9_900), 0, 4);
    behind.note_reported(reported());
    assert_eq!(behind.take_reported(), None);
}
