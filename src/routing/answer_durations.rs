//! How long the answers of each route take, learned from the last ones.

use crate::desired::Repeat;
use crate::prelude::*;
use std::collections::VecDeque;

/// Most answers of a route that are remembered.
const MAX_ANSWERS: usize = 32;
/// Most routes that are remembered; beyond that, the one that was added first is forgotten.
const MAX_ROUTES: usize = 1_024;

/// The durations of the last answers, by the name of their route.
#[derive(Clone, Debug, Default)]
pub struct AnswerDurations {
    routes: IndexMap<Name, VecDeque<Millis>>,
}

impl AnswerDurations {
    /// Records how long a request of a route took, from its arrival to the end of its answer.
    pub fn note(&mut self, route: &Name, took_ms: Millis) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.shift_remove_index(0);
            }
            self.routes.insert(route.clone(), VecDeque::new());
        }
        if let Some(answers) = self.routes.get_mut(route) {
            if answers.len() >= MAX_ANSWERS {
                answers.pop_front();
            }
            answers.push_back(took_ms);
        }
    }

    /// Returns how long a request of a route is expected to take; none without an answer to learn from. For
    /// a request that may not be repeated it is the time of the slowest answer, for others the median.
    pub fn expected_ms(&self, route: &str, repeat: Repeat) -> Option<Millis> {
        let answers = self.routes.get(route)?;
        let mut sorted: Vec<Millis> = answers.iter().copied().collect();
        sorted.sort_unstable();
        match repeat {
            Repeat::Once => sorted.last().copied(),
            Repeat::Idempotent | Repeat::Resumable => sorted.get(sorted.len() / 2).copied(),
        }
    }
}
