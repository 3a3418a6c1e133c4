//! The start of all hosts: who reads the list of upstreams from the store, and what the others take from relays.

use crate::fleet::world::World;
use mangovale::entry::list_copy;
use mangovale::prelude::*;
use serde::Serialize;

/// What a start of all hosts takes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Start {
    /// Hosts that read the list of upstreams from the store.
    pub store_readers: usize,
    /// Bytes of the list as one host gets it from a relay.
    pub list_bytes: usize,
    /// Messages in which it comes.
    pub list_messages: usize,
    /// Bytes of the longest of them.
    pub longest_message_bytes: usize,
    /// Hosts that take the list from the busiest relay.
    pub busiest_relay_hosts: usize,
}

/// Measures a start.
pub fn measure(world: &World) -> Start {
    let parts = list_copy::part_count(&world.upstreams);
    let messages: Vec<usize> = (0..parts)
        .map(|part| {
            let entries = list_copy::part_entries(&world.upstreams, part, parts);
            super::exchange::bytes(&list_copy::ListPart {
                parts,
                entries,
                end: Position::default(),
                age_ms: Millis::ZERO,
            })
        })
        .collect();
    let mut asked: IndexMap<u64, usize> = IndexMap::new();
    let mut store_readers = 0;
    for host in &world.hosts {
        match world.relays_of(host).first() {
            Some(relay) => *asked.entry(relay.incarnation).or_default() += 1,
            None => store_readers += 1,
        }
    }
    Start {
        store_readers,
        list_bytes: messages.iter().sum(),
        list_messages: messages.len(),
        longest_message_bytes: messages.iter().copied().max().unwrap_or(0),
        busiest_relay_hosts: asked.values().copied().max().unwrap_or(0),
    }
}
