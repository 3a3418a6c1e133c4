//! How long each version of the desired state takes to reach all hosts.

use crate::logs::LogLine;
use crate::prelude::*;

/// How one version of the desired state spread over the hosts. A host that skipped the version has
/// it as soon as it has a newer one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// The version of the desired state.
    pub version: u64,
    /// When the first host had the version.
    pub first_unix_ms: Millis,
    /// The time until half of the hosts had the version. The time of a host counts from
    /// `first_unix_ms`, or from the start of its process if that was later.
    pub half_ms: Millis,
    /// The time until the last host had the version, counted in the same way.
    pub last_ms: Millis,
    /// The host that took longest.
    pub last_host: Name,
    /// The number of hosts that had the version.
    pub hosts: usize,
    /// The number of hosts that logged something but never had the version.
    pub lacking: usize,
}

/// A version that a host took, that is, put in force.
#[derive(Clone, Copy, Debug)]
struct Taken {
    version: u64,
    at: Millis,
    /// When the host's process had started; 0 if no line says so.
    started_at: Millis,
}

/// Returns whether a line says which version a host has, or that its process started.
pub fn is_relevant(line: &LogLine) -> bool {
    line.is(LogEvent::DesiredTaken) || line.is(LogEvent::Started)
}

/// Returns the spread of each version, the lowest first. The lines must be sorted by time.
pub fn spreads(lines: &[LogLine]) -> Vec<Spread> {
    let mut hosts: IndexMap<&Name, Vec<Taken>> = IndexMap::new();
    let mut started_at: IndexMap<&Name, Millis> = IndexMap::new();
    for line in lines {
        let versions = hosts.entry(&line.host).or_default();
        if line.is(LogEvent::Started) {
            started_at.insert(&line.host, line.at_unix_ms);
        } else if let Some(version) = line.version {
            versions.push(Taken {
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
    // When a host first had the version or a newer one.
    let first_of = |list: &Vec<Taken>| list.iter().find(|taken| taken.version >= version).copied();
    let firsts = hosts.values().filter_map(first_of);
    let first_at = firsts.map(|taken| taken.at).min()?;
    let mut delays: Vec<(Millis, &Name)> = hosts
        .iter()
        .filter_map(|(host, versions)| {
            let taken = first_of(versions)?;
            let counts_from = first_at.max(taken.started_at);
            Some((taken.at.since(counts_from), *host))
        })
        .collect();
    delays.sort();
    let (half_ms, _) = delays[(delays.len() - 1) / 2];
    let (last_ms, last_host) = delays.last()?;
    Some(Spread {
        version,
        first_unix_ms: first_at,
        half_ms,
        last_ms: *last_ms,
        last_host: Name::clone(last_host),
        hosts: delays.len(),
        lacking: hosts.len() - delays.len(),
    })
}
