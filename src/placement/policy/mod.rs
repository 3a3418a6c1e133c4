//! Placement policy: where to load, when to refuse, what to keep warm.

pub mod choice;
pub mod keep_warm;
