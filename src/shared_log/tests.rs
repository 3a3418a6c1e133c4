//! Tests of the driver, of the fold and of checkpoints.

mod checkpoints;
pub(crate) mod fake_log;
mod fold;
mod lost_answers;
