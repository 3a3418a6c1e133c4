//! Points in time and spans in milliseconds, and the clock that a process reads.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time or a span, in milliseconds.
///
/// A point is a Unix time: the time of day at process start, advanced by the boot-time clock, so
/// that it never goes backwards within a process. Addition saturates at the largest value,
/// subtraction at zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The empty span.
    pub const ZERO: Self = Self(0);
    /// The point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the span from `earlier` to this point, or zero if `earlier` is after this point.
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

/// Reads the present time for a process.
///
/// It advances with the boot-time clock, which also counts while the machine is suspended, so that
/// a lease or deadline that passed during a suspension is seen as passed. The time of day is read
/// only at the start: later changes of it have no effect.
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

    /// Returns the present Unix time, in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(self.started_unix_ms + boot_ms().saturating_sub(self.started_boot_ms))
    }
}

fn boot_ms() -> u64 {
    boot_us() / 1_000
}

/// Returns the reading of the boot-time clock in microseconds, to measure times below a millisecond.
pub fn boot_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
