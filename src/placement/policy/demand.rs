//! The use of models as known to this host: from its own requests and from the hints of other
//! hosts.

use crate::placement::policy::gap_histogram::GapHistogram;
use crate::prelude::*;
use crate::table::message::Urgency;

/// Most models whose use is remembered.
pub const MAX_MODELS: usize = 65_536;
/// The shortest time between two requests that counts as a gap.
pub const MIN_GAP_MS: Millis = Millis(1_000);
/// How long a model counts as in use after another host's hint that its requests wait or run.
pub const HINT_TTL_MS: Millis = Millis(3_000);

/// A host's use of a model, as it tells other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageHint {
    /// The name of the model.
    pub model: Arc<str>,
    /// The time since the sender last had a request for the model.
    pub idle_ms: Millis,
    /// Number of requests that wait for the model at the sender.
    pub waiting: u32,
    /// Number of requests of the sender that the model is running.
    pub running: u32,
    /// The highest urgency of the waiting requests.
    pub urgency: Urgency,
}

/// A request to free memory on an upstream, so that a load fits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemoryRequest {
    /// The name of the upstream.
    pub upstream: Arc<str>,
    /// The accelerator memory that must be free there.
    pub bytes: u64,
}

/// A host's demand, as it tells one other host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandHints {
    /// The models in use.
    pub uses: Vec<UsageHint>,
    /// The memory to free.
    pub room: Vec<MemoryRequest>,
}

/// The use of one model, as known to this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModelUsage {
    /// When the model was last used by this host or, by their hints, by others. Zero if never.
    pub last_used_at: Millis,
    /// When the model was last used by this host. Zero if never.
    pub own_use_at: Millis,
    /// Until when requests of other hosts count as waiting or running.
    pub busy_until: Millis,
    /// Number of requests that wait at another host, by the last hint of any host.
    pub waiting_elsewhere: u32,
    /// The duration of the model's last load in milliseconds, or zero if none is known.
    pub load_ms: u32,
    /// The gaps between the model's requests.
    pub gaps: GapHistogram,
}

/// The use of all models, as known to this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UsageTracker {
    models: IndexMap<Name, ModelUsage>,
    /// The moving average of the durations of all loads.
    mean_load_ms: Option<f64>,
}

impl UsageTracker {
    /// Returns the use of a model, if any is known.
    pub fn get(&self, model: &str) -> Option<&ModelUsage> {
        self.models.get(model)
    }

    /// Counts a model whose use is not known yet as used now, and returns its use.
    pub fn note_first_seen(&mut self, now: Millis, model: &Name) -> &ModelUsage {
        let used = self.entry(model);
        if used.last_used_at == Millis::ZERO {
            used.last_used_at = now;
        }
        used
    }

    /// Records a new request of this host.
    pub fn note_own_request(&mut self, at: Millis, model: &Name) {
        let used = self.entry(model);
        used.own_use_at = at.max(used.own_use_at);
        used.note_request(at);
    }

    /// Records that requests of this host for the model still wait or run. Unlike a new request,
    /// this counts no gap.
    pub fn note_own_in_use(&mut self, now: Millis, model: &Name) {
        let used = self.entry(model);
        used.own_use_at = now;
        used.last_used_at = now;
    }

    /// Records a hint of another host.
    pub fn note_hint(&mut self, now: Millis, hint: &UsageHint) {
        let used = self.entry(&hint.model);
        used.note_request(now - hint.idle_ms);
        used.waiting_elsewhere = hint.waiting;
        if hint.waiting > 0 || hint.running > 0 {
            used.busy_until = now + HINT_TTL_MS;
        }
    }

    /// Records the duration of a load.
    pub fn note_load(&mut self, model: &Name, load_ms: Millis) {
        /// The weight of a new duration in the moving average.
        const NEW_DURATION_WEIGHT: f64 = 0.2;
        let load = load_ms.0 as f64;
        let mean = self.mean_load_ms.unwrap_or(load);
        self.mean_load_ms = Some(mean + NEW_DURATION_WEIGHT * (load - mean));
        self.entry(model).load_ms = u32::try_from(load_ms.0).unwrap_or(u32::MAX);
    }

    /// Returns the expected duration of a load: of this model's last load, or else the moving
    /// average of all loads. `None` if no load is known.
    pub fn load_ms(&self, model: &str) -> Option<Millis> {
        let own = self.models.get(model).map_or(0, |used| used.load_ms);
        match own {
            0 => self.mean_load_ms.map(|mean| Millis(mean as u64)),
            own => Some(Millis(u64::from(own))),
        }
    }

    /// Returns the models that this host itself has used since a point in time.
    pub fn used_here_since(&self, since: Millis) -> impl Iterator<Item = (&Name, &ModelUsage)> {
        self.models
            .iter()
            .filter(move |(_, used)| used.own_use_at >= since && used.own_use_at > Millis::ZERO)
    }

    /// Returns a model's entry, which is added if missing; if there are too many, the one that
    /// was added first is removed.
    fn entry(&mut self, model: &Name) -> &mut ModelUsage {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            self.models.shift_remove_index(0);
        }
        self.models.entry(model.clone()).or_default()
    }
}

impl ModelUsage {
    /// Records a request at a time, and the gap since the previous one.
    fn note_request(&mut self, at: Millis) {
        let gap_ms = at.since(self.last_used_at);
        if self.last_used_at > Millis::ZERO && gap_ms >= MIN_GAP_MS {
            self.gaps.note(gap_ms);
        }
        self.last_used_at = at.max(self.last_used_at);
    }
}
