//! The relay tree: which hosts sync with the orderer directly, and which through a relay.
//!
//! Every host reports its callers' demand to the orderer and gets from it what the engines hold.
//! Without relays, at 195 hosts, the orderer could sync with each of them only every 2.3 s, its
//! record of their work expired in between, and it needed a connection with its memory and traffic
//! for each of them. With relays it gets reports on every host at least every 0.5 s from 18 relays.
//!
//! Every host derives the tree from the member list alone, so no election is needed. Lists differ
//! for a moment while hosts join and leave: a host that is called as a relay and is none by its own
//! list answers so, and the caller tries another relay or the orderer.

use crate::group::Member;
use crate::prelude::*;
use crate::rendezvous;
use std::cmp::Reverse;

/// Number of hosts in a site up to which all of them sync with the orderer directly; its work for
/// that many is small.
pub const DIRECT_HOSTS: usize = 24;
/// Number of hosts that may sync with the same host at the shortest interval; with more, the
/// interval grows in proportion.
const HOSTS_AT_SHORTEST_INTERVAL: usize = 24;
/// Number of collectors, of which one is active at a time: two may fail together with the orderer.
const MAX_COLLECTORS: usize = 3;

/// The relays of a site.
#[derive(Clone, Debug, Default)]
pub struct RelayTree {
    /// The relays by data centre; a host uses relays of its own data centre, so that little traffic
    /// crosses between data centres.
    relays: IndexMap<Name, Vec<Member>>,
    /// The hosts that may aggregate counts while there is no orderer: the first one that answers
    /// does so, the others are its successors.
    collectors: Vec<Member>,
    /// Number of hosts in the site.
    hosts: usize,
}

impl RelayTree {
    /// Derives the tree from a list of hosts. A relay has about as many hosts as the orderer has
    /// relays, which keeps the load of the busiest host as small as two levels allow.
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
                collectors: choose_collectors(by_data_centre.into_values().flatten()),
                hosts,
            };
        }
        let hosts_per_relay = (hosts as f64).sqrt().ceil() as usize;
        for own in by_data_centre.values_mut() {
            own.sort_by_key(Member::capacity_rank);
            own.truncate(own.len().div_ceil(hosts_per_relay));
        }
        Self {
            collectors: choose_collectors(by_data_centre.values().flatten().cloned()),
            relays: by_data_centre,
            hosts,
        }
    }

    /// Returns whether the host with this incarnation is a relay.
    pub fn is_relay(&self, incarnation: u64) -> bool {
        let mut relays = self.relays.values().flatten();
        relays.any(|relay| relay.incarnation == incarnation)
    }

    /// Returns the relays of a host in the order in which it tries them; empty if it syncs with the
    /// orderer directly.
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

    /// Returns the hosts that may aggregate the counts of all hosts while there is no orderer; the
    /// first one that answers does. They are the relays, or without relays the hosts, with the most
    /// CPU capacity.
    pub fn collectors(&self) -> &[Member] {
        &self.collectors
    }

    /// Returns whether the host with this incarnation is one of the collectors.
    pub fn is_collector(&self, incarnation: u64) -> bool {
        let mut collectors = self.collectors.iter();
        collectors.any(|collector| collector.incarnation == incarnation)
    }

    /// Returns the number of hosts that sync with the orderer directly.
    pub fn direct_hosts(&self) -> usize {
        match self.relays.values().map(Vec::len).sum() {
            0 => self.hosts,
            relays => relays,
        }
    }

    /// Returns the factor, at least 1, by which a host lengthens the interval between its syncs
    /// with its relay or, if `is_direct`, with the orderer, so that the load of the called host
    /// does not grow with the number of hosts.
    pub fn interval_factor(&self, is_direct: bool) -> u64 {
        let callers = match is_direct {
            true => self.direct_hosts(),
            false => self.hosts_per_relay().min(self.direct_hosts()),
        };
        callers.div_ceil(HOSTS_AT_SHORTEST_INTERVAL).max(1) as u64
    }

    /// Returns the average number of hosts per relay, rounded up.
    pub fn hosts_per_relay(&self) -> usize {
        self.hosts.div_ceil(self.direct_hosts().max(1))
    }
}

fn choose_collectors(members: impl Iterator<Item = Member>) -> Vec<Member> {
    let mut members: Vec<Member> = members.collect();
    members.sort_by_key(Member::capacity_rank);
    members.truncate(MAX_COLLECTORS);
    members
}
