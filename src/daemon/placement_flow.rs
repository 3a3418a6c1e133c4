//! Placement of copies on engines: reports, orders, takeovers, and unloads. Loads are proposed in
//! [`crate::daemon::demand_flow`].

use crate::daemon::demand_flow::MIN_IDLE_TIME_MS;
use crate::daemon::node::{Life, Node};
use crate::membership::message::UpstreamRole;
use crate::placement::copies::CopyState;
use crate::placement::message::{EngineReport, OrderAnswer};
use crate::placement::retire::{RetireReason, retired_by_table};
use crate::prelude::*;
use crate::shared_log::fold::Applied;

/// Most copies that are checked in one tick for whether to unload them.
pub const COPIES_PER_TICK: usize = 64;

impl Node {
    /// Requests reports of engines, sends due orders, and proposes loads, unloads and takeovers.
    /// Runs at each tick.
    pub fn tick_placement(&mut self, now: Millis, fx: &mut Effects) {
        self.ask_engines(now, fx);
        self.relinquish_lost_orders(now);
        if !self.is_fresh(now) {
            return;
        }
        let routing = &self.routing;
        let may_call = |engine: &str| routing.asked_rest_until(now, engine).is_none();
        self.executor
            .on_tick(now, self.config.me, &self.shared.placement, may_call, fx);
        self.propose_takeovers(now);
        if self.life == Life::Serving {
            self.propose_unloads(now);
        }
        self.tick_demand(now, fx);
    }

    fn ask_engines(&mut self, now: Millis, fx: &mut Effects) {
        let upstreams = self.shared.placement.upstreams.values();
        let engines = upstreams.filter(|upstream| upstream.role == UpstreamRole::Engine);
        for engine in self.routing.due_reports(now, engines) {
            let view = self.routing.view_mut(&engine.name);
            view.report_under_way = true;
            view.report_asked_at = now;
            fx.push(Effect::AskEngine {
                upstream: engine.name.clone(),
                address: engine.address,
                asked_at: now,
            });
        }
    }

    /// Handles the report of an engine; `None` if it did not answer.
    pub fn on_engine_reported(
        &mut self,
        now: Millis,
        upstream: &Name,
        _asked_at: Millis,
        report: Option<EngineReport>,
    ) {
        let view = self.routing.view_mut(upstream);
        view.report_under_way = false;
        let was_silent = std::mem::replace(&mut view.silent, report.is_none());
        let Some(report) = report else {
            if !was_silent {
                LogEvent::UpstreamSilent.write(&format!("upstream={upstream}"));
            }
            return;
        };
        let leaving = report.leaving;
        self.demand
            .presence
            .on_report(now, upstream, &report, &self.shared.placement);
        view.report = Some(report);
        if leaving {
            self.mark_leaving(upstream);
        }
    }

    /// Handles the answer of an engine to an order, and queues the record of its outcome if the
    /// order ended.
    pub fn on_order_answered(
        &mut self,
        now: Millis,
        copy: Offset,
        fence: Offset,
        answer: &OrderAnswer,
    ) {
        if let Some(outcome) = self.executor.on_answer(now, copy, fence, answer) {
            self.driver.queue(RecordBody::Outcome {
                copy,
                fence,
                outcome,
            });
        }
        if let OrderAnswer::Failed(why) = answer {
            LogEvent::LoadFailed.write(&format!("copy={copy} why={why}"));
        }
    }

    /// Proposes a record for each copy that another host took over, by which this host declares
    /// that it sends no more orders for the copy. Unlike the sending of orders, this does not
    /// require a fresh state: the record must not be delayed, and a departed host writes it too.
    fn relinquish_lost_orders(&mut self, now: Millis) {
        let me = self.config.me;
        for copy in self
            .executor
            .newly_relinquished(now, me, &self.shared.placement)
        {
            LogEvent::OrderRelinquished.write(&format!("copy={copy}"));
            self.driver.queue(RecordBody::Relinquish { copy });
        }
    }

    fn propose_takeovers(&mut self, now: Millis) {
        let orphans: Vec<Offset> = self
            .shared
            .placement
            .unsettled()
            .filter(|(_, copy)| copy.action_under_way().is_some())
            .filter(|(_, copy)| !self.shared.members.is_member(copy.executor))
            .map(|(id, _)| *id)
            .collect();
        for copy in orphans {
            let key = format!("takeover {copy}");
            if self.is_home(&key) && self.platform.may_propose(now, &key) {
                self.driver.queue(RecordBody::Takeover { copy });
            }
        }
    }

