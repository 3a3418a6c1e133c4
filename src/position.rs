//! Positions in what the platform's store keeps, across restorations of the store.
//!
//! A store that is restored from an older copy gives out again the offsets and numbers that it had
//! given to records which are now lost. A number therefore stands for a record only together with
//! the era in which it was given out.

use crate::shared_log::record::Offset;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How often the store was restored from a copy, as its answers state it; zero for a store that
/// does not state it. Grows with each restoration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// An offset in a log of the store, with the era in which it was given out. A position of a later
/// era is newer than all positions of earlier ones.
///
/// In messages it is a pair of numbers, the era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Position {
    /// The era in which the offset was given out.
    pub era: Era,
    /// The offset in the log.
    pub offset: Offset,
}

impl Position {
    /// The bits of a fencing token that hold the offset. The token is also exact as a JSON number,
    /// which has 53 bits, for two million eras.
    const FENCE_OFFSET_BITS: u32 = 32;

    /// Creates the position of an offset in an era.
    pub fn new(era: Era, offset: u64) -> Self {
        Self {
            era,
            offset: Offset(offset),
        }
    }

    /// Returns the position after this one in the same era.
    pub fn next(self) -> Self {
        self.plus(1)
    }

    /// Returns the position `records` after this one in the same era.
    pub fn plus(self, records: u64) -> Self {
        Self::new(self.era, self.offset.0 + records)
    }

    /// Returns the fencing token of the record at this position. It is higher than those of all
    /// earlier records of the log, also of records that a restoration of the store lost.
    pub fn fencing_token(self) -> u64 {
        (self.era.0 << Self::FENCE_OFFSET_BITS) + self.offset.0 + 1
    }
}

impl From<(u64, u64)> for Position {
    fn from((era, offset): (u64, u64)) -> Self {
        Self::new(Era(era), offset)
    }
}

impl From<Position> for (u64, u64) {
    fn from(position: Position) -> Self {
        (position.era.0, position.offset.0)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.era.0, self.offset.0)
    }
}
