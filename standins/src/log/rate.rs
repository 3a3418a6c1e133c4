//! A bound on how many appends are taken each second.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// A token bucket that holds one second's worth.
#[derive(Debug)]
pub struct RateLimit {
    per_s: f64,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    /// Builds a full bucket.
    pub fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        let bucket = Bucket {
            tokens: per_s,
            filled_at: Instant::now(),
        };
        Self {
            per_s,
            bucket: Mutex::new(bucket),
        }
    }

    /// Takes one token if there is one.
    pub fn take(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let elapsed_s = now.duration_since(bucket.filled_at).as_secs_f64();
        bucket.filled_at = now;
        bucket.tokens = (bucket.tokens + elapsed_s * self.per_s).min(self.per_s);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
