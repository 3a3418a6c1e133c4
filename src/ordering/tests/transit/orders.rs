//! Orders and reports: planned and sent by a host, on their way, and at the engine.

use super::faults::Fault;
use super::network::{Direction, Flight, Target, Way};
use super::world::{Event, Step, World};
use crate::ordering::message::{EngineReport, Order, OrderAnswer};
use crate::ordering::planner::load_time;
use crate::prelude::*;

const PLAN_INTERVAL_MS: Millis = Millis(50);
const IDLE_INTERVAL_MS: Millis = Millis(200);
const CALL_TIMEOUT_MS: Millis = Millis(500);

impl World {
    /// Reads reports, plans and sends orders, if the host is the holder.
    pub fn plan(&mut self, index: usize) {
        let now = self.now;
        if self.hosts[index].lease.holding().is_none() {
            self.step_in(index, IDLE_INTERVAL_MS, Step::Plan);
            return;
        }
        self.step_in(index, PLAN_INTERVAL_MS, Step::Plan);
        let listed = self.listed.clone();
        let host = &mut self.hosts[index];
        host.set_engines(now, listed);
        host.inventory.assume_unloaded(now);
        let reports = host.inventory.due_reports(now, 200);
        for id in reports {
            self.read_report(index, id);
        }
        let host = &mut self.hosts[index];
        let engines = &self.engines;
        let may_send = engines.iter().any(|engine| host.may_send(&engine.id, now));
        if !may_send {
            return;
        }
        host.plan(&mut self.random, now, &self.spec, |id| {
            engines[Self::slot_of(id)].starts
        });
        let due = host.inventory.take_due_orders(now);
        self.note_orderer(index);
        for (id, order) in due {
            self.send_order(index, id, order);
        }
    }

    fn send_order(&mut self, index: usize, id: Name, order: Order) {
        let now = self.now;
        let host = &self.hosts[index];
        let fence = host.lease.holding().map(|holding| holding.fence);
        let Some(fence) = fence.filter(|_| host.may_send(&id, now)) else {
            self.record_answer(index, &id, &order, OrderAnswer::NotSent);
            return;
        };
        let slot = Self::slot_of(&id);
        let process = host.process;
        let call = self.next_call();
        self.hosts[index].open_calls.insert(call);
        let begun = self.hosts[index].begun_starts.get(&id).copied();
        let flight = Flight {
            host: index,
            process,
            call,
            engine: id.clone(),
            slot,
            fence,
            order: order.clone(),
            written_at: now,
            count_at_write: 0,
            starts_at_write: 0,
            spans_restart: begun != Some(self.engines[slot].starts),
            way: Way::Prompt,
            waits_since_start: None,
            is_answered: true,
        };
        // Most orders find an open connection.
        let most_ms = if self.random.u8(..4) == 0 { 12 } else { 1 };
        let write_in = self.span(0..=most_ms);
        self.step_in(index, write_in, Step::WriteOrder(Box::new(flight)));
        let timed_out = Step::OrderAnswered(call, id, order, OrderAnswer::Silent);
        self.step_in(index, CALL_TIMEOUT_MS, timed_out);
    }

    /// Writes the bytes of an order whose call has not timed out.
    pub fn write_order(&mut self, mut flight: Flight) {
        if !self.hosts[flight.host].open_calls.contains(&flight.call) {
            return;
        }
        let engine = &self.engines[flight.slot];
        flight.written_at = self.now;
        flight.count_at_write = engine.count;
        flight.starts_at_write = engine.starts;
        let Some((at, is_held)) = self.travel(flight.host, Target::Engines, Direction::Out) else {
            return;
        };
        if is_held {
            flight.way = Way::Held;
        }
        if self.has(Fault::LostOrders) {
            match self.random.u8(..10) {
                0 => return,
                1 => flight.is_answered = false,
                _ => {}
            }
        }
        if self.has(Fault::DoubledOrders) && self.random.u8(..6) == 0 {
            let mut copy = flight.clone();
            copy.way = Way::Doubled;
            copy.is_answered = false;
            let copy_at = at + self.span(0..=3_000);
            self.at(copy_at, Event::Order(Box::new(copy)));
        }
        if self.has(Fault::LateOrders) && self.random.u8(..3) == 0 {
            flight.way = Way::Late;
            flight.is_answered = false;
            let late_at = at + self.span(2_000..=12_000);
            self.at(late_at, Event::Order(Box::new(flight)));
            return;
        }
        self.at(at, Event::Order(Box::new(flight)));
    }

