//! Limits that upstreams name: on a request's way, and in the messages between hosts.

use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::rate_limit::{
    Refused, StatedLimit, UpstreamLimits, UpstreamLimitsReport, UpstreamLimitsUpdate,
};
use crate::upstreams::Lifetime;

#[derive(Serialize)]
struct LimitLine<'a> {
    upstream: &'a str,
    per_s: Option<f64>,
    told: bool,
}

fn note_changed(upstream: &str, per_s: Option<f64>, told: bool) {
    let line = LimitLine {
        upstream,
        per_s,
        told,
    };
    lines::write(LogEvent::UpstreamLimited, &line);
}

/// Takes note of the limit that an answer names, or that it names none.
pub fn note_answer<P: Platform>(host: &Host<P>, upstream: &Lifetime, per_s: Option<f64>) {
    let now = host.now();
    let mut limits = host.limits.borrow_mut();
    if limits.upstreams.note_answer(now, &upstream.id, per_s) {
        note_changed(&upstream.id, per_s, false);
        host.note_want();
    }
}

/// Takes one request from what an upstream allows. Where little is left, it waits a moment for newer levels.
///
/// # Errors
///
/// Returns the refusal when the upstream may get no more requests now.
pub async fn take<P: Platform>(host: &Host<P>, upstream: &Name) -> Result<(), Refused> {
    // Few upstreams name a limit, and every request comes by here.
    if host.limits.borrow().upstreams.limit(upstream).is_none() {
        return Ok(());
    }
    let wants_newer_levels =
        || with_limits(host, |limits, now| limits.wants_newer_levels(now, upstream));
    let decide = |point| with_limits(host, |limits, now| limits.decide(now, upstream, point));
    limits::admit(host, wants_newer_levels, decide).await
}

/// Returns what this host has to report.
pub fn report<P: Platform>(host: &Host<P>) -> UpstreamLimitsReport {
    with_limits(host, |limits, now| limits.report(now))
}

/// Takes what another host reports.
pub fn take_report<P: Platform>(host: &Host<P>, report: &UpstreamLimitsReport) {
    take_stated(host, &report.stated);
    with_limits(host, |limits, now| limits.take_usage(now, &report.usage));
}

/// Returns what a host that reports to this one is to know.
pub fn news<P: Platform>(host: &Host<P>) -> UpstreamLimitsUpdate {
    with_limits(host, |limits, now| limits.build_update(now))
}

/// Takes the answer to a message with this host's report.
pub fn take_news<P: Platform>(host: &Host<P>, asked_at: Millis, news: UpstreamLimitsUpdate) {
    take_stated(host, &news.stated);
    with_limits(host, |limits, _| limits.take_reply(asked_at, news.levels));
}

fn take_stated<P: Platform>(host: &Host<P>, stated: &[StatedLimit]) {
    let now = host.now();
    let mut limits = host.limits.borrow_mut();
    for limit in limits.upstreams.take_stated(now, stated) {
        note_changed(&limit.upstream, limit.per_s, true);
    }
}

fn with_limits<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut UpstreamLimits, Millis) -> T,
) -> T {
    let now = host.now();
    let place = limits::place(host);
    let limits = &mut host.limits.borrow_mut().upstreams;
    limits.set_coverage(now, place);
    with(limits, now)
}
