//! Placement policy: on which engine to load a model, how long that takes, and how long idle copies
//! stay loaded.

pub mod choice;
pub mod demand;
pub mod gap_histogram;
pub mod keep_warm;

#[cfg(test)]
mod tests;
