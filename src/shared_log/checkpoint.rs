//! Checkpoints of the shared state, and the search for one by a host that cannot apply the log from
//! the record that it needs next, because that record was trimmed.
//!
//! A checkpoint is a sequence of parts on the log, all by one writer and of the state at one
//! offset. The shared state records which checkpoints are complete, but not their text. A
//! [`CheckpointScan`] reads the log and joins the text of the parts.

use crate::prelude::*;
use crate::shared_log::codec::{DecodeError, decode};
use crate::shared_log::fold::SharedState;
use crate::shared_log::record::{CheckpointPart, LoggedRecord};

/// Longest text of one part, so that the encoded record fits into one append.
pub const MAX_PART_BYTES: usize = 128 << 10;
/// Most parts of one checkpoint.
pub const MAX_PARTS: usize = 4096;
/// Most incomplete checkpoints that are tracked at once; the oldest is dropped to make room.
pub const MAX_INCOMPLETE: usize = 4;
/// Number of records after the newest checkpoint at which another one is due. It bounds how many
/// records a new host has to apply.
pub const MAX_TAIL_RECORDS: u64 = 10_000;
/// Age of the newest checkpoint, by the log's clock, at which another one is due.
pub const MAX_CHECKPOINT_AGE_MS: Millis = Millis(600_000);
/// Fewest records after the newest checkpoint for another one, unless some of them were trimmed.
pub const MIN_TAIL_RECORDS: u64 = 64;

/// A checkpoint of which all parts were appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteCheckpoint {
    /// The offset of the first record that is not in the checkpoint's state.
    pub as_of: Offset,
    /// The time at which its last part was appended, by the log's clock.
    pub written_ms: Millis,
}

/// The parts of one writer's checkpoint that were read so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PartProgress {
    as_of: Offset,
    parts: u32,
    next_part: u32,
}

impl PartProgress {
    fn start(part: &CheckpointPart) -> Self {
        Self {
            as_of: part.as_of,
            parts: part.parts,
            next_part: 0,
        }
    }

    fn accepts(&self, part: &CheckpointPart) -> bool {
        let same = self.as_of == part.as_of && self.parts == part.parts;
        same && self.next_part == part.part
    }

    fn is_complete(&self) -> bool {
        self.next_part == self.parts
    }
}

/// The part of the shared state that tracks the checkpoints on the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoints {
    newest: Option<CompleteCheckpoint>,
    incomplete: IndexMap<Incarnation, PartProgress>,
}

impl Checkpoints {
    /// Returns the complete checkpoint with the highest offset.
    pub fn newest(&self) -> Option<CompleteCheckpoint> {
        self.newest
    }

    /// Records one part of a writer's checkpoint. Part 0 replaces an incomplete checkpoint of the
    /// same writer. `now` is the log's clock.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::PartOutOfOrder`] if the part does not follow the writer's last one.
    pub fn add_part(
        &mut self,
        now: Millis,
        writer: Incarnation,
        part: &CheckpointPart,
    ) -> Result<(), Rejection> {
        if part.part == 0 {
            start_checkpoint(&mut self.incomplete, writer, PartProgress::start(part));
        }
        let progress = self.incomplete.get_mut(&writer);
        let progress = progress.ok_or(Rejection::PartOutOfOrder)?;
        if !progress.accepts(part) {
            return Err(Rejection::PartOutOfOrder);
        }
        progress.next_part += 1;
        if progress.is_complete() {
            self.incomplete.shift_remove(&writer);
            self.note_complete(part.as_of, now);
        }
        Ok(())
    }

    fn note_complete(&mut self, as_of: Offset, written_ms: Millis) {
        if self.newest.is_none_or(|newest| newest.as_of < as_of) {
            self.newest = Some(CompleteCheckpoint { as_of, written_ms });
        }
    }

    /// Returns whether another checkpoint is due. `oldest` is the offset of the oldest record that
    /// the log retains.
    ///
    /// One is due when records after the state of the newest checkpoint were trimmed. Otherwise at
    /// least [`MIN_TAIL_RECORDS`] records must follow that state, and one of these must hold: there
    /// are [`MAX_TAIL_RECORDS`] of them, the checkpoint is [`MAX_CHECKPOINT_AGE_MS`] old, or the
    /// log was trimmed before and the state lies in the older half of what it retains.
    pub fn is_due(&self, log_ms: Millis, next_offset: Offset, oldest: Offset) -> bool {
        let as_of = self.newest.map_or(Offset(0), |newest| newest.as_of);
        if as_of < oldest {
            return true;
        }
        let tail = next_offset.0.saturating_sub(as_of.0);
        if tail < MIN_TAIL_RECORDS {
            return false;
        }
        let written_ms = self.newest.map_or(log_ms, |newest| newest.written_ms);
        let retained = next_offset.0.saturating_sub(oldest.0);
        let in_older_half = oldest > Offset(0) && tail > retained / 2;
        tail >= MAX_TAIL_RECORDS
            || log_ms.since(written_ms) >= MAX_CHECKPOINT_AGE_MS
            || in_older_half
    }
}

