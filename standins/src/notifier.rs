//! Wakes every task that waits for a state to change.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender, bounded};

/// The list is swept of abandoned waiters whenever it grows to a multiple of this.
const SWEEP_EVERY: usize = 64;

/// Wakes all registered waiters at once.
#[derive(Debug, Default)]
pub struct Notifier {
    waiters: Mutex<Vec<Sender<()>>>,
}

/// One registration; it sees every notification sent after it was taken.
#[derive(Debug)]
pub struct Waiter(Receiver<()>);

impl Notifier {
    /// Registers a waiter. Taken before the state is checked, it misses no change.
    pub fn waiter(&self) -> Waiter {
        let (sender, receiver) = bounded(1);
        let mut waiters = self.lock();
        if waiters.len() % SWEEP_EVERY == SWEEP_EVERY - 1 {
            waiters.retain(|waiter| !waiter.is_closed());
        }
        waiters.push(sender);
        Waiter(receiver)
    }

    /// Wakes all waiters registered so far.
    pub fn notify_all(&self) {
        let waiters = std::mem::take(&mut *self.lock());
        for waiter in waiters {
            // A full or closed channel means the waiter is already awake or gone.
            let _ = waiter.try_send(());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Sender<()>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter {
    /// Waits for the next notification.
    pub async fn wait(self) {
        let _ = self.0.recv().await;
    }

    /// Waits for the next notification or for the time to pass, whichever is first.
    pub async fn wait_at_most(self, wait: Duration) {
        let timeout = async {
            smol::Timer::after(wait).await;
        };
        self.wait().or(timeout).await;
    }
}
