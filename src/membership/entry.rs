//! The entry answer, which tells a caller which hosts to connect to and how long the answer is
//! valid.

use crate::membership::members::Members;
use crate::membership::probes::Probes;
use crate::prelude::*;
use crate::rendezvous;

/// How long a caller may use an entry answer.
pub const ENTRY_TTL_MS: Millis = Millis(5_000);
/// Most hosts in one entry answer.
pub const MAX_ENTRY_HOSTS: usize = 8;

/// The hosts to which a caller may connect for a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// The caller addresses of the hosts, the preferred one first.
    pub hosts: Vec<Name>,
    /// How long the answer may be used.
    pub ttl_ms: Millis,
}

/// Ranks hosts for a key by rendezvous hashing. The first one is the key's home, the host that is
/// responsible for it.
pub fn rank_hosts(key: &str, hosts: impl Iterator<Item = Incarnation>) -> Vec<Incarnation> {
    let mut scored: Vec<(u64, Incarnation)> = hosts.map(|host| (score(key, host), host)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Returns the home of a key among this host and the present hosts that answered their last probe.
/// A host that joined and has not answered a probe yet is left out, since it may be unreachable for
/// all others. It does no harm if two hosts both consider themselves the home.
pub fn home(key: &str, me: Incarnation, members: &Members, probes: &Probes) -> Option<Incarnation> {
    members
        .iter()
        .map(|(host, _)| *host)
        .filter(|host| *host == me || probes.answers(*host))
        .max_by_key(|host| (score(key, *host), *host))
}

/// Returns the entry answer for a brand and a model or service, by whose name, `key`, the hosts are
/// ranked. Suspected and stopping hosts are left out, and hosts that missed their last probe are
/// named only if there is no other. `serving` tells whether this host, `me`, may be named.
pub fn entry_answer(
    key: &str,
    me: Incarnation,
    serving: bool,
    members: &Members,
    probes: &Probes,
) -> EntryAnswer {
    let others = members
        .iter()
        .map(|(host, _)| *host)
        .filter(|host| *host != me);
    let (answering, silent): (Vec<_>, Vec<_>) = others
        .filter(|host| {
            !probes
                .get(*host)
                .is_some_and(|view| view.suspected || view.stopping)
        })
        .partition(|host| !probes.is_failing(*host));
    let mut usable = answering;
    if serving {
        usable.push(me);
    }
    if usable.is_empty() {
        // Probably this host is the one that is isolated.
        usable = silent;
    }
    let hosts = rank_hosts(key, usable.into_iter())
        .into_iter()
        .take(MAX_ENTRY_HOSTS)
        .filter_map(|host| members.get(host))
        .map(|member| member.entry.caller_address.to_string().into())
        .collect();
    EntryAnswer {
        hosts,
        ttl_ms: ENTRY_TTL_MS,
    }
}

fn score(key: &str, host: Incarnation) -> u64 {
    rendezvous::score(key.as_bytes(), host.0)
}
