//! What organisations asked, and what became of it.

use crate::logs::LogLine;
use crate::prelude::*;

/// The requests of an organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Asked {
    /// Requests that were answered.
    pub answered: usize,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
    /// Requests that were refused beyond the organisation's limit.
    pub limited: usize,
    /// Requests that were not answered for another reason.
    pub others: usize,
    /// The hosts that read its requests.
    pub hosts: usize,
}

/// Returns the organisations, the one with most requests first.
pub fn asked(lines: &[LogLine]) -> IndexMap<Name, Asked> {
    let limited = ErrorKind::RateLimited.name();
    let mut organisations: IndexMap<Name, Asked> = IndexMap::new();
    let mut hosts: IndexSet<(Name, Name)> = IndexSet::new();
    for line in lines.iter().filter(|line| line.is_end()) {
        let Some(name) = &line.organisation else {
            continue;
        };
        let own = organisations.entry(name.clone()).or_default();
        if line.is(LogEvent::RequestAnswered) {
            own.answered += 1;
            own.prompt_tokens += line.prompt_tokens;
        } else if line.why.as_deref() == Some(limited) {
            own.limited += 1;
        } else {
            own.others += 1;
        }
        own.hosts += usize::from(hosts.insert((name.clone(), line.host.clone())));
    }
    let requests = |own: &Asked| own.answered + own.limited + own.others;
    organisations.sort_by(|_, a, _, b| requests(b).cmp(&requests(a)));
    organisations
}
