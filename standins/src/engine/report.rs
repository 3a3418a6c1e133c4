//! Load reports, which may lag what is the case.

use std::sync::Arc;

use serde::Serialize;

use crate::clock::{now_ms, sleep_ms};
use crate::engine::checkpoints::CachedCheckpoints;
use crate::engine::copies::ModelCopy;
use crate::engine::{Engine, lock};
use crate::error::Refusal;
use crate::http::{Answer, Request};

/// How often a report is taken where reports lag.
const SAMPLE_EVERY_MS: u64 = 20;
/// Asks for memory and copies without lag.
const EXACT: &str = "1";

/// What the engine held and did at one time.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    memory_bytes: u64,
    used_bytes: u64,
    leaving: bool,
    running: u32,
    queued: usize,
    as_of_ms: u64,
    copies: Vec<ModelCopy>,
    cache: CachedCheckpoints,
}

impl Report {
    fn take(engine: &Engine) -> Self {
        let batch = engine.batch();
        let (running, queued) = (batch.running(), batch.queued());
        drop(batch);
        let cache = engine.checkpoints().cached();
        let copies = engine.copies();
        Self {
            memory_bytes: copies.memory_bytes(),
            used_bytes: copies.used_bytes(),
            leaving: engine.is_leaving(),
            running,
            queued,
            as_of_ms: now_ms(),
            copies: copies.list(),
            cache,
        }
    }

    /// Replaces memory and copies by what is the case now.
    fn set_exact_copies(&mut self, engine: &Engine) {
        let copies = engine.copies();
        self.used_bytes = copies.used_bytes();
        self.copies = copies.list();
    }
}

/// Starts to take reports, where they lag.
pub fn start_sampling(engine: &Arc<Engine>) {
    if engine.settings.report_lag_ms == 0 {
        return;
    }
    let engine = Arc::clone(engine);
    let sampling = async move {
        loop {
            sample(&engine);
            sleep_ms(SAMPLE_EVERY_MS).await;
        }
    };
    smol::spawn(sampling).detach();
}

/// Takes a report and drops all but the latest of those that are old enough to be shown.
fn sample(engine: &Engine) {
    let report = Report::take(engine);
    let shown_before_ms = report
        .as_of_ms
        .saturating_sub(engine.settings.report_lag_ms);
    let mut reports = lock(&engine.reports);
    reports.push_back(report);
    while reports
        .get(1)
        .is_some_and(|next| next.as_of_ms <= shown_before_ms)
    {
        reports.pop_front();
    }
}

/// Answers the report that is due now.
///
/// # Errors
///
/// Refuses a malformed query.
pub fn state(engine: &Engine, request: &Request) -> Result<Answer, Refusal> {
    let exact: Option<String> = request.query("exact")?;
    let lagging = lock(&engine.reports).front().cloned();
    let mut report = lagging.unwrap_or_else(|| Report::take(engine));
    report.leaving = engine.is_leaving();
    if exact.as_deref() == Some(EXACT) {
        report.set_exact_copies(engine);
    }
    Ok(Answer::ok(&report))
}
