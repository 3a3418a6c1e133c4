//! The lifecycle of a host: its join, its planned stop, and its rejoin after it was evicted.

use crate::daemon::node::{Life, Node};
use crate::membership::entry::ENTRY_TTL_MS;
use crate::prelude::*;
use rapidhash::v3::rapidhash_v3;

/// How long a stopping host waits until the record of its departure is applied. After that it
/// exits, and the other hosts evict it.
pub const MAX_LEAVE_MS: Millis = Millis(3_000);

impl Node {
    /// Starts a planned stop. A host that has not joined yet ends immediately.
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

    /// Advances the lifecycle if the condition for its next phase is met. Runs at each tick.
    pub fn tick_lifecycle(&mut self, now: Millis, fx: &mut Effects) {
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
            Life::Leaving { since } if now.since(since) > MAX_LEAVE_MS => self.life = Life::Ended,
            Life::Ended => fx.push(Effect::Exit),
            Life::Joining | Life::Serving | Life::Leaving { .. } => {}
        }
    }

    /// Rejoins under a new incarnation after an eviction, once no call to an engine and no append
    /// of the former incarnation is in flight.
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

    /// Leaves once the answers that told callers to connect to this host have expired, its requests
    /// and orders are finished, and its records are on the log. It does not wait for an unreachable
    /// log.
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
