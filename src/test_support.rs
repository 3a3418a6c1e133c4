//! What tests of several modules share.

use crate::desired::{Repeat, Route, Target};
use crate::group::Member;
use crate::prelude::*;
use std::net::SocketAddr;

/// Runs a property on inputs made from fixed seeds, and returns what it returned.
pub fn seeded<T>(
    runs: u64,
    property: impl Fn(&mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<T>,
) -> Vec<T> {
    let run = |seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = (0..16_384).map(|_| random.u8(..)).collect();
        property(&mut arbtest::arbitrary::Unstructured::new(&bytes))
            .expect("there are enough bytes")
    };
    (0..runs).map(run).collect()
}

/// A host of the group.
pub fn member(incarnation: u64, data_centre: &str, cpu_millicores: u32) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], incarnation as u16));
    Member {
        caller_address: address,
        peer_address: address,
        data_centre: data_centre.into(),
        incarnation,
        fingerprint: format!("{incarnation:x}").into(),
        cpu_millicores,
    }
}

/// Makes a route of all requests of host `h` to service `s`, once each, which a test changes as it needs.
pub fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
        repeat: Repeat::Once,
        streams: false,
        time_limit_ms: Millis(1_000),
        goal_ms: Millis(100),
        event_gap_ms: None,
        attempts: 1,
        rank: 0,
        is_public: false,
    }
}
