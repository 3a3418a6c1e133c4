//! The settings of an entry host: a TOML file, of which every key is checked before any is used.

use crate::prelude::*;
use crate::retry::BudgetRule;
use crate::settings::{MalformedSnafu, OutOfRangeSnafu, SettingsError, UnreadableSnafu};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;

/// The settings of one entry host. Unknown keys are ignored, so that the platform can add keys
/// before the program is upgraded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntrySettings {
    /// The host's name, unique in the site.
    pub name: Name,
    /// The name of the data centre that the host runs in.
    pub data_centre: Name,
    /// The address at which callers send requests.
    pub caller_listen: SocketAddr,
    /// The address at which callers query the directory for the hosts to use.
    pub directory_listen: SocketAddr,
    /// The address of the platform's readiness probe.
    pub ready_listen: SocketAddr,
    /// The UDP address at which other hosts connect (QUIC).
    pub peer_listen: SocketAddr,
    /// The address at which Prometheus reads the metrics.
    pub metrics_listen: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Most open files and sockets that the process may have; at least 64.
    pub max_descriptors: usize,
    /// The share of a core that the process may use, from 0 to 1024; 0 if unknown. Hosts with more
    /// processor time take on more work for other hosts, such as relaying.
    #[serde(default)]
    pub cpu_share: f64,
    /// How many times as fast as a usual core that core is, from 0 to 1024; 0 if unknown.
    #[serde(default)]
    pub cpu_speed: f64,
    /// The limits and times that the platform requires of its hosts.
    pub bounds: PlatformBounds,
}

/// The limits and times that the platform requires of its hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformBounds {
    /// The seconds from the request to stop until the process is killed, from 1 to 3600.
    pub stop_s: f64,
    /// How long after connection failures the platform counts a host as in contact again.
    pub contact_ms: Millis,
    /// The time within which a new desired state must be in force.
    pub apply_ms: Millis,
    /// The time after which an upstream that announced its leave must get no more requests.
    pub drain_ms: Millis,
    /// The retries that are allowed for each caller's request, over all hosts, from 0 to 10.
    pub retry_ratio: f64,
    /// The retries that are allowed in a window besides those, over all hosts, from 0 to 1000000.
    pub retry_slack: f64,
    /// The length in seconds of the window in which retries are counted, from 0.001 to 3600.
    pub retry_window_s: f64,
    /// How long a new orderer must wait after the last order of the previous one: the engines'
    /// lease time.
    pub order_lease_ms: Millis,
    /// The longest time in seconds for which callers may keep an answer of the directory, from
    /// 0.001 to 3600.
    pub directory_ttl_s: f64,
    /// The shortest time after which the group of hosts may drop a member that does not renew its
    /// membership.
    pub member_lapse_ms: Millis,
    /// How much all hosts together may admit beyond an organisation's rate limit, in the limit's
    /// unit, from 0 to 1000000000000.
    #[serde(default)]
    pub limit_tolerance: f64,
}

impl PlatformBounds {
    /// Returns [`Self::stop_s`] in milliseconds.
    pub fn stop_ms(&self) -> Millis {
        millis(self.stop_s)
    }

    /// Returns [`Self::directory_ttl_s`] in milliseconds.
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
    /// Returns the file and why it cannot be read, or the first key with a value that is not
    /// allowed and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })?;
        match settings.invalid_key() {
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

    /// Returns the processor time of the host in thousandths of a usual core; 0 if the settings do
    /// not state it.
    pub fn cpu_millicores(&self) -> u32 {
        (self.cpu_share * self.cpu_speed * 1_000.0) as u32
    }

    /// Returns the rule for the retry budgets of all services.
    pub fn budget_rule(&self) -> BudgetRule {
        BudgetRule {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window_ms: millis(self.bounds.retry_window_s),
        }
    }

    /// Returns the first key with a value that is not allowed, and what is allowed.
    fn invalid_key(&self) -> Option<(&'static str, &'static str)> {
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
            .find(|(is_invalid, ..)| *is_invalid)
            .map(|(_, key, why)| (key, why))
    }
}
