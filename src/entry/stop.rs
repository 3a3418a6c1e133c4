//! A planned stop: the host first accepts no new callers, then waits until its requests have ended,
//! for as long as the platform allows.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::entry::request_log::RequestSummary;
use crate::prelude::*;
use smol::Timer;

/// How long a stopping host still accepts connections and requests: callers may use an older answer
/// of the directory for about three times its lifetime.
pub const STOP_ACCEPT_MS: Millis = Millis(3_000);
/// How long before the platform kills the process it exits by itself. Answers under way are cut off
/// in both cases, but a process that exits by itself can still write its last log line.
const EXIT_MARGIN_MS: Millis = Millis(500);
/// How long before the process exits the requests that are still open are ended, so that their callers
/// get an answer.
const ANSWER_MARGIN_MS: Millis = Millis(250);
/// How often the number of active requests is checked.
const POLL_MS: Millis = Millis(50);

#[derive(Serialize)]
struct StopLine {
    active_requests: u32,
    took_ms: Millis,
}

fn exit_at<P: Platform>(host: &Host<P>, requested_at: Millis) -> Millis {
    requested_at + host.settings().bounds.stop_ms() - EXIT_MARGIN_MS
}

/// Returns when the requests that are still open are ended; none unless the host stops.
fn requests_end_at<P: Platform>(host: &Host<P>) -> Option<Millis> {
    let requested_at = host.stop_requested_at.get()?;
    Some(exit_at(host, requested_at) - ANSWER_MARGIN_MS)
}

/// Returns the refusal of a request that was not sent yet, if the host stops and the request cannot be
/// expected to end before. Its caller goes on at another host, instead of losing the answer.
pub fn refusal<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Refusal> {
    let end_at = requests_end_at(host)?;
    let route = &request.route;
    let durations = host.answer_durations.borrow();
    let expected_ms = durations.expected_ms(&route.name, route.repeat);
    let expected_at = expected_ms.map_or(Millis::NEVER, |took_ms| host.now() + took_ms);
    let is_too_late = expected_at.min(request.deadline_at) > end_at;
    is_too_late.then(|| {
        let why = "this host ends before the request would";
        Refusal::new(ErrorKind::Stopping, why).with_retry_after(Millis::ZERO)
    })
}

/// Waits until a stopping host ends the requests that are still open.
pub async fn wait_for_end_of_requests<P: Platform>(host: &Host<P>) {
    loop {
        let begins = host.next_stop();
        let Some(end_at) = requests_end_at(host) else {
            begins.await;
            continue;
        };
        let left_ms = end_at.since(host.now());
        if left_ms == Millis::ZERO {
            return;
        }
        Timer::after(left_ms.to_duration()).await;
    }
}

/// Returns the answer to a request that is still open when its host ends.
pub fn last_answer(summary: &RequestSummary) -> Refusal {
    match summary.sends.is_empty() {
        true => Refusal::new(ErrorKind::Stopping, "this host ends").with_retry_after(Millis::ZERO),
        false => Refusal::new(
            ErrorKind::OutcomeUnknown,
            "this host ends before the answer",
        ),
    }
}

/// Waits for a planned stop to begin, and then until no request is active or the time allowed by
/// the platform is nearly over. Callers first get [`STOP_ACCEPT_MS`] to move to other hosts.
pub async fn wait<P: Platform>(host: &Host<P>) {
    let begins = host.next_stop();
    if !host.is_stopping() {
        begins.await;
    }
    let Some(requested_at) = host.stop_requested_at.get() else {
        return;
    };
    let line = |host: &Host<P>| StopLine {
        active_requests: host.active_requests.get(),
        took_ms: host.now().since(requested_at),
    };
    lines::write(LogEvent::StopBegan, &line(host));
    let exit_at = exit_at(host, requested_at);
    loop {
        let now = host.now();
        let is_idle = host.active_requests.get() == 0 && now >= requested_at + STOP_ACCEPT_MS;
        if is_idle || now >= exit_at {
            break;
        }
        Timer::after(POLL_MS.to_duration()).await;
    }
    lines::write(LogEvent::Stopped, &line(host));
}
