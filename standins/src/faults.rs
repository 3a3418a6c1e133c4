//! Faults that a stand-in plays on request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::error::Refusal;
use crate::notifier::Notifier;
use crate::transport::SilenceEpoch;

/// The longest delay or hang that is played.
const MAX_DELAY_MS: u64 = 600_000;
/// How many path prefixes the filter holds.
const MAX_PATHS: usize = 32;
/// A lost event stream breaks off before it has sent this many chunks.
const MAX_CHUNKS_BEFORE_LOSS: usize = 8;

/// All active faults; posting them replaces the former ones.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Every answer is held back this long after its effect.
    delay_ms: u64,
    /// Every request is refused at once.
    outage: bool,
    /// Every request is turned away, and its caller asked for this many seconds of rest.
    rest_s: Option<u64>,
    /// The probability that an answer is lost after its effect.
    lose_answers: f64,
    /// How long a connection whose answer is lost hangs before it is closed.
    lose_hang_ms: u64,
    /// Requests are accepted and nothing is answered until this is lifted.
    freeze: bool,
    /// Connections open when this is posted go silent for good.
    silent: bool,
    /// The seed of the random draws.
    seed: Option<u64>,
    /// Only requests whose path starts with one of these suffer; empty means all.
    paths: Vec<Arc<str>>,
}

impl FaultSettings {
    fn validate(&self) -> Result<(), Refusal> {
        if !(0.0..=1.0).contains(&self.lose_answers) {
            return Err(Refusal::bad_request("`lose_answers` must lie in 0..=1"));
        }
        if self.delay_ms > MAX_DELAY_MS || self.lose_hang_ms > MAX_DELAY_MS {
            let detail = format!("delays must not exceed {MAX_DELAY_MS} ms");
            return Err(Refusal::bad_request(detail));
        }
        if self.paths.len() > MAX_PATHS {
            let detail = format!("`paths` must not exceed {MAX_PATHS} entries");
            return Err(Refusal::bad_request(detail));
        }
        Ok(())
    }

    fn applies_to(&self, path: &str) -> bool {
        self.paths.is_empty() || self.paths.iter().any(|prefix| path.starts_with(&**prefix))
    }
}

/// What happens to an answer after its effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerFaults {
    /// How long the answer is held back.
    pub delay_ms: u64,
    /// How the answer is lost, if it is.
    pub loss: Option<Loss>,
}

/// How an answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// How long the connection hangs before it is closed.
    pub hang_ms: u64,
    /// How many chunks of an event stream are sent before.
    pub chunks_before: usize,
}

#[derive(Debug, Default)]
struct FaultState {
    settings: FaultSettings,
    rng: Rng,
}

/// The faults of one process.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<FaultState>,
    changed: Notifier,
    silence: Arc<SilenceEpoch>,
}

impl Faults {
    /// Returns the epoch that silences open connections.
    pub fn silence(&self) -> Arc<SilenceEpoch> {
        Arc::clone(&self.silence)
    }

    /// Returns the active settings.
    pub fn settings(&self) -> FaultSettings {
        self.lock().settings.clone()
    }

    /// Replaces the active settings.
    ///
    /// # Errors
    ///
    /// Refuses values out of range; the former settings stay then.
    pub fn replace(&self, settings: FaultSettings) -> Result<(), Refusal> {
        settings.validate()?;
        let mut state = self.lock();
        if let Some(seed) = settings.seed {
            state.rng.seed(seed);
        }
        if settings.silent {
            self.silence.silence_open();
        }
        state.settings = settings;
        drop(state);
        self.changed.notify_all();
        Ok(())
    }

    /// Reports whether requests to the path are refused at once.
    pub fn is_outage(&self, path: &str) -> bool {
        let state = self.lock();
        state.settings.outage && state.settings.applies_to(path)
    }

    /// Returns the rest that requests to the path are turned away with, if they are.
    pub fn rest_s(&self, path: &str) -> Option<u64> {
        let state = self.lock();
        state
            .settings
            .rest_s
            .filter(|_| state.settings.applies_to(path))
    }

    /// Waits while requests to the path are frozen.
    pub async fn until_thawed(&self, path: &str) {
        loop {
            let changed = self.changed.waiter();
            if !self.is_frozen(path) {
                return;
            }
            changed.wait().await;
        }
    }

    /// Draws what happens to one answer.
    pub fn draw(&self, path: &str) -> AnswerFaults {
        let mut state = self.lock();
        if !state.settings.applies_to(path) {
            return AnswerFaults::default();
        }
        AnswerFaults {
            delay_ms: state.settings.delay_ms,
            loss: state.draw_loss(),
        }
    }

    fn is_frozen(&self, path: &str) -> bool {
        let state = self.lock();
        state.settings.freeze && state.settings.applies_to(path)
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultState {
    fn draw_loss(&mut self) -> Option<Loss> {
        let probability = self.settings.lose_answers;
        if probability <= 0.0 || self.rng.f64() >= probability {
            return None;
        }
        Some(Loss {
            hang_ms: self.settings.lose_hang_ms,
            chunks_before: self.rng.usize(0..MAX_CHUNKS_BEFORE_LOSS),
        })
    }
}
