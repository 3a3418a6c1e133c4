//! Enforces the rate limits of organisations, and exchanges their use between hosts.

use crate::desired::{RateLimit, RateLimitTable};
use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::limit_queue::{self, LimitedRequest};
use crate::entry::platform::Platform;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::rate_limit::limiter::Coverage;
use crate::rate_limit::{Decision, Limiter, LimitsUpdate, Refused, Scope, SharedLimits, Usage};

/// How long a request waits for newer limit levels from other hosts: the time of a few message
/// exchanges with a relay and the orderer.
const NEWER_LEVELS_TIMEOUT_MS: Millis = Millis(40);

/// The cost of one request, taken from its organisation's limit. It is refunded when the charge is
/// dropped, unless a send may have run the request.
pub struct Charge<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
    runs: u32,
    /// Whether the cost of the first run was taken here and is refunded if there is none.
    is_taken: bool,
}

impl<'a, P: Platform> Charge<'a, P> {
    /// Takes a request's cost from the limit of its organisation, if that has one. Where routes
    /// differ in rank, the request may wait for its turn.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the limit is reached.
    pub async fn take(host: &'a Host<P>, request: &'a ActiveRequest) -> Result<Self, Refusal> {
        if let Some((organisation, limit, cost)) = cost(request) {
            if limit_queue::is_enabled(host) {
                let limited = LimitedRequest {
                    request,
                    organisation,
                    limit,
                    cost,
                };
                limit_queue::take(host, &limited).await?;
            } else {
                take_at_once(host, organisation, limit, cost).await?;
            }
        }
        Ok(Self {
            host,
            request,
            runs: 0,
            is_taken: true,
        })
    }

    /// Charges only further runs of a request whose first run another host has charged.
    pub fn taken_elsewhere(host: &'a Host<P>, request: &'a ActiveRequest) -> Self {
        Self {
            host,
            request,
            runs: 0,
            is_taken: false,
        }
    }

    /// Records that the request is being sent, so that it may run. Each further run costs as much
    /// as the first.
    pub fn note_send(&mut self) {
        self.runs += 1;
        if self.runs > 1 {
            note_extra_run(self.host, self.request);
        }
    }

    /// Records that the last send did not run the request.
    pub fn note_not_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        if self.runs > 0 {
            refund(self.host, self.request);
        }
    }
}

impl<P: Platform> Drop for Charge<'_, P> {
    fn drop(&mut self) {
        if self.runs == 0 && self.is_taken {
            refund(self.host, self.request);
        }
    }
}

/// Takes the cost of a request from a limit without waiting for a turn.
async fn take_at_once<P: Platform>(
    host: &Host<P>,
    organisation: &Name,
    limit: &RateLimit,
    cost: u64,
) -> Result<(), Refusal> {
    let wants_newer_levels = || wants_newer_levels(host, organisation, limit);
    let decide = |point| {
        with_limiter(host, |limiter, now, _| {
            limiter.decide(now, organisation, limit, cost, point)
        })
    };
    admit(host, wants_newer_levels, decide)
        .await
        .map_err(refusal)
}

/// Returns the answer to a request that is refused for the limit of its organisation.
pub fn refusal(refused: Refused) -> Refusal {
    let why = match refused.scope {
        Scope::Site => "the rate limit of the organisation is reached",
        Scope::Group => "this host's share of the organisation's rate limit is used up",
    };
    Refusal::new(ErrorKind::RateLimited, why).with_retry_after(refused.retry_after_ms)
}

/// Tells whether a decision on a request of an organisation should wait for newer levels.
pub fn wants_newer_levels<P: Platform>(
    host: &Host<P>,
    organisation: &Name,
    limit: &RateLimit,
) -> bool {
    let wants = with_limiter(host, |limiter, now, _| {
        limiter.wants_newer_levels(now, organisation, limit)
    });
    wants == Some(true)
}

/// Takes the cost of one more run of a request from the limit, without deciding on it.
pub fn note_extra_run<P: Platform>(host: &Host<P>, request: &ActiveRequest) {
    if let Some((organisation, limit, cost)) = cost(request) {
        with_limiter(host, |limiter, now, _| {
            limiter.charge_rerun(now, organisation, limit, cost);
        });
    }
}

fn refund<P: Platform>(host: &Host<P>, request: &ActiveRequest) {
    if let Some((organisation, limit, cost)) = cost(request) {
        with_limiter(host, |limiter, now, _| {
            limiter.refund(now, organisation, limit, cost);
        });
    }
}

