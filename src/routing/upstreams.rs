//! State of each upstream as known to this host: requests in flight, reports, back-off and leaving.

use crate::membership::message::UpstreamEntry;
use crate::placement::message::EngineReport;
use crate::prelude::*;
use crate::routing::first_byte::{FirstByteTimes, MAX_TIMEOUT_MS};
use std::net::SocketAddr;

/// How long an upstream gets no requests after a failure.
pub const FAILURE_BACKOFF_MS: Millis = Millis(500);
/// How long an upstream gets no requests after it refused one as busy.
pub const BUSY_BACKOFF_MS: Millis = Millis(50);
/// Interval at which engines are asked for their reports.
pub const REPORT_INTERVAL_MS: Millis = Millis(500);
/// Maximum number of engines asked for their report in one interval, independent of the number of
/// engines.
pub const MAX_REPORT_REQUESTS: usize = 8;

/// State of one upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The address of the process that this state describes.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// End of the back-off: until then the upstream gets no requests.
    pub resting_until: Millis,
    /// End of the rest that the upstream asked this host for in an answer.
    #[serde(default)]
    pub asked_rest_until: Millis,
    /// Whether the upstream is known to be leaving, from itself or from another host.
    pub leaving: bool,
    /// Times to the first byte of streamed answers.
    pub streams: FirstByteTimes,
    /// Times to the first byte of answers that are not streamed.
    pub wholes: FirstByteTimes,
    /// The latest report of the engine.
    pub report: Option<EngineReport>,
    /// When the latest report was requested.
    pub report_asked_at: Millis,
    /// Whether a report request is in flight.
    pub report_under_way: bool,
    /// Whether the latest report request got no answer.
    pub silent: bool,
}

impl UpstreamView {
    /// Records the time to the first byte of an answer.
    pub fn note_first_byte(&mut self, streamed: bool, took_ms: Millis) {
        match streamed {
            true => self.streams.note(took_ms),
            false => self.wholes.note(took_ms),
        }
    }
}

/// The state of all upstreams, by name.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Routing {
    next_reports_at: Millis,
    views: IndexMap<Name, UpstreamView>,
}

impl Routing {
    /// Returns the state of an upstream, if any is recorded.
    pub fn get(&self, upstream: &str) -> Option<&UpstreamView> {
        self.views.get(upstream)
    }

    /// Chooses the engines to ask for their reports now: at most [`MAX_REPORT_REQUESTS`] in each
    /// interval, half of them reserved for engines without requests from this host, and none that
    /// has asked for rest. Within each group, the engines asked longest ago come first.
    pub fn due_reports<'a>(
        &mut self,
        now: Millis,
        engines: impl Iterator<Item = &'a UpstreamEntry>,
    ) -> Vec<&'a UpstreamEntry> {
        if now < self.next_reports_at {
            return Vec::new();
        }
        self.next_reports_at = now + REPORT_INTERVAL_MS;
        let mut idle = Vec::new();
        let mut in_use = Vec::new();
        for engine in engines {
            let view = self.get(&engine.name);
            let asked_at = view.map_or(Millis::ZERO, |view| view.report_asked_at);
            match view {
                Some(view) if view.report_under_way || now < view.asked_rest_until => {}
                Some(view) if view.in_flight > 0 => in_use.push((asked_at, engine)),
                _ => idle.push((asked_at, engine)),
            }
        }
        idle.sort_by_key(|(asked_at, _)| *asked_at);
        in_use.sort_by_key(|(asked_at, _)| *asked_at);
        let for_idle = idle.len().min(MAX_REPORT_REQUESTS / 2);
        in_use.truncate(MAX_REPORT_REQUESTS - for_idle);
        idle.truncate(MAX_REPORT_REQUESTS - in_use.len());
        in_use.extend(idle);
        in_use.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns the state of an upstream for modification, and creates it if there is none.
    pub fn view_mut(&mut self, upstream: &Name) -> &mut UpstreamView {
        self.views.entry(upstream.clone()).or_default()
    }

    /// Returns the timeout for the first byte of an upstream's answer.
    pub fn first_byte_timeout(&self, upstream: &str, streamed: bool) -> Millis {
        let Some(view) = self.get(upstream) else {
            return MAX_TIMEOUT_MS;
        };
        match streamed {
            true => view.streams.timeout_ms(),
            false => view.wholes.timeout_ms(),
        }
    }

    /// Removes upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.views.retain(|name, _| exists(name));
    }

    /// Chooses the candidate with the fewest requests of this host among those that are usable and
    /// have a free slot. Each candidate is an upstream with its number of slots.
    pub fn choose<'a>(
        &self,
        now: Millis,
        candidates: impl Iterator<Item = (&'a Name, u32)>,
    ) -> Option<&'a Name> {
        candidates
            .filter(|(name, slots)| self.is_usable(now, name) && self.in_flight(name) < *slots)
            .min_by_key(|(name, _)| self.in_flight(name))
            .map(|(name, _)| name)
    }

    /// Returns whether an upstream may get new requests: it is not leaving, has not asked for rest,
    /// and is not in back-off.
    pub fn is_usable(&self, now: Millis, upstream: &str) -> bool {
        self.get(upstream).is_none_or(|view| {
            !view.leaving && view.asked_rest_until <= now && view.resting_until <= now
        })
    }

    /// Returns when the rest ends that an upstream asked this host for, if it lasts at `now`.
    pub fn asked_rest_until(&self, now: Millis, upstream: &str) -> Option<Millis> {
        let until = self.get(upstream)?.asked_rest_until;
        (now < until).then_some(until)
    }

    fn in_flight(&self, upstream: &str) -> u32 {
        self.get(upstream).map_or(0, |view| view.in_flight)
    }
}
