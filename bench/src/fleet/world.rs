//! The hosts, engines and models of a modelled site.

use crate::fleet::Size;
use mangovale::desired::{EngineSpec, ModelSpec};
use mangovale::group::parents::MAX_RELAYS;
use mangovale::group::{Member, RelayTree};
use mangovale::prelude::*;
use mangovale::upstreams::{HeldModel, Lifetime, Registry, UpstreamEntry};
use std::net::{Ipv4Addr, SocketAddr};

/// The service of the engines.
pub const SERVICE: &str = "engines";
const DATA_CENTRES: usize = 6;
/// One host of so many has a whole core; the others an eighth.
const LARGE_HOST_EACH: usize = 16;
const LARGE_MILLICORES: u32 = 1_000;
const SMALL_MILLICORES: u32 = 120;
/// Models that engines hold at the start: the first few are busy, and on most engines.
const BUSY_MODELS: usize = 50;
const COPIES_AN_ENGINE: usize = 2;
const ENGINE_MB: f64 = 83_000.0;
const MODEL_MB: f64 = 34_000.0;

/// A modelled site.
pub struct World {
    /// Its size.
    pub size: Size,
    /// The hosts, in the order of their incarnations.
    pub hosts: Vec<Member>,
    /// Which of them relay.
    pub tree: RelayTree,
    /// The list of upstreams.
    pub upstreams: Registry,
    /// What engines can hold.
    pub spec: EngineSpec,
}

impl World {
    /// Makes a site in which every model is on an engine, and the busy ones on many.
    pub fn new(size: Size) -> Self {
        let hosts: Vec<Member> = (0..size.hosts).map(host).collect();
        let mut upstreams = Registry::default();
        for n in 0..size.engines {
            upstreams.put(engine(n, size));
        }
        Self {
            size,
            tree: RelayTree::new(hosts.iter()),
            hosts,
            upstreams,
            spec: spec(size.models),
        }
    }

    /// Returns the hosts that relay for others.
    pub fn relays(&self) -> impl Iterator<Item = &Member> {
        let is_relay = |host: &&Member| self.tree.is_relay(host.incarnation);
        self.hosts.iter().filter(is_relay)
    }

    /// Returns the relays that a host asks, the first one at the front.
    pub fn relays_of(&self, host: &Member) -> Vec<&Member> {
        let relays = self.tree.relays_of(host).into_iter();
        relays.take(MAX_RELAYS).collect()
    }

    /// Returns the starts of the engines, with their service.
    pub fn engines(&self) -> impl Iterator<Item = (Lifetime, Name)> {
        let engines = self.upstreams.iter();
        engines.map(|engine| (engine.lifetime(), engine.entry.service.clone()))
    }
}

/// Returns the name of a model.
pub fn model(n: usize) -> Name {
    format!("model-{n:04}").into()
}

/// Returns the name of an engine.
pub fn engine_id(n: usize) -> Name {
    format!("engine-{n:06x}").into()
}

fn address(n: usize, port: u16) -> SocketAddr {
    let [_, b, c, d] = (n as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, b, c, d), port))
}

fn host(n: usize) -> Member {
    // Incarnations are random; what matters is that they are spread.
    let incarnation = (n as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let is_large = n.is_multiple_of(LARGE_HOST_EACH);
    Member {
        caller_address: address(n, 8_149),
        peer_address: address(n, 7_380),
        data_centre: format!("data-centre-{}", n % DATA_CENTRES).into(),
        incarnation,
        fingerprint: format!("{incarnation:064x}").into(),
        cpu_millicores: match is_large {
            true => LARGE_MILLICORES,
            false => SMALL_MILLICORES,
        },
    }
}

/// Each engine holds as many models as fit: one that two hold where there is one left, else busy ones.
fn engine(n: usize, size: Size) -> UpstreamEntry {
    let busy = size.models.min(BUSY_MODELS);
    let seldom = busy + n / 2;
    let seldom = (seldom < size.models).then_some(seldom);
    let held = seldom
        .into_iter()
        .chain((0..).map(|at| (n + at * 7) % busy));
    let held = held.take(COPIES_AN_ENGINE).collect::<IndexSet<usize>>();
    UpstreamEntry {
        id: engine_id(n),
        born_at: Millis(1_700_000_000_000 + n as u64),
        service: SERVICE.into(),
        address: address(n, 9_000),
        data_centre: format!("data-centre-{}", n % DATA_CENTRES).into(),
        software_version: None,
        slots: 96,
        leaving: false,
        order_count: 0,
        models: held
            .into_iter()
            .map(|n| HeldModel {
                name: model(n),
                adapters: Vec::new(),
            })
            .collect(),
    }
}

fn spec(models: usize) -> EngineSpec {
    let spec = ModelSpec {
        weights_mb: MODEL_MB,
        load_ms: Millis(13_200),
        from_disk_ms: Millis(500),
        adapter_mb: 40.0,
        adapters: Vec::new(),
    };
    EngineSpec {
        slots: 96,
        kv_tokens: 200_000,
        weights_mb: ENGINE_MB,
        adapter_slots: 8,
        loads_per_s: 2_800.0,
        models: (0..models).map(|n| (model(n), spec.clone())).collect(),
        ..EngineSpec::default()
    }
}
