//! Faults of a site, drawn from a seed and carried out at their times.

use crate::check::Disturbance;
use crate::site::Site;
use fastrand::Rng;
use serde::Serialize;
use serde_json::json;

const FIRST_MS: u64 = 1_000;
const SHORTEST_GAP_MS: u64 = 300;
const LONGEST_GAP_MS: u64 = 2_500;
const SHORTEST_MS: u64 = 200;
const LONGEST_MS: u64 = 5_000;
/// How much longer a host counts as disturbed: until its connections are made again.
const RECOVERY_MS: u64 = 500;

/// A fault of one part of the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// A daemon's process ends and is started again.
    KillHost {
        /// The host's place in the site.
        host: usize,
    },
    /// A daemon's process stops and goes on.
    FreezeHost {
        /// The host's place in the site.
        host: usize,
    },
    /// A daemon's link to the log goes silent.
    CutLog {
        /// The host's place in the site.
        host: usize,
    },
    /// Datagrams to a daemon are lost.
    CutPeers {
        /// The host's place in the site.
        host: usize,
    },
    /// The log refuses everything.
    LogOutage,
    /// The log's answers are lost after their effect.
    LogLosesAnswers,
    /// The log answers late.
    LogSlow,
    /// An engine answers nothing for a while.
    FreezeEngine {
        /// The engine's place in the site.
        engine: usize,
    },
    /// An engine's open connections go silent for good.
    SilenceEngine {
        /// The engine's place in the site.
        engine: usize,
    },
    /// An engine's answers are lost after their effect.
    EngineLosesAnswers {
        /// The engine's place in the site.
        engine: usize,
    },
    /// A service's answers are lost after their effect.
    ServiceLosesAnswers {
        /// The upstream's place in the site.
        service: usize,
    },
    /// The weight store slows down.
    StoreSlow,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Planned {
    /// When it begins, from the start of the load.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// How many parts a site has.
#[derive(Clone, Copy, Debug)]
pub struct Parts {
    /// Daemons.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Upstreams of the service.
    pub services: usize,
}

/// Draws faults over a span; they may overlap, except two of the same part.
pub fn draw(seed: u64, span_ms: u64, parts: Parts) -> Vec<Planned> {
    let mut rng = Rng::with_seed(seed);
    let mut planned: Vec<Planned> = Vec::new();
    let mut at_ms = FIRST_MS;
    while at_ms < span_ms {
        let fault = draw_fault(&mut rng, parts);
        let for_ms = rng.u64(SHORTEST_MS..=LONGEST_MS).min(span_ms - at_ms);
        let clashes = planned.iter().any(|earlier| {
            earlier.fault.part() == fault.part() && earlier.at_ms + earlier.for_ms >= at_ms
        });
        if !clashes {
            planned.push(Planned {
                at_ms,
                for_ms,
                fault,
            });
        }
        at_ms += rng.u64(SHORTEST_GAP_MS..=LONGEST_GAP_MS);
    }
    planned
}

fn draw_fault(rng: &mut Rng, parts: Parts) -> Fault {
    let host = rng.usize(0..parts.hosts);
    let engine = rng.usize(0..parts.engines);
    let service = rng.usize(0..parts.services);
    let faults = [
        Fault::KillHost { host },
        Fault::FreezeHost { host },
        Fault::CutLog { host },
        Fault::CutPeers { host },
        Fault::LogOutage,
        Fault::LogLosesAnswers,
        Fault::LogSlow,
        Fault::FreezeEngine { engine },
        Fault::SilenceEngine { engine },
        Fault::EngineLosesAnswers { engine },
        Fault::ServiceLosesAnswers { service },
        Fault::StoreSlow,
    ];
    faults[rng.usize(0..faults.len())]
}

/// Names the part of the site that a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Process(usize),
    LogLink(usize),
    PeerLink(usize),
    Log,
    Engine(usize),
    Service(usize),
    Store,
}

