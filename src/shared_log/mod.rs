//! The shared log: the platform's ordered log, from which all hosts derive the same state.
//!
//! It has the records and their encoding, the function that applies them to the state, checkpoints
//! of that state, and the driver of reads and appends.

pub mod checkpoint;
pub mod codec;
pub mod driver;
pub mod fold;
pub mod record;
pub mod verdict;

#[cfg(test)]
pub(crate) mod tests;
