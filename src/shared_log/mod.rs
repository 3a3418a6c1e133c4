//! The platform's log as the one place of agreement: records, the fold, and the driver that reads and
//! appends.

pub mod checkpoint;
pub mod codec;
pub mod driver;
pub mod fold;
pub mod record;
pub mod verdict;

#[cfg(test)]
pub(crate) mod tests;
