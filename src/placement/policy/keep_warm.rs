//! How long an idle copy stays loaded.

use crate::placement::policy::gaps::Gaps;
use crate::prelude::*;

/// The rule by which idle copies are unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum KeepWarmRule {
    /// After a fixed time without a request.
    FixedTimeout {
        /// That time.
        idle_ms: Millis,
    },
    /// Only when the memory is needed, and then the copy whose last request is the longest ago.
    #[serde(alias = "never")]
    LeastRecentlyUsed,
    /// When the expected idle time until the next request costs more than a cold start.
    Learned {
        /// The price of a second of cold start, in seconds of a whole accelerator.
        cold_second_price: f64,
    },
}

impl Default for KeepWarmRule {
    fn default() -> Self {
        Self::FixedTimeout {
            idle_ms: Millis(300_000),
        }
    }
}

/// What the rules need to know of a copy.
#[derive(Clone, Copy, Debug)]
pub struct IdleCopy<'a> {
    /// How long it has been idle.
    pub idle_ms: Millis,
    /// How long a cold start takes.
    pub cold_start_ms: Millis,
    /// The part of an accelerator that it holds, from 0 to 1.
    pub accelerator_share: f64,
    /// The gaps between the model's requests.
    pub gaps: &'a Gaps,
}

impl KeepWarmRule {
    /// Tells whether an idle copy is to be unloaded though nobody needs the memory.
    pub fn is_due(&self, copy: &IdleCopy<'_>) -> bool {
        match self {
            Self::FixedTimeout { idle_ms } => copy.idle_ms >= *idle_ms,
            Self::LeastRecentlyUsed => false,
            Self::Learned { cold_second_price } => {
                let cold_cost = cold_second_price * seconds(copy.cold_start_ms);
                let idle_price = copy.accelerator_share.max(f64::EPSILON);
                !copy
                    .gaps
                    .is_worth_waiting(copy.idle_ms, cold_cost / idle_price)
            }
        }
    }

    /// Returns what a copy is worth when memory is needed; the least valuable goes first.
    ///
    /// Under the learned rule that is the cold start saved for each second and share of an accelerator
    /// until the next request; under the others only the last request counts.
    pub fn value(&self, copy: &IdleCopy<'_>) -> f64 {
        let idle_s = seconds(copy.idle_ms).max(0.001);
        match self {
            Self::FixedTimeout { .. } | Self::LeastRecentlyUsed => 1.0 / idle_s,
            Self::Learned { .. } => {
                let wait_s = copy.gaps.expected_wait_s(copy.idle_ms).unwrap_or(idle_s);
                let held = wait_s.max(0.001) * copy.accelerator_share.max(f64::EPSILON);
                seconds(copy.cold_start_ms) / held
            }
        }
    }
}

fn seconds(span_ms: Millis) -> f64 {
    span_ms.0 as f64 / 1_000.0
}