    fn propose_unloads(&mut self, now: Millis) {
        self.demand.decided.refresh(&self.shared.table);
        self.demand.presence.retain(&self.shared.placement);
        for id in self.next_copies_to_check() {
            let Some(copy) = self.shared.placement.copies.get(&id) else {
                continue;
            };
            if copy.state != CopyState::Ready || self.shared.placement.is_base_in_use(copy) {
                continue;
            }
            let upstream = copy.load.upstream.clone();
            let reason = self.retire_reason(now, id);
            if reason.is_none() && !self.is_idle_too_long(now, id) {
                continue;
            }
            let key = format!("unload {id}");
            if self.is_home(&upstream) && self.platform.may_propose(now, &key) {
                if let Some(reason) = reason {
                    LogEvent::CopyRetired.write(&format!("copy={id} reason={reason:?}"));
                }
                self.driver.queue(RecordBody::Unload { copy: id });
            }
        }
    }

    /// Returns the copies to check in this tick; all copies are checked in turn.
    fn next_copies_to_check(&mut self) -> Vec<Offset> {
        let copies = &self.shared.placement.copies;
        let count = copies.len().min(COPIES_PER_TICK);
        let from = self.demand.cursor;
        self.demand.cursor = from.wrapping_add(count);
        (from..from + count)
            .filter_map(|index| copies.get_index(index % copies.len()))
            .map(|(id, _)| *id)
            .collect()
    }

    fn retire_reason(&self, now: Millis, id: Offset) -> Option<RetireReason> {
        let copy = self.shared.placement.copies.get(&id)?;
        if self.demand.presence.is_missing(now, id) {
            return Some(RetireReason::Missing);
        }
        if self.is_leaving(&copy.load.upstream) {
            return Some(RetireReason::UpstreamLeaving);
        }
        let upstream = self.shared.placement.upstreams.get(&copy.load.upstream);
        let data_centres = self.demand.decided.data_centres_of(&copy.load.model);
        if upstream.is_some_and(|upstream| !data_centres.allow(&upstream.data_centre)) {
            return Some(RetireReason::DataCentre);
        }
        retired_by_table(copy, &self.demand.decided, &self.shared.table)
    }

    /// Returns whether an upstream is leaving: its record on the log says so, or this host has
    /// marked it as leaving.
    pub fn is_leaving(&self, upstream: &str) -> bool {
        let entry = self.shared.placement.upstreams.get(upstream);
        let view = self.routing.get(upstream);
        entry.is_some_and(|entry| entry.leaving) || view.is_some_and(|view| view.leaving)
    }

    fn is_idle_too_long(&mut self, now: Millis, id: Offset) -> bool {
        let Some(copy) = self.shared.placement.copies.get(&id) else {
            return false;
        };
        self.demand.uses.note_first_seen(now, &copy.load.model);
        let idle = self.idle_copy(now, copy);
        idle.is_some_and(|idle| {
            idle.idle_ms >= MIN_IDLE_TIME_MS && self.config.keep_warm.should_unload(&idle)
        })
    }

    /// Updates demand and writes log events after a record was applied to the replicated state.
    pub fn placement_applied(&mut self, now: Millis, applied: &Applied) {
        let offset = applied.offset;
        match &applied.record.body {
            RecordBody::Load { load } => {
                self.demand.on_load_applied(&load.model);
                if applied.verdict == Verdict::Rejected(Rejection::StoreBusy) {
                    self.demand.on_store_busy(now, &load.model);
                }
                if applied.verdict.is_accepted() {
                    self.demand.on_load_decided(offset, self.shared.log_ms);
                    let details = format!(
                        "copy={offset} model={} upstream={}",
                        load.model, load.upstream
                    );
                    LogEvent::LoadDecided.write(&details);
                }
            }
            RecordBody::Unload { copy } if applied.verdict.is_accepted() => {
                LogEvent::UnloadDecided.write(&format!("copy={copy}"));
            }
            RecordBody::Takeover { copy } if applied.verdict.is_accepted() => {
                LogEvent::OrderTakenOver.write(&format!("copy={copy} fence={offset}"));
            }
            RecordBody::Outcome { copy, .. } if applied.verdict.is_accepted() => {
                let placement = &self.shared.placement;
                self.demand.on_outcome(self.shared.log_ms, *copy, placement);
                let ready = self.shared.placement.copies.contains_key(copy);
                let event = if ready {
                    LogEvent::CopyReady
                } else {
                    LogEvent::CopyGone
                };
                event.write(&format!("copy={copy}"));
            }
            _ => {}
        }
    }
}
