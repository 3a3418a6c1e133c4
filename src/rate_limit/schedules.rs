//! The future time of organisations' limits, as one host divides it among reservations.

use crate::prelude::*;
use std::ops::RangeInclusive;

/// The most organisations whose reserved time is remembered.
pub const MAX_SCHEDULES: usize = 1_024;
/// How long a part of the refill that was told applies: a few intervals of messages.
const PART_TTL_MS: Millis = Millis(1_500);

/// The next free time of each organisation at one host.
#[derive(Clone, Debug, Default)]
pub struct Schedules(IndexMap<Name, Schedule>);

/// The refill of a limit, as far as a host uses it for its reservations.
#[derive(Clone, Copy, Debug)]
pub struct Refill {
    /// The refill of the whole limit.
    pub per_s: f64,
    /// This host's part of it from 0 to 1, if none was told.
    pub default_part: f64,
}

/// What is reserved of one organisation's limit. It is kept in tokens of the refill from `as_of` on,
/// so that it stays right when the refill or the host's part of it changes.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    as_of: Millis,
    refill_per_s: f64,
    /// The time of the latest reservation.
    last_tokens: f64,
    /// Half of its cost, which the refill after its time covers. The refill before its time covers the
    /// other half: if one side covered all, hosts that begin at the same time with requests of
    /// different costs would reserve too much or too little at first.
    half_tokens: f64,
    /// This host's part of the refill, and when it was told.
    part: Option<(Millis, f64)>,
}

impl Schedule {
    /// Returns the schedule as of `now`.
    fn at(mut self, now: Millis) -> Self {
        self.last_tokens -= self.refill_per_s * now.since(self.as_of).0 as f64 / 1_000.0;
        self.as_of = now;
        self
    }

    fn is_used(&self) -> bool {
        self.last_tokens.max(self.last_tokens + self.half_tokens) > 0.0
    }

    fn part(&self, now: Millis) -> Option<f64> {
        let told = self.part.filter(|(at, _)| now < *at + PART_TTL_MS);
        told.map(|(_, part)| part)
    }

    /// Takes the first free time for a request of this cost; `None` if it is after `within`.
    fn take(
        &mut self,
        cost: f64,
        within: RangeInclusive<Millis>,
        random_unit: f64,
    ) -> Option<Millis> {
        let per_ms = self.refill_per_s / 1_000.0;
        let earliest_tokens = within.start().since(self.as_of).0 as f64 * per_ms;
        let half_tokens = cost / 2.0;
        if !self.is_used() {
            // Hosts that begin at the same time spread their first reservations over the time that
            // one of them takes.
            self.last_tokens = earliest_tokens + cost * random_unit.clamp(0.0, 1.0);
            self.half_tokens = -half_tokens;
        }
        let due_tokens = self.last_tokens + self.half_tokens + half_tokens;
        let due_tokens = due_tokens.max(earliest_tokens);
        let due_at = self.as_of + Millis((due_tokens / per_ms).round() as u64);
        if due_at > *within.end() {
            return None;
        }
        self.last_tokens = due_tokens;
        self.half_tokens = half_tokens;
        Some(due_at)
    }
}

impl Schedules {
    /// Sets this host's part of the refill of an organisation's limit, from 0 to 1.
    pub fn set_part(&mut self, now: Millis, organisation: &Name, part: f64) {
        if part.is_finite()
            && let Some(schedule) = self.entry(now, organisation)
        {
            schedule.part = Some((now, part.clamp(0.0, 1.0)));
        }
    }

    /// Takes the first free time of an organisation for a request of this cost; `None` if it is after
    /// `within`. `random_unit` is a uniform random number between 0 and 1.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &Name,
        cost: u64,
        refill: Refill,
        within: RangeInclusive<Millis>,
        random_unit: f64,
    ) -> Option<Millis> {
        let schedule = self.entry(now, organisation)?;
        let part = schedule.part(now).unwrap_or(refill.default_part);
        *schedule = schedule.at(now);
        schedule.refill_per_s = refill.per_s * part;
        let is_refilled = schedule.refill_per_s.is_finite() && schedule.refill_per_s > 0.0;
        is_refilled
            .then(|| schedule.take(cost as f64, within, random_unit))
            .flatten()
    }

    fn entry(&mut self, now: Millis, organisation: &Name) -> Option<&mut Schedule> {
        if !self.0.contains_key(organisation) && self.0.len() >= MAX_SCHEDULES {
            self.expire(now);
            if self.0.len() >= MAX_SCHEDULES {
                return None;
            }
        }
        Some(self.0.entry(organisation.clone()).or_default())
    }

    /// Removes the organisations of which nothing is reserved.
    pub fn expire(&mut self, now: Millis) {
        self.0
            .retain(|_, schedule| schedule.part(now).is_some() || schedule.at(now).is_used());
    }
}
