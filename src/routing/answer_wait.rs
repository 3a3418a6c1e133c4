//! Decides when a stream whose answer has not begun is taken from its engine and sent to another.
//!
//! Handles engines that get more prompts than they read: a stream that moves to an equally
//! overloaded engine doubles the load, since the first engine may have read its prompt already.

use crate::prelude::*;

/// How long after its predicted first event an engine without a sign of life counts as dead. An
/// engine may pause for most of a second while it reads long prompts.
const SILENCE_MS: Millis = Millis(1_000);
/// How much sooner another engine must be expected to answer. A move repeats the whole prompt.
const MIN_GAIN_MS: Millis = Millis(300);
/// The most part of the time that is left at an engine that another one may take: half.
const GAIN_DIVISOR: u64 = 2;

/// A request that was sent to an engine and has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedAnswer {
    /// When the request was sent.
    pub sent_at: Millis,
    /// The time from then to the first event, as predicted when it was sent.
    pub predicted_ms: Millis,
    /// When the caller gives up.
    pub caller_leaves_at: Millis,
}

impl AwaitedAnswer {
    /// Tells whether the engine shows no sign of life. `heard_at` is when this host last got
    /// anything from it.
    pub fn is_silent(&self, now: Millis, heard_at: Option<Millis>) -> bool {
        let since = heard_at.map_or(self.sent_at, |at| at.max(self.sent_at));
        now.since(since) >= self.predicted_ms + SILENCE_MS
    }

    /// Tells whether another engine, at which the first event is predicted to come in `other_ms`,
    /// is clearly faster than waiting on.
    pub fn is_clearly_faster(&self, now: Millis, other_ms: Millis) -> bool {
        let left_ms = self.left_ms(now);
        let is_half = other_ms.0 <= left_ms.0 / GAIN_DIVISOR;
        is_half && other_ms + MIN_GAIN_MS <= left_ms && now + other_ms < self.caller_leaves_at
    }

    /// Returns how much longer the answer is expected to take. An answer that is overdue is
    /// expected to take as long again as it is overdue.
    fn left_ms(&self, now: Millis) -> Millis {
        Millis(self.predicted_ms.0.abs_diff(now.since(self.sent_at).0))
    }
}