    /// Lets an engine carry out or refuse an order.
    pub fn order_arrives(&mut self, mut flight: Flight) {
        let now = self.now;
        let engine = &mut self.engines[flight.slot];
        if flight
            .waits_since_start
            .is_some_and(|starts| starts != engine.starts)
        {
            return;
        }
        if now < engine.stands_until {
            let until = engine.stands_until;
            flight.waits_since_start = Some(engine.starts);
            if flight.way == Way::Prompt {
                flight.way = Way::Stood;
            }
            self.at(until, Event::Order(Box::new(flight)));
            return;
        }
        let answer = match engine.id == flight.engine {
            true => {
                let outcome = engine.order(now, &flight.order);
                let starts = engine.starts;
                let sender = self.sender_state(flight.host);
                let timeline = &mut self.timelines[flight.slot];
                let finding = timeline.note_order(now, &flight, outcome, starts, sender);
                self.outcome.findings.extend(finding);
                self.outcome.effects += usize::from(outcome.is_counted);
                outcome.answer
            }
            false => OrderAnswer::OtherLifetime,
        };
        if flight.is_answered {
            let step = Step::OrderAnswered(flight.call, flight.engine, flight.order, answer);
            self.send_to(flight.host, flight.process, Target::Engines, step);
        }
    }

    /// Ends a call with an answer or a time-out, whichever comes first.
    pub fn order_answered(
        &mut self,
        index: usize,
        call: u64,
        id: &Name,
        order: &Order,
        answer: OrderAnswer,
    ) {
        if self.hosts[index].open_calls.swap_remove(&call) {
            self.record_answer(index, id, order, answer);
        }
    }

    fn record_answer(&mut self, index: usize, id: &Name, order: &Order, answer: OrderAnswer) {
        let inventory = &mut self.hosts[index].inventory;
        let load = load_time(&self.spec, inventory, id, &order.ask);
        inventory.record_answer(self.now, id, order, answer, load);
    }

    fn read_report(&mut self, index: usize, id: Name) {
        let call = self.next_call();
        let process = self.hosts[index].process;
        self.hosts[index].open_calls.insert(call);
        let timed_out = Step::ReportRead(call, id.clone(), None);
        self.step_in(index, CALL_TIMEOUT_MS, timed_out);
        if let Some((at, _)) = self.travel(index, Target::Engines, Direction::Out) {
            self.at(at, Event::Report(index, process, call, id));
        }
    }

    /// Answers a read of an engine's report, which lags.
    pub fn report_asked(&mut self, index: usize, process: u64, call: u64, id: &Name) {
        let lag_ms = self.span(50..=700);
        let now = self.now;
        let engine = &mut self.engines[Self::slot_of(id)];
        if now < engine.stands_until {
            return;
        }
        let report = (engine.id == *id).then(|| engine.report(now, lag_ms));
        let step = Step::ReportRead(call, id.clone(), report);
        self.send_to(index, process, Target::Engines, step);
    }

    /// Ends the read of a report.
    pub fn report_read(
        &mut self,
        index: usize,
        call: u64,
        id: &Name,
        report: Option<EngineReport>,
    ) {
        let host = &mut self.hosts[index];
        if host.open_calls.swap_remove(&call) {
            host.inventory.record_report(self.now, id, report);
        }
    }
}
