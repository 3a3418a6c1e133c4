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

/// Records what an answer of an upstream states. Changes are logged.
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
}
