//! Items that wait to be sent to other hosts, in batches: one message at a time is under way to each
//! host, so that messages to it arrive in order and a slow host delays no other.

use crate::prelude::*;
use event_listener::Event as Wakeup;
use std::cell::RefCell;
use std::net::SocketAddr;

/// The items that wait for each host.
pub struct Outbox<T> {
    queue: RefCell<Queue<T>>,
    queued: Wakeup,
    max_queued: usize,
    max_batch: usize,
}

struct Queue<T> {
    items: IndexMap<SocketAddr, Vec<T>>,
    /// The hosts to which a message is under way.
    sending: IndexSet<SocketAddr>,
    len: usize,
}

impl<T> Outbox<T> {
    /// Creates an empty outbox for at most `max_queued` items, sent in batches of at most `max_batch`.
    pub fn new(max_queued: usize, max_batch: usize) -> Self {
        Self {
            queue: RefCell::new(Queue {
                items: IndexMap::new(),
                sending: IndexSet::new(),
                len: 0,
            }),
            queued: Wakeup::new(),
            max_queued,
            max_batch,
        }
    }

    /// Adds an item for a host. Returns false if there is no room for it.
    pub fn push(&self, to: SocketAddr, item: T) -> bool {
        let mut queue = self.queue.borrow_mut();
        if queue.len >= self.max_queued {
            return false;
        }
        queue.len += 1;
        queue.items.entry(to).or_default().push(item);
        self.queued.notify(usize::MAX);
        true
    }

    /// Waits for items for a host to which no message is under way, and takes them.
    pub async fn next_batch(&self) -> (SocketAddr, Vec<T>) {
        loop {
            let queued = self.queued.listen();
            match self.take_batch() {
                Some(batch) => return batch,
                None => queued.await,
            }
        }
    }

    fn take_batch(&self) -> Option<(SocketAddr, Vec<T>)> {
        let mut queue = self.queue.borrow_mut();
        let mut waiting = queue.items.keys();
        let to = *waiting.find(|to| !queue.sending.contains(*to))?;
        let mut batch = queue.items.swap_remove(&to)?;
        if batch.len() > self.max_batch {
            let rest = batch.split_off(self.max_batch);
            queue.items.insert(to, rest);
        }
        queue.len -= batch.len();
        queue.sending.insert(to);
        Some((to, batch))
    }

    /// Records that the message to a host was answered or lost, so that the next one may be sent.
    pub fn note_sent(&self, to: SocketAddr) {
        self.queue.borrow_mut().sending.swap_remove(&to);
        self.queued.notify(usize::MAX);
    }
}
