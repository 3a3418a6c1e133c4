//! Retries of requests: a budget that all hosts of a site share limits their number, and requests
//! that crash the upstreams that run them are quarantined, which means that they are no longer
//! sent.
//!
//! - [`budget`]: one host's share of a service's retry budget.
//! - [`digest`]: how a repeated request is recognised.
//! - [`interrupted_requests`]: requests whose connection to an upstream ended, until it is known
//!   whether the upstream crashed.
//! - [`crash_ledger`]: the decision which requests cause crashes.
//! - [`quarantine`]: one host's state, and its exchange of evidence with other hosts.
//! - [`message`]: the messages of that exchange.

pub mod budget;
pub mod crash_ledger;
pub mod digest;
pub mod interrupted_requests;
pub mod message;
pub mod quarantine;

#[cfg(test)]
mod tests;

pub use budget::{BudgetRule, RetryBudget};
pub use digest::RequestDigest;
pub use message::{CrashReport, CrashUpdate};
pub use quarantine::Quarantine;

use crate::prelude::*;

/// Retry budgets and quarantine of one host.
#[derive(Debug, Default)]
pub struct RetryState {
    /// The retry budget of each service.
    pub budgets: IndexMap<Name, RetryBudget>,
    /// The requests that must not be sent, because they crash upstreams.
    pub quarantine: Quarantine,
}
