//! The sums of waiting and recently used tokens that a host sends to its parent, gets back, and
//! passes on to the hosts that report to it.

use crate::prelude::*;
use crate::rate_limit::limiter::Limiter;
use crate::rate_limit::line::sums::{ByRank, Sums};
use crate::rate_limit::line::{BeyondSums, LineReport, Lines, LinesUpdate, MAX_SUMS_AGE_MS};

impl Lines {
    pub(super) fn fresh_beyond(&self, now: Millis) -> Option<&BeyondSums> {
        let beyond = self.beyond.as_ref();
        beyond.filter(|beyond| now.since(beyond.as_of) < MAX_SUMS_AGE_MS)
    }

    /// Returns the sums for the parent: those of this host and of the hosts that report to it.
    /// Forgets organisations without waiting requests and recent use.
    pub fn report(&mut self, now: Millis, limiter: &Limiter) -> Vec<LineReport> {
        self.by_organisation.retain(|_, line| {
            let has_use = line.recent_use.per_second(now).next().is_some();
            has_use || !line.queue.is_empty() || line.reported.0
        });
        self.sent = self.group_sums(now, limiter).to_reports();
        self.sent.clone()
    }

    /// Returns the sums of this host and of its children. Use counts only where little is left of a
    /// limit: elsewhere no level is near a reserve.
    fn group_sums(&self, now: Millis, limiter: &Limiter) -> Sums {
        let mut total = Sums::default();
        for (name, line) in &self.by_organisation {
            let mut own = match limiter.is_scarce(now, name, &line.limit) {
                true => line.own_use(now),
                false => ByRank::default(),
            };
            line.add_waiting(&mut own);
            own.iter().for_each(|sum| total.add(name, *sum));
        }
        total.add_reports(&self.reserved.to_reports());
        self.children.add_to(now, &mut total);
        total
    }

    /// Stores the sums that another host reports. `host` is the incarnation of its process.
    pub fn record(&mut self, now: Millis, host: u64, sums: Vec<LineReport>) {
        self.children.record(now, host, sums);
    }

    /// Returns the sums for a host that reports to this one.
    pub fn build_update(&self, now: Millis, limiter: &Limiter) -> LinesUpdate {
        let mut total = self.group_sums(now, limiter);
        let beyond = self.fresh_beyond(now);
        if let Some(beyond) = beyond {
            total.add_reports(&beyond.sums.to_reports());
        }
        LinesUpdate {
            age_ms: beyond.map_or(Millis::ZERO, |beyond| now.since(beyond.as_of)),
            sums: total.to_reports(),
        }
    }

    /// Stores the sums from the parent, in the reply to the last report, which was sent at
    /// `asked_at`.
    pub fn apply_update(&mut self, asked_at: Millis, update: &LinesUpdate) {
        let mut sums = Sums::default();
        sums.add_reports(&update.sums);
        sums.subtract(&self.sent);
        self.beyond = Some(BeyondSums {
            as_of: asked_at - update.age_ms,
            sums,
        });
    }
}
