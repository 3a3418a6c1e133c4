//! Rate limits of organisations on a request's way, and in the messages between hosts.

use crate::desired::{LimitTable, RateLimit};
use crate::entry::ask::Ask;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::http1::client::within;
use crate::prelude::*;
use crate::rate_limit::limiter::Coverage;
use crate::rate_limit::{Decision, Limiter, LimitsUpdate, Refused, Scope, Usage};

/// How long a request waits for newer levels: a few exchanges with a relay and the orderer.
const NEWER_LEVELS_MS: Millis = Millis(40);

/// What one request uses of its organisation's limit. What did not run is given back when it ends, however it ends.
pub struct Charge<'a, P: Platform> {
    host: &'a Host<P>,
    ask: &'a Ask,
    runs: u32,
}

impl<'a, P: Platform> Charge<'a, P> {
    /// Takes a request's cost from the limit, where its organisation has one.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the limit is reached.
    pub async fn take(host: &'a Host<P>, ask: &'a Ask) -> Result<Self, Refusal> {
        if let Some((organisation, limit, cost)) = cost(ask) {
            let wants_newer_levels = || {
                let wants = with_limiter(host, |limiter, now, _| {
                    limiter.wants_newer_levels(now, organisation, limit)
                });
                wants == Some(true)
            };
            let decide = |point| {
                with_limiter(host, |limiter, now, _| {
                    limiter.decide(now, organisation, limit, cost, point)
                })
            };
            if let Err(refused) = admit(host, wants_newer_levels, decide).await {
                let why = match refused.scope {
                    Scope::Site => "the rate limit of the organisation is reached",
                    Scope::Group => "this host's share of the organisation's rate limit is used up",
                };
                return Err(Refusal::new(ErrorKind::RateLimited, why).after(refused.retry_after_ms));
            }
        }
        Ok(Self { host, ask, runs: 0 })
    }

    /// Takes note that the request is being sent: from now on it may run.
    pub fn note_send(&mut self) {
        self.runs += 1;
        if self.runs > 1 {
            note_extra_run(self.host, self.ask);
        }
    }

    /// Takes note that what was sent last did not run.
    pub fn note_not_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
        if self.runs > 0 {
            give_back(self.host, self.ask);
        }
    }
}

impl<P: Platform> Drop for Charge<'_, P> {
    fn drop(&mut self) {
        if self.runs == 0 {
            give_back(self.host, self.ask);
        }
    }
}

/// Counts one more run of a request.
pub fn note_extra_run<P: Platform>(host: &Host<P>, ask: &Ask) {
    if let Some((organisation, limit, cost)) = cost(ask) {
        with_limiter(host, |limiter, now, _| {
            limiter.charge_rerun(now, organisation, limit, cost);
        });
    }
}

fn give_back<P: Platform>(host: &Host<P>, ask: &Ask) {
    if let Some((organisation, limit, cost)) = cost(ask) {
        with_limiter(host, |limiter, now, _| {
            limiter.refund(now, organisation, limit, cost);
        });
    }
}

fn cost(ask: &Ask) -> Option<(&Name, &RateLimit, u64)> {
    let organisation = ask.identity.organisation()?;
    let limit = organisation.rate_limit.as_ref()?;
    Some((
        &organisation.name,
        limit,
        limit.cost(ask.facts.counted_tokens),
    ))
}

/// Decides a request by levels that are as new as a moment's wait makes them, and has its use reported at once where little
/// is left. What has no limit yet is admitted.
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
        host.note_want();
    }
    decision.admitted
}

/// Waits a moment for newer levels where little is left: a decision by old ones would refuse what is
/// allowed, or admit what others have used.
async fn wait_for_newer_levels<P: Platform>(host: &Host<P>, wants_newer_levels: impl Fn() -> bool) {
    let until = host.now() + NEWER_LEVELS_MS;
    loop {
        let change = host.next_change();
        let now = host.now();
        if !wants_newer_levels() || now >= until {
            return;
        }
        host.note_want();
        within(until - now, change).await;
    }
}

/// Takes the use that another host reports.
pub fn take_usage<P: Platform>(host: &Host<P>, usage: &[Usage]) {
    with_limiter(host, |limiter, now, table| {
        limiter.take_usage(now, usage, table);
    });
}

/// Returns the use that this host has to report.
pub fn report<P: Platform>(host: &Host<P>) -> Vec<Usage> {
    with_limiter(host, |limiter, now, _| limiter.report(now)).unwrap_or_default()
}

/// Returns the levels for hosts that report to this one.
pub fn news<P: Platform>(host: &Host<P>) -> Option<LimitsUpdate> {
    with_limiter(host, |limiter, now, table| limiter.build_update(now, table))
}

/// Takes the answer to a message that reported this host's use.
pub fn take_reply<P: Platform>(host: &Host<P>, asked_at: Millis, news: Option<LimitsUpdate>) {
    with_limiter(host, |limiter, _, _| limiter.take_reply(asked_at, news));
}

/// Calls the limiter with this host's present place in the site; not before there is a desired state.
fn with_limiter<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Limiter, Millis, &LimitTable) -> T,
) -> Option<T> {
    let table = host.routes.borrow().clone()?;
    let now = host.now();
    let place = place(host);
    let limiter = &mut host.limits.borrow_mut().organisations;
    limiter.set_coverage(now, place, &table.rate_limits);
    Some(with(limiter, now, &table.rate_limits))
}

/// Returns this host's present place in the site.
pub fn place<P: Platform>(host: &Host<P>) -> Coverage {
    let members = host.members.borrow();
    let known = members.count_serving(host.now());
    let tree = host.tree.borrow();
    match (host.is_orderer(), tree.is_relay(host.incarnation)) {
        (true, _) => Coverage {
            scope: Scope::Site,
            heard: host.orders.borrow().book.heard(),
            expected: members.count(),
            members: known,
        },
        (false, is_relay) => Coverage {
            scope: Scope::Group,
            heard: 1 + host.gather.borrow().heard(),
            expected: if is_relay { tree.hosts_a_relay() } else { 1 },
            members: known,
        },
    }
}
