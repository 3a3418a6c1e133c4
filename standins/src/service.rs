//! Plays a plain service: echoes each call and counts its runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use argh::FromArgs;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use trillium::Method;

use crate::clock::sleep_ms;
use crate::error::{Refusal, StandInError};
use crate::hosts::Role;
use crate::http::{Answer, Load, Request, StandIn};
use crate::registration::{HostDescription, registered};
use crate::server::Server;

/// Names the operation that a call belongs to.
const OPERATION_HEADER: &str = "x-operation-id";
/// How many operations are counted; more are refused.
const MAX_OPERATIONS: usize = 100_000;
/// The longest operation identity.
const MAX_OPERATION_BYTES: usize = 256;

/// Plays a plain service that echoes calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,
    /// name in the host list
    #[argh(option)]
    name: String,
    /// data centre in the host list
    #[argh(option)]
    data_centre: String,
    /// host list to register in
    #[argh(option)]
    hosts: Option<String>,
    /// how long a call takes
    #[argh(option, default = "0")]
    work_ms: u64,
    /// how many calls run at once; more are refused
    #[argh(option, default = "1024")]
    max_running: usize,
    /// whether every answer states the load
    #[argh(switch)]
    states_load: bool,
    /// how long calls take, in percent of the usual time
    #[argh(option, default = "100")]
    pace_percent: u32,
}

/// Asks a stand-in to leave, or to stay.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// Whether the stand-in is leaving.
    pub leaving: bool,
}

/// The echo of a call.
#[derive(Debug, Serialize)]
struct Echo<'a> {
    method: &'static str,
    path: &'a str,
    query: &'a str,
    operation_id: Option<&'a str>,
    /// The run's number among those of the same operation, counted from 1.
    run: Option<u64>,
    body: String,
}

/// How often each operation was run.
#[derive(Debug, Default, Serialize)]
struct RunCounts {
    runs: IndexMap<Arc<str>, u64>,
}

#[derive(Debug, Serialize)]
struct Health {
    state: &'static str,
}

struct PlainService {
    work_ms: u64,
    max_running: usize,
    states_load: bool,
    pace_percent: u32,
    running: AtomicUsize,
    leaving: AtomicBool,
    counts: Mutex<RunCounts>,
}

/// Runs the service until the process is told to stop.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn run(args: ServiceArgs) -> Result<(), StandInError> {
    let server = Server::bind(args.listen).await?;
    let service = Arc::new(PlainService {
        work_ms: args.work_ms,
        max_running: args.max_running,
        states_load: args.states_load,
        pace_percent: args.pace_percent,
        running: AtomicUsize::new(0),
        leaving: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    let description = HostDescription {
        name: args.name.into(),
        role: Role::Service,
        address: server.address(),
        data_centre: args.data_centre.into(),
        memory_bytes: None,
        slots: None,
        checks_fencing: None,
    };
    let is_leaving = || service.is_leaving();
    let serving = server.serve(Arc::clone(&service));
    registered(args.hosts.as_deref(), description, is_leaving, serving).await
}

/// Counts a call as running until dropped.
struct RunningCall<'a>(&'a AtomicUsize);

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl PlainService {
    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    fn counts(&self) -> MutexGuard<'_, RunCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self) -> Result<RunningCall<'_>, Refusal> {
        if self.is_leaving() {
            return Err(Refusal::Leaving);
        }
        let before = self.running.fetch_add(1, Ordering::SeqCst);
        let call = RunningCall(&self.running);
        if before >= self.max_running {
            return Err(Refusal::Busy);
        }
        Ok(call)
    }

    fn count_run(&self, operation_id: &str) -> Result<u64, Refusal> {
        if operation_id.len() > MAX_OPERATION_BYTES {
            return Err(Refusal::bad_request("the operation identity is too long"));
        }
        let mut counts = self.counts();
        if !counts.runs.contains_key(operation_id) && counts.runs.len() >= MAX_OPERATIONS {
            return Err(Refusal::Busy);
        }
        let run = counts.runs.entry(operation_id.into()).or_default();
        *run += 1;
        Ok(*run)
    }

    async fn call(&self, request: &Request) -> Result<Answer, Refusal> {
        let _running = self.start()?;
        let operation_id = request.header(OPERATION_HEADER);
        let run = operation_id.map(|id| self.count_run(id)).transpose()?;
        let work_ms = self.work_ms.saturating_mul(self.pace_percent.into()) / 100;
        if work_ms > 0 {
            sleep_ms(work_ms).await;
        }
        Ok(Answer::ok(&Echo {
            method: request.method.as_str(),
            path: &request.path,
            query: &request.query,
            operation_id,
            run,
            body: String::from_utf8_lossy(&request.body).into_owned(),
        }))
    }

    fn health(&self) -> Result<Answer, Refusal> {
        match self.is_leaving() {
            true => Err(Refusal::Leaving),
            false => Ok(Answer::ok(&Health { state: "live" })),
        }
    }

    fn set_leaving(&self, leaving: Leaving) -> Answer {
        self.leaving.store(leaving.leaving, Ordering::SeqCst);
        Answer::ok(&leaving)
    }
}

impl StandIn for PlainService {
    async fn answer(&self, request: &Request) -> Result<Answer, Refusal> {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/healthz") => self.health(),
            (Method::Get, "/admin/runs") => Ok(Answer::ok(&*self.counts())),
            (Method::Post, "/admin/leaving") => Ok(self.set_leaving(request.json()?)),
            _ if request.is_admin() => Err(Refusal::NotFound),
            _ => self.call(request).await,
        }
    }

    fn stops_on_disconnect(&self, _request: &Request) -> bool {
        false
    }

    fn is_leaving(&self) -> bool {
        Self::is_leaving(self)
    }

    fn stated_load(&self) -> Option<Load> {
        self.states_load.then(|| Load {
            running: self.running.load(Ordering::SeqCst).min(self.max_running),
            waiting: 0,
            slots: self.max_running,
            pace_percent: self.pace_percent,
        })
    }
}
