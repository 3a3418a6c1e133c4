//! A planned stop: the host first accepts no new callers, then waits until its requests have ended,
//! for as long as the platform allows.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use smol::Timer;

/// How long a stopping host still accepts connections and requests: callers may use an older answer
/// of the directory for about three times its lifetime.
pub const STOP_ACCEPT_MS: Millis = Millis(3_000);
/// How long before the platform kills the process it exits by itself. Answers under way are cut off
/// in both cases, but a process that exits by itself can still write its last log line.
const EXIT_MARGIN_MS: Millis = Millis(500);
/// How often the number of active requests is checked.
const POLL_MS: Millis = Millis(50);

#[derive(Serialize)]
struct StopLine {
    active_requests: u32,
    took_ms: Millis,
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
    let exit_at = requested_at + host.settings().bounds.stop_ms() - EXIT_MARGIN_MS;
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
