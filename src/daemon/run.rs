//! The event loop and the tasks that carry out its effects.

use crate::clock::Clock;
use crate::daemon::dump::dump;
use crate::daemon::event::Event;
use crate::daemon::node::{Life, Node, NodeConfig};
use crate::daemon::trace::Trace;
use crate::edge::caller::CallerEdge;
use crate::edge::engine::HttpEngines;
use crate::edge::gate::{Gate, Input, Instruction, Query};
use crate::edge::hosts::HttpHostList;
use crate::edge::http::client;
use crate::edge::log_service::HttpLog;
use crate::edge::operator::OperatorEdge;
use crate::edge::peer::{PeerEdge, PeerError};
use crate::edge::store::HttpStore;
use crate::edge::{EngineControl, HostDirectory, LogService, WeightStore};
use crate::membership::message::HostEntry;
use crate::placement::message::OrderAnswer;
use crate::prelude::*;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use opentelemetry::metrics::{Counter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use smol::channel::Receiver;
use smol::stream::StreamExt;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use trillium_server_common::ServerHandle;

/// How often the loop is woken without anything else happening.
const TICK: Duration = Duration::from_millis(20);
/// How long open connections get to end after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the daemon cannot run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address} ({key}): {source}"))]
    Listen {
        /// The settings key.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The peers' edge cannot start.
    #[snafu(display("{source}"))]
    Peer {
        /// Why.
        source: PeerError,
    },
    /// The signals cannot be taken.
    #[snafu(display("cannot take signals: {source}"))]
    Signal {
        /// Why.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("cannot set up metrics: {why}"))]
    Metrics {
        /// Why.
        why: String,
    },
}

/// The process's metrics.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: Arc<SdkMeterProvider>,
    events: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    appends: Counter<u64>,
}

impl Metrics {
    fn new() -> Result<Self, RunError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| RunError::Metrics {
                why: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("mangovale");
        Ok(Self {
            registry,
            events: meter.u64_counter("mangovale_events").build(),
            refusals: meter.u64_counter("mangovale_refusals").build(),
            attempts: meter.u64_counter("mangovale_attempts").build(),
            appends: meter.u64_counter("mangovale_log_appends").build(),
            _provider: Arc::new(provider),
        })
    }

    /// Returns the metrics in the Prometheus text form.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    fn count(&self, effect: &Effect) {
        match effect {
            Effect::Refuse { .. } => self.refusals.add(1, &[]),
            Effect::Begin { .. } => self.attempts.add(1, &[]),
            Effect::AppendLog { .. } => self.appends.add(1, &[]),
            _ => {}
        }
    }
}

/// Runs a daemon until it has stopped.
///
/// # Errors
///
/// Returns why it cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    smol::block_on(run_async(settings))
}

async fn run_async(settings: Settings) -> Result<(), RunError> {
    let clock = Clock::start();
    let me = Incarnation::new(clock.now(), fastrand::u64(..));
    let (gate, inputs) = Gate::new();
    let metrics = Metrics::new()?;
    let peers = PeerEdge::bind(settings.peer_listen, &settings.keys).context(PeerSnafu)?;
    let callers = listen_callers(&settings, me, clock, &gate)?;
    let operators = listen_operators(&settings, &gate, &metrics)?;
    smol::spawn(peers.clone().serve(gate.clone())).detach();
    smol::spawn(watch_signals(gate.clone(), signals()?)).detach();
    smol::spawn(tick(gate.clone())).detach();
    LogEvent::Started.write(&format!(
        "name={} incarnation={me} callers={} peers={} operators={}",
        settings.name, settings.caller_listen, settings.peer_listen, settings.operator_listen
    ));
    let node = Node::new(node_config(&settings, me));
    let platform = Platform::new(&settings, &node.config);
    let runner = Runner {
        clock,
        gate,
        peers: peers.clone(),
        platform,
        metrics,
        trace: Trace::default(),
    };
    runner.run(node, inputs).await;
    close(callers).await;
    close(operators).await;
    peers.close();
    LogEvent::Stopped.write(&format!("name={}", settings.name));
    Ok(())
}

async fn close(server: ServerHandle) {
    let closing = async move { server.shut_down().await };
    crate::edge::http::within(CLOSE_TIMEOUT, closing).await;
}

