//! A new desired state: who reads it from the store, and how long it takes to all hosts.

use crate::fleet::exchange::{WAY_MS, bytes};
use crate::fleet::start::Start;
use crate::fleet::world::{SERVICE, World};
use mangovale::desired::{DesiredState, Repeat, Route, Service, Target};
use mangovale::entry::desired_copy::DesiredCopy;
use mangovale::prelude::*;
use serde::Serialize;

/// Routes of a site, whatever its size.
const ROUTES: usize = 260;
/// Megabits a second of the links of a relay and of any other host.
const RELAY_LINK_MBPS: f64 = 1_000.0;
const HOST_LINK_MBPS: f64 = 20.0;

/// What a version of the desired state takes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Desired {
    /// Hosts that read it from the store.
    pub store_readers: usize,
    /// Bytes of it as one host gets it from a relay.
    pub bytes: usize,
    /// Bytes that the busiest relay sends.
    pub relay_bytes: usize,
    /// The longest time until all hosts had it; `news_ms` is that until they knew that there is one.
    pub known_ms: Millis,
}

/// Measures a version; `start` has how hosts are spread over relays.
pub fn measure(world: &World, start: &Start, news_ms: Millis) -> Desired {
    let copy = DesiredCopy {
        state: Arc::new(state(world)),
        end: Position::new(Era::default(), u64::from(u32::MAX)),
        age_ms: Millis(200),
    };
    let bytes = bytes(&copy);
    let relay_bytes = bytes * start.busiest_relay_hosts;
    let sent_ms = link_ms(relay_bytes, RELAY_LINK_MBPS) + link_ms(bytes, HOST_LINK_MBPS);
    // The relay reads it, then each of its hosts asks the relay.
    let asked_ms = WAY_MS + WAY_MS + WAY_MS + WAY_MS;
    Desired {
        store_readers: start.store_readers,
        bytes,
        relay_bytes,
        known_ms: news_ms + asked_ms + sent_ms,
    }
}

fn link_ms(bytes: usize, link_mbps: f64) -> Millis {
    let bits = bytes as f64 * 8.0;
    Millis((bits / link_mbps / 1_000.0).ceil() as u64)
}

/// Returns a desired state of the usual size.
pub fn state(world: &World) -> DesiredState {
    let service = Service {
        max_connections: 2_200,
        engine: Some(world.spec.clone()),
    };
    DesiredState {
        version: 1,
        routes: (0..ROUTES).map(route).collect(),
        services: [(Name::from(SERVICE), service)].into_iter().collect(),
        ..DesiredState::default()
    }
}

fn route(n: usize) -> Route {
    let target = Target {
        service: SERVICE.into(),
        weight: 1,
    };
    Route {
        name: format!("route-{n:04}").into(),
        host: format!("organisation-{n:04}.example").into(),
        path_prefix: "/v1/".into(),
        targets: vec![target],
        repeat: Repeat::Resumable,
        streams: true,
        time_limit_ms: Millis(13_000),
        goal_ms: Millis(2_000),
        event_gap_ms: Some(Millis(600)),
        attempts: 2,
        rank: 0,
        is_public: false,
    }
}
