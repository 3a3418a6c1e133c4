//! A bounded record of a process's inputs, for replay.

use crate::daemon::event::Event;
use crate::prelude::*;
use std::collections::VecDeque;

/// Most events kept.
pub const MAX_TRACED_EVENTS: usize = 20_000;

/// An event with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TracedEvent {
    /// When it was handled.
    pub at: Millis,
    /// The event.
    pub event: Event,
}

/// The last events of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Trace {
    events: VecDeque<TracedEvent>,
}

impl Trace {
    /// Adds an event; the oldest one goes when the trace is full.
    pub fn push(&mut self, at: Millis, event: &Event) {
        if self.events.len() >= MAX_TRACED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(TracedEvent {
            at,
            event: event.clone(),
        });
    }

    /// Returns the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &TracedEvent> {
        self.events.iter()
    }
}
