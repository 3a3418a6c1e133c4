//! The slots of the batch and the bounded queue before them.

use std::sync::Arc;

use crate::engine::Engine;
use crate::error::Refusal;

/// A request in the queue; a lower priority value goes first, then the earlier arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Waiting {
    priority: i64,
    arrival: u64,
}

/// Which requests are batched and which wait.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    queue_limit: usize,
    running: u32,
    waiting: Vec<Waiting>,
    next_arrival: u64,
}

impl Batch {
    /// Builds an empty batch.
    pub fn new(slots: u32, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            running: 0,
            waiting: Vec::new(),
            next_arrival: 0,
        }
    }

    /// Returns how many requests are batched.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn enter(&mut self, priority: i64) -> Result<Waiting, Refusal> {
        let free = self.slots.saturating_sub(self.running) as usize;
        if self.waiting.len() >= self.queue_limit + free {
            return Err(Refusal::Busy);
        }
        let waiting = Waiting {
            priority,
            arrival: self.next_arrival,
        };
        self.next_arrival += 1;
        self.waiting.push(waiting);
        Ok(waiting)
    }

    fn start(&mut self, candidate: Waiting) -> bool {
        let is_next = self.waiting.iter().min() == Some(&candidate);
        if !is_next || self.running >= self.slots {
            return false;
        }
        self.leave_queue(candidate);
        self.running += 1;
        true
    }

    fn leave_queue(&mut self, candidate: Waiting) {
        self.waiting.retain(|waiting| *waiting != candidate);
    }
}

/// The place of one request in the queue or the batch, given up when dropped.
pub struct BatchPlace {
    engine: Arc<Engine>,
    waiting: Waiting,
    running: bool,
}

impl BatchPlace {
    /// Enters the queue.
    ///
    /// # Errors
    ///
    /// Refuses when the queue is full.
    pub fn enter(engine: &Arc<Engine>, priority: i64) -> Result<Self, Refusal> {
        let waiting = engine.batch().enter(priority)?;
        Ok(Self {
            engine: Arc::clone(engine),
            waiting,
            running: false,
        })
    }

    /// Waits for a slot.
    pub async fn wait_for_slot(&mut self) {
        while !self.running {
            let changed = self.engine.changed.waiter();
            self.running = self.engine.batch().start(self.waiting);
            if !self.running {
                changed.wait().await;
            }
        }
        // The next in the queue may fit as well.
        self.engine.changed.notify_all();
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        let mut batch = self.engine.batch();
        match self.running {
            true => batch.running -= 1,
            false => batch.leave_queue(self.waiting),
        }
        drop(batch);
        self.engine.changed.notify_all();
    }
}
