//! Carries out effects. Calls run as tasks of their own, whose results come back as events.

use crate::clock::Clock;
use crate::daemon::event::Event;
use crate::daemon::node::NodeConfig;
use crate::edge::engine::HttpEngines;
use crate::edge::event_loop_handle::{EventLoopHandle, Instruction};
use crate::edge::hosts::HttpHostList;
use crate::edge::http::with_timeout;
use crate::edge::log_service::HttpLog;
use crate::edge::peer::PeerEndpoint;
use crate::edge::store::HttpStore;
use crate::edge::{EngineControl, HostDirectory, LogService, WeightStore};
use crate::membership::message::HostEntry;
use crate::placement::message::OrderAnswer;
use crate::prelude::*;
use crate::settings::Settings;
use std::time::Duration;

/// How long an upstream may take to accept the connection that checks whether it crashed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The clients of the platform's services: shared log, host list, engines and weight store.
pub struct PlatformClients {
    log: Arc<dyn LogService>,
    hosts: Arc<dyn HostDirectory>,
    engines: Arc<dyn EngineControl>,
    store: Option<Arc<dyn WeightStore>>,
    entry: HostEntry,
}

impl PlatformClients {
    /// Creates the clients that the settings configure. The weight store is optional.
    pub fn new(settings: &Settings, config: &NodeConfig) -> Self {
        let platform = &settings.platform;
        let store = platform.store_url.as_deref();
        Self {
            log: Arc::new(HttpLog::new(&platform.log_url, &platform.stream)),
            hosts: Arc::new(HttpHostList::new(&platform.hosts_url)),
            engines: Arc::new(HttpEngines),
            store: store.map(|url| Arc::new(HttpStore::new(url)) as Arc<dyn WeightStore>),
            entry: config.entry.clone(),
        }
    }
}

/// Carries out effects with the clients of a process.
pub struct EffectRunner {
    /// The clock of the process, which also times events.
    pub clock: Clock,
    /// Receives the resulting events, and passes answers on to the tasks that wait for them.
    pub gate: Arc<EventLoopHandle>,
    /// The client for requests to peers.
    pub peers: Arc<PeerEndpoint>,
    /// The clients of the platform's services.
    pub platform: PlatformClients,
}

impl EffectRunner {
    /// Starts an effect. The result of a call is sent to the gate as an event. [`Effect::Exit`] is
    /// left to the event loop.
    pub fn execute(&self, effect: Effect) {
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
                self.gate
                    .send_instruction(request, Instruction::Begin(attempt));
            }
            Effect::CheckUpstream { lifetime, address } => spawn(async move {
                let connect = smol::net::TcpStream::connect(address);
                let connected = with_timeout(CHECK_TIMEOUT, connect).await;
                let is_refused =
                    |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
                if connected.is_some_and(|result| result.as_ref().is_err_and(is_refused)) {
                    gate.send(Event::UpstreamRefused { lifetime }).await;
                }
            }),
            Effect::Refuse { request, refusal } => {
                self.gate
                    .send_instruction(request, Instruction::Refuse(refusal));
            }
            Effect::GiveAnswer { request, answer } => {
                self.gate
                    .send_instruction(request, Instruction::Answer(answer));
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
