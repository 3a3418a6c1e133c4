//! The settings of an entry host on a platform that keeps the state: a TOML file, checked whole.

use crate::prelude::*;
use crate::retry::BudgetRule;
use crate::settings::{MalformedSnafu, OutOfRangeSnafu, SettingsError, UnreadableSnafu};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of one entry host. Fields that it does not know are passed over, so that a platform may
/// add some before the program is replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// The host's name, unique in the site.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// Where callers send requests.
    pub caller_listen: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory_listen: SocketAddr,
    /// Where the platform asks whether this host is ready.
    pub ready_listen: SocketAddr,
    /// Where other hosts connect (UDP).
    pub peer_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Open files and sockets that the process may have.
    pub max_descriptors: usize,
    /// The part of a core that the process has, and how many times as fast as usual that core is; hosts with more do more
    /// for others.
    #[serde(default)]
    pub cpu_share: f64,
    /// See [`Self::cpu_share`].
    #[serde(default)]
    pub cpu_speed: f64,
    /// Bounds of the platform.
    pub bounds: PlatformBounds,
}

/// The bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformBounds {
    /// How long after a stop was asked for the process is killed.
    pub stop_s: f64,
    /// How long after trouble with its connections the platform counts a host as in contact again.
    pub contact_ms: Millis,
    /// Within what time a new desired state must be in force.
    pub apply_ms: Millis,
    /// Within what time an upstream that leaves must get no more requests.
    pub drain_ms: Millis,
    /// Repeated sends for each request, over all hosts.
    pub retry_ratio: f64,
    /// Repeated sends that are allowed besides, over all hosts.
    pub retry_slack: f64,
    /// The window in which repeated sends are counted.
    pub retry_window_s: f64,
    /// How long after another host's last order a host may send its first.
    pub order_lease_ms: Millis,
    /// The longest time for which callers may keep an answer of the directory.
    pub directory_ttl_s: f64,
    /// The shortest time after which a silent member may be dropped from the group of hosts.
    pub member_lapse_ms: Millis,
    /// What may be used beyond an organisation's limit, over all hosts, in the limit's unit.
    #[serde(default)]
    pub limit_tolerance: f64,
}

impl PlatformBounds {
    /// Returns how long after a stop was asked for the process is killed.
    pub fn stop_ms(&self) -> Millis {
        millis(self.stop_s)
    }

    /// Returns the longest time for which callers may keep an answer of the directory.
    pub fn directory_ttl_ms(&self) -> Millis {
        millis(self.directory_ttl_s)
    }
}

fn millis(seconds: f64) -> Millis {
    Millis((seconds * 1_000.0) as u64)
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the file, the key and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })?;
        match settings.fault() {
            None => Ok(settings),
            Some((key, why)) => OutOfRangeSnafu {
                path,
                line: None::<usize>,
                key,
                why,
            }
            .fail(),
        }
    }

    /// Returns how much processor the host has, in thousandths of a core; zero where the settings do not say.
    pub fn cpu_millicores(&self) -> u32 {
        (self.cpu_share * self.cpu_speed * 1_000.0) as u32
    }

    /// Returns the rule of the retry budget.
    pub fn budget_rule(&self) -> BudgetRule {
        BudgetRule {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window_ms: millis(self.bounds.retry_window_s),
        }
    }

    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let bounds = &self.bounds;
        let checks = [
            (self.name.is_empty(), "name", "it must not be empty"),
            (
                self.max_descriptors < 64,
                "max_descriptors",
                "at least 64 are needed",
            ),
            (
                !(0.0..=1_024.0).contains(&self.cpu_share),
                "cpu_share",
                "from 0 to 1024",
            ),
            (
                !(0.0..=1_024.0).contains(&self.cpu_speed),
                "cpu_speed",
                "from 0 to 1024",
            ),
            (
                !(1.0..=3_600.0).contains(&bounds.stop_s),
                "bounds.stop_s",
                "from 1 to 3600",
            ),
            (
                !(0.0..=10.0).contains(&bounds.retry_ratio),
                "bounds.retry_ratio",
                "from 0 to 10",
            ),
            (
                !(0.0..=1e6).contains(&bounds.retry_slack),
                "bounds.retry_slack",
                "from 0 to 1000000",
            ),
            (
                !(0.001..=3_600.0).contains(&bounds.retry_window_s),
                "bounds.retry_window_s",
                "from 0.001 to 3600",
            ),
            (
                !(0.0..=1e12).contains(&bounds.limit_tolerance),
                "bounds.limit_tolerance",
                "from 0 to 1000000000000",
            ),
            (
                !(0.001..=3_600.0).contains(&bounds.directory_ttl_s),
                "bounds.directory_ttl_s",
                "from 0.001 to 3600",
            ),
        ];
        checks
            .into_iter()
            .find(|(is_fault, ..)| *is_fault)
            .map(|(_, key, why)| (key, why))
    }
}
