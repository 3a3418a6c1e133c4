//! Use that has not been reported yet to the host that sums it up.

use crate::prelude::*;
use crate::rate_limit::token_bucket::{SLOTS, slot_of};

/// Maximum number of names with unreported use on a host, far above the largest site planned for.
const MAX_NAMES: usize = 4_096;

/// Use of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The organisation or upstream that has the limit.
    pub name: Name,
    /// Use by slot, each with the number of slots ago; negative where more was returned than used.
    pub slots: Vec<(u8, i64)>,
}

/// Unreported use by name and slot.
#[derive(Clone, Debug, Default)]
pub struct UnreportedUsage {
    by_name: IndexMap<Name, IndexMap<u64, i64>>,
    /// The report in flight, and the slot in which it was sent.
    sent: Option<(u64, Vec<Usage>)>,
}

impl UnreportedUsage {
    /// Counts use in the slot `slots_ago` slots before the current one.
    pub fn add(&mut self, now: Millis, name: &Name, slots_ago: u64, amount: i64) {
        let is_known = self.by_name.contains_key(name);
        if !is_known && self.by_name.len() >= MAX_NAMES {
            return;
        }
        let slots = self.by_name.entry(name.clone()).or_default();
        let slot = slot_of(now).saturating_sub(slots_ago);
        *slots.entry(slot).or_default() += amount;
    }

    /// Returns the unreported use of a name.
    pub fn sum(&self, name: &str) -> i64 {
        let slots = self.by_name.get(name);
        slots.map_or(0, |slots| slots.values().sum())
    }

    /// Returns the names with unreported use.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.by_name.keys()
    }

    /// Returns the report for the parent. Its use counts as unreported until
    /// [`Self::confirm_report`] is called, so a report that may have been lost is repeated: use may
    /// count twice, but is never missed.
    pub fn report(&mut self, now: Millis) -> Vec<Usage> {
        let present = slot_of(now);
        let oldest = present.saturating_sub(SLOTS - 1);
        self.by_name.retain(|_, slots| {
            slots.retain(|slot, amount| *slot >= oldest && *amount != 0);
            !slots.is_empty()
        });
        let usage = |(name, slots): (&Name, &IndexMap<u64, i64>)| Usage {
            name: name.clone(),
            slots: slots
                .iter()
                .map(|(slot, amount)| (present.saturating_sub(*slot) as u8, *amount))
                .collect(),
        };
        let report: Vec<Usage> = self.by_name.iter().map(usage).collect();
        self.sent = Some((present, report.clone()));
        report
    }

    /// Records that the parent received the last report.
    pub fn confirm_report(&mut self) {
        let Some((present, report)) = self.sent.take() else {
            return;
        };
        for usage in report {
            let Some(slots) = self.by_name.get_mut(&usage.name) else {
                continue;
            };
            for (slots_ago, amount) in usage.slots {
                if let Some(left) = slots.get_mut(&(present - u64::from(slots_ago))) {
                    *left -= amount;
                }
            }
        }
    }

    /// Discards all unreported use.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