fn node_config(settings: &Settings, me: Incarnation) -> NodeConfig {
    let timing = &settings.timing;
    NodeConfig {
        me,
        entry: HostEntry {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_advertise.unwrap_or(settings.caller_listen),
            peer_address: settings.peer_advertise.unwrap_or(settings.peer_listen),
        },
        fresh_bound_ms: timing.fresh_bound_ms,
        pause_ms: timing.pause_ms,
        probe_interval_ms: timing.probe_interval_ms,
        suspect_after_ms: timing.suspect_after_ms,
        probes_per_round: timing.probes_per_round,
        keep_warm: settings.policy.keep_warm,
    }
}

fn bind(key: &'static str, address: SocketAddr) -> Result<smol::net::TcpListener, RunError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { key, address })?;
    let listener = smol::Async::new(listener).context(ListenSnafu { key, address })?;
    Ok(listener.into())
}

fn listen_callers(
    settings: &Settings,
    me: Incarnation,
    clock: Clock,
    gate: &Arc<Gate>,
) -> Result<ServerHandle, RunError> {
    let listener = bind("caller_listen", settings.caller_listen)?;
    let edge = Arc::new(CallerEdge {
        gate: gate.clone(),
        clock,
        client: client(),
        me,
        bounds: settings.bounds.clone(),
    });
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(settings.bounds.connections))
        .with_prebound_server(listener)
        .spawn(move |conn: trillium::Conn| {
            let edge = edge.clone();
            async move { edge.handle(conn).await }
        });
    Ok(server)
}

fn listen_operators(
    settings: &Settings,
    gate: &Arc<Gate>,
    metrics: &Metrics,
) -> Result<ServerHandle, RunError> {
    const MAX_CONNECTIONS: usize = 256;
    let listener = bind("operator_listen", settings.operator_listen)?;
    let edge = Arc::new(OperatorEdge {
        gate: gate.clone(),
        token_sha256: settings.keys.operator_token_sha256.clone(),
        metrics: metrics.clone(),
    });
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(MAX_CONNECTIONS))
        .with_prebound_server(listener)
        .spawn(move |conn: trillium::Conn| {
            let edge = edge.clone();
            async move { edge.handle(conn).await }
        });
    Ok(server)
}

fn signals() -> Result<Signals, RunError> {
    Signals::new([Signal::Term, Signal::Int]).context(SignalSnafu)
}

async fn watch_signals(gate: Arc<Gate>, mut signals: Signals) {
    while signals.next().await.is_some() {
        gate.send(Event::StopAsked).await;
    }
}

async fn tick(gate: Arc<Gate>) {
    loop {
        smol::Timer::after(TICK).await;
        gate.send(Event::Tick).await;
    }
}

/// The platform's services.
struct Platform {
    log: Arc<dyn LogService>,
    hosts: Arc<dyn HostDirectory>,
    engines: Arc<dyn EngineControl>,
    store: Option<Arc<dyn WeightStore>>,
    entry: HostEntry,
}

impl Platform {
    fn new(settings: &Settings, config: &NodeConfig) -> Self {
        let platform = &settings.platform;
        let store = platform.store_url.as_deref();
        Self {
            log: Arc::new(HttpLog::new(&platform.log_url, &platform.stream)),
            hosts: Arc::new(HttpHostList::new(&platform.hosts_url)),
            engines: Arc::new(HttpEngines::new()),
            store: store.map(|url| Arc::new(HttpStore::new(url)) as Arc<dyn WeightStore>),
            entry: config.entry.clone(),
        }
    }
}

struct Runner {
    clock: Clock,
    gate: Arc<Gate>,
    peers: Arc<PeerEdge>,
    platform: Platform,
    metrics: Metrics,
    trace: Trace,
}

impl Runner {
    async fn run(mut self, mut node: Node, inputs: Receiver<Input>) {
        while let Ok(input) = inputs.recv().await {
            let now = self.clock.now();
            match input {
                Input::Query(query) => self.answer(now, &node, query),
                Input::Event(event) => {
                    self.trace.push(now, &event);
                    self.metrics.events.add(1, &[]);
                    let effects = node.handle(now, event);
                    if effects.contains(&Effect::Exit) {
                        return;
                    }
                    for effect in effects {
                        self.metrics.count(&effect);
                        self.carry_out(effect);
                    }
                }
            }
        }
    }

