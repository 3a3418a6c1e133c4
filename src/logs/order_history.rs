//! Who ordered an engine under which fencing token, which orders were left without an answer, and
//! which of them could still be carried out after the next holder of the lease had ordered.

use crate::logs::order_lines::{EngineLines, OrderEvent, OrderStep, Written};
use crate::ordering::message::{Action, OrderAnswer};
use crate::prelude::*;

/// How long after it was written an order without an answer may still be carried out.
pub const LATE_ORDER_MS: Millis = Millis(12_000);

/// What happened to the orders of one engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineHistory {
    /// The counts.
    pub summary: EngineSummary,
    /// The lines, in the order of their times.
    pub rows: Vec<OrderRow>,
}

/// Counts of what happened to the orders of one engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineSummary {
    /// The engine.
    pub engine: Name,
    /// The time of the first row.
    pub first_unix_ms: Millis,
    /// The time of the last row.
    pub last_unix_ms: Millis,
    /// The number of attempts to send an order, without those that were not sent.
    pub sends: usize,
    /// The number of hosts that sent one.
    pub hosts: usize,
    /// How often the holder changed.
    pub changes: usize,
    /// How often the engine was seen to have started anew.
    pub restarts: usize,
    /// The number of orders that were left without an answer.
    pub unanswered: usize,
    /// The number of orders that could still be carried out when the next holder ordered.
    pub reachable: usize,
    /// The number of attempts under a lower fencing token than that of an earlier one.
    pub lower_fences: usize,
    /// The number of lines that were left out because there were too many.
    pub left_out: usize,
}

/// A line about an order.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrderRow {
    /// The engine.
    pub engine: Name,
    /// When the order was planned, or the attempt to send it began.
    pub from_unix_ms: Millis,
    /// The host that sent it.
    pub host: Name,
    /// The host's fencing token; `None` if no line says it.
    pub fence: Option<u64>,
    /// The operation.
    pub action: Action,
    /// The model.
    pub model: Name,
    /// The adapter; `None` if the operation is about the model itself.
    pub adapter: Option<Name>,
    /// The precondition: how many orders the engine must have accepted before.
    pub after_orders: u64,
    /// What the order was planned for; `None` for an attempt to send it.
    pub planned_for: Option<Name>,
    /// The answer to the attempt.
    pub answer: Option<OrderAnswer>,
    /// The duration of the attempt.
    pub took_ms: Option<Millis>,
    /// Whether the line says when, or that nothing, was written.
    pub knows_written: bool,
    /// When the first byte was written.
    pub written_at_unix_ms: Option<Millis>,
    /// How long the host might still order at that time.
    pub right_left_ms: Option<i64>,
    /// What is to be noticed about the line.
    pub marks: Vec<Mark>,
}

/// Something to be noticed about an attempt to send an order.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "mark")]
pub enum Mark {
    /// It is the first of another holder than the previous one.
    HolderChanged {
        /// The previous holder.
        from_host: Name,
        /// Its fencing token.
        from_fence: Option<u64>,
        /// The time since its last order was written; since the attempt began, where a line does
        /// not say when the order was written.
        gap_ms: Millis,
    },
    /// A host had already ordered the engine under a higher fencing token.
    LowerFence {
        /// That host.
        other_host: Name,
        /// Its fencing token.
        other_fence: u64,
    },
    /// It was written when the host might no longer order.
    WrittenWithoutRight,
    /// The engine has started anew since the previous accepted order.
    EngineRestarted,
    /// Its precondition is lower than the number of orders that the engine had accepted: the engine
    /// has started anew, or the sender goes by an old report.
    CountsFewerOrders {
        /// That number.
        accepted_orders: u64,
    },
    /// It is the last copy of an order that got no answer.
    Unanswered {
        /// Until when a copy may be carried out.
        until_unix_ms: Millis,
        /// The answer to a later copy, which does not show what became of this one.
        later_answer: Option<OrderAnswer>,
    },
    /// The precondition of the order could become true, or be true, when the next holder ordered.
    StillReachable {
        /// The next holder.
        next_host: Name,
        /// Its fencing token.
        next_fence: Option<u64>,
        /// The precondition of its order.
        next_after_orders: u64,
        /// When it was written, or the attempt to send it began.
        next_unix_ms: Millis,
    },
}

/// An attempt to send an order of which bytes may have been written.
struct Send<'a> {
    row: usize,
    event: &'a OrderEvent,
    answer: OrderAnswer,
    /// The earliest time at which bytes may have been written.
    from: Millis,
    /// The latest one.
    until: Millis,
    /// How often the engine had started anew before.
    life: usize,
}

