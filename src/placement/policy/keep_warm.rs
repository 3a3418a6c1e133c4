//! The rules that decide how long an idle copy stays loaded, and which one is unloaded first when
//! memory is needed.

use crate::placement::policy::gap_histogram::GapHistogram;
use crate::prelude::*;

/// The rule by which idle copies are unloaded, as in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum KeepWarmRule {
    /// Unload a copy after a fixed time without a request.
    FixedTimeout {
        /// How long a copy must be idle.
        idle_ms: Millis,
    },
    /// Unload copies only when memory is needed, the least recently used first.
    #[serde(alias = "never")]
    LeastRecentlyUsed,
    /// Unload a copy when keeping it until its next request is expected to cost more than a cold
    /// start, judged by the gaps between the model's requests.
    Learned {
        /// The cost of one second of cold start, in seconds of a whole idle accelerator.
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

/// The properties of an idle copy by which the rules decide.
#[derive(Clone, Copy, Debug)]
pub struct IdleCopy<'a> {
    /// How long the copy has been idle.
    pub idle_ms: Millis,
    /// How long a cold start takes.
    pub cold_start_ms: Millis,
    /// The share of the engine's accelerator memory that the copy holds, from 0 to 1.
    pub accelerator_share: f64,
    /// The gaps between the model's requests so far.
    pub gaps: &'a GapHistogram,
}

impl KeepWarmRule {
    /// Returns whether an idle copy is to be unloaded although its memory is not needed.
    pub fn should_unload(&self, copy: &IdleCopy<'_>) -> bool {
        match self {
            Self::FixedTimeout { idle_ms } => copy.idle_ms >= *idle_ms,
            Self::LeastRecentlyUsed => false,
            Self::Learned { cold_second_price } => {
                let cold_cost = cold_second_price * seconds(copy.cold_start_ms);
                let accelerator_share = copy.accelerator_share.max(f64::EPSILON);
                !copy
                    .gaps
                    .is_worth_keeping(copy.idle_ms, cold_cost / accelerator_share)
            }
        }
    }

    /// Returns the value of keeping a copy; when memory is needed, the copy with the lowest value
    /// is unloaded first.
    ///
    /// Under [`KeepWarmRule::Learned`] the value is the duration of the cold start that is saved,
    /// divided by the accelerator time that the copy holds until its next expected request. Under
    /// the other rules it depends only on the time since the last request.
    pub fn retention_value(&self, copy: &IdleCopy<'_>) -> f64 {
        let idle_s = seconds(copy.idle_ms).max(0.001);
        match self {
            Self::FixedTimeout { .. } | Self::LeastRecentlyUsed => 1.0 / idle_s,
            Self::Learned { .. } => {
                let wait_s = copy.gaps.expected_wait_s(copy.idle_ms).unwrap_or(idle_s);
                let held_accelerator_s =
                    wait_s.max(0.001) * copy.accelerator_share.max(f64::EPSILON);
                seconds(copy.cold_start_ms) / held_accelerator_s
            }
        }
    }
}

fn seconds(duration_ms: Millis) -> f64 {
    duration_ms.0 as f64 / 1_000.0
}
