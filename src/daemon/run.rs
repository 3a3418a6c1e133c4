//! The start and the event loop of a daemon process.

use crate::clock::Clock;
use crate::daemon::dump;
use crate::daemon::effects::{EffectRunner, PlatformClients};
use crate::daemon::event::Event;
use crate::daemon::metrics::{Metrics, Sampler};
use crate::daemon::node::{Life, Node, NodeConfig};
use crate::daemon::servers::{close, listen_callers, listen_operators};
use crate::daemon::trace::Trace;
use crate::edge::event_loop_handle::{EventLoopHandle, Input, Query};
use crate::edge::peer::{PeerEndpoint, PeerError};
use crate::membership::message::HostEntry;
use crate::prelude::*;
use crate::settings::Settings;
use async_signal::{Signal, Signals};
use smol::channel::{Receiver, Sender};
use smol::stream::StreamExt;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

/// The version of this program, as `Cargo.toml` names it.
pub const RELEASE: &str = env!("CARGO_PKG_VERSION");
/// The interval of [`Event::Tick`].
const TICK: Duration = Duration::from_millis(20);

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RunError {
    /// A listening address cannot be bound.
    #[snafu(display("cannot listen on {address} ({key}): {source}"))]
    Listen {
        /// The settings key that holds the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The endpoint for peers cannot start.
    #[snafu(display("{source}"))]
    Peer {
        /// The error of the endpoint.
        source: PeerError,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signal {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("cannot set up metrics: {why}"))]
    Metrics {
        /// The error of the metrics exporter.
        why: String,
    },
}

impl RunError {
    /// Returns advice to the operator on how to remove the cause, in one sentence.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Listen { .. }
            | Self::Peer {
                source: PeerError::Listen { .. },
            } => "end the process that uses the address, or change the setting",
            Self::Peer { .. } => "check the files under [keys]; `mangovale keys` makes them",
            Self::Signal { .. } | Self::Metrics { .. } => "report this with the message above",
        }
    }
}

/// Runs a daemon until a planned stop has ended.
///
/// # Errors
///
/// Returns an error if the daemon cannot start.
pub fn run(settings: Settings) -> Result<(), RunError> {
    smol::block_on(run_async(settings))
}

async fn run_async(settings: Settings) -> Result<(), RunError> {
    let clock = Clock::start();
    let me = Incarnation::new(clock.now(), fastrand::u64(..));
    let (gate, inputs) = EventLoopHandle::new();
    let metrics = Metrics::new()?;
    let peers = PeerEndpoint::bind(settings.peer_listen, &settings.keys).context(PeerSnafu)?;
    let callers = listen_callers(&settings, me, clock, &gate, &metrics)?;
    let operators = listen_operators(&settings, &gate, &metrics)?;
    smol::spawn(peers.clone().serve(gate.clone())).detach();
    smol::spawn(watch_signals(gate.clone(), signals()?)).detach();
    smol::spawn(send_ticks(gate.clone())).detach();
    LogEvent::Started.write(&format!(
        "name={} incarnation={me} release={RELEASE} callers={} peers={} operators={}",
        settings.name, settings.caller_listen, settings.peer_listen, settings.operator_listen
    ));
    let node = Node::new(node_config(&settings, me));
    let effects = EffectRunner {
        clock,
        gate,
        peers: peers.clone(),
        platform: PlatformClients::new(&settings, &node.config),
    };
    let event_loop = EventLoop {
        trace: Trace::new(node.config.clone()),
        sampler: Sampler::default(),
        effects,
        metrics,
    };
    event_loop.run(node, inputs).await;
    close(callers).await;
    close(operators).await;
    peers.close();
    LogEvent::Stopped.write(&format!("name={}", settings.name));
    Ok(())
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

fn signals() -> Result<Signals, RunError> {
    Signals::new([Signal::Term, Signal::Int]).context(SignalSnafu)
}

async fn watch_signals(gate: Arc<EventLoopHandle>, mut signals: Signals) {
    while signals.next().await.is_some() {
        gate.send(Event::StopAsked).await;
    }
}

async fn send_ticks(gate: Arc<EventLoopHandle>) {
    loop {
        smol::Timer::after(TICK).await;
        gate.send(Event::Tick).await;
    }
}

/// The event loop: handles events and answers operators' queries, one at a time.
struct EventLoop {
    effects: EffectRunner,
    metrics: Metrics,
    sampler: Sampler,
    trace: Trace,
}

impl EventLoop {
    async fn run(mut self, mut node: Node, inputs: Receiver<Input>) {
        while let Ok(input) = inputs.recv().await {
            let now = self.effects.clock.now();
            match input {
                Input::Query(query) => self.answer_query(now, &node, query),
                Input::Event(event) => {
                    if self.step(now, &mut node, event).is_break() {
                        return;
                    }
                }
            }
        }
    }

    /// Handles one event and starts its effects. Returns `Break` if the process is to exit.
    fn step(&mut self, now: Millis, node: &mut Node, event: Event) -> ControlFlow<()> {
        self.trace.push(now, &event, node);
        self.metrics.count_event(&event);
        let effects = node.handle(now, event);
        self.sampler
            .sample(now, node, self.trace.bytes(), &self.metrics);
        if effects.contains(&Effect::Exit) {
            return ControlFlow::Break(());
        }
        for effect in effects {
            self.metrics.count_effect(&effect);
            self.effects.execute(effect);
        }
        ControlFlow::Continue(())
    }

    /// Answers an operator's query. Long texts are serialised on another thread, from a copy of the
    /// state, so that the event loop goes on meanwhile.
    fn answer_query(&self, now: Millis, node: &Node, query: Query) {
        match query {
            Query::Health(sender) => {
                let _ = sender.try_send(health(now, node).to_string());
            }
            Query::Dump(sender) => {
                let state = node.clone();
                serialise_for(sender, move || dump::dump(now, &state));
            }
            Query::Trace(sender) => {
                let (trace, state) = (self.trace.clone(), node.clone());
                serialise_for(sender, move || trace.to_file(&state));
            }
            Query::Table(sender) => {
                let table = node.shared.table.clone();
                serialise_for(sender, move || serde_json::to_string(&table));
            }
            Query::Hosts(sender) => {
                let members = node.shared.members.clone();
                serialise_for(sender, move || serde_json::to_string(&members));
            }
            Query::Placements(sender) => {
                let placement = node.shared.placement.clone();
                serialise_for(sender, move || serde_json::to_string(&placement));
            }
        }
    }
}

fn serialise_for(
    sender: Sender<String>,
    write: impl FnOnce() -> Result<String, serde_json::Error> + Send + 'static,
) {
    let task = async move {
        // If the text cannot be written, the sender is dropped and the receiver gets an error.
        if let Ok(text) = smol::unblock(write).await {
            let _ = sender.try_send(text);
        }
    };
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
