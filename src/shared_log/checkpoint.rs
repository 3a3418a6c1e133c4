//! Checkpoints of the fold's state, and how a host without state finds one.
//!
//! A checkpoint is a run of parts on the log, all by one writer and as of one offset. The fold notes
//! which checkpoints are whole; a [`Scan`] puts the texts of one together.

use crate::prelude::*;
use crate::shared_log::codec::{DecodeError, decode};
use crate::shared_log::fold::Shared;
use crate::shared_log::record::{CheckpointPart, LoggedRecord};

/// The longest text of one part, so that the encoded record fits an append.
pub const MAX_PART_BYTES: usize = 128 << 10;
/// Most parts of one checkpoint.
pub const MAX_PARTS: usize = 4096;
/// Most checkpoints that may be incomplete at once.
pub const MAX_INCOMPLETE: usize = 4;
/// How many records a new host reads at most after the newest checkpoint.
pub const MAX_TAIL_RECORDS: u64 = 10_000;
/// How old the newest checkpoint may get by the log's clock.
pub const MAX_CHECKPOINT_AGE_MS: Millis = Millis(600_000);
/// How many records make another checkpoint worthwhile.
pub const MIN_TAIL_RECORDS: u64 = 64;

/// A checkpoint whose parts are all on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeCheckpoint {
    /// The next offset after the last record in its state.
    pub as_of: Offset,
    /// When its last part was appended, by the log's clock.
    pub written_ms: Millis,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Progress {
    as_of: Offset,
    parts: u32,
    next_part: u32,
}

impl Progress {
    fn start(part: &CheckpointPart) -> Self {
        Self {
            as_of: part.as_of,
            parts: part.parts,
            next_part: 0,
        }
    }

    fn takes(&self, part: &CheckpointPart) -> bool {
        let same = self.as_of == part.as_of && self.parts == part.parts;
        same && self.next_part == part.part
    }

    fn is_whole(&self) -> bool {
        self.next_part == self.parts
    }
}

/// The fold's part: which checkpoints are on the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoints {
    newest: Option<WholeCheckpoint>,
    incomplete: IndexMap<Incarnation, Progress>,
}

impl Checkpoints {
    /// Returns the newest whole checkpoint.
    pub fn newest(&self) -> Option<WholeCheckpoint> {
        self.newest
    }

    /// Takes the next part of a writer's checkpoint.
    ///
    /// # Errors
    ///
    /// Rejects a part that does not follow the writer's last one.
    pub fn take(
        &mut self,
        now: Millis,
        writer: Incarnation,
        part: &CheckpointPart,
    ) -> Result<(), Rejection> {
        if part.part == 0 {
            begin(&mut self.incomplete, writer, Progress::start(part));
        }
        let progress = self.incomplete.get_mut(&writer);
        let progress = progress.ok_or(Rejection::PartOutOfOrder)?;
        if !progress.takes(part) {
            return Err(Rejection::PartOutOfOrder);
        }
        progress.next_part += 1;
        if progress.is_whole() {
            self.incomplete.shift_remove(&writer);
            self.note_whole(part.as_of, now);
        }
        Ok(())
    }

    fn note_whole(&mut self, as_of: Offset, written_ms: Millis) {
        if self.newest.is_none_or(|newest| newest.as_of < as_of) {
            self.newest = Some(WholeCheckpoint { as_of, written_ms });
        }
    }

    /// Tells whether another checkpoint is due, `oldest` being the oldest record that the log keeps.
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
        let kept = next_offset.0.saturating_sub(oldest.0);
        let in_older_half = oldest > Offset(0) && tail > kept / 2;
        tail >= MAX_TAIL_RECORDS
            || log_ms.since(written_ms) >= MAX_CHECKPOINT_AGE_MS
            || in_older_half
    }
}

fn begin<T>(incomplete: &mut IndexMap<Incarnation, T>, writer: Incarnation, progress: T) {
    incomplete.shift_remove(&writer);
    if incomplete.len() >= MAX_INCOMPLETE {
        incomplete.shift_remove_index(0);
    }
    incomplete.insert(writer, progress);
}

/// Writes a state as the parts of a checkpoint.
///
/// # Errors
///
/// Returns the encoder's error. A state that takes more than [`MAX_PARTS`] gives no parts.
pub fn parts_of(shared: &Shared) -> Result<Vec<CheckpointPart>, serde_json::Error> {
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

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Collected {
    progress: Progress,
    text: String,
}

/// A search for a whole checkpoint, by a host whose next record is no longer kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Scan {
    from: Offset,
    next: Offset,
    collected: IndexMap<Incarnation, Collected>,
}

/// What a record means to a [`Scan`].
#[derive(Clone, Debug)]
pub enum ScanStep {
    /// The search goes on.
    More,
    /// A checkpoint is whole, and all records after its state are kept.
    Whole(Box<Shared>),
    /// A newer release wrote the record, so the state after it is out of reach.
    Newer {
        /// The record's format.
        format: u32,
    },
}

impl Scan {
    /// Begins at the oldest record that the log keeps.
    pub fn new(oldest: Offset) -> Self {
        Self {
            from: oldest,
            next: oldest,
            collected: IndexMap::new(),
        }
    }

    /// Returns where the search began.
    pub fn from(&self) -> Offset {
        self.from
    }

    /// Returns the next offset to read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes the next record. After a gap the search begins anew.
    pub fn take(&mut self, logged: &LoggedRecord) -> ScanStep {
        if logged.offset < self.next {
            return ScanStep::More;
        }
        if logged.offset > self.next {
            *self = Self::new(logged.offset);
        }
        self.next = logged.offset.next();
        match decode(&logged.payload) {
            Ok(record) => self.take_record(record),
            Err(DecodeError::Newer { format }) => ScanStep::Newer { format },
            Err(DecodeError::Garbage { .. }) => ScanStep::More,
        }
    }

    fn take_record(&mut self, record: Record) -> ScanStep {
        let RecordBody::Checkpoint { part } = record.body else {
            return ScanStep::More;
        };
        let usable = part.as_of >= self.from && part.parts as usize <= MAX_PARTS;
        if !usable {
            return ScanStep::More;
        }
        self.take_part(record.id.host, &part)
            .map_or(ScanStep::More, |shared| ScanStep::Whole(Box::new(shared)))
    }

    fn take_part(&mut self, writer: Incarnation, part: &CheckpointPart) -> Option<Shared> {
        let known = self.collected.get(&writer);
        let repeated = known.is_some_and(|known| known.progress.as_of == part.as_of);
        if part.part == 0 && !repeated {
            let progress = Progress::start(part);
            let text = String::new();
            begin(&mut self.collected, writer, Collected { progress, text });
        }
        let collected = self.collected.get_mut(&writer)?;
        if !collected.progress.takes(part) {
            return None;
        }
        collected.progress.next_part += 1;
        collected.text.push_str(&part.text);
        if !collected.progress.is_whole() {
            return None;
        }
        let text = self.collected.shift_remove(&writer)?.text;
        let shared: Shared = serde_json::from_str(&text).ok()?;
        (shared.next_offset == part.as_of).then_some(shared)
    }
}
