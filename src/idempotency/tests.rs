//! Tests of the claims derived from the log, of the bounds of finished operations, and of whole
//! operations at several hosts under faults.

mod fold;
pub mod operations;
