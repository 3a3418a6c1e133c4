//! Samples of the time between the events of streams, on their way from hosts to the orderer.
//!
//! Handles engines of one service that work at different speeds: the time between the events of a
//! stream shows the speed of its engine, whatever the length of its prompt and answer.

use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::collections::VecDeque;

/// The least gaps of a stream that give a sample: those of 16 events.
const MIN_GAPS: usize = 15;
/// The most gaps of a stream that are kept; the newest ones count.
const MAX_GAPS: usize = 64;
/// The most samples that a host keeps between two messages.
pub const MAX_HOST_SAMPLES: usize = 64;
/// The most samples that a relay keeps between two messages, its own included. The samples of some
/// thirty hosts with eight streams each that end within an interval fit in.
pub const MAX_RELAY_SAMPLES: usize = 256;

/// The typical time between the events of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapSample {
    /// The lifetime of the engine that sent the events.
    pub engine: Lifetime,
    /// The model that made them, without an adapter.
    pub model: Name,
    /// The lower quartile of the times between the events, in microseconds.
    pub gap_us: u32,
}

/// The times between the events of one stream from one engine.
#[derive(Clone, Debug, Default)]
pub struct EventGaps {
    last_at_us: Option<u64>,
    gaps_us: VecDeque<u32>,
}

impl EventGaps {
    /// Records that `events` events were read together at `at_us`, in microseconds of any clock that
    /// does not go backwards. The time since the last read is divided evenly among them, because a
    /// host that was busy meanwhile reads several at once.
    pub fn note(&mut self, at_us: u64, events: u32) {
        if events == 0 {
            return;
        }
        let Some(last_at_us) = self.last_at_us.replace(at_us) else {
            return;
        };
        let gap_us = at_us.saturating_sub(last_at_us) / u64::from(events);
        let gap_us = u32::try_from(gap_us).unwrap_or(u32::MAX);
        for _ in 0..events.min(MAX_GAPS as u32) {
            if self.gaps_us.len() >= MAX_GAPS {
                self.gaps_us.pop_front();
            }
            self.gaps_us.push_back(gap_us);
        }
    }

    /// Returns the lower quartile of the times, and forgets them; `None` if there were too few
    /// events. Prefill between decode steps lengthens some of the times, but seldom three in four.
    pub fn take_lower_quartile_us(&mut self) -> Option<u32> {
        self.last_at_us = None;
        let mut gaps_us: Vec<u32> = std::mem::take(&mut self.gaps_us).into();
        if gaps_us.len() < MIN_GAPS {
            return None;
        }
        let at = gaps_us.len() / 4;
        Some(*gaps_us.select_nth_unstable(at).1)
    }
}

/// The samples of one host, or of a relay and its hosts, since the last message.
#[derive(Clone, Debug, Default)]
pub struct GapSamples {
    samples: VecDeque<GapSample>,
}

impl GapSamples {
    /// Adds samples; beyond `most` the oldest are dropped.
    pub fn add(&mut self, samples: impl IntoIterator<Item = GapSample>, most: usize) {
        for sample in samples {
            if self.samples.len() >= most {
                self.samples.pop_front();
            }
            self.samples.push_back(sample);
        }
    }

    /// Returns the samples and starts the next interval.
    pub fn take(&mut self) -> Vec<GapSample> {
        std::mem::take(&mut self.samples).into()
    }
}
