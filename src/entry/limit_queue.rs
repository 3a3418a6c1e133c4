//! Requests that wait for the rate limit of their organisation, where routes differ in rank.

use crate::desired::{RateLimit, RateLimitTable, Route};
use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::lines;
use crate::entry::places;
use crate::entry::platform::Platform;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::rate_limit::line::sums::{MAX_RANK, RankSum, Sums};
use crate::rate_limit::line::{Entered, Outcome, Turn, WaitingRequest};
use crate::rate_limit::{Limiter, LineReport, Lines, LinesUpdate, Refused};
use std::mem::discriminant;

/// The part of a request's goal that is left for its answer: half. While a limit is reached, engines are
/// busy too.
const ANSWER_DIVISOR: u64 = 2;
/// A late request waits for at most this part of the time until its caller gives up.
const WAIT_DIVISOR: u64 = 3;
/// The shortest time between two requests for newer levels while requests wait.
const REFRESH_INTERVAL_MS: Millis = Millis(100);
/// A request whose cost is at most this part of the burst is small.
const SMALL_COST_DIVISOR: f64 = 200.0;
/// Most requests that begin or are refused by one look at a queue.
const MAX_DECISIONS: usize = 32;

/// The precedence of a request that was told to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Precedence {
    /// When the request arrived first.
    pub first_arrived_at: Millis,
    /// Whether it counts as one rank more urgent when the reserve is applied.
    pub is_promoted: bool,
}

/// A request under the rate limit of its organisation.
#[derive(Clone, Copy)]
pub struct LimitedRequest<'a> {
    /// The request.
    pub request: &'a ActiveRequest,
    /// The name of its organisation.
    pub organisation: &'a Name,
    /// The organisation's limit.
    pub limit: &'a RateLimit,
    /// The request's cost.
    pub cost: u64,
}

impl LimitedRequest<'_> {
    /// Returns the rank of the request in its organisation's queue. A request that costs a small part
    /// of the burst takes hardly anything from those before it, so it does not wait behind prompts.
    fn queue_rank(&self) -> u8 {
        match self.cost as f64 * SMALL_COST_DIVISOR <= self.limit.burst {
            true => 0,
            false => self.request.rank(),
        }
    }

    /// Returns the request's place in the order. With a precedence it goes by its first arrival. A
    /// request waits only while it can be on time. One that comes back too late for that goes last: its
    /// caller gains little, and it must not make others late.
    pub fn waiting_request(&self, precedence: Option<Precedence>) -> WaitingRequest {
        let ActiveRequest {
            route,
            arrived_at,
            first_byte_deadline_at,
            ..
        } = self.request;
        let first_arrived_at = precedence.map_or(*arrived_at, |own| own.first_arrived_at);
        let on_time_until = first_arrived_at + start_within_ms(route);
        let is_late = on_time_until < *arrived_at;
        let time_ms = first_byte_deadline_at.since(*arrived_at);
        WaitingRequest {
            rank: if is_late { MAX_RANK } else { self.queue_rank() },
            arrived_at: first_arrived_at,
            on_time_until,
            leave_by: match is_late {
                true => *arrived_at + Millis(time_ms.0 / WAIT_DIVISOR),
                false => on_time_until.min(*first_byte_deadline_at),
            },
            cost: self.cost,
            is_promoted: !is_late && precedence.is_some_and(|own| own.is_promoted),
        }
    }
}

/// Returns how long after its arrival a request of a route can begin and still be on time.
fn start_within_ms(route: &Route) -> Millis {
    Millis(route.goal_ms.0 / ANSWER_DIVISOR)
}

/// Tells whether requests wait for rate limits at this host: its routes differ in rank.
pub fn is_enabled<P: Platform>(host: &Host<P>) -> bool {
    let table = host.routes.borrow();
    table.as_ref().is_some_and(|table| table.has_ranks)
}

