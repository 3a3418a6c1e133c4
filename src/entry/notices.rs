//! Records what upstreams state in their answers about further requests.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::upstreams::{Lifetime, Notice, NoticeChange};

#[derive(Serialize)]
struct LeavingLine<'a> {
    upstream: &'a str,
    change: &'static str,
    /// Whether the list of upstreams says so, too.
    listed: bool,
}

#[derive(Serialize)]
struct RestingLine<'a> {
    upstream: &'a str,
    /// The rest that the answer asked for.
    rest_ms: Option<Millis>,
    rests_until_unix_ms: Millis,
}

/// Tells whether an upstream may get new requests now.
pub fn accepts_requests<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> bool {
    let now = host.now();
    host.upstreams.borrow().accepts_requests(now, upstream)
}

/// Records what an answer of an upstream states. An upstream that leaves gets no new requests from
/// now on, and its idle connections are closed; one that asks for rest gets none until that ends.
/// Changes are logged.
pub fn note_answer<P: Platform>(host: &Host<P>, upstream: &Lifetime, notice: Notice) {
    let now = host.now();
    let change = host
        .upstreams
        .borrow_mut()
        .record_notice(now, upstream, notice);
    match change {
        Some(NoticeChange::Leaving) => {
            host.pool.close_idle(&upstream.id);
            log_leaving(host, &upstream.id);
            host.note_change();
        }
        Some(NoticeChange::Resting(until)) => {
            let line = RestingLine {
                upstream: &upstream.id,
                rest_ms: notice.rest_ms,
                rests_until_unix_ms: until,
            };
            lines::write(LogEvent::UpstreamResting, &line);
            host.note_change();
        }
        None => {}
    }
}

fn log_leaving<P: Platform>(host: &Host<P>, id: &str) {
    let registry = host.upstreams.borrow();
    let line = LeavingLine {
        upstream: id,
        change: "says in an answer that it leaves",
        listed: registry.get(id).is_some_and(|known| known.entry.leaving),
    };
    lines::write(LogEvent::UpstreamLeaving, &line);
}
