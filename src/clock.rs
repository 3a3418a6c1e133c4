//! The one clock type: milliseconds.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time or a span, in milliseconds.
///
/// Points are Unix time as first read at process start and advanced by the boot-time clock, so they
/// never step back within a process. Subtraction saturates at zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the span from `earlier` to this point, or zero when it lies ahead.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the span to a standard duration.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the span in whole seconds, rounded up.
    pub fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, span: Self) {
        *self = *self + span;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        self.since(span)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Reads the time at the edge of a process.
///
/// It advances with the boot-time clock, which runs on while a machine is suspended: a lease or a deadline
/// that ends meanwhile must be seen as ended. The time of day is read once, so its jumps change nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_boot_ms: u64,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts a clock at the present Unix time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_boot_ms: boot_ms(),
            started_unix_ms: since_epoch.as_millis() as u64,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Millis {
        Millis(self.started_unix_ms + boot_ms().saturating_sub(self.started_boot_ms))
    }
}

fn boot_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
