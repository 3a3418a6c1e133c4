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
/// Up to so many hosts that speak with the same one its work for them is small; with more of them intervals grow.
const EXCHANGING_HOSTS: usize = 24;
/// Most hosts that may add up in turn: two of them may be lost with the orderer.
const MAX_COLLECTORS: usize = 3;

/// The relays of a site.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    /// By data centre, so that little goes between data centres.
    relays: IndexMap<Name, Vec<Member>>,
    /// Adds up what hosts count while nobody orders; the next ones in its place.
    collectors: Vec<Member>,
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
                collectors: first_by_rank(by_data_centre.into_values().flatten()),
                hosts,
            };
        }
        let hosts_a_relay = (hosts as f64).sqrt().ceil() as usize;
        for own in by_data_centre.values_mut() {
            own.sort_by_key(Member::rank);
            own.truncate(own.len().div_ceil(hosts_a_relay));
        }
        Self {
            collectors: first_by_rank(by_data_centre.values().flatten().cloned()),
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

    /// Returns the hosts that add up what others count while nobody orders, the first one that answers for all: relays,
    /// where there are any, that can do most for others.
    pub fn collectors(&self) -> &[Member] {
        &self.collectors
    }

    /// Returns how many hosts speak with the orderer.
    pub fn direct_hosts(&self) -> usize {
        match self.relays.values().map(Vec::len).sum() {
            0 => self.hosts,
            relays => relays,
        }
    }

    /// Returns by which factor the intervals are longer at which a host speaks with its relay, or, where `is_direct`, with the
    /// orderer: the work of the one that is asked stays the same.
    pub fn interval_factor(&self, is_direct: bool) -> u64 {
        let beside = match is_direct {
            true => self.direct_hosts(),
            false => self.hosts_a_relay().min(self.direct_hosts()),
        };
        beside.div_ceil(EXCHANGING_HOSTS).max(1) as u64
    }

    /// Returns how many hosts a relay has on average.
    pub fn hosts_a_relay(&self) -> usize {
        self.hosts.div_ceil(self.direct_hosts().max(1))
    }
}

fn first_by_rank(members: impl Iterator<Item = Member>) -> Vec<Member> {
    let mut members: Vec<Member> = members.collect();
    members.sort_by_key(Member::rank);
    members.truncate(MAX_COLLECTORS);
    members
}
