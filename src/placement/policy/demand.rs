//! What this host knows of the use of models: its own requests, and what other hosts tell it.

use crate::placement::policy::gaps::Gaps;
use crate::prelude::*;
use crate::table::message::Urgency;

/// Most models of which use is remembered.
pub const MAX_MODELS: usize = 65_536;
/// The shortest pause between requests that counts as a gap.
pub const LEAST_GAP_MS: Millis = Millis(1_000);
/// How long another host's word that requests wait or run holds.
pub const HINT_HOLDS_MS: Millis = Millis(3_000);

/// What one host tells another of its use of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UseHint {
    /// The model.
    pub model: Arc<str>,
    /// How long ago its last request was there.
    pub idle_ms: Millis,
    /// How many of its requests wait.
    pub waiting: u32,
    /// How many run.
    pub running: u32,
    /// The highest urgency among those waiting.
    pub urgency: Urgency,
}

/// Memory that a load needs on an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomWanted {
    /// The upstream.
    pub upstream: Arc<str>,
    /// How much must be free.
    pub bytes: u64,
}

/// What one host tells another of its demand.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandHints {
    /// Models in use.
    pub uses: Vec<UseHint>,
    /// Memory needed.
    pub room: Vec<RoomWanted>,
}

/// The use of one model.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ModelUse {
    /// When it was last used, anywhere that this host knows of.
    pub last_used_at: Millis,
    /// When it was last used here.
    pub own_use_at: Millis,
    /// Until when another host's requests count as waiting or running.
    pub busy_until: Millis,
    /// How many requests wait at other hosts, by the last word.
    pub waiting_elsewhere: u32,
    /// The last load's duration, or zero.
    pub load_ms: u32,
    /// The gaps between its requests.
    pub gaps: Gaps,
}

/// The use of all models.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Uses {
    models: IndexMap<Name, ModelUse>,
    mean_load_ms: Option<f64>,
}

impl Uses {
    /// Returns what is known of a model.
    pub fn get(&self, model: &str) -> Option<&ModelUse> {
        self.models.get(model)
    }

    /// Takes note of a model that is met for the first time, as if used now.
    pub fn meet(&mut self, now: Millis, model: &Name) -> &ModelUse {
        let used = self.entry(model);
        if used.last_used_at == Millis::ZERO {
            used.last_used_at = now;
        }
        used
    }

    /// Takes note of a request of this host.
    pub fn note_own(&mut self, at: Millis, model: &Name) {
        let used = self.entry(model);
        used.own_use_at = at.max(used.own_use_at);
        used.note(at);
    }

    /// Takes note that a request of this host still waits or runs.
    pub fn touch_own(&mut self, now: Millis, model: &Name) {
        let used = self.entry(model);
        used.own_use_at = now;
        used.last_used_at = now;
    }

    /// Takes another host's word.
    pub fn note_hint(&mut self, now: Millis, hint: &UseHint) {
        let used = self.entry(&hint.model);
        used.note(now - hint.idle_ms);
        used.waiting_elsewhere = hint.waiting;
        if hint.waiting > 0 || hint.running > 0 {
            used.busy_until = now + HINT_HOLDS_MS;
        }
    }

    /// Takes the duration of a load.
    pub fn note_load(&mut self, model: &Name, load_ms: Millis) {
        const NEW_WEIGHT: f64 = 0.2;
        let load = load_ms.0 as f64;
        let mean = self.mean_load_ms.unwrap_or(load);
        self.mean_load_ms = Some(mean + NEW_WEIGHT * (load - mean));
        self.entry(model).load_ms = u32::try_from(load_ms.0).unwrap_or(u32::MAX);
    }

    /// Returns how long a load takes: this model's last one, or the mean of all.
    pub fn load_ms(&self, model: &str) -> Option<Millis> {
        let own = self.models.get(model).map_or(0, |used| used.load_ms);
        match own {
            0 => self.mean_load_ms.map(|mean| Millis(mean as u64)),
            own => Some(Millis(u64::from(own))),
        }
    }

    /// Returns the models that this host itself used since a point.
    pub fn own_since(&self, since: Millis) -> impl Iterator<Item = (&Name, &ModelUse)> {
        self.models
            .iter()
            .filter(move |(_, used)| used.own_use_at >= since && used.own_use_at > Millis::ZERO)
    }

    fn entry(&mut self, model: &Name) -> &mut ModelUse {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            self.models.swap_remove_index(0);
        }
        self.models.entry(model.clone()).or_default()
    }
}

impl ModelUse {
    fn note(&mut self, at: Millis) {
        let gap_ms = at.since(self.last_used_at);
        if self.last_used_at > Millis::ZERO && gap_ms >= LEAST_GAP_MS {
            self.gaps.note(gap_ms);
        }
        self.last_used_at = at.max(self.last_used_at);
    }
}
