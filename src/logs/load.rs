//! How requests were served, by route and rank and by organisation, from end lines of requests or
//! from the metrics of hosts.

use crate::logs::LogLine;
use crate::prelude::*;

/// The name in place of a service, rank or organisation that is not known.
pub const UNKNOWN: &str = "-";
/// The most rows of each table; the requests beyond them are left out.
const MAX_ROWS: usize = 4_096;
/// The most refused requests that are remembered, to count those that are refused again.
const MAX_REFUSED: usize = 4_000_000;
/// How much less often a more urgent rank must be served in time to be a priority inversion.
const INVERSION_PERCENT: f64 = 5.0;
/// The number of requests of a rank below which its share says little.
const MIN_INVERSION_REQUESTS: u64 = 20;

/// The requests of one row of a table.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// All of them.
    pub asked: u64,
    /// Those whose answers met the goals of the route.
    pub in_time: u64,
    /// Those whose whole answers did not.
    pub late: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those whose callers left before the end.
    pub left: u64,
    /// Refused ones of which an earlier attempt had been refused; none if it is not known.
    pub refused_again: Option<u64>,
    /// The median of the waits before the first send; none if it is not known.
    pub median_wait_ms: Option<u64>,
    /// The 99th percentile of these waits.
    pub p99_wait_ms: Option<u64>,
    #[serde(skip)]
    waits_ms: Vec<u32>,
}

impl Tally {
    fn count(&mut self, outcome: &str, requests: u64) {
        let part = match outcome {
            "in_time" => &mut self.in_time,
            "late_first" | "late_gap" => &mut self.late,
            "refused" => &mut self.refused,
            "left" => &mut self.left,
            _ => &mut self.failed,
        };
        *part += requests;
        self.asked += requests;
    }

    fn count_line(&mut self, line: &LogLine, is_refused_again: bool) {
        self.count(outcome(line), 1);
        *self.refused_again.get_or_insert(0) += u64::from(is_refused_again);
        let wait_ms = line.waited_ms.0 + line.turn_ms.0 + line.limit_wait_ms.0;
        self.waits_ms
            .push(u32::try_from(wait_ms).unwrap_or(u32::MAX));
    }

    fn set_wait_quantiles(&mut self) {
        self.waits_ms.sort_unstable();
        let quantile = |percent: usize| {
            let index = self.waits_ms.len() * percent / 100;
            self.waits_ms.get(index).map(|wait_ms| u64::from(*wait_ms))
        };
        (self.median_wait_ms, self.p99_wait_ms) = (quantile(50), quantile(99));
        self.waits_ms = Vec::new();
    }

    fn in_time_percent(&self) -> f64 {
        self.in_time as f64 * 100.0 / self.asked.max(1) as f64
    }
}

/// A row of the table by route and rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RouteKey {
    /// The service; [`UNKNOWN`] in metrics.
    pub service: Name,
    /// The rank as text, so that it can be unknown.
    pub rank: Name,
    /// The route.
    pub route: Name,
}

/// A service of which a more urgent rank is served in time less often than a less urgent one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Inversion {
    /// The service.
    pub service: Name,
    /// The more urgent rank.
    pub rank: u8,
    /// The share of its requests that were served in time.
    pub in_time_percent: f64,
    /// The less urgent rank.
    pub other_rank: u8,
    /// The share of the requests of the less urgent rank.
    pub other_in_time_percent: f64,
}

/// Both tables.
#[derive(Clone, Debug, Default)]
pub struct LoadTables {
    /// By route and rank.
    pub routes: IndexMap<RouteKey, Tally>,
    /// By organisation.
    pub organisations: IndexMap<Name, Tally>,
    /// The digests of requests that were refused.
    refused: IndexSet<Name>,
}

impl LoadTables {
    /// Adds the requests that these lines say to have ended, in order of time. Lines of requests
    /// without a route, and of those that another host handed on, are left out.
    pub fn add_lines(&mut self, lines: &[LogLine]) {
        for line in lines.iter().filter(|line| is_relevant(line)) {
            let is_refused_again = self.note_refused(line);
            let name = |value: &Option<Name>| value.clone().unwrap_or_else(|| UNKNOWN.into());
            let key = RouteKey {
                service: name(&line.service),
                rank: name(&line.rank.map(|rank| rank.to_string().into())),
                route: name(&line.route),
            };
            if let Some(tally) = row(&mut self.routes, key) {
                tally.count_line(line, is_refused_again);
            }
            if let Some(tally) = row(&mut self.organisations, name(&line.organisation)) {
                tally.count_line(line, is_refused_again);
            }
        }
    }

