//! Which hosts speak with the orderer, and which speak with it through one of these.
//!
//! Answers the pattern of hundreds of hosts that all tell one host what their callers ask and hear from it what
//! engines hold. At 195 hosts the orderer heard each of them every 2.3 s only, forgot their work in between, and had
//! a connection, its memory and its bytes for each. With relays it hears of every host each half second at the
//! latest, from 18 of them.
//!
//! Every host works the tree out from the group's list alone, so there is no vote. Lists differ for a moment while
//! hosts come and go: a host that is asked as a relay and is none by its own list says so, and the asker goes on to
//! another one or to the orderer.

use crate::group::Member;
use crate::prelude::*;
use crate::rendezvous;
use std::cmp::Reverse;

/// Up to so many hosts each speaks with the orderer itself: the orderer's work for each of them is small.
pub const DIRECT_HOSTS: usize = 24;

/// The relays of a site.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// By data centre, so that little goes between data centres.
    relays: IndexMap<Name, Vec<Member>>,
    hosts: usize,
}

impl Tree {
    /// Works out the tree of a list of hosts. A relay has about as many hosts as the orderer has relays, which keeps the
    /// busiest host's work as small as two levels allow.
    pub fn new<'a>(members: impl Iterator<Item = &'a Member>) -> Self {
        let mut by_data_centre: IndexMap<Name, Vec<Member>> = IndexMap::new();
        let mut hosts = 0;
        for member in members {
            hosts += 1;
            let own = by_data_centre.entry(member.data_centre.clone());
            own.or_default().push(member.clone());
        }
        if hosts <= DIRECT_HOSTS {
            return Self {
                relays: IndexMap::new(),
                hosts,
            };
        }
        let hosts_a_relay = (hosts as f64).sqrt().ceil() as usize;
        for own in by_data_centre.values_mut() {
            own.sort_by_key(Member::rank);
            own.truncate(own.len().div_ceil(hosts_a_relay));
        }
        Self {
            relays: by_data_centre,
            hosts,
        }
    }

    /// Tells whether a host relays for others.
    pub fn is_relay(&self, incarnation: u64) -> bool {
        let mut relays = self.relays.values().flatten();
        relays.any(|relay| relay.incarnation == incarnation)
    }

    /// Returns the relays of a host, the one to ask first at the front; none when it speaks with the orderer itself.
    pub fn relays_of(&self, host: &Member) -> Vec<&Member> {
        if self.is_relay(host.incarnation) {
            return Vec::new();
        }
        let own = self.relays.get(&host.data_centre);
        let mut relays: Vec<&Member> = own.into_iter().flatten().collect();
        let name = host.incarnation.to_le_bytes();
        relays.sort_by_key(|relay| Reverse(rendezvous::score(&name, relay.incarnation)));
        relays
    }

    /// Returns the relay that adds up use while nobody orders: the one that can do most for others.
    pub fn first_relay(&self) -> Option<&Member> {
        let relays = self.relays.values().flatten();
        relays.min_by_key(|relay| relay.rank())
    }

    /// Returns how many hosts speak with the orderer.
    pub fn direct_hosts(&self) -> usize {
        match self.relays.values().map(Vec::len).sum() {
            0 => self.hosts,
            relays => relays,
        }
    }

    /// Returns how many hosts a relay has on average.
    pub fn hosts_a_relay(&self) -> usize {
        self.hosts.div_ceil(self.direct_hosts().max(1))
    }
}
