//! Plays a model engine: orders, copies, batched chat requests, caches and load reports.

mod admin;
mod args;
mod batch;
mod chat;
mod checkpoints;
mod copies;
mod loading;
mod order;
mod peaks;
mod prefix_cache;
mod report;
mod run;
mod runs;

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use trillium::Method;

pub use crate::engine::args::EngineArgs;
use crate::engine::args::EngineSettings;
use crate::engine::batch::Batch;
use crate::engine::checkpoints::Checkpoints;
use crate::engine::copies::CopyTable;
use crate::engine::loading::WeightSource;
use crate::engine::prefix_cache::PrefixCache;
use crate::engine::report::Report;
use crate::engine::runs::HeldRuns;
use crate::error::{Refusal, StandInError};
use crate::hosts::Role;
use crate::http::{Answer, Load, Request, StandIn};
use crate::notifier::Notifier;
use crate::registration::{HostDescription, registered};
use crate::server::Server;

/// Where chat requests are posted.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A model and its version, written `model@version`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelVersion {
    /// The model.
    pub model: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
}

impl ModelVersion {
    /// Reports whether the name means this model, with or without a version.
    pub fn is_named(&self, name: &str) -> bool {
        name == &*self.model || name.split_once('@') == Some((&*self.model, &*self.version))
    }
}

impl fmt::Display for ModelVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl Serialize for ModelVersion {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The whole state of one engine.
pub struct Engine {
    settings: EngineSettings,
    source: WeightSource,
    leaving: AtomicBool,
    runs_started: AtomicU64,
    copies: Mutex<CopyTable>,
    checkpoints: Mutex<Checkpoints>,
    batch: Mutex<Batch>,
    prefix_cache: Mutex<PrefixCache>,
    held_runs: Mutex<HeldRuns>,
    reports: Mutex<VecDeque<Report>>,
    /// Notified whenever a copy, an order or a slot changes.
    changed: Notifier,
}

/// Runs the engine until the process is told to stop.
///
/// # Errors
///
/// Fails where the address cannot be bound or an argument makes no sense.
pub async fn run(args: EngineArgs) -> Result<(), StandInError> {
    let hosts_url = args.hosts.clone();
    let settings = args.into_settings()?;
    let server = Server::bind(settings.listen).await?;
    let description = HostDescription {
        name: Arc::clone(&settings.name),
        role: Role::Engine,
        address: server.address(),
        data_centre: Arc::clone(&settings.data_centre),
        memory_bytes: Some(settings.memory_bytes),
        slots: Some(settings.slots),
        checks_fencing: Some(settings.checks_fencing),
    };
    let engine = Arc::new(Engine::new(settings)?);
    report::start_sampling(&engine);
    let is_leaving = || engine.is_leaving();
    let serving = server.serve(Arc::new(EngineService(Arc::clone(&engine))));
    registered(hosts_url.as_deref(), description, is_leaving, serving).await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    /// Returns what a prompt has that ends the engine.
    pub fn crash_on(&self) -> Option<&str> {
        self.settings.crash_on.as_deref()
    }

    fn new(settings: EngineSettings) -> Result<Self, StandInError> {
        Ok(Self {
            source: WeightSource::new(&settings)?,
            leaving: AtomicBool::new(false),
            runs_started: AtomicU64::new(0),
            copies: Mutex::new(CopyTable::new(&settings)),
            checkpoints: Mutex::new(Checkpoints::new(&settings)),
            batch: Mutex::new(Batch::new(settings.slots, settings.queue_limit)),
            prefix_cache: Mutex::new(PrefixCache::new(&settings)),
            held_runs: Mutex::default(),
            reports: Mutex::default(),
            changed: Notifier::default(),
            settings,
        })
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    fn refuse_if_leaving(&self) -> Result<(), Refusal> {
        match self.is_leaving() {
            true => Err(Refusal::Leaving),
            false => Ok(()),
        }
    }

    fn copies(&self) -> MutexGuard<'_, CopyTable> {
        lock(&self.copies)
    }

    fn checkpoints(&self) -> MutexGuard<'_, Checkpoints> {
        lock(&self.checkpoints)
    }

    fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }

    fn prefix_cache(&self) -> MutexGuard<'_, PrefixCache> {
        lock(&self.prefix_cache)
    }

    fn held_runs(&self) -> MutexGuard<'_, HeldRuns> {
        lock(&self.held_runs)
    }
}

struct EngineService(Arc<Engine>);

impl StandIn for EngineService {
    async fn answer(&self, request: &Request) -> Result<Answer, Refusal> {
        let engine = &self.0;
        if request.method == Method::Post && request.path == CHAT_PATH {
            return chat::complete(engine, request).await;
        }
        match (request.method, request.segments().as_slice()) {
            (Method::Post, ["orders"]) => order::take(engine, request).await,
            (Method::Get, ["orders", order]) => order::state(engine, order),
            (Method::Get, ["state"]) => report::state(engine, request),
            (Method::Post, ["cancel", request_id]) => Ok(runs::cancel(engine, request_id)),
            (Method::Get, ["cache-events"]) => prefix_cache::events(engine, request),
            (Method::Get, ["admin", "peaks"]) => Ok(admin::peaks(engine)),
            (Method::Post, ["admin", "leaving"]) => admin::set_leaving(engine, request),
            _ => Err(Refusal::NotFound),
        }
    }

    /// A chat request without a reader is given up after the hold time; orders are not.
    fn stops_on_disconnect(&self, request: &Request) -> bool {
        request.method == Method::Get || request.path == CHAT_PATH
    }

    fn is_leaving(&self) -> bool {
        self.0.is_leaving()
    }

    fn stated_load(&self) -> Option<Load> {
        let engine = &self.0;
        if !engine.settings.states_load {
            return None;
        }
        let batch = engine.batch();
        Some(Load {
            running: batch.running() as usize,
            waiting: batch.queued(),
            slots: engine.settings.slots as usize,
            pace_percent: 100,
        })
    }
}
