//! Retries of requests: a budget that all hosts of a site share limits their number, and requests
//! that crash the upstreams that run them, or share with others what does, are quarantined, which
//! means that they are no longer sent.
//!
//! - [`budget`]: one host's share of a service's retry budget.
//! - [`digest`]: how a repeated request is recognised.
//! - [`interrupted_requests`]: requests whose connection to an upstream ended, until it is known
//!   whether the upstream crashed.
//! - [`crash_ledger`]: the decision which requests cause crashes.
//! - [`shared_cause`]: what requests share and may be the cause of crashes.
//! - [`shared_ledger`]: the decision which shared causes are held back.
//! - [`sound_causes`]: on which causes upstreams have answered.
//! - [`shared_evidence`]: one host's evidence on shared causes.
//! - [`quarantine`]: one host's state, and its exchange of evidence with other hosts.
//! - [`message`]: the messages of that exchange.

pub mod budget;
pub mod crash_ledger;
pub mod digest;
pub mod interrupted_requests;
pub mod message;
pub mod quarantine;
pub mod shared_cause;
pub mod shared_evidence;
pub mod shared_ledger;
pub mod sound_causes;

#[cfg(test)]
mod tests;

pub use budget::{BudgetRule, RetryBudget};
pub use digest::RequestDigest;
pub use message::{CrashReport, CrashUpdate};
pub use quarantine::Quarantine;
pub use shared_cause::{RequestCauses, SharedCause, VersionTag};

use crate::prelude::*;

/// Retry budgets and quarantine of one host.
#[derive(Debug, Default)]
pub struct RetryState {
    /// The retry budget of each service.
    pub budgets: IndexMap<Name, RetryBudget>,
    /// The requests that must not be sent, because they crash upstreams.
    pub quarantine: Quarantine,
}
