//! Records over which paths this host reaches upstreams, and logs when a service is lost and
//! regained.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::upstreams::Lifetime;

#[derive(Serialize)]
struct LostLine<'a> {
    service: &'a str,
    /// The upstream that was tried last.
    upstream: &'a str,
    /// How many upstreams of the service are listed and not leaving.
    listed: usize,
}

#[derive(Serialize)]
struct RegainedLine<'a> {
    service: &'a str,
    upstream: &'a str,
    lost_ms: Millis,
}

/// Records that an upstream answered.
pub fn note_answered<P: Platform>(host: &Host<P>) {
    host.upstreams.borrow_mut().note_contact(host.now());
}

/// Records that a connection to an upstream was opened.
pub fn note_connected<P: Platform>(host: &Host<P>, upstream: &Lifetime) {
    let now = host.now();
    let mut upstreams = host.upstreams.borrow_mut();
    let Some(lost_at) = upstreams.note_connected(upstream, now) else {
        return;
    };
    if let Some(known) = upstreams.get(&upstream.id) {
        let line = RegainedLine {
            service: &known.entry.service,
            upstream: &upstream.id,
            lost_ms: now.since(lost_at),
        };
        lines::write(LogEvent::PathsRegained, &line);
    }
}

/// Records that a connection to an upstream that was begun at `began_at` could not be opened.
pub fn note_connect_failed<P: Platform>(host: &Host<P>, upstream: &Lifetime, began_at: Millis) {
    let now = host.now();
    let mut upstreams = host.upstreams.borrow_mut();
    if !upstreams.note_connect_failed(upstream, began_at, now) {
        return;
    }
    if let Some(known) = upstreams.get(&upstream.id) {
        let service = &known.entry.service;
        let line = LostLine {
            service,
            upstream: &upstream.id,
            listed: upstreams.usable(service).count(),
        };
        lines::write(LogEvent::PathsLost, &line);
    }
}
