//! Decides how a request was served, by the goals of its route, for counters and log lines.

use crate::desired::Route;
use crate::prelude::*;

/// How a request was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Served {
    /// The answer met the goals of the route.
    InTime,
    /// The answer, or its first event, came after the goal.
    LateFirst,
    /// The first event was in time, but a gap between two events was too long.
    LateGap,
    /// The request was refused.
    Refused,
    /// The request failed, or its answer broke off.
    Failed,
    /// The caller left before the end.
    Left,
}

/// The goals of a route.
#[derive(Clone, Copy, Debug)]
pub struct Goals {
    /// The longest time to the answer or, for a stream, to its first event.
    pub first_byte_ms: Millis,
    /// The longest time between two events of a stream.
    pub gap_ms: Option<Millis>,
}

impl Goals {
    /// Returns the goals of a route.
    pub fn of(route: &Route) -> Self {
        Self {
            first_byte_ms: route.goal_ms,
            gap_ms: route.event_gap_ms,
        }
    }

    /// Returns whether a whole answer met the goals, by the time to its first byte and its longest
    /// gap.
    fn of_answer(self, first_byte_ms: Millis, longest_gap_ms: Millis) -> Served {
        let is_gap_late = self.gap_ms.is_some_and(|gap_ms| longest_gap_ms > gap_ms);
        match (first_byte_ms > self.first_byte_ms, is_gap_late) {
            (true, _) => Served::LateFirst,
            (false, true) => Served::LateGap,
            (false, false) => Served::InTime,
        }
    }

    /// Returns how a request was served that ended with this outcome, as the log line names it, and
    /// this status.
    pub fn served(
        self,
        outcome: &str,
        status: u16,
        first_byte_ms: Option<Millis>,
        longest_gap_ms: Millis,
    ) -> Served {
        match (outcome, first_byte_ms) {
            ("answered", Some(first_byte_ms)) if status < 500 => {
                self.of_answer(first_byte_ms, longest_gap_ms)
            }
            ("refused", _) => Served::Refused,
            ("caller_gone", _) => Served::Left,
            _ => Served::Failed,
        }
    }
}

impl Served {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::LateFirst => "late_first",
            Self::LateGap => "late_gap",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Left => "left",
        }
    }

    /// Returns whether the answer was in time; none if there is no whole answer.
    pub fn in_time(self) -> Option<bool> {
        match self {
            Self::InTime => Some(true),
            Self::LateFirst | Self::LateGap => Some(false),
            Self::Refused | Self::Failed | Self::Left => None,
        }
    }
}
