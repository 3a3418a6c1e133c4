//! The hosts from which this one may take what the platform's tables say, in place of the store.

use crate::entry::host::Host;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::group::Member;
use crate::group::parents::MAX_RELAYS;
use std::rc::Rc;

/// The hosts that this one may ask.
#[derive(Clone)]
pub struct Sources {
    /// Calls of other hosts.
    pub peers: Rc<Peers>,
    /// This host.
    pub me: Member,
}

impl Sources {
    /// Returns the relays that may have what this host lacks, none while they would refuse it; nothing when it reads the
    /// store itself, since it orders or relays, or the site has no relays.
    pub fn relays<P: Platform>(&self, host: &Host<P>) -> Option<Vec<Member>> {
        if host.is_orderer() || host.is_relay() {
            return None;
        }
        // It may be listed in a moment, in a site that has relays then.
        if host.is_unknown_to_others(&self.me) {
            return Some(Vec::new());
        }
        let tree = host.tree.borrow();
        let relays = tree.relays_of(&self.me).into_iter().take(MAX_RELAYS);
        let relays: Vec<Member> = relays.cloned().collect();
        (!relays.is_empty()).then_some(relays)
    }
}

/// Tells whether a host gives others what it read of the store's tables.
pub fn is_source<P: Platform>(host: &Host<P>) -> bool {
    host.is_relay() || host.is_orderer()
}