/// Returns the organisation, its limit and the cost of a request; none without a limit.
fn cost(request: &ActiveRequest) -> Option<(&Name, &RateLimit, u64)> {
    let organisation = request.identity.organisation()?;
    let limit = organisation.rate_limit.as_ref()?;
    Some((
        &organisation.name,
        limit,
        limit.cost(request.facts.counted_tokens),
    ))
}

/// Admits or refuses a request by a limit. Waits shortly for newer levels if `wants_newer_levels`
/// says so, then calls `decide` with a random number from 0 to 1. If the limit is nearly reached,
/// the use is reported to the other hosts at once. A request is admitted if `decide` returns none,
/// which means that no limit is known yet.
///
/// # Errors
///
/// Returns the refusal when the limit is reached.
pub async fn admit<P: Platform>(
    host: &Host<P>,
    wants_newer_levels: impl Fn() -> bool,
    decide: impl FnOnce(f64) -> Option<Decision>,
) -> Result<(), Refused> {
    wait_for_newer_levels(host, wants_newer_levels).await;
    let Some(decision) = decide(fastrand::f64()) else {
        return Ok(());
    };
    if decision.is_scarce {
        host.request_sync();
    }
    decision.admitted
}

/// Waits shortly for newer levels when the limit is nearly reached: a decision by old levels would
/// refuse requests that are allowed, or admit what other hosts have used up.
pub async fn wait_for_newer_levels<P: Platform>(
    host: &Host<P>,
    wants_newer_levels: impl Fn() -> bool,
) {
    let until = host.now() + NEWER_LEVELS_TIMEOUT_MS;
    loop {
        let change = host.next_change();
        let now = host.now();
        if !wants_newer_levels() || now >= until {
            return;
        }
        host.request_sync();
        with_timeout(until - now, change).await;
    }
}

/// Adds the use that another host reports.
pub fn merge_usage<P: Platform>(host: &Host<P>, usage: &[Usage]) {
    with_limiter(host, |limiter, now, table| {
        limiter.record_usage(now, usage, table);
    });
}

/// Returns the use since the last report, of this host and of those that report to it, for the next
/// message to a relay or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> Vec<Usage> {
    with_limiter(host, |limiter, now, _| limiter.report(now)).unwrap_or_default()
}

/// Returns the current levels, for this host's reply to hosts that report to it. None before there
/// is a desired state.
pub fn build_update<P: Platform>(host: &Host<P>) -> Option<LimitsUpdate> {
    with_limiter(host, |limiter, now, table| limiter.build_update(now, table))
}

/// Applies the reply to a message, sent at `asked_at`, that reported this host's use.
pub fn apply_reply<P: Platform>(host: &Host<P>, asked_at: Millis, update: Option<LimitsUpdate>) {
    with_limiter(host, |limiter, _, _| limiter.apply_reply(asked_at, update));
}

fn with_limiter<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Limiter, Millis, &RateLimitTable) -> T,
) -> Option<T> {
    with_limits(host, |limits, now, table| {
        with(&mut limits.organisations, now, table)
    })
}

/// Calls `with` on the limits of organisations after setting which hosts this host covers at
/// present. Returns none before there is a desired state.
pub fn with_limits<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut SharedLimits, Millis, &RateLimitTable) -> T,
) -> Option<T> {
    let table = host.routes.borrow().clone()?;
    let now = host.now();
    let coverage = coverage(host);
    let limits = &mut *host.limits.borrow_mut();
    limits
        .organisations
        .set_coverage(now, coverage, &table.rate_limits);
    Some(with(limits, now, &table.rate_limits))
}

/// Returns the part of the site that this host decides for and how many hosts report to it: the
/// whole site as the orderer, its own group as a relay, only itself otherwise.
pub fn coverage<P: Platform>(host: &Host<P>) -> Coverage {
    let members = host.members.borrow();
    let known = members.count_serving(host.now());
    let tree = host.tree.borrow();
    match (host.is_orderer(), tree.is_relay(host.incarnation)) {
        (true, _) => Coverage {
            scope: Scope::Site,
            reporting_hosts: host.orders.borrow().demand.live_hosts(),
            expected: members.count(),
            members: known,
        },
        (false, is_relay) => Coverage {
            scope: Scope::Group,
            reporting_hosts: 1 + host.relay_aggregate.borrow().relayed_hosts(),
            expected: if is_relay { tree.hosts_per_relay() } else { 1 },
            members: known,
        },
    }
}
