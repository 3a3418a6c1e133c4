//! Counts of requests and answers, readable on the admin path.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Counts since the process started; admin requests are left out.
#[derive(Debug, Default)]
pub struct Counters {
    requests: AtomicU64,
    answered_2xx: AtomicU64,
    answered_4xx: AtomicU64,
    answered_5xx: AtomicU64,
    outage_refusals: AtomicU64,
    answers_delayed: AtomicU64,
    answers_lost: AtomicU64,
    requests_silenced: AtomicU64,
}

/// A copy of the counts.
#[derive(Debug, Serialize)]
pub struct CounterReadings {
    requests: u64,
    answered_2xx: u64,
    answered_4xx: u64,
    answered_5xx: u64,
    outage_refusals: u64,
    answers_delayed: u64,
    answers_lost: u64,
    requests_silenced: u64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl Counters {
    /// Counts a request.
    pub fn count_request(&self) {
        increment(&self.requests);
    }

    /// Counts an answer by its status, whether or not it reaches the caller.
    pub fn count_answer(&self, status: u16) {
        match status {
            200..=299 => increment(&self.answered_2xx),
            500.. => increment(&self.answered_5xx),
            _ => increment(&self.answered_4xx),
        }
    }

    /// Counts a request refused by an outage.
    pub fn count_outage(&self) {
        increment(&self.outage_refusals);
    }

    /// Counts an answer that was held back.
    pub fn count_delayed(&self) {
        increment(&self.answers_delayed);
    }

    /// Counts an answer that was lost on purpose.
    pub fn count_lost(&self) {
        increment(&self.answers_lost);
    }

    /// Counts a request that met a silent connection.
    pub fn count_silenced(&self) {
        increment(&self.requests_silenced);
    }

    /// Copies the counts.
    pub fn readings(&self) -> CounterReadings {
        CounterReadings {
            requests: read(&self.requests),
            answered_2xx: read(&self.answered_2xx),
            answered_4xx: read(&self.answered_4xx),
            answered_5xx: read(&self.answered_5xx),
            outage_refusals: read(&self.outage_refusals),
            answers_delayed: read(&self.answers_delayed),
            answers_lost: read(&self.answers_lost),
            requests_silenced: read(&self.requests_silenced),
        }
    }
}
