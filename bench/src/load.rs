//! Open-loop load: each request is made at its time, whatever became of the earlier ones.
//!
//! Callers behave as those of a deployment do: they ask which hosts to use, keep the answer for its
//! time to live, and go on to another host within their deadline when nothing was run.

use crate::arrivals::{Arrival, CallKind};
use crate::call::{Caller, Outcome, ServiceCall, message_digest};
use crate::history::{End, HistoryLine, Try};
use crate::site::api_key;
use mangovale::edge::http::with_timeout;
use mangovale::membership::entry::EntryAnswer;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use trillium_client::Method;

/// How long past its deadline a caller waits for a final answer.
pub const DEADLINE_MARGIN_MS: u64 = 3_000;
/// Most tries of one request.
const MAX_TRIES: usize = 8;
/// The pause before the first host is tried a second time.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long a caller waits for an entry answer before it asks another host.
const ENTRY_LIMIT: Duration = Duration::from_secs(1);
const WRITE_PATH: &str = "/operations";
const READ_PATH: &str = "/status";

/// Where the load goes.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// Every host's address for callers.
    pub hosts: Vec<SocketAddr>,
    /// How many callers there are.
    pub callers: usize,
    /// Makes messages and operation keys unique among runs.
    pub run_id: String,
}

/// The callers of a run.
#[derive(Debug)]
pub struct Load {
    target: LoadTarget,
    callers: Vec<CallerState>,
    started_at: Instant,
}

#[derive(Debug)]
struct CallerState {
    usual_host: usize,
    kept: Mutex<HashMap<String, KeptEntry>>,
}

#[derive(Clone, Debug)]
struct KeptEntry {
    hosts: Vec<SocketAddr>,
    until: Instant,
}

/// One request under way.
struct Asking<'a> {
    arrival: &'a Arrival,
    caller: Caller,
    message: String,
    operation: Option<String>,
    asked_at: Instant,
}

impl Load {
    /// Makes the callers; the clock of the run starts now.
    pub fn new(target: LoadTarget) -> Arc<Self> {
        let hosts = target.hosts.len();
        let callers = (0..target.callers)
            .map(|number| CallerState {
                usual_host: number % hosts,
                kept: Mutex::default(),
            })
            .collect();
        Arc::new(Self {
            target,
            callers,
            started_at: Instant::now(),
        })
    }

    /// Returns when the clock of the run started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Makes every request at its time and waits for all of them.
    pub async fn run(
        self: &Arc<Self>,
        arrivals: Vec<Arrival>,
        spread_bursts: bool,
    ) -> Vec<HistoryLine> {
        let mut clients: HashMap<String, Caller> = HashMap::new();
        let mut tasks = Vec::with_capacity(arrivals.len());
        for (request, arrival) in (0..).zip(arrivals) {
            smol::Timer::at(self.started_at + Duration::from_millis(arrival.at_ms)).await;
            let client = clients
                .entry(arrival.brand.clone())
                .or_insert_with(|| Caller::new(&api_key(&arrival.brand)))
                .clone();
            let load = self.clone();
            tasks.push(smol::spawn(async move {
                load.ask(request, &arrival, client, spread_bursts).await
            }));
        }
        let mut history = Vec::with_capacity(tasks.len());
        for task in tasks {
            history.push(task.await);
        }
        history
    }

    async fn ask(
        &self,
        request: u64,
        arrival: &Arrival,
        caller: Caller,
        spread_bursts: bool,
    ) -> HistoryLine {
        let name = format!("{}-{request}", self.target.run_id);
        let asking = Asking {
            arrival,
            caller,
            message: message(&name, &arrival.kind),
            operation: (arrival.kind == CallKind::ServiceWrite).then_some(name),
            asked_at: Instant::now(),
        };
        let asked_ms = self.now_ms();
        let skips_entry = spread_bursts && arrival.phase == crate::arrivals::Phase::Burst;
        let (tries, end, first_byte_ms) = self.try_hosts(&asking, skips_entry).await;
        HistoryLine {
            request,
            asked_ms,
            phase: arrival.phase,
            brand: arrival.brand.clone(),
            target: arrival.target.clone(),
            call: arrival.kind.clone(),
            operation: asking.operation,
            deadline_ms: arrival.deadline_ms,
            tries,
            end,
            first_byte_ms,
            ended_ms: self.now_ms(),
        }
    }

    async fn try_hosts(
        &self,
        asking: &Asking<'_>,
        skips_entry: bool,
    ) -> (Vec<Try>, End, Option<u64>) {
        let hosts = match skips_entry {
            true => self.all_from(self.callers[asking.arrival.caller].usual_host),
            false => self.entry(asking).await,
        };
        let mut tries = Vec::new();
        let mut end = End::NoEnd;
        while tries.len() < MAX_TRIES {
            if !tries.is_empty() && tries.len().is_multiple_of(hosts.len()) {
                smol::Timer::after(ROUND_PAUSE).await;
            }
            let Some(left) = asking.left() else {
                break;
            };
            let host = hosts[tries.len() % hosts.len()];
            let began_ms = self.now_ms();
            let outcome = asking.call(host, left).await;
            let first_byte_ms = first_byte_ms(&outcome).map(|after_ms| began_ms + after_ms);
            end = asking.judge(outcome);
            tries.push(Try {
                host: host.to_string(),
                began_ms,
                end: end.clone(),
            });
            if !goes_on(&end) {
                return (tries, end, first_byte_ms);
            }
            self.forget_entry(asking);
        }
        (tries, end, None)
    }

