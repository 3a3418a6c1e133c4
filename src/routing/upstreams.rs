//! What this host knows of each upstream: its own requests there, reports, health, and leaving.

use crate::membership::message::UpstreamEntry;
use crate::placement::message::EngineReport;
use crate::prelude::*;
use crate::routing::first_byte::{FirstByteTimes, GREATEST_BOUND_MS};

/// How long an upstream is passed over after a failure.
pub const FAILURE_REST_MS: Millis = Millis(500);
/// How long an upstream is passed over that has too much to do.
pub const BUSY_REST_MS: Millis = Millis(50);
/// How often an engine is asked for its report.
pub const REPORT_INTERVAL_MS: Millis = Millis(500);
/// Most engines asked for their report in one interval, however many there are.
pub const MAX_REPORT_ASKS: usize = 8;

/// What is known of one upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Requests of this host under way there.
    pub in_flight: u32,
    /// Passed over until then.
    pub resting_until: Millis,
    /// Whether anyone said that it is leaving.
    pub leaving: bool,
    /// Times to the first byte of streams.
    pub streams: FirstByteTimes,
    /// Times to the first byte of answers that come whole.
    pub wholes: FirstByteTimes,
    /// Its last report.
    pub report: Option<EngineReport>,
    /// When the report was asked for.
    pub report_asked_at: Millis,
    /// Whether a report call is under way.
    pub report_under_way: bool,
    /// Whether the last report call got no answer.
    pub silent: bool,
}

impl UpstreamView {
    /// Takes note of the time to an answer's first byte.
    pub fn note_first_byte(&mut self, streamed: bool, took_ms: Millis) {
        match streamed {
            true => self.streams.note(took_ms),
            false => self.wholes.note(took_ms),
        }
    }
}

/// The upstreams by name.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Routing {
    next_reports_at: Millis,
    views: IndexMap<Name, UpstreamView>,
}

impl Routing {
    /// Returns what is known of an upstream.
    pub fn get(&self, upstream: &str) -> Option<&UpstreamView> {
        self.views.get(upstream)
    }

    /// Chooses the engines to ask for their reports now: a bounded number in each interval, at least half of
    /// it for engines without requests of this host, and of each kind those asked longest ago.
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
                Some(view) if view.report_under_way => {}
                Some(view) if view.in_flight > 0 => in_use.push((asked_at, engine)),
                _ => idle.push((asked_at, engine)),
            }
        }
        idle.sort_by_key(|(asked_at, _)| *asked_at);
        in_use.sort_by_key(|(asked_at, _)| *asked_at);
        let for_idle = idle.len().min(MAX_REPORT_ASKS / 2);
        in_use.truncate(MAX_REPORT_ASKS - for_idle);
        idle.truncate(MAX_REPORT_ASKS - in_use.len());
        in_use.extend(idle);
        in_use.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns what is known of an upstream, for change.
    pub fn view(&mut self, upstream: &Name) -> &mut UpstreamView {
        self.views.entry(upstream.clone()).or_default()
    }

    /// Returns how long an upstream may take to its first byte.
    pub fn first_byte_bound(&self, upstream: &str, streamed: bool) -> Millis {
        let Some(view) = self.get(upstream) else {
            return GREATEST_BOUND_MS;
        };
        match streamed {
            true => view.streams.bound_ms(),
            false => view.wholes.bound_ms(),
        }
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.views.retain(|name, _| exists(name));
    }

    /// Chooses the least loaded candidate that is not leaving or resting and has a free slot.
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

    /// Tells whether an upstream may get new work.
    pub fn is_usable(&self, now: Millis, upstream: &str) -> bool {
        self.get(upstream)
            .is_none_or(|view| !view.leaving && view.resting_until <= now)
    }

    fn in_flight(&self, upstream: &str) -> u32 {
        self.get(upstream).map_or(0, |view| view.in_flight)
    }
}
