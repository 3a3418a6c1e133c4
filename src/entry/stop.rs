//! A planned stop: no new callers, then the end of what runs, within the platform's bound.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use smol::Timer;

/// How long new connections are still taken: callers may keep an older answer of the directory for about
/// three times its life.
pub const ACCEPT_ON_MS: Millis = Millis(3_000);
/// How long before the platform kills the process it ends by itself: answers under way are cut either way, and
/// an end of its own lets the line about it out.
const END_MARGIN_MS: Millis = Millis(500);
/// How often the requests under way are counted.
const LOOK_MS: Millis = Millis(50);

#[derive(Serialize)]
struct StopLine {
    active_requests: u32,
    took_ms: Millis,
}

/// Waits for a planned stop to begin and to be over.
pub async fn wait<P: Platform>(host: &Host<P>) {
    let begins = host.next_stop();
    if !host.is_stopping() {
        begins.await;
    }
    let Some(asked_at) = host.stop_asked_at.get() else {
        return;
    };
    let line = |host: &Host<P>| StopLine {
        active_requests: host.active_requests.get(),
        took_ms: host.now().since(asked_at),
    };
    lines::write(LogEvent::StopBegan, &line(host));
    let last = asked_at + host.settings().bounds.stop_ms() - END_MARGIN_MS;
    loop {
        let now = host.now();
        let is_idle = host.active_requests.get() == 0 && now >= asked_at + ACCEPT_ON_MS;
        if is_idle || now >= last {
            break;
        }
        Timer::after(LOOK_MS.to_duration()).await;
    }
    lines::write(LogEvent::Stopped, &line(host));
}