impl Send<'_> {
    fn is_same_holder(&self, other: &Self) -> bool {
        self.event.host == other.event.host && self.event.fence == other.event.fence
    }

    fn is_same_order(&self, other: &Self) -> bool {
        self.is_same_holder(other) && self.event.order == other.event.order
    }

    fn after_orders(&self) -> u64 {
        self.event.order.after_orders
    }

    fn is_accepted(&self) -> bool {
        self.answer == OrderAnswer::Accepted
    }
}

impl EngineHistory {
    /// Derives what happened from the lines of an engine, which are in the order of their times.
    pub fn new(engine: &Name, lines: &EngineLines) -> Self {
        let mut events: Vec<&OrderEvent> = lines.events.iter().collect();
        events.sort_by_key(|event| first_byte_at(event));
        let mut rows: Vec<OrderRow> = events.iter().map(|event| row(engine, event)).collect();
        let mut sends = sends(&events);
        mark_restarts(&mut sends, &mut rows);
        mark_holders(&sends, &mut rows);
        mark_unanswered(&sends, &mut rows);
        let summary = summary(engine, lines, &sends, &rows);
        Self { summary, rows }
    }
}

/// Returns when the order was written, or else when it was planned or the attempt to send it began.
fn first_byte_at(event: &OrderEvent) -> Millis {
    match event.step {
        OrderStep::Ended {
            written: Written::At(at),
            ..
        } => at,
        _ => event.from_unix_ms,
    }
}

fn row(engine: &Name, event: &OrderEvent) -> OrderRow {
    let mut row = OrderRow {
        engine: engine.clone(),
        from_unix_ms: event.from_unix_ms,
        host: event.host.clone(),
        fence: event.fence,
        action: event.order.action,
        model: event.order.ask.model.clone(),
        adapter: event.order.ask.adapter.clone(),
        after_orders: event.order.after_orders,
        planned_for: None,
        answer: None,
        took_ms: None,
        knows_written: false,
        written_at_unix_ms: None,
        right_left_ms: None,
        marks: Vec::new(),
    };
    match &event.step {
        OrderStep::Planned { why } => row.planned_for = Some(why.clone()),
        OrderStep::Ended {
            answer,
            took_ms,
            written,
            right_left_ms,
        } => {
            row.answer = Some(*answer);
            row.took_ms = Some(*took_ms);
            row.knows_written = *written != Written::Unknown;
            if let Written::At(at) = written {
                row.written_at_unix_ms = Some(*at);
            }
            row.right_left_ms = *right_left_ms;
        }
    }
    row
}

/// Returns the attempts of which bytes may have been written.
fn sends<'a>(events: &[&'a OrderEvent]) -> Vec<Send<'a>> {
    let mut sends = Vec::new();
    for (row, event) in events.iter().enumerate() {
        let OrderStep::Ended {
            answer, written, ..
        } = event.step
        else {
            continue;
        };
        let (from, until) = match written {
            Written::At(at) => (at, at),
            Written::Unknown if answer != OrderAnswer::NotSent => {
                (event.from_unix_ms, event.at_unix_ms)
            }
            Written::Unknown | Written::Never => continue,
        };
        sends.push(Send {
            row,
            event,
            answer,
            from,
            until,
            life: 0,
        });
    }
    sends
}

/// Marks the first accepted order after each start of the engine: its precondition is lower than the
/// number of orders that were accepted before, or it is for another start. Also marks the first other
/// order after each accepted one whose precondition is lower than that number.
fn mark_restarts(sends: &mut [Send], rows: &mut [OrderRow]) {
    let mut accepted_orders = 0;
    let mut born_at = Millis::ZERO;
    let mut life = 0;
    let mut first_lower: Option<usize> = None;
    for index in 0..sends.len() {
        let send = &sends[index];
        let order = &send.event.order;
        let marks = &mut rows[send.row].marks;
        let is_lower = order.after_orders < accepted_orders;
        if send.is_accepted() {
            let is_other_start = born_at != Millis::ZERO && order.born_at > born_at;
            accepted_orders = order.after_orders + 1;
            born_at = order.born_at;
            if is_lower || is_other_start {
                life += 1;
                marks.push(Mark::EngineRestarted);
                // The orders before it that counted fewer were meant for the new start as well.
                for earlier in &mut sends[first_lower.unwrap_or(index)..index] {
                    earlier.life = life;
                }
            }
            first_lower = None;
        } else if is_lower && first_lower.is_none() {
            marks.push(Mark::CountsFewerOrders { accepted_orders });
            first_lower = Some(index);
        }
        sends[index].life = life;
    }
}

