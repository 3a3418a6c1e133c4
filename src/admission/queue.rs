//! The waiting requests of each model or service, and the order in which they go.

use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::Urgency;
use std::collections::VecDeque;

/// Most requests waiting for one model or service at one host.
pub const MAX_WAITING: usize = 2_000;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// The brand whose row it counts against.
    pub brand: Name,
    /// The row's weight.
    pub weight: u32,
    /// Its urgency.
    pub urgency: Urgency,
    /// Since when it waits.
    pub since: Millis,
}

/// The queues by model or service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Queues {
    queues: IndexMap<Name, VecDeque<Waiting>>,
}

impl Queues {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Gives the request back when the queue is full.
    pub fn push(&mut self, target: &Name, waiting: Waiting) -> Result<(), Waiting> {
        let queue = self.queues.entry(target.clone()).or_default();
        if queue.len() >= MAX_WAITING {
            return Err(waiting);
        }
        queue.push_back(waiting);
        Ok(())
    }

    /// Takes the request that goes next: the most urgent, and of those the oldest.
    pub fn pop(&mut self, target: &str) -> Option<Waiting> {
        let queue = self.queues.get_mut(target)?;
        let best = (0..queue.len()).min_by_key(|index| (queue[*index].urgency, *index))?;
        queue.remove(best)
    }

    /// Removes a request that is given up.
    pub fn remove(&mut self, target: &str, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.retain(|waiting| waiting.request != request);
        }
    }

    /// Returns how many requests wait for a target.
    pub fn waiting(&self, target: &str) -> usize {
        self.queues.get(target).map_or(0, VecDeque::len)
    }

    /// Returns the highest urgency among the requests that wait for a target.
    pub fn most_urgent(&self, target: &str) -> Option<Urgency> {
        let queue = self.queues.get(target)?;
        queue.iter().map(|waiting| waiting.urgency).min()
    }

    /// Returns the targets that are waited for.
    pub fn targets(&self) -> Vec<Name> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Drops empty queues.
    pub fn tidy(&mut self) {
        self.queues.retain(|_, queue| !queue.is_empty());
    }
}
