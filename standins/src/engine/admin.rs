//! Admin paths of the engine.

use std::sync::atomic::Ordering;

use serde::Serialize;

use crate::engine::Engine;
use crate::engine::peaks::Peaks;
use crate::error::Refusal;
use crate::http::{Answer, Request};
use crate::service::Leaving;

/// The peaks of copies, with the requests run.
#[derive(Debug, Serialize)]
struct EnginePeaks {
    #[serde(flatten)]
    copies: Peaks,
    runs: u64,
}

/// Tells the highest figures since the process started.
pub fn peaks(engine: &Engine) -> Answer {
    Answer::ok(&EnginePeaks {
        copies: engine.copies().peaks(),
        runs: engine.runs_started.load(Ordering::SeqCst),
    })
}

/// Makes the engine leave, or stay.
///
/// # Errors
///
/// Refuses a malformed body.
pub fn set_leaving(engine: &Engine, request: &Request) -> Result<Answer, Refusal> {
    let leaving: Leaving = request.json()?;
    engine.leaving.store(leaving.leaving, Ordering::SeqCst);
    Ok(Answer::ok(&leaving))
}