impl Fault {
    fn part(self) -> Part {
        match self {
            Self::KillHost { host } | Self::FreezeHost { host } => Part::Process(host),
            Self::CutLog { host } => Part::LogLink(host),
            Self::CutPeers { host } => Part::PeerLink(host),
            Self::LogOutage | Self::LogLosesAnswers | Self::LogSlow => Part::Log,
            Self::FreezeEngine { engine }
            | Self::SilenceEngine { engine }
            | Self::EngineLosesAnswers { engine } => Part::Engine(engine),
            Self::ServiceLosesAnswers { service } => Part::Service(service),
            Self::StoreSlow => Part::Store,
        }
    }

    /// Begins the fault.
    pub fn begin(self, site: &mut Site) {
        match self {
            Self::KillHost { host } => site.host(host).process.kill(),
            Self::FreezeHost { host } => site.hosts[host].process.freeze(),
            Self::CutLog { host } => cut_log(site, host, true),
            Self::CutPeers { host } => cut_peers(site, host, true),
            Self::LogOutage => site.log.faults(&json!({ "outage": true })),
            Self::LogLosesAnswers => site.log.faults(&json!({ "lose_answers": 0.3, "seed": 1 })),
            Self::LogSlow => site.log.faults(&json!({ "delay_ms": 700 })),
            Self::FreezeEngine { engine } => {
                site.engines[engine].faults(&json!({ "freeze": true }));
            }
            Self::SilenceEngine { engine } => {
                site.engines[engine].faults(&json!({ "silent": true }));
            }
            Self::EngineLosesAnswers { engine } => {
                site.engines[engine].faults(&json!({ "lose_answers": 0.3, "seed": 1 }));
            }
            Self::ServiceLosesAnswers { service } => {
                site.services[service].faults(&json!({ "lose_answers": 0.5, "seed": 1 }));
            }
            Self::StoreSlow => slow_store(site, true),
        }
    }

    /// Lifts the fault.
    pub fn lift(self, site: &mut Site) {
        let none = json!({});
        match self {
            Self::KillHost { host } => site.restart_host(host),
            Self::FreezeHost { host } => site.hosts[host].process.thaw(),
            Self::CutLog { host } => cut_log(site, host, false),
            Self::CutPeers { host } => cut_peers(site, host, false),
            Self::LogOutage | Self::LogLosesAnswers | Self::LogSlow => site.log.faults(&none),
            Self::FreezeEngine { engine }
            | Self::SilenceEngine { engine }
            | Self::EngineLosesAnswers { engine } => site.engines[engine].faults(&none),
            Self::ServiceLosesAnswers { service } => site.services[service].faults(&none),
            Self::StoreSlow => slow_store(site, false),
        }
    }
}

impl Planned {
    /// Returns the time in which the fault keeps a host from answering its callers.
    pub fn disturbance(&self, site: &Site) -> Option<Disturbance> {
        let (Fault::KillHost { host } | Fault::FreezeHost { host }) = self.fault else {
            return None;
        };
        Some(Disturbance {
            host: site.hosts[host].caller.to_string(),
            from_ms: self.at_ms,
            until_ms: self.at_ms + self.for_ms + RECOVERY_MS,
        })
    }
}

fn cut_log(site: &Site, host: usize, cut: bool) {
    match &site.hosts[host].log_link {
        Some(link) if cut => link.cut(),
        Some(link) => link.mend(),
        None => {}
    }
}

fn cut_peers(site: &Site, host: usize, cut: bool) {
    match &site.hosts[host].peer_link {
        Some(link) if cut => link.cut(),
        Some(link) => link.mend(),
        None => {}
    }
}

fn slow_store(site: &Site, slow: bool) {
    const USUAL_BYTES_PER_S: u64 = 3_000;
    const SLOW_BYTES_PER_S: u64 = 300;
    let bytes_per_s = match slow {
        true => SLOW_BYTES_PER_S,
        false => USUAL_BYTES_PER_S,
    };
    if let Some(store) = &site.store {
        store.admin_post("/admin/limits", &json!({ "bytes_per_s": bytes_per_s }));
    }
}
