//! The entry answer: which hosts a caller does well to connect to, and for how long.

use crate::membership::members::Members;
use crate::membership::probes::Probes;
use crate::prelude::*;
use crate::rendezvous;

/// How long a caller may keep an entry answer.
pub const ENTRY_TTL_MS: Millis = Millis(5_000);
/// Most hosts in one answer.
pub const MAX_ENTRY_HOSTS: usize = 8;

/// An entry answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// Addresses, the best first.
    pub hosts: Vec<Name>,
    /// How long the answer may be kept.
    pub ttl_ms: Millis,
}

/// Orders hosts for a key by rendezvous hashing: the first one is the key's home.
pub fn rank(key: &str, hosts: impl Iterator<Item = Incarnation>) -> Vec<Incarnation> {
    let mut scored: Vec<(u64, Incarnation)> = hosts.map(|host| (score(key, host), host)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Returns the home of a key among the present hosts that answered their last probe. A host that
/// joined and has answered none yet may be one that no other host reaches; two hosts that both take
/// themselves for the home do no harm.
pub fn home(key: &str, me: Incarnation, members: &Members, probes: &Probes) -> Option<Incarnation> {
    members
        .iter()
        .map(|(host, _)| *host)
        .filter(|host| *host == me || probes.answers(*host))
        .max_by_key(|host| (score(key, *host), *host))
}

/// Makes the entry answer for a brand and a model.
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
        // Likely this host is the one that is cut off.
        usable = silent;
    }
    let hosts = rank(key, usable.into_iter())
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
