//! The evidence on crashes that hosts send each other while upstreams crash all the time.

use crate::fleet::exchange::{bytes, interval_ms};
use crate::fleet::world::World;
use mangovale::prelude::*;
use mangovale::retry::interrupted_requests::InterruptedRun;
use mangovale::retry::message::EvidenceChecksums;
use mangovale::retry::{Quarantine, RequestCauses, RequestDigest, SharedCause, VersionTag};
use mangovale::upstreams::Lifetime;
use serde::Serialize;

/// Crashes of which the evidence is: more than are kept for one cause.
const CRASHES: u64 = 20;
/// Requests that run at each, with a prompt part each: more than a message has.
const REQUESTS: u64 = 512;

/// The evidence in the messages of a site if each has as much as it may have.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Crashes {
    /// Bytes of the evidence in a message and in its answer.
    pub bytes: usize,
    /// Bytes a second that the orderer gets and sends.
    pub orderer_bytes_per_s: f64,
    /// Bytes a second that a relay gets and sends, on average.
    pub relay_bytes_per_s: f64,
    /// Bytes a second that any other host gets and sends.
    pub host_bytes_per_s: f64,
}

/// Measures the evidence of a site.
pub fn measure(world: &World) -> Crashes {
    let longest = longest_evidence_bytes();
    let per_s = |is_direct: bool| 1_000.0 / interval_ms(world, is_direct).0 as f64;
    let relays = world.relays().count();
    let hosts = world.hosts.len();
    let behind_relay = (hosts - relays) as f64 / relays.max(1) as f64;
    let at_orderer = match relays {
        0 => hosts - 1,
        relays => relays,
    };
    Crashes {
        bytes: longest,
        orderer_bytes_per_s: at_orderer as f64 * per_s(true) * longest as f64,
        relay_bytes_per_s: (behind_relay * per_s(false) + per_s(true)) * longest as f64,
        host_bytes_per_s: per_s(false) * longest as f64,
    }
}

/// Returns how long the evidence of a report and of its answer are together after many crashes.
fn longest_evidence_bytes() -> usize {
    let mut host = Quarantine::default();
    let now = Millis(1_764_728_107_000);
    for n in 0..CRASHES {
        let upstream = Lifetime {
            id: format!("i-{n:010x}").into(),
            born_at: now,
        };
        for request in 0..REQUESTS {
            let run = InterruptedRun {
                causes: Arc::new(RequestCauses {
                    digest: RequestDigest::of(None, "POST", "h", "/", &request.to_le_bytes()),
                    shared: vec![SharedCause::part("s", request)],
                }),
                version: VersionTag::of(Some("v1")),
                sent_at: now + Millis(n),
                answered_ms: None,
            };
            host.note_connection_lost(now, &upstream, &run);
        }
        host.note_crashed(now, &upstream);
    }
    bytes(&host.report(now)) + bytes(&host.build_update(now, EvidenceChecksums::default()))
}
