//! Rate limits of organisations and of upstreams, enforced over all hosts together.
//!
//! Every host decides by itself whether to admit a request, from what it knows of the use of the
//! whole site, and reports its use in the messages that it sends to the orderer anyway. So no
//! request waits for another host, and no other host has to be reachable to admit one. The use that
//! hosts do not know of each other yet is bounded by the time between two messages. A host without
//! recent messages admits its share of the limit, so that the sum over all hosts stays within the
//! limit under any network partition.
//!
//! - [`token_bucket`]: the bucket of one limit, which accepts use that is reported late.
//! - [`usage`]: use that has not been reported yet.
//! - [`levels`]: bucket levels in messages between hosts.
//! - [`limiter`]: the decision on one host.
//! - [`claimed_keys`]: reservations that were claimed at another host than the one that refused.
//! - [`place`]: a reservation for a caller that was told to retry.
//! - [`places`]: the reservations of one host.
//! - [`schedules`]: the times for which reservations are made.
//! - [`timed`]: entries that end at known times.
//! - [`line`]: the requests that wait for a limit, by urgency.
//! - [`upstream_limits`]: the limits that upstreams state in their answers.

pub mod claimed_keys;
pub mod levels;
pub mod limiter;
pub mod line;
pub mod place;
pub mod places;
pub mod schedules;
pub mod timed;
pub mod token_bucket;
pub mod upstream_limits;
pub mod usage;

#[cfg(test)]
pub mod tests;

pub use levels::LimitsUpdate;
pub use limiter::{Decision, Limiter, Refused, Scope};
pub use line::{LineReport, Lines, LinesUpdate};
pub use place::{Place, PlaceUpdate, SentPlace};
pub use places::PlaceBook;
pub use upstream_limits::{
    StatedLimit, UpstreamLimits, UpstreamLimitsReport, UpstreamLimitsUpdate,
};
pub use usage::Usage;

/// One host's part of the limits that all hosts enforce together.
#[derive(Debug)]
pub struct SharedLimits {
    /// Limits of organisations.
    pub organisations: Limiter,
    /// Requests that wait for the limits of organisations.
    pub lines: Lines,
    /// Limits of upstreams.
    pub upstreams: UpstreamLimits,
}