    fn answer(&self, now: Millis, node: &Node, query: Query) {
        let (sender, text) = match query {
            Query::Dump(sender) => (sender, dump(now, node).ok()),
            Query::Trace(sender) => (sender, serde_json::to_string(&self.trace).ok()),
            Query::Table(sender) => (sender, serde_json::to_string(&node.shared.table).ok()),
            Query::Hosts(sender) => (sender, serde_json::to_string(&node.shared.members).ok()),
            Query::Placements(sender) => {
                (sender, serde_json::to_string(&node.shared.placement).ok())
            }
            Query::Health(sender) => (sender, Some(health(now, node).to_string())),
        };
        let _ = sender.try_send(text.unwrap_or_default());
    }

    fn carry_out(&self, effect: Effect) {
        let gate = self.gate.clone();
        match effect {
            Effect::ReadLog { from, wait_ms } => {
                let (log, clock) = (self.platform.log.clone(), self.clock);
                spawn(async move {
                    let asked_at = clock.now();
                    let event = match log.read(from, wait_ms).await {
                        Ok(page) => Event::LogRead { asked_at, page },
                        Err(error) => Event::LogReadFailed { error },
                    };
                    gate.send(event).await;
                });
            }
            Effect::AppendLog { records } => {
                let log = self.platform.log.clone();
                spawn(async move {
                    let event = match log.append(records).await {
                        Ok(()) => Event::Appended,
                        Err(error) => Event::AppendFailed { error },
                    };
                    gate.send(event).await;
                });
            }
            Effect::ListHosts => {
                let hosts = self.platform.hosts.clone();
                spawn(async move {
                    let event = match hosts.list().await {
                        Some(list) => Event::HostsListed { list },
                        None => Event::HostsFailed,
                    };
                    gate.send(event).await;
                });
            }
            Effect::RegisterHost { host } => {
                let hosts = self.platform.hosts.clone();
                let entry = self.platform.entry.clone();
                spawn(async move { hosts.register(entry, host).await });
            }
            Effect::UnregisterHost => {
                let hosts = self.platform.hosts.clone();
                let name = self.platform.entry.name.clone();
                spawn(async move { hosts.unregister(name).await });
            }
            Effect::AskStore => {
                if let Some(store) = self.platform.store.clone() {
                    spawn(async move {
                        let report = store.report().await;
                        gate.send(Event::StoreReported { report }).await;
                    });
                }
            }
            Effect::AskEngine {
                upstream,
                address,
                asked_at,
            } => {
                let engines = self.platform.engines.clone();
                spawn(async move {
                    let report = engines.report(address).await;
                    gate.send(Event::EngineReported {
                        upstream,
                        asked_at,
                        report,
                    })
                    .await;
                });
            }
            Effect::OrderEngine {
                copy,
                address,
                order,
                watch_only,
                begin_by,
            } => {
                let (engines, clock) = (self.platform.engines.clone(), self.clock);
                spawn(async move {
                    let fence = order.fence;
                    let answer = if clock.now() > begin_by {
                        OrderAnswer::NotSent("decided too long ago".to_string())
                    } else if watch_only {
                        engines.order_state(address, order.order).await
                    } else {
                        engines.order(address, order).await
                    };
                    gate.send(Event::OrderAnswered {
                        copy,
                        fence,
                        answer,
                    })
                    .await;
                });
            }
            Effect::AskPeer {
                peer,
                address,
                asked_at,
                request,
            } => {
                let peers = self.peers.clone();
                spawn(async move {
                    let event = match peers.ask(address, &request).await {
                        Some(reply) => Event::PeerAnswered {
                            peer,
                            asked_at,
                            reply,
                        },
                        None => Event::PeerFailed { peer },
                    };
                    gate.send(event).await;
                });
            }
            Effect::AnswerPeer { call, reply } => self.gate.answer_peer(call, reply),
            Effect::Begin { attempt } => {
                let request = attempt.request;
                self.gate.instruct(request, Instruction::Begin(attempt));
            }
            Effect::Refuse { request, refusal } => {
                self.gate.instruct(request, Instruction::Refuse(refusal));
            }
            Effect::AnswerEntry { call, result } => self.gate.answer_entry(call, result),
            Effect::AnswerEdit { call, result } => self.gate.answer_edit(call, result),
            Effect::Exit => {}
        }
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    smol::spawn(task).detach();
}

fn health(now: Millis, node: &Node) -> &'static str {
    match node.life {
        Life::CatchingUp | Life::Joining => "starting",
        Life::Serving if node.is_fresh(now) => "serving",
        Life::Serving => "cut_off",
        Life::Stopping { .. } => "stopping",
        Life::Leaving { .. } | Life::Ended => "stopped",
    }
}