/// Charges a request to the limit of its organisation, now or after it waited for its turn.
///
/// # Errors
///
/// Returns the refusal when the request cannot begin in time.
pub async fn take<P: Platform>(
    host: &Host<P>,
    limited: &LimitedRequest<'_>,
) -> Result<(), Refusal> {
    let LimitedRequest {
        organisation,
        limit,
        ..
    } = *limited;
    let wants_newer_levels = || limits::wants_newer_levels(host, organisation, limit);
    limits::wait_for_newer_levels(host, wants_newer_levels).await;
    let asked = limited.waiting_request(None);
    let begun = with_lines(host, limited, |lines, limiter, turn| {
        lines.try_begin(turn, limiter, &asked)
    });
    let drawn = match begun {
        None => return Ok(()),
        Some(Ok(())) => {
            host.metrics.count_limit_queue(asked.rank, "began_at_once");
            request_sync_if_scarce(host, limited);
            return Ok(());
        }
        Some(Err(drawn)) => drawn,
    };
    if host.is_stopping() {
        return Err(stopping());
    }
    let precedence = precedence(host, limited.request).await;
    let asked = limited.waiting_request(precedence);
    let entered = with_lines(host, limited, |lines, limiter, turn| {
        lines.enter(turn, limiter, &asked, drawn)
    });
    request_sync_if_scarce(host, limited);
    let outcome = match entered {
        None => Outcome::Began,
        Some(Entered::Decided(outcome)) => outcome,
        Some(Entered::Waits(id)) => {
            host.metrics.count_limit_queue(asked.rank, "waited");
            host.note_limit_queue_change();
            host.request_sync();
            let waiting = Waiting { host, limited, id };
            waiting.wait().await?
        }
    };
    match outcome {
        Outcome::Began => {
            host.metrics.count_limit_queue(asked.rank, "began");
            Ok(())
        }
        Outcome::Refused(refused) => {
            host.metrics.count_limit_queue(asked.rank, "refused");
            Err(note_refused(host, limited, refused))
        }
    }
}

/// Returns the precedence of a request that does not begin at once, if it was told to retry and comes
/// at that time. Called once per request, before it enters the queue.
async fn precedence<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Precedence> {
    let place = places::claim(host, request).await?;
    Some(Precedence {
        first_arrived_at: place.arrived_at,
        is_promoted: true,
    })
}

/// Returns the answer to a request that is refused for a rate limit, with the time of a reservation.
fn note_refused<P: Platform>(
    host: &Host<P>,
    limited: &LimitedRequest<'_>,
    refused: Refused,
) -> Refusal {
    let part = with_lines(host, limited, |lines, limiter, turn| {
        lines.waiting_part(turn, limiter)
    });
    if let Some(part) = part.flatten() {
        places::set_part(host, limited.organisation, part);
    }
    let retry_after_ms = places::keep(host, limited.request, refused.retry_after_ms);
    limits::refusal(Refused {
        retry_after_ms,
        ..refused
    })
}

/// Returns the tokens of reservations that are due soon.
fn reserved<P: Platform>(host: &Host<P>) -> Sums {
    let mut sums = Sums::default();
    for due in places::due_tokens(host) {
        let sum = RankSum {
            rank: due.rank,
            waiting_tokens: due.tokens,
            ..RankSum::default()
        };
        sums.add(&due.organisation, sum);
    }
    sums
}

fn stopping() -> Refusal {
    Refusal::new(ErrorKind::Stopping, "this host is about to end").with_retry_after(Millis::ZERO)
}

/// A request in the queue. Dropped without a decision, it leaves the queue.
struct Waiting<'a, P: Platform> {
    host: &'a Host<P>,
    limited: &'a LimitedRequest<'a>,
    id: u64,
}

impl<P: Platform> Waiting<'_, P> {
    /// Waits for the decision on the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when this host stops.
    async fn wait(self) -> Result<Outcome, Refusal> {
        let Self { host, limited, id } = self;
        let mut refreshed_at = Millis::ZERO;
        loop {
            let changed = host.next_limit_queue_change();
            if host.is_stopping() {
                return Err(stopping());
            }
            self.step();
            let with = |lines: &mut Lines, _: &mut Limiter, turn: &Turn<'_>| {
                let is_first = lines.is_first(turn.name, id);
                let next_check_ms = lines.next_check_ms(turn.name, id);
                (lines.take_outcome(id), is_first, next_check_ms)
            };
            let Some((outcome, is_first, next_check_ms)) = with_lines(host, limited, with) else {
                return Ok(Outcome::Began);
            };
            if let Some(outcome) = outcome {
                log_changes(host);
                return Ok(outcome);
            }
            let now = host.now();
            let is_refresh_due = is_first && now.since(refreshed_at) >= REFRESH_INTERVAL_MS;
            if is_refresh_due
                && limits::wants_newer_levels(host, limited.organisation, limited.limit)
            {
                refreshed_at = now;
                host.request_sync();
            }
            with_timeout(next_check_ms, changed).await;
        }
    }

    /// Looks at the queue if this request is to do so, and wakes those that were decided on.
    fn step(&self) {
        let is_due = with_lines(self.host, self.limited, |lines, _, turn| {
            lines.is_due(turn.now, turn.name, self.id)
        });
        if is_due != Some(true) {
            return;
        }
        let step =
            |lines: &mut Lines, limiter: &mut Limiter, turn: &Turn<'_>| lines.step(turn, limiter);
        let decided = (0..MAX_DECISIONS)
            .map_while(|_| with_lines(self.host, self.limited, step).filter(|decided| *decided > 0))
            .sum::<usize>();
        if decided > 0 {
            self.host.note_limit_queue_change();
            request_sync_if_scarce(self.host, self.limited);
        }
    }
}

