//! Processor time and memory of a process, as the kernel counts them.

use std::ops::{Add, Sub};

/// How often a second the kernel counts.
pub const CLOCK_TICKS_PER_S: f64 = 100.0;
const KIB: u64 = 1_024;

/// Processor time that a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CpuTicks {
    /// In its own code.
    pub user: u64,
    /// In the kernel on its behalf.
    pub system: u64,
}

impl CpuTicks {
    /// Reads the time of a process; nothing when it is gone.
    pub fn of(process_id: u32) -> Self {
        const USER_FIELD: usize = 11;
        let text = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let mut fields = after_name.split_whitespace().skip(USER_FIELD);
        let mut next = || fields.next().and_then(|field| field.parse().ok());
        Self {
            user: next().unwrap_or(0),
            system: next().unwrap_or(0),
        }
    }

    /// Returns both together.
    pub fn total(self) -> u64 {
        self.user + self.system
    }

    /// Returns both together in seconds.
    pub fn seconds(self) -> f64 {
        self.total() as f64 / CLOCK_TICKS_PER_S
    }

    /// Returns the kernel's part, in percent.
    pub fn system_percent(self) -> f64 {
        match self.total() {
            0 => 0.0,
            total => self.system as f64 * 100.0 / total as f64,
        }
    }
}

impl Add for CpuTicks {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            user: self.user + other.user,
            system: self.system + other.system,
        }
    }
}

impl Sub for CpuTicks {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            user: self.user.saturating_sub(other.user),
            system: self.system.saturating_sub(other.system),
        }
    }
}

/// Reads the resident memory of a process.
pub fn resident_bytes(process_id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * KIB
}
