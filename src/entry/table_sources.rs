//! The hosts from which this one may fetch the platform's tables instead of reading the store.

use crate::entry::host::Host;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::group::Member;
use crate::group::parents::MAX_RELAYS;
use crate::prelude::*;
use std::rc::Rc;

/// The pause before the relays are asked again when none of them had a newer table.
pub const RELAY_RETRY_PAUSE_MS: Millis = Millis(250);

/// What a host needs to fetch tables from its relays.
#[derive(Clone)]
pub struct TableSources {
    /// The endpoint for calls to other hosts.
    pub peers: Rc<Peers>,
    /// This host, as the group lists it.
    pub me: Member,
}

impl TableSources {
    /// Returns the relays to ask, in order; an empty list while they would refuse this host.
    /// Returns nothing when this host is to read the store itself, since it orders or relays, or
    /// the site has no relays.
    pub fn relays<P: Platform>(&self, host: &Host<P>) -> Option<Vec<Member>> {
        if host.is_orderer() || host.is_relay() {
            return None;
        }
        // The group may list this host in a moment, and the site may have relays then.
        if host.is_unknown_to_others(&self.me) {
            return Some(Vec::new());
        }
        let tree = host.tree.borrow();
        let relays = tree.relays_of(&self.me).into_iter().take(MAX_RELAYS);
        let relays: Vec<Member> = relays.cloned().collect();
        (!relays.is_empty()).then_some(relays)
    }
}

/// Tells whether other hosts may fetch the list of upstreams from this one.
pub fn serves_tables<P: Platform>(host: &Host<P>) -> bool {
    host.is_relay() || host.is_orderer()
}

/// Tells whether the orderer of which this host hears has not read the desired state for so long that
/// changes of it may not be in force in time there.
pub fn orderer_cannot_read<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    let within_ms = host.settings().bounds.apply_ms;
    !host
        .replication
        .is_read_by_sender(now, Table::Desired, within_ms)
}
