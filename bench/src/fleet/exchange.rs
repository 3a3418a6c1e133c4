//! The messages between hosts, their bytes by role, and how long news take to all hosts.

use crate::fleet::start::Start;
use crate::fleet::world::{World, model};
use mangovale::entry::peers;
use mangovale::entry::platform::ModelRef;
use mangovale::entry::replication::{TableEnd, TablesUpdate};
use mangovale::entry::sync::SYNC_INTERVAL_MS;
use mangovale::group::{Generation, Member, Members};
use mangovale::ordering::engine_inventory::EngineChanges;
use mangovale::ordering::message::{OrdererUpdate, SyncReply, SyncRequest, Totals};
use mangovale::ordering::published::{EngineView, PublishedEngines};
use mangovale::prelude::*;
use mangovale::rate_limit::UpstreamLimitsReport;
use mangovale::retry::CrashReport;
use serde::Serialize;

/// One way between two hosts, with the work at both ends.
pub const WAY_MS: Millis = Millis(4);
/// The part of the engines that hold other things than their entries say, because they were ordered to: one of so many.
const CHANGED_EACH: usize = 100;
/// At how many moments news begin.
const MOMENTS: u64 = 20;

/// The messages of a site in which nothing happens, and the way of news.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Exchange {
    /// Hosts that relay for others.
    pub relays: usize,
    /// Messages a second that the orderer answers.
    pub orderer_messages_per_s: f64,
    /// Messages a second that the busiest relay answers.
    pub relay_messages_per_s: f64,
    /// Bytes a second that the orderer gets and sends.
    pub orderer_bytes_per_s: f64,
    /// Bytes a second that the busiest relay gets and sends.
    pub relay_bytes_per_s: f64,
    /// Bytes a second that any other host gets and sends.
    pub host_bytes_per_s: f64,
    /// Bytes that a host is told of the engines by a new orderer, some of which it had changed.
    pub engines_bytes: usize,
    /// Bytes of the whole list of hosts.
    pub members_bytes: usize,
    /// The longest time until all hosts knew some news, at best and after the loss of a relay.
    pub news_ms: Millis,
    /// The same when a relay is lost at that moment.
    pub news_after_loss_ms: Millis,
}