    /// Returns the hosts of the kept entry answer, or asks for one.
    async fn entry(&self, asking: &Asking<'_>) -> Vec<SocketAddr> {
        let state = &self.callers[asking.arrival.caller];
        let kept = lock(&state.kept).get(&asking.arrival.target).cloned();
        if let Some(kept) = kept.filter(|kept| kept.until > Instant::now()) {
            return kept.hosts;
        }
        let all = self.all_from(state.usual_host);
        for host in &all {
            let Some(left) = asking.left() else {
                break;
            };
            let question = asking.caller.entry(*host, &asking.arrival.target);
            let outcome = with_timeout(ENTRY_LIMIT.min(left), question).await;
            let Some(kept) = outcome.as_ref().and_then(kept_entry) else {
                continue;
            };
            let hosts = kept.hosts.clone();
            lock(&state.kept).insert(asking.arrival.target.clone(), kept);
            return hosts;
        }
        all
    }

    fn forget_entry(&self, asking: &Asking<'_>) {
        let state = &self.callers[asking.arrival.caller];
        lock(&state.kept).remove(&asking.arrival.target);
    }

    fn all_from(&self, first: usize) -> Vec<SocketAddr> {
        let mut hosts = self.target.hosts.clone();
        hosts.rotate_left(first);
        hosts
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

impl Asking<'_> {
    fn left(&self) -> Option<Duration> {
        let left =
            Duration::from_millis(self.arrival.deadline_ms).checked_sub(self.asked_at.elapsed());
        left.filter(|left| left.as_millis() > 0)
    }

    async fn call(&self, host: SocketAddr, left: Duration) -> Option<Outcome> {
        let limit = left + Duration::from_millis(DEADLINE_MARGIN_MS);
        let deadline_ms = Some(left.as_millis() as u64);
        match &self.arrival.kind {
            CallKind::Chat { .. } => {
                let call = self
                    .caller
                    .chat(host, &self.arrival.target, &self.message, deadline_ms);
                with_timeout(limit, call).await
            }
            CallKind::ServiceRead | CallKind::ServiceWrite => {
                let call = self.service_call(deadline_ms);
                with_timeout(limit, self.caller.service(host, &call)).await
            }
        }
    }

    fn service_call(&self, deadline_ms: Option<u64>) -> ServiceCall<'_> {
        let (method, path) = match self.arrival.kind {
            CallKind::ServiceWrite => (Method::Post, WRITE_PATH),
            _ => (Method::Get, READ_PATH),
        };
        ServiceCall {
            service: &self.arrival.target,
            method,
            path,
            body: &self.message,
            idempotency_key: self.operation.as_deref(),
            deadline_ms,
        }
    }

    fn judge(&self, outcome: Option<Outcome>) -> End {
        match outcome {
            None => End::NoEnd,
            Some(Outcome::Answered {
                status,
                text,
                digest,
                ..
            }) => End::Answered {
                status,
                own: self.is_own(&text, digest.as_deref()),
            },
            Some(Outcome::Refused { kind, ran, .. }) => End::Refused {
                kind,
                not_run: ran == "not_run",
            },
            Some(Outcome::NotConnected) => End::NotConnected,
            Some(Outcome::Broken(why)) => End::Broken { why },
        }
    }

    fn is_own(&self, text: &str, digest: Option<&str>) -> bool {
        match self.arrival.kind {
            CallKind::Chat { .. } => digest == Some(message_digest(&self.message).as_str()),
            CallKind::ServiceRead | CallKind::ServiceWrite => {
                let echo: Value = serde_json::from_str(text).unwrap_or_default();
                echo["body"].as_str() == Some(&self.message)
            }
        }
    }
}

/// Tells whether a caller tries another host after this.
fn goes_on(end: &End) -> bool {
    match end {
        End::NotConnected | End::Broken { .. } => true,
        End::Refused { kind, not_run } => {
            let elsewhere = [
                "cut_off",
                "starting",
                "stopping",
                "overloaded",
                "upstream_failed",
                "log_unavailable",
            ];
            *not_run && elsewhere.contains(&kind.as_str())
        }
        End::Answered { .. } | End::NoEnd => false,
    }
}

fn first_byte_ms(outcome: &Option<Outcome>) -> Option<u64> {
    match outcome {
        Some(Outcome::Answered { first_byte_ms, .. }) => Some(*first_byte_ms),
        _ => None,
    }
}

fn kept_entry(outcome: &Outcome) -> Option<KeptEntry> {
    let Outcome::Answered { text, .. } = outcome else {
        return None;
    };
    let answer: EntryAnswer = serde_json::from_str(text).ok()?;
    let hosts: Vec<SocketAddr> = answer
        .hosts
        .iter()
        .filter_map(|host| host.parse().ok())
        .collect();
    let until = Instant::now() + Duration::from_millis(answer.ttl_ms.0);
    (!hosts.is_empty()).then_some(KeptEntry { hosts, until })
}

/// Makes a text that no other request has.
fn message(name: &str, kind: &CallKind) -> String {
    let bytes = match kind {
        CallKind::Chat { prompt_bytes } => *prompt_bytes,
        CallKind::ServiceRead | CallKind::ServiceWrite => 0,
    };
    let padding = bytes.saturating_sub(name.len() + 1);
    format!("{name} {}", "x".repeat(padding))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
