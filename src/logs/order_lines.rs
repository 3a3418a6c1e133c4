//! Reads the log lines about orders to engines, with bounded memory.

use crate::logs::line::{LogLine, ReadError, for_each_line};
use crate::ordering::message::{Order, OrderAnswer};
use crate::prelude::*;
use serde::Deserializer;
use std::collections::BTreeMap;
use std::io::BufRead;

/// The most lines that are kept of one engine. The oldest are left out.
pub const MAX_LINES_PER_ENGINE: usize = 2_000;
/// The most engines of which lines are kept. The lines of those that are read later are left out.
pub const MAX_ENGINES: usize = 4_096;
/// The most lines about taken leases that are kept. The oldest are left out.
const MAX_LEASE_LINES: usize = 65_536;

/// When the first byte of an order was written to the engine's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The line does not say it, because its host runs an older release.
    Unknown,
    /// No byte was written.
    Never,
    /// At this time.
    At(Millis),
}

/// What a line says about an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// The order was planned.
    Planned {
        /// What for.
        why: Name,
    },
    /// One attempt to send it has ended.
    Ended {
        /// The engine's answer.
        answer: OrderAnswer,
        /// The duration of the attempt.
        took_ms: Millis,
        /// When the order was written.
        written: Written,
        /// How long the sender might still order at that time; `None` if the line does not say it.
        right_left_ms: Option<i64>,
    },
}

/// A line about an order to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderEvent {
    /// The host that wrote the line.
    pub host: Name,
    /// When the order was planned, or the attempt to send it began.
    pub from_unix_ms: Millis,
    /// When the line was written.
    pub at_unix_ms: Millis,
    /// The order.
    pub order: Order,
    /// The sender's fencing token; `None` if no line says it.
    pub fence: Option<u64>,
    /// What happened.
    pub step: OrderStep,
}

/// The lines of one engine.
#[derive(Debug, Default)]
pub struct EngineLines {
    /// The lines in the order of their times.
    pub events: Vec<OrderEvent>,
    /// The number of lines that were left out because there were too many.
    pub left_out: usize,
}

/// Which lines are kept.
#[derive(Clone, Debug, Default)]
pub struct OrderFilter {
    /// The engine; `None` for all.
    pub engine: Option<Name>,
    /// The first and the last time; `None` for all times.
    pub between: Option<(Millis, Millis)>,
}

/// The lines of one input that could not be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Skipped {
    /// Those whose JSON object ends too early, or that are too long.
    pub cut_off: usize,
    /// Those that are not a log event, or lack what a line about an order has.
    pub others: usize,
    /// The number of the first of them; 0 if there is none.
    pub first_line: usize,
}

/// The lines about orders of all inputs.
#[derive(Debug, Default)]
pub struct OrderLines {
    filter: OrderFilter,
    engines: IndexMap<Name, Kept<OrderEvent>>,
    leases: Kept<TakenLease>,
    lines_of_other_engines: usize,
    /// The times of the first and the last line about an order, whether it was kept or not.
    range: Option<(Millis, Millis)>,
}

/// Values by time, the newest of them if there are too many.
#[derive(Debug)]
struct Kept<T> {
    values: BTreeMap<(Millis, usize), T>,
    added: usize,
}

#[derive(Debug)]
struct TakenLease {
    host: Name,
    fence: u64,
}

/// The fields of a line about an order.
#[derive(Deserialize)]
struct OrderFields {
    upstream: Name,
    order: Order,
    #[serde(default)]
    why: Option<Name>,
    #[serde(default)]
    fence: Option<u64>,
    #[serde(default)]
    answer: Option<OrderAnswer>,
    #[serde(default)]
    took_ms: Millis,
    #[serde(default, deserialize_with = "present")]
    written_at_unix_ms: Option<Option<Millis>>,
    #[serde(default)]
    right_left_ms: Option<i64>,
}

/// The fields of a line about a taken lease.
#[derive(Deserialize)]
struct LeaseFields {
    fence: Option<u64>,
}

/// Tells a field that is null from one that is missing.
fn present<'de, D: Deserializer<'de>>(input: D) -> Result<Option<Option<Millis>>, D::Error> {
    Option::<Millis>::deserialize(input).map(Some)
}

impl<T> Default for Kept<T> {
    fn default() -> Self {
        Self {
            values: BTreeMap::new(),
            added: 0,
        }
    }
}

impl<T> Kept<T> {
    fn add(&mut self, at: Millis, value: T, max: usize) {
        self.values.insert((at, self.added), value);
        self.added += 1;
        if self.values.len() > max {
            self.values.pop_first();
        }
    }
}

impl OrderLines {
    /// Creates an empty collection for the lines that the filter names.
    pub fn new(filter: OrderFilter) -> Self {
        Self {
            filter,
            ..Self::default()
        }
    }

    /// Reads an input to its end and returns which lines could not be used.
    ///
    /// # Errors
    ///
    /// Returns why the input cannot be read.
    pub fn read(&mut self, input: &mut impl BufRead, source: &Name) -> Result<Skipped, ReadError> {
        let mut skipped = Skipped::default();
        for_each_line(input, source, |number, line| {
            let is_cut_off = match line {
                Ok(line) if self.take(&line) => return Ok(()),
                Ok(_) => false,
                Err(error) => error.is_cut_off(),
            };
            skipped.add(number, is_cut_off);
            Ok(())
        })?;
        Ok(skipped)
    }

