//! A host's life: its join, a planned stop, and its return after it was taken for dead.

use crate::daemon::node::{Life, Node};
use crate::membership::entry::ENTRY_TTL_MS;
use crate::prelude::*;
use rapidhash::v3::rapidhash_v3;

/// How long a stopping host tries to append its leave; after that the others evict it.
pub const LEAVE_BOUND_MS: Millis = Millis(3_000);

impl Node {
    /// Begins a planned stop.
    pub fn on_stop_asked(&mut self, now: Millis) {
        match self.life {
            Life::CatchingUp => self.life = Life::Ended,
            Life::Joining | Life::Serving => {
                LogEvent::StopBegan.write(&format!("requests={}", self.requests.len()));
                self.life = Life::Stopping { since: now };
            }
            Life::Stopping { .. } | Life::Leaving { .. } | Life::Ended => {}
        }
    }

    /// Moves through the host's life.
    pub fn tick_life(&mut self, now: Millis, fx: &mut Effects) {
        match self.life {
            Life::CatchingUp => {
                if self.driver.end_seen_at().is_some() {
                    let entry = self.config.entry.clone();
                    self.driver.queue(RecordBody::Join { entry });
                    self.life = Life::Joining;
                }
            }
            Life::Serving if !self.shared.members.is_member(self.config.me) => {
                self.try_rejoin(now);
            }
            Life::Stopping { since } => self.try_leave(now, since, fx),
            Life::Leaving { since } if now.since(since) > LEAVE_BOUND_MS => self.life = Life::Ended,
            Life::Ended => fx.push(Effect::Exit),
            Life::Joining | Life::Serving | Life::Leaving { .. } => {}
        }
    }

    /// A host that was taken for dead comes back as another incarnation, once no order is in its hands.
    fn try_rejoin(&mut self, now: Millis) {
        if self.executor.has_call_in_flight(now)
            || self.driver.is_appending()
            || self.driver.is_halted()
        {
            return;
        }
        let former = self.config.me;
        let me = Incarnation::new(now, rapidhash_v3(&former.0.to_le_bytes()));
        LogEvent::Rejoining.write(&format!("former={former} incarnation={me}"));
        self.config.me = me;
        self.driver.rejoin(me);
        self.life = Life::CatchingUp;
    }

    fn try_leave(&mut self, now: Millis, since: Millis, fx: &mut Effects) {
        let entries_expired = now.since(since) > ENTRY_TTL_MS;
        let executing = self
            .executor
            .has_order_in_flight(self.config.me, &self.shared.placement);
        if !entries_expired || executing || !self.requests.is_empty() {
            return;
        }
        self.driver.drop_background();
        if self.driver.is_reachable() && !self.driver.is_drained() {
            return;
        }
        fx.push(Effect::UnregisterHost);
        self.driver.queue(RecordBody::Leave);
        self.life = Life::Leaving { since: now };
    }
}
