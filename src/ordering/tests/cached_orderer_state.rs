//! A host handles refusals by engines that contradict the orderer's state.

use super::fake_engine::unknown_start;
use crate::entry::platform::ModelRef;
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::ordering::published::{EngineView, EnginesUpdate, EnginesVersion};
use crate::prelude::*;

fn ask(model: &str) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: None,
    }
}

fn state(version: EnginesVersion, models: &[&str]) -> EnginesUpdate {
    let engine = EngineView {
        engine: unknown_start("e".into()),
        held: models.iter().map(|model| ask(model)).collect(),
    };
    EnginesUpdate {
        version,
        is_whole: true,
        engines: vec![engine],
        gone: Vec::new(),
        slowness: Vec::new(),
    }
}

/// While the orderer is lost, engines change and hosts use its last state for seconds.
#[test]
fn an_engine_that_lacks_a_model_is_avoided_while_the_orderers_state_is_stale() {
    let mut view = CachedOrdererState::default();
    let engine: Name = "e".into();
    let now = Millis(10_000);
    view.apply_engines(state((1, 7), &["m"]));
    view.answered_at = Some(now - Millis(3_000));
    view.note_lacking(now, &engine, &ask("m"));
    assert!(view.is_lacking(now + Millis(2_000), &engine, &ask("m")));
    assert!(!view.is_lacking(now + Millis(2_000), &engine, &ask("other")));
    // The engine is tried again after some seconds in any case, and as soon as the orderer sends a
    // new state.
    assert!(!view.is_lacking(now + Millis(5_000), &engine, &ask("m")));
    view.apply_engines(state((2, 1), &["m"]));
    assert!(!view.is_lacking(now + Millis(2_000), &engine, &ask("m")));
}

/// An adapter that is ready slightly later than expected is tried again soon while the orderer is
/// reachable.
#[test]
fn an_engine_that_lacks_a_model_is_retried_soon_while_the_orderers_state_is_fresh() {
    let mut view = CachedOrdererState::default();
    let engine: Name = "e".into();
    let now = Millis(10_000);
    view.apply_engines(state((1, 7), &["m"]));
    view.answered_at = Some(now);
    view.note_lacking(now, &engine, &ask("m"));
    assert!(view.is_lacking(now + Millis(100), &engine, &ask("m")));
    assert!(!view.is_lacking(now + Millis(200), &engine, &ask("m")));
}
