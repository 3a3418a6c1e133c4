//! Plays the platform's weight store: bounded in parallel loads, loads and bytes a second.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use snafu::ensure;
use trillium::Method;

use crate::error::{ArgumentSnafu, Refusal, StandInError};
use crate::http::{Answer, Request, StandIn};
use crate::notifier::Notifier;
use crate::server::Server;

/// A transfer looks at the rate again after at most this time.
const SLICE: Duration = Duration::from_millis(50);
/// The longest wait for a change before the queue is looked at again.
const RECHECK: Duration = Duration::from_millis(100);

/// Plays the weight store that engines fetch from.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,
    /// how many fetches run at once
    #[argh(option, default = "4")]
    parallel: usize,
    /// how many fetches start each second
    #[argh(option, default = "2.0")]
    loads_per_s: f64,
    /// how many bytes a second each fetch gets
    #[argh(option, default = "1000000000")]
    bytes_per_s: u64,
    /// how many fetches wait; more are refused
    #[argh(option, default = "64")]
    queue_limit: usize,
}

/// What the store allows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Limits {
    parallel: usize,
    loads_per_s: f64,
    bytes_per_s: u64,
}

impl Limits {
    fn is_valid(&self) -> bool {
        let is_rate = self.loads_per_s.is_finite() && self.loads_per_s > 0.0;
        is_rate && self.parallel > 0 && self.bytes_per_s > 0
    }

    fn start_interval(&self) -> Duration {
        // A tiny rate gives an interval beyond what a duration holds.
        Duration::try_from_secs_f64(1.0 / self.loads_per_s).unwrap_or(Duration::MAX)
    }
}

/// The body of a fetch; only the size matters here.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fetch {
    /// The model.
    pub model: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
    /// How many bytes are to be sent.
    pub bytes: u64,
}

/// The answer to a finished fetch.
#[derive(Debug, Serialize)]
struct Fetched {
    bytes: u64,
}

/// The answer to a state request.
#[derive(Debug, Serialize)]
struct StoreState {
    running: usize,
    queued: usize,
    #[serde(flatten)]
    limits: Limits,
}

/// The fetches running and waiting.
#[derive(Debug)]
struct FetchQueue {
    limits: Limits,
    running: usize,
    waiting: VecDeque<u64>,
    next_ticket: u64,
    last_start: Option<Instant>,
}

struct StoreService {
    queue_limit: usize,
    queue: Mutex<FetchQueue>,
    changed: Notifier,
}

/// Runs the store until the process is told to stop.
///
/// # Errors
///
/// Fails where the address cannot be bound or a limit is not positive.
pub async fn run(args: StoreArgs) -> Result<(), StandInError> {
    let limits = Limits {
        parallel: args.parallel,
        loads_per_s: args.loads_per_s,
        bytes_per_s: args.bytes_per_s,
    };
    let detail = "the store's limits must be positive";
    ensure!(limits.is_valid(), ArgumentSnafu { detail });
    let server = Server::bind(args.listen).await?;
    let store = StoreService::new(limits, args.queue_limit);
    server.serve(Arc::new(store)).await;
    Ok(())
}

impl FetchQueue {
    /// Returns how long the fetch has to wait yet, or none if it may start now.
    fn wait_before(&self, ticket: u64) -> Option<Duration> {
        let is_first = self.waiting.front() == Some(&ticket);
        if !is_first || self.running >= self.limits.parallel {
            return Some(RECHECK);
        }
        let elapsed = self.last_start.map(|start| start.elapsed());
        let interval = self.limits.start_interval();
        let left = elapsed.map_or(Duration::ZERO, |elapsed| interval.saturating_sub(elapsed));
        (!left.is_zero()).then_some(left.min(RECHECK))
    }

    fn start_first(&mut self) {
        self.waiting.pop_front();
        self.running += 1;
        self.last_start = Some(Instant::now());
    }
}