    /// Adds the counters of a host's metrics; other metrics in the text are left out.
    pub fn add_metrics(&mut self, text: &str) {
        for sample in text.lines().filter_map(Sample::parse) {
            let label = |name: &str| -> Name { sample.label(name).unwrap_or(UNKNOWN).into() };
            let tally = match sample.name {
                "mangovale_entry_served_total" => {
                    let key = RouteKey {
                        service: UNKNOWN.into(),
                        rank: label("rank"),
                        route: label("route"),
                    };
                    row(&mut self.routes, key)
                }
                "mangovale_entry_organisation_total" => {
                    row(&mut self.organisations, label("organisation"))
                }
                _ => None,
            };
            if let (Some(tally), Some(outcome)) = (tally, sample.label("outcome")) {
                tally.count(outcome, sample.value);
            }
        }
    }

    /// Computes the quantiles and sorts: services and ranks by name, organisations by requests.
    pub fn finish(&mut self) {
        let tallies = self.routes.values_mut();
        tallies
            .chain(self.organisations.values_mut())
            .for_each(Tally::set_wait_quantiles);
        self.routes.sort_unstable_keys();
        self.organisations
            .sort_by(|_, a, _, b| b.asked.cmp(&a.asked));
    }

    /// Returns the priority inversions: the ranks of a service that are served in time less often,
    /// by more than five percentage points, than a less urgent rank.
    pub fn inversions(&self) -> Vec<Inversion> {
        let mut ranks: IndexMap<(&Name, u8), Tally> = IndexMap::new();
        for (key, tally) in &self.routes {
            if let Ok(rank) = key.rank.parse() {
                let sum = ranks.entry((&key.service, rank)).or_default();
                sum.asked += tally.asked;
                sum.in_time += tally.in_time;
            }
        }
        ranks.retain(|_, tally| tally.asked >= MIN_INVERSION_REQUESTS);
        let mut inversions = Vec::new();
        for ((service, rank), tally) in &ranks {
            let in_time_percent = tally.in_time_percent();
            let less_urgent = ranks.iter().filter(|((other, other_rank), other_tally)| {
                other == service
                    && other_rank > rank
                    && other_tally.in_time_percent() - in_time_percent > INVERSION_PERCENT
            });
            inversions.extend(less_urgent.map(|((_, other_rank), other_tally)| Inversion {
                service: (*service).clone(),
                rank: *rank,
                in_time_percent,
                other_rank: *other_rank,
                other_in_time_percent: other_tally.in_time_percent(),
            }));
        }
        inversions
    }

    /// Returns whether the line is of a refused request that had been refused before.
    fn note_refused(&mut self, line: &LogLine) -> bool {
        let Some(digest) = line.digest.as_ref() else {
            return false;
        };
        if !line.is(LogEvent::RequestRefused) {
            self.refused.swap_remove(digest);
            return false;
        }
        let has_room = self.refused.len() < MAX_REFUSED;
        match has_room {
            true => !self.refused.insert(digest.clone()),
            false => self.refused.contains(digest),
        }
    }
}

/// Returns whether a line counts in the tables.
pub fn is_relevant(line: &LogLine) -> bool {
    line.is_request_end() && line.route.is_some() && !line.handed
}

fn outcome(line: &LogLine) -> &'static str {
    match line.in_time {
        Some(true) => "in_time",
        Some(false) => "late_first",
        None if line.is(LogEvent::RequestRefused) => "refused",
        None if line.is(LogEvent::CallerGone) => "left",
        None => "failed",
    }
}

/// Returns the row of a key; none if the table is full.
fn row<K: std::hash::Hash + Eq>(table: &mut IndexMap<K, Tally>, key: K) -> Option<&mut Tally> {
    match table.len() < MAX_ROWS || table.contains_key(&key) {
        true => Some(table.entry(key).or_default()),
        false => None,
    }
}

/// One sample in the Prometheus text format.
struct Sample<'a> {
    name: &'a str,
    labels: &'a str,
    value: u64,
}

impl<'a> Sample<'a> {
    /// Parses a line; none if it is no sample with labels and a count.
    fn parse(line: &'a str) -> Option<Self> {
        let (name, rest) = line.split_once('{')?;
        let (labels, value) = rest.rsplit_once('}')?;
        let value: f64 = value.split_whitespace().next()?.parse().ok()?;
        (value.is_finite() && value >= 0.0).then_some(Self {
            name,
            labels,
            value: value as u64,
        })
    }

    /// Returns the value of a label. A value with a quotation mark is cut off there.
    fn label(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.labels.split("\",");
        pairs.find_map(|pair| {
            let value = pair.trim().strip_prefix(name)?.strip_prefix("=\"")?;
            Some(value.strip_suffix('"').unwrap_or(value))
        })
    }
}