/// Returns how long a message is.
pub fn bytes(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

/// Measures the messages of a site; `start` has how its hosts are spread over relays.
pub fn measure(world: &World, start: &Start, seed: u64) -> Exchange {
    let exchange_bytes = (bytes(&ask(&world.hosts[0])) + bytes(&reply(world))) as f64;
    let per_s = |is_direct: bool| 1_000.0 / interval_ms(world, is_direct).0 as f64;
    let relays = world.relays().count();
    let orderer_messages_per_s = relays.max(1) as f64 * per_s(true);
    let relay_messages_per_s = start.busiest_relay_hosts as f64 * per_s(false);
    let own_of_relay = per_s(true);
    Exchange {
        relays,
        orderer_messages_per_s,
        relay_messages_per_s,
        orderer_bytes_per_s: orderer_messages_per_s * exchange_bytes,
        relay_bytes_per_s: (relay_messages_per_s + own_of_relay) * exchange_bytes,
        host_bytes_per_s: per_s(false) * exchange_bytes,
        engines_bytes: engines_bytes(world),
        members_bytes: members_bytes(world),
        news_ms: longest(world, seed, None),
        news_after_loss_ms: longest(world, seed, world.relays().next()),
    }
}

/// Returns how often a host speaks with the orderer, or with its relay.
pub fn interval_ms(world: &World, is_direct: bool) -> Millis {
    Millis(SYNC_INTERVAL_MS.0 * world.tree.interval_factor(is_direct))
}

fn ask(host: &Member) -> SyncRequest {
    SyncRequest {
        incarnation: host.incarnation,
        is_for_orderer: false,
        is_urgent: false,
        view_version: (u64::MAX, u64::MAX),
        members_generation: Generation::new(Era::default(), 1),
        members: None,
        demand: Vec::new(),
        event_gaps: Vec::new(),
        work: Vec::new(),
        desired_version: Some(1),
        upstreams_from: Some(Position::new(Era::default(), u64::from(u32::MAX))),
        upstream_rows: Vec::new(),
        through: 0,
        usage: Vec::new(),
        crashes: CrashReport::default(),
        upstream_limits: UpstreamLimitsReport::default(),
        lines: Vec::new(),
        loads: Vec::new(),
    }
}

/// Returns what a host is told that knows everything.
fn reply(world: &World) -> SyncReply {
    let members = listed(world);
    let end = TableEnd {
        end: Position::new(Era::default(), u64::from(u32::MAX)),
        age_ms: Millis(200),
    };
    SyncReply::News(Box::new(OrdererUpdate {
        age_ms: Millis(200),
        lease_end: None,
        orderer: world.hosts[0].clone(),
        engines: published(world).since((u64::MAX, u64::MAX)),
        work: Vec::new(),
        ready_in_ms: Vec::new(),
        separate: Vec::new(),
        tables: TablesUpdate {
            desired_version: Some(1),
            desired: Some(end),
            upstreams: Some(end),
            rows: Vec::new(),
        },
        members_generation: members.generation(),
        members: members.update_since(members.generation()),
        totals: Totals::default(),
    }))
}

fn listed(world: &World) -> Members {
    let mut members = Members::default();
    members.replace(
        Millis(1),
        Generation::new(Era::default(), 1),
        world.hosts.iter().cloned().collect(),
    );
    members
}

fn members_bytes(world: &World) -> usize {
    let members = listed(world);
    members
        .update_since(Generation::default())
        .map_or(0, |news| bytes(&news))
}

/// Returns what an orderer publishes that has read all engines and ordered some.
fn published(world: &World) -> PublishedEngines {
    let changed = ModelRef {
        model: model(0),
        adapter: None,
    };
    let views = world.upstreams.iter().enumerate().map(|(n, engine)| {
        let listed = engine.entry.models.iter().map(|held| ModelRef {
            model: held.name.clone(),
            adapter: None,
        });
        let held = match n.is_multiple_of(CHANGED_EACH) {
            true => vec![changed.clone()],
            false => listed.collect(),
        };
        EngineView {
            engine: engine.lifetime(),
            held,
        }
    });
    let changes = EngineChanges {
        views: views.collect(),
        gone: Vec::new(),
    };
    let is_as_listed = |view: &EngineView| {
        let engine = world.upstreams.get_lifetime(&view.engine);
        engine.is_some_and(|engine| engine.holds_exactly(&view.held))
    };
    let mut published = PublishedEngines::default();
    published.update(1, changes, is_as_listed);
    published
}

fn engines_bytes(world: &World) -> usize {
    bytes(&published(world).since((0, 0)))
}

/// Returns the longest time until all hosts knew news of the orderer's, over some moments.
fn longest(world: &World, seed: u64, lost: Option<&Member>) -> Millis {
    let mut random = fastrand::Rng::with_seed(seed);
    let times = (0..MOMENTS).map(|_| news_ms(world, &mut random, lost));
    times.max().unwrap_or_default()
}

/// Returns how long news take to all hosts that are left.
fn news_ms(world: &World, random: &mut fastrand::Rng, lost: Option<&Member>) -> Millis {
    let to_relay = interval_ms(world, true);
    let to_host = interval_ms(world, false);
    let mut known_at: IndexMap<u64, Millis> = IndexMap::new();
    for relay in world.relays() {
        let asks_at = Millis(random.u64(0..to_relay.0));
        known_at.insert(relay.incarnation, asks_at + WAY_MS + WAY_MS);
    }
    let mut last = known_at.values().copied().max().unwrap_or_default();
    for host in &world.hosts {
        if world.tree.is_relay(host.incarnation) {
            continue;
        }
        let relays = world.relays_of(host);
        let is_lost = |relay: &Member| lost.is_some_and(|lost| lost == relay);
        let first_ask = Millis(random.u64(0..to_host.0));
        let (relay, ask_at) = match relays.as_slice() {
            [first, second, ..] if is_lost(first) => (*second, first_ask + peers::CALL_TIMEOUT_MS),
            [first, ..] if is_lost(first) => continue,
            [first, ..] => (*first, first_ask),
            // In a small site hosts ask the orderer.
            [] => {
                last = last.max(first_ask + WAY_MS + WAY_MS);
                continue;
            }
        };
        let told_from = known_at[&relay.incarnation];
        let mut asks_at = ask_at;
        while asks_at + WAY_MS < told_from {
            asks_at += to_host;
        }
        last = last.max(asks_at + WAY_MS + WAY_MS);
    }
    last
}
