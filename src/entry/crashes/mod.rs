//! Requests that crash upstreams, themselves or by what they share with others.
//!
//! - [`detection`]: which requests were running when an upstream crashed, and which it answered.
//! - [`holding`]: refuses requests that would crash an upstream.
//! - [`exchange`]: the evidence in messages between hosts and in the lease record.

pub mod detection;
pub mod exchange;
pub mod holding;

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::retry::Quarantine;
use crate::retry::shared_evidence::HeldChange;

#[derive(Serialize)]
struct HeldLine {
    /// What is held back, as lines of interrupted runs name it.
    cause: String,
    /// What a request must have too to be held back.
    together: Vec<String>,
    /// The ids of the crashes that decided.
    crashes: Vec<String>,
}

#[derive(Serialize)]
struct ReleasedLine {
    cause: String,
    /// How many requests this host refused for it.
    refused: u64,
    /// Whether upstreams have answered on it since, so that it was no cause.
    is_cleared: bool,
}

/// Uses this host's evidence, and logs and counts what is held back, or no longer, since.
fn with_quarantine<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Quarantine, Millis) -> T,
) -> T {
    let quarantine = &mut host.retries.borrow_mut().quarantine;
    let result = with(quarantine, host.now());
    let changes = quarantine.take_held_changes(host.now());
    if !changes.is_empty() {
        host.metrics.set_held_causes(quarantine.held_count());
    }
    for change in changes {
        log_change(host, change);
    }
    result
}

fn log_change<P: Platform>(host: &Host<P>, change: HeldChange) {
    match change {
        HeldChange::Held { cause, held } => {
            let line = HeldLine {
                cause: cause.to_string(),
                together: held.together.iter().map(ToString::to_string).collect(),
                crashes: held.crashes.iter().map(ToString::to_string).collect(),
            };
            lines::write(LogEvent::CauseHeld, &line);
        }
        HeldChange::Released {
            cause,
            refused,
            is_cleared,
        } => {
            if is_cleared {
                host.metrics.count_refused_in_vain(refused);
            }
            let line = ReleasedLine {
                cause: cause.to_string(),
                refused,
                is_cleared,
            };
            lines::write(LogEvent::CauseReleased, &line);
        }
    }
}
