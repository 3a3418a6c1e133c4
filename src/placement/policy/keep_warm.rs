//! How long an idle copy stays loaded.

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
    /// Never, unless the memory is needed.
    Never,
}

impl Default for KeepWarmRule {
    fn default() -> Self {
        Self::FixedTimeout {
            idle_ms: Millis(300_000),
        }
    }
}

impl KeepWarmRule {
    /// Tells whether a copy that has been idle this long is to be unloaded.
    pub fn is_due(&self, idle_ms: Millis) -> bool {
        match self {
            Self::FixedTimeout { idle_ms: limit } => idle_ms >= *limit,
            Self::Never => false,
        }
    }
}