fn start_checkpoint<T>(
    incomplete: &mut IndexMap<Incarnation, T>,
    writer: Incarnation,
    progress: T,
) {
    incomplete.shift_remove(&writer);
    if incomplete.len() >= MAX_INCOMPLETE {
        incomplete.shift_remove_index(0);
    }
    incomplete.insert(writer, progress);
}

/// Serialises a state and splits it into the parts of a checkpoint. Returns no parts if the state
/// needs more than [`MAX_PARTS`].
///
/// # Errors
///
/// Returns the error of the JSON serialiser.
pub fn split_into_parts(shared: &SharedState) -> Result<Vec<CheckpointPart>, serde_json::Error> {
    let text = serde_json::to_string(shared)?;
    let texts = split(&text);
    if texts.len() > MAX_PARTS {
        return Ok(Vec::new());
    }
    let parts = texts.len() as u32;
    let part = |(part, text): (u32, &str)| CheckpointPart {
        as_of: shared.next_offset,
        part,
        parts,
        text: text.to_string(),
    };
    Ok((0..).zip(texts).map(part).collect())
}

fn split(mut text: &str) -> Vec<&str> {
    let mut texts = Vec::new();
    while text.len() > MAX_PART_BYTES {
        let (head, rest) = text.split_at(text.floor_char_boundary(MAX_PART_BYTES));
        texts.push(head);
        text = rest;
    }
    texts.push(text);
    texts
}

/// The parts of one writer's checkpoint that a scan has read so far, and their joined text.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PartialCheckpoint {
    progress: PartProgress,
    text: String,
}

/// The search for a complete checkpoint, for a host whose next record was trimmed from the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CheckpointScan {
    from: Offset,
    next: Offset,
    collected: IndexMap<Incarnation, PartialCheckpoint>,
}

/// What the next record did to a [`CheckpointScan`].
#[derive(Clone, Debug)]
pub enum ScanOutcome {
    /// No checkpoint is complete yet; the search continues.
    Continue,
    /// A checkpoint is complete, and the log retains all records after its state.
    Complete(Box<SharedState>),
    /// The record has a newer format, so this release cannot compute the state after it.
    Newer {
        /// The format of the record.
        format: u32,
    },
}

impl CheckpointScan {
    /// Creates a search that starts at the oldest record that the log retains.
    pub fn new(oldest: Offset) -> Self {
        Self {
            from: oldest,
            next: oldest,
            collected: IndexMap::new(),
        }
    }

    /// Returns the offset at which the search started. Checkpoints of an older state are not used,
    /// because records after that state may have been trimmed.
    pub fn from(&self) -> Offset {
        self.from
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Processes the next record. A record after a gap restarts the search at its own offset; one
    /// that was processed before is ignored.
    pub fn read_record(&mut self, logged: &LoggedRecord) -> ScanOutcome {
        if logged.offset < self.next {
            return ScanOutcome::Continue;
        }
        if logged.offset > self.next {
            *self = Self::new(logged.offset);
        }
        self.next = logged.offset.next();
        match decode(&logged.payload) {
            Ok(record) => self.process_record(record),
            Err(DecodeError::Newer { format }) => ScanOutcome::Newer { format },
            Err(DecodeError::Undecodable { .. }) => ScanOutcome::Continue,
        }
    }

    fn process_record(&mut self, record: Record) -> ScanOutcome {
        let RecordBody::Checkpoint { part } = record.body else {
            return ScanOutcome::Continue;
        };
        let usable = part.as_of >= self.from && part.parts as usize <= MAX_PARTS;
        if !usable {
            return ScanOutcome::Continue;
        }
        self.add_part(record.id.host, &part)
            .map_or(ScanOutcome::Continue, |shared| {
                ScanOutcome::Complete(Box::new(shared))
            })
    }

    fn add_part(&mut self, writer: Incarnation, part: &CheckpointPart) -> Option<SharedState> {
        let known = self.collected.get(&writer);
        let repeated = known.is_some_and(|known| known.progress.as_of == part.as_of);
        if part.part == 0 && !repeated {
            let progress = PartProgress::start(part);
            let text = String::new();
            start_checkpoint(
                &mut self.collected,
                writer,
                PartialCheckpoint { progress, text },
            );
        }
        let collected = self.collected.get_mut(&writer)?;
        if !collected.progress.accepts(part) {
            return None;
        }
        collected.progress.next_part += 1;
        collected.text.push_str(&part.text);
        if !collected.progress.is_complete() {
            return None;
        }
        let text = self.collected.shift_remove(&writer)?.text;
        let shared: SharedState = serde_json::from_str(&text).ok()?;
        (shared.next_offset == part.as_of).then_some(shared)
    }
}
