//! Use that is not reported yet to the host which adds it up.

use crate::prelude::*;
use crate::rate_limit::token_bucket::{SLOTS, slot_of};

/// Most organisations of which a host keeps unreported use: far above the largest site planned for.
const MAX_ORGANISATIONS: usize = 4_096;

/// Use of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The organisation.
    pub organisation: Name,
    /// How many slots ago, and how much; negative where more was given back.
    pub slots: Vec<(u8, i64)>,
}

/// Use by organisation and slot, until it is reported.
#[derive(Clone, Debug, Default)]
pub struct Unreported {
    organisations: IndexMap<Name, IndexMap<u64, i64>>,
    /// What the message on its way says.
    sent: Option<(u64, Vec<Usage>)>,
}

impl Unreported {
    /// Counts use of some slots ago.
    pub fn add(&mut self, now: Millis, organisation: &Name, slots_ago: u64, amount: i64) {
        let is_known = self.organisations.contains_key(organisation);
        if !is_known && self.organisations.len() >= MAX_ORGANISATIONS {
            return;
        }
        let slots = self.organisations.entry(organisation.clone()).or_default();
        let slot = slot_of(now).saturating_sub(slots_ago);
        *slots.entry(slot).or_default() += amount;
    }

    /// Returns the sum of an organisation.
    pub fn sum(&self, organisation: &str) -> i64 {
        let slots = self.organisations.get(organisation);
        slots.map_or(0, |slots| slots.values().sum())
    }

    /// Returns the organisations with unreported use.
    pub fn organisations(&self) -> impl Iterator<Item = &Name> {
        self.organisations.keys()
    }

    /// Returns what is to be reported. It stays until [`Self::settle`] says that it arrived: what may have been lost is reported
    /// again, so that use counts twice rather than not at all.
    pub fn report(&mut self, now: Millis) -> Vec<Usage> {
        let present = slot_of(now);
        let oldest = present.saturating_sub(SLOTS - 1);
        self.organisations.retain(|_, slots| {
            slots.retain(|slot, amount| *slot >= oldest && *amount != 0);
            !slots.is_empty()
        });
        let usage = |(organisation, slots): (&Name, &IndexMap<u64, i64>)| Usage {
            organisation: organisation.clone(),
            slots: slots
                .iter()
                .map(|(slot, amount)| (present.saturating_sub(*slot) as u8, *amount))
                .collect(),
        };
        let report: Vec<Usage> = self.organisations.iter().map(usage).collect();
        self.sent = Some((present, report.clone()));
        report
    }

    /// Takes note that the last report was heard.
    pub fn settle(&mut self) {
        let Some((present, report)) = self.sent.take() else {
            return;
        };
        for usage in report {
            let Some(slots) = self.organisations.get_mut(&usage.organisation) else {
                continue;
            };
            for (slots_ago, amount) in usage.slots {
                if let Some(left) = slots.get_mut(&(present - u64::from(slots_ago))) {
                    *left -= amount;
                }
            }
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
