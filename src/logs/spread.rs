//! How long desired states take to all hosts.

use crate::logs::LogLine;
use crate::prelude::*;

/// The way of one version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The version.
    pub version: u64,
    /// When the first host took it.
    pub first_unix_ms: Millis,
    /// How long after that half of the hosts had it or a newer one; for a host that started meanwhile, after its start.
    pub half_ms: Millis,
    /// How long the last one took.
    pub last_ms: Millis,
    /// The last one.
    pub last_host: Name,
    /// Hosts that had it or a newer one.
    pub hosts: usize,
    /// Hosts that wrote lines and had neither.
    pub lacking: usize,
}

/// A version at a host.
#[derive(Clone, Copy, Debug)]
struct Taken {
    version: u64,
    at: Millis,
    /// When the process started that took it.
    started_at: Millis,
}

/// Tells whether a line says which version a host has, or that it started.
pub fn wants(line: &LogLine) -> bool {
    line.is(LogEvent::DesiredTaken) || line.is(LogEvent::Started)
}

/// Returns the ways of all versions, the lowest first, from lines in the order of their times.
pub fn spreads(lines: &[LogLine]) -> Vec<Spread> {
    let mut hosts: IndexMap<&Name, Vec<Taken>> = IndexMap::new();
    let mut started_at: IndexMap<&Name, Millis> = IndexMap::new();
    for line in lines {
        let own = hosts.entry(&line.host).or_default();
        if line.is(LogEvent::Started) {
            started_at.insert(&line.host, line.at_unix_ms);
        } else if let Some(version) = line.version {
            own.push(Taken {
                version,
                at: line.at_unix_ms,
                started_at: started_at.get(&line.host).copied().unwrap_or_default(),
            });
        }
    }
    let taken = hosts.values().flatten();
    let mut versions: IndexSet<u64> = taken.map(|taken| taken.version).collect();
    versions.sort_unstable();
    let spread = |version: u64| spread(version, &hosts);
    versions.into_iter().filter_map(spread).collect()
}

fn spread(version: u64, hosts: &IndexMap<&Name, Vec<Taken>>) -> Option<Spread> {
    let first_of = |own: &Vec<Taken>| own.iter().find(|taken| taken.version >= version).copied();
    let firsts = hosts.values().filter_map(first_of);
    let first_at = firsts.map(|taken| taken.at).min()?;
    let mut ways: Vec<(Millis, &Name)> = hosts
        .iter()
        .filter_map(|(host, own)| {
            let taken = first_of(own)?;
            let begins_at = first_at.max(taken.started_at);
            Some((taken.at.since(begins_at), *host))
        })
        .collect();
    ways.sort();
    let (half_ms, _) = ways[(ways.len() - 1) / 2];
    let (last_ms, last_host) = ways.last()?;
    Some(Spread {
        version,
        first_unix_ms: first_at,
        half_ms,
        last_ms: *last_ms,
        last_host: Name::clone(last_host),
        hosts: ways.len(),
        lacking: hosts.len() - ways.len(),
    })
}
