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

/// What is reserved of one organisation's limit. It is kept in tokens, so that it stays right when
/// the refill or the host's part of it changes.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    reserved_tokens: f64,
    as_of: Millis,
    refill_per_s: f64,
    /// This host's part of the refill, and when it was told.
    part: Option<(Millis, f64)>,
}

impl Schedule {
    fn reserved_tokens(&self, now: Millis) -> f64 {
        let refilled = self.refill_per_s * now.since(self.as_of).0 as f64 / 1_000.0;
        (self.reserved_tokens - refilled).max(0.0)
    }

    fn part(&self, now: Millis) -> Option<f64> {
        let told = self.part.filter(|(at, _)| now < *at + PART_TTL_MS);
        told.map(|(_, part)| part)
    }

    /// Takes the first free time for a request of this cost; `None` if it is after `within`.
    fn take(
        &mut self,
        now: Millis,
        cost: f64,
        within: RangeInclusive<Millis>,
        random_unit: f64,
    ) -> Option<Millis> {
        let per_ms = self.refill_per_s / 1_000.0;
        if self.reserved_tokens <= 0.0 {
            // Hosts that begin at the same time spread their first reservations over the time that
            // one of them takes.
            let wait_ms = within.start().since(now).0 as f64;
            self.reserved_tokens = wait_ms * per_ms + cost * random_unit.clamp(0.0, 1.0);
        }
        let free_at = now + Millis((self.reserved_tokens / per_ms) as u64);
        let due_at = free_at.max(*within.start());
        if due_at > *within.end() {
            return None;
        }
        let wait_ms = due_at.since(now).0 as f64;
        self.reserved_tokens = self.reserved_tokens.max(wait_ms * per_ms) + cost;
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
        schedule.reserved_tokens = schedule.reserved_tokens(now);
        schedule.as_of = now;
        schedule.refill_per_s = refill.per_s * part;
        let is_refilled = schedule.refill_per_s.is_finite() && schedule.refill_per_s > 0.0;
        is_refilled
            .then(|| schedule.take(now, cost as f64, within, random_unit))
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
        self.0.retain(|_, schedule| {
            schedule.part(now).is_some() || schedule.reserved_tokens(now) > 0.0
        });
    }
}
