//! Decides whether a request that arrives begins at once, waits or is refused.

use crate::prelude::*;
use crate::rate_limit::limiter::{Limiter, Refused, Scope};
use crate::rate_limit::line::prediction::View;
use crate::rate_limit::line::sums::MAX_ORGANISATIONS;
use crate::rate_limit::line::{
    Entered, Lines, Outcome, Turn, WaitingRequest, refused, unknown_until,
};

impl Lines {
    /// Lets a request begin at once if nobody of its rank or of a more urgent one waits anywhere
    /// and the limit has room for its rank.
    ///
    /// # Errors
    ///
    /// Returns the refusal by this host's share of the limit, if that decided.
    pub fn try_begin(
        &mut self,
        turn: &Turn<'_>,
        limiter: &mut Limiter,
        request: &WaitingRequest,
    ) -> Result<(), Option<Refused>> {
        let Turn {
            now,
            name,
            limit,
            random_unit,
        } = *turn;
        let view = self.view(now, limiter, name, limit);
        if self.has_waiting_before(name, request, &view) {
            return Err(None);
        }
        if view.covers_all_hosts() && view.standing.is_recent {
            if view.surplus(request.reserve_rank()) <= 0.0 {
                return Err(None);
            }
            limiter.charge_rerun(now, name, limit, request.cost);
        } else {
            limiter
                .admit(now, name, limit, request.cost, random_unit)
                .map_err(Some)?;
        }
        self.note_use(turn, request);
        Ok(())
    }

    /// Tells whether requests of the same rank or of a more urgent one wait anywhere, for more than
    /// there is room for.
    fn has_waiting_before(&self, name: &Name, request: &WaitingRequest, view: &View) -> bool {
        let rank = request.rank();
        let queue = self.by_organisation.get(name).map(|line| &line.queue);
        let own = queue.map_or(0.0, |queue| queue.cost_up_to(rank));
        let waiting = own + view.others.waiting_before(rank) + view.others.waiting_at(rank);
        let room = view.surplus(request.reserve_rank()) - request.cost as f64;
        waiting > 0.0 && waiting > room
    }

    /// Queues a request that did not begin at once, or refuses it if it cannot begin in time.
    /// `drawn` is the refusal by [`Self::try_begin`], if that decided by this host's share.
    pub fn enter(
        &mut self,
        turn: &Turn<'_>,
        limiter: &mut Limiter,
        request: &WaitingRequest,
        drawn: Option<Refused>,
    ) -> Entered {
        let Turn {
            now,
            name,
            limit,
            random_unit,
        } = *turn;
        let view = self.view(now, limiter, name, limit);
        let line = self.by_organisation.get(name);
        if view.covers_all_hosts() {
            let queue = line.map(|line| &line.queue);
            let place = queue.map(|queue| queue.place_of(u64::MAX, request));
            let earned = line.map(|line| line.earned).unwrap_or_default();
            let wait_ms = view.wait_ms(now, request, &place.unwrap_or_default(), &earned);
            if now + wait_ms > request.leave_by {
                return refused_after(wait_ms, Scope::Site, random_unit);
            }
        } else if now >= unknown_until(request) {
            if let Some(refused) = drawn {
                return Entered::Decided(Outcome::Refused(refused));
            }
            return Entered::Decided(self.draw(turn, limiter, request));
        }
        if line.is_none() && self.by_organisation.len() >= MAX_ORGANISATIONS {
            return refused_after(Millis::ZERO, view.standing.scope, random_unit);
        }
        let id = self.push(turn, request);
        self.evict_excess(now, limiter, name, random_unit);
        match self.decided.swap_remove(&id) {
            Some(outcome) => Entered::Decided(outcome),
            None => Entered::Waits(id),
        }
    }

    /// Decides on a request by the current rule for this host's share.
    pub(super) fn draw(
        &mut self,
        turn: &Turn<'_>,
        limiter: &mut Limiter,
        request: &WaitingRequest,
    ) -> Outcome {
        let Turn {
            now,
            name,
            limit,
            random_unit,
        } = *turn;
        match limiter.admit(now, name, limit, request.cost, random_unit) {
            Ok(()) => {
                self.note_use(turn, request);
                Outcome::Began
            }
            Err(refused) => Outcome::Refused(refused),
        }
    }
}

fn refused_after(wait_ms: Millis, scope: Scope, random_unit: f64) -> Entered {
    Entered::Decided(Outcome::Refused(refused(wait_ms, scope, random_unit)))
}