    /// Keeps a line if it is about an order or a lease. Returns false if it should have been but
    /// lacks a field.
    fn take(&mut self, line: &LogLine) -> bool {
        if line.is(LogEvent::LeaseTaken) {
            return self.take_lease(line);
        }
        if !line.is(LogEvent::OrderSent) && !line.is(LogEvent::OrderEnded) {
            return true;
        }
        let Ok(fields) = serde_json::from_str::<OrderFields>(&line.text) else {
            return false;
        };
        let at = line.at_unix_ms;
        let (first, last) = self.range.unwrap_or((at, at));
        self.range = Some((first.min(at), last.max(at)));
        if !self.filter.includes(&fields.upstream, at) {
            return true;
        }
        let step = match (line.is(LogEvent::OrderSent), fields.answer) {
            (true, _) => OrderStep::Planned {
                why: fields.why.unwrap_or_else(|| "".into()),
            },
            (false, Some(answer)) => OrderStep::Ended {
                answer,
                took_ms: fields.took_ms,
                written: match fields.written_at_unix_ms {
                    None => Written::Unknown,
                    Some(None) => Written::Never,
                    Some(Some(at)) => Written::At(at),
                },
                right_left_ms: fields.right_left_ms,
            },
            (false, None) => return false,
        };
        let event = OrderEvent {
            host: line.host.clone(),
            from_unix_ms: Millis(at.0.saturating_sub(fields.took_ms.0)),
            at_unix_ms: at,
            order: fields.order,
            fence: fields.fence,
            step,
        };
        self.keep(fields.upstream, event);
        true
    }

    fn take_lease(&mut self, line: &LogLine) -> bool {
        let Ok(fields) = serde_json::from_str::<LeaseFields>(&line.text) else {
            return false;
        };
        if let Some(fence) = fields.fence {
            let host = line.host.clone();
            let lease = TakenLease { host, fence };
            self.leases.add(line.at_unix_ms, lease, MAX_LEASE_LINES);
        }
        true
    }

    fn keep(&mut self, engine: Name, event: OrderEvent) {
        if self.engines.len() >= MAX_ENGINES && !self.engines.contains_key(&engine) {
            self.lines_of_other_engines += 1;
            return;
        }
        let kept = self.engines.entry(engine).or_default();
        kept.add(event.from_unix_ms, event, MAX_LINES_PER_ENGINE);
    }

    /// Returns the number of lines that were left out because there were too many engines.
    pub fn lines_of_other_engines(&self) -> usize {
        self.lines_of_other_engines
    }

    /// Returns the times of the first and the last line about an order, of any engine and at any
    /// time.
    pub fn range(&self) -> Option<(Millis, Millis)> {
        self.range
    }

    /// Returns the lines by engine, in the order of names. A line without a fencing token gets that
    /// of its host's last line before it that has one for the same order or the lease.
    pub fn into_engines(self) -> IndexMap<Name, EngineLines> {
        let leases = self.leases.values;
        let mut engines: IndexMap<Name, EngineLines> = IndexMap::new();
        for (engine, kept) in self.engines {
            let left_out = kept.added - kept.values.len();
            let mut events: Vec<OrderEvent> = kept.values.into_values().collect();
            for index in 0..events.len() {
                if events[index].fence.is_none() {
                    let fence = planned_fence(&events[..index], &events[index])
                        .or_else(|| lease_fence(&leases, &events[index]));
                    events[index].fence = fence;
                }
            }
            engines.insert(engine, EngineLines { events, left_out });
        }
        engines.sort_unstable_keys();
        engines
    }
}

/// Returns the fencing token of the last line before `event` about the same order of the same host.
fn planned_fence(before: &[OrderEvent], event: &OrderEvent) -> Option<u64> {
    let mut newest_first = before.iter().rev();
    let same = newest_first.find(|other| other.host == event.host && other.order == event.order);
    same.and_then(|other| other.fence)
}

/// Returns the fencing token of the lease that the host had taken last when it began to send.
fn lease_fence(leases: &BTreeMap<(Millis, usize), TakenLease>, event: &OrderEvent) -> Option<u64> {
    let mut newest_first = leases.range(..=(event.from_unix_ms, usize::MAX)).rev();
    let taken = newest_first.find(|(_, lease)| lease.host == event.host);
    taken.map(|(_, lease)| lease.fence)
}

impl OrderFilter {
    fn includes(&self, engine: &Name, at: Millis) -> bool {
        let is_engine = self.engine.as_ref().is_none_or(|wanted| wanted == engine);
        let is_time = |(from, until): (Millis, Millis)| from <= at && at <= until;
        is_engine && self.between.is_none_or(is_time)
    }
}

impl Skipped {
    fn add(&mut self, number: usize, is_cut_off: bool) {
        match is_cut_off {
            true => self.cut_off += 1,
            false => self.others += 1,
        }
        if self.first_line == 0 {
            self.first_line = number;
        }
    }
}

/// Returns the name of an answer, as it stands in log lines.
pub fn answer_name(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::AlreadyDone => "already_done",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::OtherLifetime => "other_lifetime",
        OrderAnswer::Invalid => "invalid",
        OrderAnswer::Silent => "silent",
        OrderAnswer::NotSent => "not_sent",
    }
}