impl<P: Platform> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        let left = with_lines(self.host, self.limited, |lines, limiter, turn| {
            let outcome = lines.leave(turn.name, self.id);
            if outcome == Some(Outcome::Began) {
                limiter.refund(turn.now, turn.name, turn.limit, self.limited.cost);
            }
        });
        if left.is_some() {
            self.host.note_limit_queue_change();
            log_changes(self.host);
        }
    }
}

fn request_sync_if_scarce<P: Platform>(host: &Host<P>, limited: &LimitedRequest<'_>) {
    let is_scarce = with_lines(host, limited, |_, limiter, turn| {
        limiter.is_scarce(turn.now, turn.name, turn.limit)
    });
    if is_scarce == Some(true) {
        host.request_sync();
    }
}

/// Adds what waits at another host.
pub fn merge_sums<P: Platform>(host: &Host<P>, incarnation: u64, sums: &[LineReport]) {
    with_all_lines(host, |lines, _, now, _| {
        lines.record(now, incarnation, sums.to_vec());
    });
}

/// Returns what waits at this host and at those that report to it, for the next message to a relay
/// or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> Vec<LineReport> {
    log_changes(host);
    let reserved = reserved(host);
    let report = |lines: &mut Lines, limiter: &mut Limiter, now, _: &_| {
        lines.set_reserved(reserved);
        lines.report(now, limiter)
    };
    with_all_lines(host, report).unwrap_or_default()
}

/// Returns what waits at all hosts, for this host's reply to hosts that report to it.
pub fn build_update<P: Platform>(host: &Host<P>) -> LinesUpdate {
    let build =
        |lines: &mut Lines, limiter: &mut Limiter, now, _: &_| lines.build_update(now, limiter);
    with_all_lines(host, build).unwrap_or_default()
}

/// Applies the reply to a message that was sent at `asked_at`.
pub fn apply_update<P: Platform>(host: &Host<P>, asked_at: Millis, update: &LinesUpdate) {
    let has_waiting = with_all_lines(host, |lines, _, _, _| {
        lines.apply_update(asked_at, update);
        lines.has_waiting()
    });
    if has_waiting == Some(true) {
        host.note_limit_queue_change();
    }
}

#[derive(Serialize)]
struct QueueLine<'a> {
    organisation: &'a str,
    requests: usize,
    tokens: u64,
}

/// Logs the queues that became empty or non-empty, and records how much waits.
fn log_changes<P: Platform>(host: &Host<P>) {
    let changed = with_all_lines(host, |lines, _, now, _| {
        (lines.take_changes(now), lines.waiting())
    });
    let Some((changes, (requests, tokens))) = changed else {
        return;
    };
    host.metrics.record_limit_queue(requests as u64, tokens);
    for change in changes {
        let line = QueueLine {
            organisation: &change.organisation,
            requests: change.requests,
            tokens: change.tokens,
        };
        lines::write(LogEvent::LimitQueueChanged, &line);
    }
}

/// Calls `with` on the queues and the limiter for a request, with a new random number. A limit that
/// changed since the request was read holds as it is now, for all that wait. Returns none before
/// there is a desired state.
fn with_lines<P: Platform, T>(
    host: &Host<P>,
    limited: &LimitedRequest<'_>,
    with: impl FnOnce(&mut Lines, &mut Limiter, &Turn<'_>) -> T,
) -> Option<T> {
    with_all_lines(host, |lines, limiter, now, table| {
        // The cost was counted in the unit of the former limit.
        let in_force = table
            .get(limited.organisation)
            .filter(|limit| discriminant(&limit.unit) == discriminant(&limited.limit.unit));
        let turn = Turn {
            now,
            name: limited.organisation,
            limit: in_force.as_ref().unwrap_or(limited.limit),
            random_unit: fastrand::f64(),
        };
        with(lines, limiter, &turn)
    })
}

fn with_all_lines<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Lines, &mut Limiter, Millis, &RateLimitTable) -> T,
) -> Option<T> {
    limits::with_limits(host, |shared, now, table| {
        with(&mut shared.lines, &mut shared.organisations, now, table)
    })
}