/// A fetch that waits or runs; dropping it gives its place up.
struct FetchPlace<'a> {
    store: &'a StoreService,
    ticket: u64,
    running: bool,
}

impl Drop for FetchPlace<'_> {
    fn drop(&mut self) {
        let mut queue = self.store.queue();
        if self.running {
            queue.running -= 1;
        } else {
            queue.waiting.retain(|ticket| *ticket != self.ticket);
        }
        drop(queue);
        self.store.changed.notify_all();
    }
}

impl StoreService {
    fn new(limits: Limits, queue_limit: usize) -> Self {
        let queue = FetchQueue {
            limits,
            running: 0,
            waiting: VecDeque::new(),
            next_ticket: 0,
            last_start: None,
        };
        Self {
            queue_limit,
            queue: Mutex::new(queue),
            changed: Notifier::default(),
        }
    }

    fn queue(&self) -> MutexGuard<'_, FetchQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn fetch(&self, fetch: Fetch) -> Result<Answer, Refusal> {
        let mut place = self.enqueue()?;
        self.wait_for_start(&mut place).await;
        self.transfer(fetch.bytes).await;
        Ok(Answer::ok(&Fetched { bytes: fetch.bytes }))
    }

    fn enqueue(&self) -> Result<FetchPlace<'_>, Refusal> {
        let mut queue = self.queue();
        if queue.waiting.len() >= self.queue_limit {
            return Err(Refusal::Busy);
        }
        let ticket = queue.next_ticket;
        queue.next_ticket += 1;
        queue.waiting.push_back(ticket);
        Ok(FetchPlace {
            store: self,
            ticket,
            running: false,
        })
    }

    async fn wait_for_start(&self, place: &mut FetchPlace<'_>) {
        loop {
            let changed = self.changed.waiter();
            let Some(wait) = self.start_or_wait(place) else {
                self.changed.notify_all();
                return;
            };
            changed.wait_at_most(wait).await;
        }
    }

    fn start_or_wait(&self, place: &mut FetchPlace<'_>) -> Option<Duration> {
        let mut queue = self.queue();
        let wait = queue.wait_before(place.ticket);
        if wait.is_none() {
            queue.start_first();
            place.running = true;
        }
        wait
    }

    /// Waits as long as the bytes take at the rate in force, which may change on the way.
    async fn transfer(&self, bytes: u64) {
        let mut left_bytes = bytes as f64;
        while left_bytes > 0.0 {
            let bytes_per_s = self.queue().limits.bytes_per_s as f64;
            let left_s = left_bytes / bytes_per_s;
            let slice_s = left_s.min(SLICE.as_secs_f64());
            let started = Instant::now();
            smol::Timer::after(Duration::from_secs_f64(slice_s)).await;
            left_bytes -= started.elapsed().as_secs_f64().max(slice_s) * bytes_per_s;
        }
    }

    fn state(&self) -> StoreState {
        let queue = self.queue();
        StoreState {
            running: queue.running,
            queued: queue.waiting.len(),
            limits: queue.limits,
        }
    }

    fn set_limits(&self, limits: Limits) -> Result<Answer, Refusal> {
        if !limits.is_valid() {
            return Err(Refusal::bad_request("the limits must be positive"));
        }
        self.queue().limits = limits;
        self.changed.notify_all();
        Ok(Answer::ok(&self.state()))
    }
}

impl StandIn for StoreService {
    async fn answer(&self, request: &Request) -> Result<Answer, Refusal> {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/state") => Ok(Answer::ok(&self.state())),
            (Method::Post, "/fetch") => self.fetch(request.json()?).await,
            (Method::Post, "/admin/limits") => self.set_limits(request.json()?),
            _ => Err(Refusal::NotFound),
        }
    }

    /// A fetch whose engine is gone frees its place.
    fn stops_on_disconnect(&self, _request: &Request) -> bool {
        true
    }
}
