//! The rate limits in force, by the name of the organisation or upstream that they apply to.

use crate::desired::RateLimit;
use crate::prelude::*;

/// Rate limits by the name of an organisation or upstream.
#[derive(Clone, Debug, Default)]
pub struct RateLimitTable(IndexMap<Name, RateLimit>);

impl RateLimitTable {
    /// Returns the limit for a name, if there is one.
    pub fn get(&self, name: &str) -> Option<RateLimit> {
        self.0.get(name).copied()
    }

    /// Iterates over all limits with their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &RateLimit)> {
        self.0.iter()
    }

    /// Sets the limit for a name, or removes it.
    pub fn set(&mut self, name: &Name, limit: Option<RateLimit>) {
        match limit {
            Some(limit) => self.0.insert(name.clone(), limit),
            None => self.0.swap_remove(name),
        };
    }
}

impl FromIterator<(Name, RateLimit)> for RateLimitTable {
    fn from_iter<I: IntoIterator<Item = (Name, RateLimit)>>(limits: I) -> Self {
        Self(limits.into_iter().collect())
    }
}
