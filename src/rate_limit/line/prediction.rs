//! Predicts when a request that waits under a rate limit can begin.

use crate::prelude::*;
use crate::rate_limit::limiter::{Scope, Standing};
use crate::rate_limit::line::queue::{Earned, Place, WaitingRequest};
use crate::rate_limit::line::sums::ByRank;

/// The part of the burst that is at most reserved for more urgent ranks.
const MAX_RESERVE_FRACTION: f64 = 0.25;
/// The part of the refill that a rank gets at least, however much more urgent ranks ask for. Without
/// it, a most urgent rank that asks for more than the limit would keep all others from beginning.
pub const MIN_REFILL_FRACTION: f64 = 1.0 / 32.0;
/// The part of the refill that requests of such a rank begin by once they have waited for half of
/// their time. About half of those that wait have.
pub const AGED_REFILL_FRACTION: f64 = 2.0 * MIN_REFILL_FRACTION;

/// What a host knows about the limit of one organisation and about the requests that wait for it.
#[derive(Clone, Debug)]
pub struct View {
    /// The level of the limit.
    pub standing: Standing,
    /// Waiting and recently used tokens at other hosts.
    pub others: ByRank,
    /// Recently used tokens at this host.
    pub own_use: ByRank,
}

impl View {
    /// Tells whether the level is that of the limit of all hosts.
    pub fn covers_all_hosts(&self) -> bool {
        self.standing.scope == Scope::Site
    }

    /// Returns the level that is kept for ranks more urgent than `rank`: what they used in the last
    /// second, within bounds.
    pub fn reserve(&self, rank: u8) -> f64 {
        self.used_before(rank)
            .min(self.standing.refill.burst * MAX_RESERVE_FRACTION)
    }

    fn used_before(&self, rank: u8) -> f64 {
        self.others.used_before(rank) + self.own_use.used_before(rank)
    }

    /// Returns what requests of a rank used in the last second.
    pub fn used_at(&self, rank: u8) -> f64 {
        self.others.used_at(rank) + self.own_use.used_at(rank)
    }

    /// Returns what a rank may use of the level.
    pub fn surplus(&self, reserve_rank: u8) -> f64 {
        self.standing.left - self.reserve(reserve_rank)
    }

    /// Returns the predicted time until a request begins. Other hosts serve the requests of its
    /// rank at the same pace, so what is ahead of it here stands for the same part of what waits
    /// there.
    pub fn wait_ms(
        &self,
        now: Millis,
        request: &WaitingRequest,
        place: &Place,
        earned: &Earned,
    ) -> Millis {
        let rank = request.rank();
        let cost = request.cost as f64;
        let own = (place.others_in_rank + cost).max(1.0);
        let all = own + self.others.waiting_at(rank);
        let in_rank = |credit: f64| (place.ahead_in_rank + cost - credit).max(0.0) * all / own;
        let before = place.before_rank + self.others.waiting_before(rank);
        let refill_per_s = self.standing.refill.per_s;
        let left_per_s = refill_per_s - self.used_before(rank);
        let left_per_s = left_per_s.max(refill_per_s * MIN_REFILL_FRACTION);
        // A host begins to earn at a random part of a request's cost.
        let credit = earned.credit.unwrap_or(cost / 2.0);
        let missing = before + in_rank(credit) - self.surplus(request.reserve_rank());
        let in_turn_ms = time_ms(missing, left_per_s);
        if rank == 0 {
            return in_turn_ms;
        }
        let aged_in_ms = request.aged_at().since(now);
        let aged_per_s = refill_per_s * AGED_REFILL_FRACTION;
        let missing = in_rank(earned.aged_credit.unwrap_or(0.0));
        in_turn_ms.min(aged_in_ms + time_ms(missing, aged_per_s))
    }
}

/// Returns the time in which `tokens` are refilled.
fn time_ms(tokens: f64, per_s: f64) -> Millis {
    if tokens <= 0.0 {
        Millis::ZERO
    } else if per_s > 0.0 {
        Millis((tokens * 1_000.0 / per_s) as u64)
    } else {
        Millis::NEVER
    }
}