/// Marks changes of the holder, lower fencing tokens, and orders that were written without the right
/// to order.
fn mark_holders(sends: &[Send], rows: &mut [OrderRow]) {
    let mut highest: Option<(u64, &Name)> = None;
    let previous = std::iter::once(None).chain(sends.iter().map(Some));
    for (send, previous) in sends.iter().zip(previous) {
        let marks = &mut rows[send.row].marks;
        if let Some(previous) = previous.filter(|previous| !previous.is_same_holder(send)) {
            marks.push(Mark::HolderChanged {
                from_host: previous.event.host.clone(),
                from_fence: previous.event.fence,
                gap_ms: send.from.since(previous.from),
            });
        }
        if let OrderStep::Ended {
            right_left_ms: Some(..=0),
            ..
        } = send.event.step
        {
            marks.push(Mark::WrittenWithoutRight);
        }
        let Some(fence) = send.event.fence else {
            continue;
        };
        match highest {
            Some((other_fence, other_host)) if fence < other_fence => {
                marks.push(Mark::LowerFence {
                    other_host: other_host.clone(),
                    other_fence,
                });
            }
            _ => highest = Some((fence, &send.event.host)),
        }
    }
}

/// Marks the last silent copy of each order that was left without an answer, and those that could
/// still be carried out when the next holder ordered.
fn mark_unanswered(sends: &[Send], rows: &mut [OrderRow]) {
    for (index, send) in sends.iter().enumerate() {
        let later = &sends[index + 1..];
        let is_silent = |send: &Send| send.answer == OrderAnswer::Silent;
        let is_repeated = |other: &Send| is_silent(other) && other.is_same_order(send);
        if !is_silent(send) || later.iter().any(is_repeated) {
            continue;
        }
        let until = send.until + LATE_ORDER_MS;
        let is_known_past = later.iter().any(|other| is_past(send, other));
        if !is_known_past {
            let mut copies = later.iter().filter(|other| other.is_same_order(send));
            rows[send.row].marks.push(Mark::Unanswered {
                until_unix_ms: until,
                later_answer: copies.next_back().map(|copy| copy.answer),
            });
        }
        let next = later.iter().find(|other| {
            let is_open = !is_known_past || other.life > send.life;
            let is_reachable = other.after_orders() <= send.after_orders();
            !other.is_same_holder(send) && other.from <= until && is_open && is_reachable
        });
        if let Some(next) = next {
            rows[send.row].marks.push(Mark::StillReachable {
                next_host: next.event.host.clone(),
                next_fence: next.event.fence,
                next_after_orders: next.after_orders(),
                next_unix_ms: next.from,
            });
        }
    }
}

/// Returns whether a later acceptance of the same holder shows that the engine has accepted more
/// orders than the precondition of `send` says.
fn is_past(send: &Send, later: &Send) -> bool {
    later.is_accepted()
        && later.is_same_holder(send)
        && later.life == send.life
        && later.after_orders() >= send.after_orders()
}

fn summary(engine: &Name, lines: &EngineLines, sends: &[Send], rows: &[OrderRow]) -> EngineSummary {
    let count = |is_wanted: fn(&Mark) -> bool| {
        let marks = rows.iter().flat_map(|row| &row.marks);
        marks.filter(|mark| is_wanted(mark)).count()
    };
    let hosts: IndexSet<&Name> = sends.iter().map(|send| &send.event.host).collect();
    EngineSummary {
        engine: engine.clone(),
        first_unix_ms: rows.first().map_or(Millis::ZERO, |row| row.from_unix_ms),
        last_unix_ms: rows.last().map_or(Millis::ZERO, |row| row.from_unix_ms),
        sends: sends.len(),
        hosts: hosts.len(),
        changes: count(|mark| matches!(mark, Mark::HolderChanged { .. })),
        restarts: count(|mark| *mark == Mark::EngineRestarted),
        unanswered: count(|mark| matches!(mark, Mark::Unanswered { .. })),
        reachable: count(|mark| matches!(mark, Mark::StillReachable { .. })),
        lower_fences: count(|mark| matches!(mark, Mark::LowerFence { .. })),
        left_out: lines.left_out,
    }
}
