//! The number of requests of each organisation, by how they ended.

use crate::logs::LogLine;
use crate::prelude::*;

/// The requests of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OrganisationUsage {
    /// The number of requests that were answered.
    pub answered: usize,
    /// The prompt tokens of the requests that were answered.
    pub prompt_tokens: u64,
    /// The number of requests that were refused because the organisation exceeded its rate limit.
    pub limited: usize,
    /// The number of requests that were not answered for another reason.
    pub others: usize,
    /// The number of hosts that received its requests.
    pub hosts: usize,
}

/// Returns the usage of each organisation that a line names, in descending order of requests.
pub fn usage_by_organisation(lines: &[LogLine]) -> IndexMap<Name, OrganisationUsage> {
    let rate_limited = ErrorKind::RateLimited.name();
    let mut organisations: IndexMap<Name, OrganisationUsage> = IndexMap::new();
    let mut hosts: IndexSet<(Name, Name)> = IndexSet::new();
    for line in lines.iter().filter(|line| line.is_request_end()) {
        let Some(name) = &line.organisation else {
            continue;
        };
        let usage = organisations.entry(name.clone()).or_default();
        if line.is(LogEvent::RequestAnswered) {
            usage.answered += 1;
            usage.prompt_tokens += line.prompt_tokens;
        } else if line.why.as_deref() == Some(rate_limited) {
            usage.limited += 1;
        } else {
            usage.others += 1;
        }
        usage.hosts += usize::from(hosts.insert((name.clone(), line.host.clone())));
    }
    let requests = |usage: &OrganisationUsage| usage.answered + usage.limited + usage.others;
    organisations.sort_by(|_, a, _, b| requests(b).cmp(&requests(a)));
    organisations
}
