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

/// Tells whether an upstream may get new requests: the lifetime is the known one and is not leaving.
pub fn accepts_requests<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> bool {
    let registry = host.upstreams.borrow();
    registry
        .get_lifetime(upstream)
        .is_some_and(|known| !known.is_leaving())
}

/// Records what an answer of an upstream states. An upstream that leaves gets no new requests from
/// now on, and its idle connections are closed. Changes are logged.
pub fn note_answer<P: Platform>(host: &Host<P>, upstream: &Lifetime, notice: Notice) {
    let mut registry = host.upstreams.borrow_mut();
    let Some(known) = registry.get_lifetime_mut(upstream) else {
        return;
    };
    let Some(NoticeChange::Leaving) = known.notices.record(notice) else {
        return;
    };
    let line = LeavingLine {
        upstream: &upstream.id,
        change: "says in an answer that it leaves",
        listed: known.entry.leaving,
    };
    lines::write(LogEvent::UpstreamLeaving, &line);
    host.pool.close_idle(&upstream.id);
    host.note_change();
}
