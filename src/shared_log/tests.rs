//! Tests of the log's driver and of the fold.

mod checkpoints;
pub(crate) mod fake_log;
mod fold;
mod lost_answers;
