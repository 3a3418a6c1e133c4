//! Tests of claims: the fold's part, the bounds, and whole operations under faults.

mod fold;
pub mod operations;
