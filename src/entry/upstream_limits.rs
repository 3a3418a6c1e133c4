//! Enforces the request rates that upstreams state in their answers, for all hosts together, and
//! exchanges their use between hosts.

use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::prelude::*;
use crate::rate_limit::{
    Refused, StatedLimit, UpstreamLimits, UpstreamLimitsReport, UpstreamLimitsUpdate,
};
use crate::upstreams::Lifetime;
use crate::upstreams::rejections::ToldRejectionLimit;

#[derive(Serialize)]
struct LimitLine<'a> {
    upstream: &'a str,
    per_s: Option<f64>,
    /// Whether another host reported the limit, rather than an answer to this host.
    told: bool,
}

fn log_change(upstream: &str, per_s: Option<f64>, told: bool) {
    let line = LimitLine {
        upstream,
        per_s,
        told,
    };
    lines::write(LogEvent::UpstreamLimited, &line);
}

/// Records the limit that an answer states, in requests a second, or that it states none.
pub fn note_answer<P: Platform>(host: &Host<P>, upstream: &Lifetime, per_s: Option<f64>) {
    let now = host.now();
    let mut limits = host.limits.borrow_mut();
    if limits.upstreams.note_answer(now, &upstream.id, per_s) {
        log_change(&upstream.id, per_s, false);
        host.request_sync();
    }
}

/// Takes one request from an upstream's limit, if it has stated one. Waits shortly for newer levels
/// when the limit is nearly reached.
///
/// # Errors
///
/// Returns the refusal when the upstream may get no more requests now.
pub async fn take<P: Platform>(host: &Host<P>, upstream: &Name) -> Result<(), Refused> {
    // A fast path for every request: few upstreams state a limit.
    if host.limits.borrow().upstreams.limit(upstream).is_none() {
        return Ok(());
    }
    let wants_newer_levels =
        || with_limits(host, |limits, now| limits.wants_newer_levels(now, upstream));
    let decide = |point| with_limits(host, |limits, now| limits.decide(now, upstream, point));
    limits::admit(host, wants_newer_levels, decide).await
}

/// Returns the use and the stated limits for this host's next message to a relay or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> UpstreamLimitsReport {
    UpstreamLimitsReport {
        rejections: host.upstreams.borrow().told_rejection_limits(host.now()),
        ..with_limits(host, |limits, now| limits.report(now))
    }
}

/// Adds what another host reports.
pub fn merge_report<P: Platform>(host: &Host<P>, report: &UpstreamLimitsReport) {
    merge_stated(host, &report.stated);
    merge_rejections(host, &report.rejections);
    with_limits(host, |limits, now| limits.record_usage(now, &report.usage));
}

/// Returns the stated limits and current levels, for this host's reply to hosts that report to it.
pub fn build_update<P: Platform>(host: &Host<P>) -> UpstreamLimitsUpdate {
    UpstreamLimitsUpdate {
        rejections: host.upstreams.borrow().told_rejection_limits(host.now()),
        ..with_limits(host, |limits, now| limits.build_update(now))
    }
}

/// Applies the reply to a message, sent at `asked_at`, that carried this host's report.
pub fn apply_update<P: Platform>(host: &Host<P>, asked_at: Millis, update: UpstreamLimitsUpdate) {
    merge_stated(host, &update.stated);
    merge_rejections(host, &update.rejections);
    with_limits(host, |limits, _| {
        limits.apply_reply(asked_at, update.levels)
    });
}

/// Applies limits that upstreams stated to other hosts, and logs those that changed.
fn merge_stated<P: Platform>(host: &Host<P>, stated: &[StatedLimit]) {
    let now = host.now();
    let mut limits = host.limits.borrow_mut();
    for limit in limits.upstreams.merge_stated(now, stated) {
        log_change(&limit.upstream, limit.per_s, true);
    }
}

fn merge_rejections<P: Platform>(host: &Host<P>, told: &[ToldRejectionLimit]) {
    let now = host.now();
    host.upstreams
        .borrow_mut()
        .merge_rejection_limits(now, told);
}

fn with_limits<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut UpstreamLimits, Millis) -> T,
) -> T {
    let now = host.now();
    let coverage = limits::coverage(host);
    let limits = &mut host.limits.borrow_mut().upstreams;
    limits.set_coverage(now, coverage);
    with(limits, now)
}
