//! Keeps all hosts together from sending an upstream more than it can turn away in a second.

use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry, RejectionLimit, Upstream};

/// Returns how many unanswered requests a host may have at an upstream that limits how many it can
/// turn away.
fn max_unanswered<P: Platform>(
    host: &Host<P>,
    limit: RejectionLimit,
    upstream: &Upstream,
    incarnation: u64,
) -> u32 {
    let members = host.members.borrow();
    let hosts = members.iter().map(|member| member.incarnation);
    limit.max_unanswered(&upstream.entry.id, upstream.entry.slots, hosts, incarnation)
}

/// Tells whether another host may send requests to an upstream, as far as the upstream limits how
/// many it can turn away.
pub fn is_assigned<P: Platform>(host: &Host<P>, upstream: &str, incarnation: u64) -> bool {
    let upstreams = host.upstreams.borrow();
    upstreams.get(upstream).is_none_or(|known| {
        let limit = upstreams.rejection_limit(host.now(), known);
        limit.is_none_or(|limit| max_unanswered(host, limit, known, incarnation) > 0)
    })
}

/// Whether a host may send a further request to an upstream that can turn only so many away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It may.
    Free,
    /// Too many requests of this host are unanswered there, or one was turned away lately.
    Taken,
    /// The upstream is left to other hosts.
    NotAssigned,
}

/// Tells whether this host may still send a request to an upstream once its connection is open.
pub fn has_room<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> bool {
    let upstreams = host.upstreams.borrow();
    upstreams
        .get_lifetime(upstream)
        .is_some_and(|known| rejection_room(host, &upstreams, host.now(), known) == Room::Free)
}

/// Tells whether this host may send a further request to an upstream, as far as the upstream limits
/// how many it can turn away.
pub fn rejection_room<P: Platform>(
    host: &Host<P>,
    upstreams: &Registry,
    now: Millis,
    upstream: &Upstream,
) -> Room {
    let Some(limit) = upstreams.rejection_limit(now, upstream) else {
        return Room::Free;
    };
    match max_unanswered(host, limit, upstream, host.incarnation) {
        0 => Room::NotAssigned,
        most if upstream.unanswered < most && now >= upstream.paused_until => Room::Free,
        _ => Room::Taken,
    }
}
