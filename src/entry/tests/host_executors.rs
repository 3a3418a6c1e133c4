//! Executors of the hosts of a test, which can stand still.

use crate::prelude::*;
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// What of a host stands still.
#[derive(Clone, Copy, Debug)]
pub enum Standstill {
    /// The whole host, as a process that is stopped.
    Host,
    /// What it sends to other hosts and gets from them.
    LinksToHosts,
}

/// Lets the tasks of an executor stand still for a while.
#[derive(Debug, Default)]
struct Pause {
    is_paused: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Pause {
    fn set(&self, is_paused: bool) {
        self.is_paused.set(is_paused);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Polls a future except while it is to stand still.
    async fn hold<F: Future<Output = ()>>(self: Rc<Self>, future: F) {
        let mut future = pin!(future);
        poll_fn(|context| match self.is_paused.get() {
            true => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
            false => future.as_mut().poll(context),
        })
        .await;
    }
}

/// The executors of one host.
pub struct HostExecutors {
    /// Runs its tasks.
    pub own: Rc<LocalExecutor<'static>>,
    /// Runs its connections to other hosts.
    pub quic: Arc<smol::Executor<'static>>,
    pauses: [Rc<Pause>; 2],
}

impl HostExecutors {
    /// Creates the executors and runs them on that of the test.
    pub fn run_on(executor: &LocalExecutor<'static>) -> Self {
        let executors = Self {
            own: Rc::new(LocalExecutor::new()),
            quic: Arc::new(smol::Executor::new()),
            pauses: Default::default(),
        };
        let (own, quic) = (executors.own.clone(), executors.quic.clone());
        let [of_own, of_quic] = executors.pauses.clone();
        let run_own = async move { own.run(std::future::pending()).await };
        let run_quic = async move { quic.run(std::future::pending()).await };
        executor.spawn(of_own.hold(run_own)).detach();
        executor.spawn(of_quic.hold(run_quic)).detach();
        executors
    }

    /// Lets the host, or its links to the others, stand still or go on.
    pub fn set_standing_still(&self, what: Standstill, stands_still: bool) {
        let [own, quic] = &self.pauses;
        quic.set(stands_still);
        match what {
            Standstill::Host => own.set(stands_still),
            Standstill::LinksToHosts => {}
        }
    }
}
