//! The generation of the group, which counts the changes of its list of hosts.

use crate::prelude::*;
use std::fmt;

/// A generation of the group. One of a later era of the store is newer than all generations of
/// earlier eras, since a restored store counts on from an older number. The default is older than
/// every generation of a list.
///
/// In messages it is a pair of numbers, the era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Generation {
    /// The era in which the store counted to the number.
    pub era: Era,
    /// The number that the store gave the generation.
    pub number: u64,
}

impl Generation {
    /// Creates the generation with a number in an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<(u64, u64)> for Generation {
    fn from((era, number): (u64, u64)) -> Self {
        Self::new(Era(era), number)
    }
}

impl From<Generation> for (u64, u64) {
    fn from(generation: Generation) -> Self {
        (generation.era.0, generation.number)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era.0, self.number)
    }
}
