//! Queues of requests that wait for a model or service, and the order in which they are served.
//!
//! The most urgent class is served first. Waiting moves a request up one class at a time, so that
//! no class starves. Within a class, brands share by weight through start-time fair queueing: the
//! virtual start time of a request is the virtual finish time of its brand's previous request, or
//! the present virtual time of the queue if that is later.

use crate::admission::pace::Pace;
use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::Urgency;

/// Maximum number of requests that wait for one model or service on one host.
pub const MAX_WAITING: usize = 2_000;
/// Maximum number of requests of one brand in one queue.
pub const MAX_WAITING_OF_BRAND: usize = 500;
/// How long a request waits before it counts as one class more urgent.
pub const AGEING_MS: Millis = Millis(10_000);

/// Virtual time that one request of a brand with weight 1 takes.
const REQUEST_COST: u64 = 1 << 20;

/// A request in a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Brand whose table row the request counts against.
    pub brand: Name,
    /// Weight of that row.
    pub weight: u32,
    /// Urgency class of the request.
    pub urgency: Urgency,
    /// When the request was queued.
    pub since: Millis,
    /// When the request must be answered.
    pub deadline_at: Millis,
    /// Whether the request was taken from the queue before and returned to it. It then is not
    /// charged to its brand again.
    pub came_back: bool,
}

/// A queued request that cannot be served before its deadline at the present rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PredictedTimeout {
    /// Id of the request.
    pub request: RequestId,
    /// Predicted wait.
    pub wait_ms: Millis,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    waiting: QueuedRequest,
    start: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Queue {
    entries: Vec<Entry>,
    /// Virtual time of the queue: the largest virtual start time of a request that was served.
    now_at: u64,
    /// Virtual finish time of the last queued request of each brand.
    finish: IndexMap<Name, u64>,
    pace: Pace,
}

/// All queues, by model or service (the target).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Queues {
    queues: IndexMap<Name, Queue>,
}

/// Sort key of a queued request: class, virtual start time, time of queueing. The lowest is served
/// first.
type Rank = (u64, u64, Millis);

impl Entry {
    fn rank(&self, now: Millis) -> Rank {
        let class = match self.waiting.urgency {
            Urgency::Critical => 0,
            Urgency::Normal => 1,
            Urgency::Batch => 2u64,
        };
        let aged = now.since(self.waiting.since).0 / AGEING_MS.0;
        (class.saturating_sub(aged), self.start, self.waiting.since)
    }
}

impl Queue {
    fn push(&mut self, waiting: QueuedRequest) -> Result<(), QueuedRequest> {
        let same_brand = |entry: &&Entry| entry.waiting.brand == waiting.brand;
        let of_brand = self.entries.iter().filter(same_brand).count();
        if self.entries.len() >= MAX_WAITING || of_brand >= MAX_WAITING_OF_BRAND {
            return Err(waiting);
        }
        let start = self.start_of(&waiting);
        self.entries.push(Entry { waiting, start });
        Ok(())
    }

    fn start_of(&mut self, waiting: &QueuedRequest) -> u64 {
        if waiting.came_back {
            return self.now_at;
        }
        let finish = self.finish.entry(waiting.brand.clone()).or_default();
        let start = self.now_at.max(*finish);
        *finish = start + REQUEST_COST / u64::from(waiting.weight.max(1));
        start
    }

    fn pop(&mut self, now: Millis) -> Option<QueuedRequest> {
        let best = (0..self.entries.len()).min_by_key(|index| self.entries[*index].rank(now))?;
        let entry = self.entries.swap_remove(best);
        self.now_at = self.now_at.max(entry.start);
        self.finish.retain(|_, finish| *finish > self.now_at);
        self.pace.note_start(now);
        if self.entries.is_empty() {
            self.pace.reset();
        }
        Some(entry.waiting)
    }

    fn predicted_timeouts(&self, now: Millis) -> Vec<PredictedTimeout> {
        let Some(interval_ms) = self.pace.interval_ms(now) else {
            return Vec::new();
        };
        let mut order: Vec<&Entry> = self.entries.iter().collect();
        order.sort_by_key(|entry| entry.rank(now));
        order
            .iter()
            .zip(1u64..)
            .map(|(entry, position)| (entry, Millis(interval_ms.0 * position)))
            .filter(|(entry, wait_ms)| now + *wait_ms > entry.waiting.deadline_at)
            .map(|(entry, wait_ms)| PredictedTimeout {
                request: entry.waiting.request,
                wait_ms,
            })
            .collect()
    }
}

impl Queues {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request when the queue is full, or when its brand has its maximum number of
    /// requests in it.
    pub fn push(&mut self, target: &Name, waiting: QueuedRequest) -> Result<(), QueuedRequest> {
        self.queues.entry(target.clone()).or_default().push(waiting)
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self, now: Millis, target: &str) -> Option<QueuedRequest> {
        self.queues.get_mut(target)?.pop(now)
    }

    /// Removes a request that is no longer wanted.
    pub fn remove(&mut self, target: &str, request: RequestId) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue
                .entries
                .retain(|entry| entry.waiting.request != request);
        }
    }

    /// Returns the requests that cannot be served before their deadlines at the present rate.
    pub fn predicted_timeouts(&self, now: Millis) -> Vec<PredictedTimeout> {
        self.queues
            .values()
            .flat_map(|queue| queue.predicted_timeouts(now))
            .collect()
    }

    /// Returns the number of requests that wait for a target.
    pub fn waiting(&self, target: &str) -> usize {
        self.queues
            .get(target)
            .map_or(0, |queue| queue.entries.len())
    }

    /// Returns the highest urgency among the requests that wait for a target.
    pub fn most_urgent(&self, target: &str) -> Option<Urgency> {
        let queue = self.queues.get(target)?;
        queue
            .entries
            .iter()
            .map(|entry| entry.waiting.urgency)
            .min()
    }

    /// Returns the targets that have waiting requests.
    pub fn targets(&self) -> Vec<Name> {
        self.queues
            .iter()
            .filter(|(_, queue)| !queue.entries.is_empty())
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Removes empty queues.
    pub fn remove_empty(&mut self) {
        self.queues.retain(|_, queue| !queue.entries.is_empty());
    }
}
