//! A model of the messages about reservations: how many bytes they add at each host.

use crate::prelude::*;
use crate::rate_limit::Place;
use crate::rate_limit::place::LATE_MS;

/// Bytes of a call and its answer on an open connection, with all packets of both directions and their UDP
/// and IP headers.
pub const CALL_BYTES: u64 = 300;
/// The same, with the handshake of a new connection.
pub const FIRST_CALL_BYTES: u64 = 5_000;
/// How long a connection stays open without traffic.
const IDLE_MS: u64 = 5_000;
const SECONDS: u64 = 60;

/// Who answers claims.
#[derive(Clone, Copy, Debug)]
enum Keepers {
    /// One of this many hosts, chosen by the key.
    Rendezvous(usize),
    /// Every host, since the orderer tells all hosts of each reservation made or claimed.
    All,
}

struct Load {
    calls_per_s: f64,
    opened_per_s: f64,
    bytes_per_s: f64,
}

/// Returns the load for each host, on average, where `refused_per_s` requests are refused over all
/// hosts and come back once. Each asks for a reservation both times.
fn load(hosts: usize, refused_per_s: u64, keepers: Keepers) -> Load {
    let place_bytes = postcard::to_stdvec(&place().to_sent(Millis(0), false)).expect("bytes");
    let per_host = |total: f64| total / (hosts as u64 * SECONDS) as f64;
    let keepers = match keepers {
        Keepers::Rendezvous(keepers) => keepers.min(hosts),
        Keepers::All => {
            // What was made, and the key of what was claimed, in messages that are sent anyway.
            let bytes = refused_per_s * (place_bytes.len() as u64 + 10);
            return Load {
                calls_per_s: 0.0,
                opened_per_s: 0.0,
                bytes_per_s: bytes as f64,
            };
        }
    };
    let mut random = fastrand::Rng::with_seed(1);
    let mut used_at: IndexMap<(usize, usize), u64> = IndexMap::new();
    let (mut calls, mut opened) = (0, 0);
    for n in 0..refused_per_s * SECONDS {
        let at_ms = n * 1_000 / refused_per_s;
        // A refused request asks, and is kept; its repeat asks at any host.
        let (first, repeat, keeper) = (
            random.usize(..hosts),
            random.usize(..hosts),
            random.usize(..keepers),
        );
        for host in [first, first, repeat] {
            if host == keeper {
                continue;
            }
            calls += 1;
            let former = used_at.insert((host, keeper), at_ms);
            opened += u64::from(former.is_none_or(|former| at_ms - former >= IDLE_MS));
        }
    }
    let bytes = (calls - opened) * CALL_BYTES + opened * FIRST_CALL_BYTES;
    Load {
        calls_per_s: per_host(calls as f64),
        opened_per_s: per_host(opened as f64),
        bytes_per_s: per_host(bytes as f64),
    }
}

fn place() -> Place {
    Place {
        key: u64::MAX / 3,
        organisation: "organisation-12".into(),
        rank: 2,
        cost: 9_200,
        arrived_at: Millis(0),
        due_at: Millis(2_000),
        until: Millis(2_000) + LATE_MS,
        refused_by: u64::MAX / 5,
    }
}

// Guards against messages about reservations that need more than 2 KB/s at each host of a large site.
#[test]
fn calls_about_reservations_stay_within_their_bytes() {
    for (hosts, refused_per_s) in [(9, 30), (73, 30), (985, 30), (985, 300)] {
        let root = (4.0 * (hosts as f64).sqrt()).ceil() as usize;
        for keepers in [
            Keepers::Rendezvous(4),
            Keepers::Rendezvous(root),
            Keepers::Rendezvous(hosts),
            Keepers::All,
        ] {
            let load = load(hosts, refused_per_s, keepers);
            println!(
                "{hosts} hosts, {refused_per_s} refusals/s, {keepers:?}: {:.2} calls/s, {:.2} opened/s, {:.0} B/s for each host",
                load.calls_per_s, load.opened_per_s, load.bytes_per_s
            );
            if matches!(keepers, Keepers::Rendezvous(4)) && hosts == 985 {
                assert!(load.bytes_per_s < 2_000.0);
            }
        }
    }
}
