//! Tests of the log's driver and of the fold.

mod checkpoints;
mod fake_log;
mod fold;
mod lost_answers;
