//! The daemon's settings: a TOML file, of which every value is checked before anything starts.

mod check;

use crate::clock::Millis;
use crate::placement::policy::keep_warm::KeepWarmRule;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The reason for which a settings file cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The file is not TOML, has an unknown key, or lacks or mistypes a value.
    #[snafu(display("{}: {}", path.display(), source.to_string().trim_end()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The decoder's error, with the place in the file.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its allowed range.
    #[snafu(display("{}{}: {key}: {why}", path.display(), line_suffix(*line)))]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The line number from 1; `None` if the key is not in the file.
        line: Option<usize>,
        /// The key, as `key` or `section.key`.
        key: &'static str,
        /// Which values are allowed.
        why: String,
    },
}

impl SettingsError {
    /// Returns what the operator can do, as a short phrase.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "check the path and its permissions",
            Self::Malformed { .. } | Self::OutOfRange { .. } => {
                "correct the settings; docs/OPERATORS.md lists every key"
            }
        }
    }
}

fn line_suffix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!(": line {line}"))
}

/// The settings of one daemon, as read from its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, which must be unique in the site.
    pub name: Arc<str>,
    /// The data centre in which the host runs.
    pub data_centre: Arc<str>,
    /// The address at which callers connect (TCP).
    pub caller_listen: SocketAddr,
    /// The address at which other hosts connect (UDP).
    pub peer_listen: SocketAddr,
    /// The address at which operators connect (TCP).
    pub operator_listen: SocketAddr,
    /// The address announced to callers, if it differs from `caller_listen`.
    #[serde(default)]
    pub caller_advertise: Option<SocketAddr>,
    /// The address announced to other hosts, if it differs from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The files of keys and certificates, and the hashes of the operators' tokens.
    pub keys: KeySettings,
    /// Timing of failure detection, the same at all hosts of a site.
    #[serde(default)]
    pub timing: TimingSettings,
    /// The policy by which copies of models are kept loaded.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Limits on callers' requests, answers and connections.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// The process log, which is not the shared log of the platform.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log, as `http://host:port`.
    pub log_url: String,
    /// The stream of the log that this site uses.
    #[serde(default = "default_stream")]
    pub stream: String,
    /// The host list, as `http://host:port`.
    pub hosts_url: String,
    /// The weight store, as `http://host:port`. Without it, fetch times of weights are not
    /// predicted.
    #[serde(default)]
    pub store_url: Option<String>,
}

fn default_stream() -> String {
    "mangovale".to_string()
}

/// Keys and certificates as paths of PEM files, and the hashes of the operators' tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The fleet's certificate, the authority that signed the certificate of each host.
    pub fleet_certificate: PathBuf,
    /// This host's certificate.
    pub host_certificate: PathBuf,
    /// This host's private key.
    pub host_key: PathBuf,
    /// SHA-256 of each operator's token, as 64 lower-case hex digits.
    pub operator_token_sha256: Vec<Arc<str>>,
}

/// Timing of failure detection, the same at all hosts of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// How long a host may serve without learning the newest offset of the log.
    pub fresh_bound_ms: Millis,
    /// The longest time between two events of a process that does not count as a pause of it.
    pub pause_ms: Millis,
    /// The time between two rounds of probes of other hosts.
    pub probe_interval_ms: Millis,
    /// How long a peer may be silent before it is suspected to have failed.
    pub suspect_after_ms: Millis,
    /// The number of peers probed in each round.
    pub probes_per_round: u32,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            fresh_bound_ms: Millis(2_000),
            pause_ms: Millis(1_000),
            probe_interval_ms: Millis(250),
            suspect_after_ms: Millis(5_000),
            probes_per_round: 8,
        }
    }
}

/// The policy by which copies of models are kept loaded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// The rule that decides when an idle copy is unloaded.
    pub keep_warm: KeepWarmRule,
}

/// Limits on callers' requests, answers and connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// The longest request body, in bytes.
    pub body_bytes: u64,
    /// The longest answer that is not a stream, in bytes.
    pub answer_bytes: u64,
    /// The most connections of callers open at the same time.
    pub connections: usize,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            answer_bytes: 8 << 20,
            connections: 4_096,
        }
    }
}

/// The process log, which is not the shared log of the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The format of a line.
    pub format: LogFormat,
    /// The file to write to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            format: LogFormat::Text,
            file: None,
        }
    }
}

/// A level of the process log. Each level includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also events of normal operation.
    Info,
    /// Also events of single requests.
    Debug,
}

/// The format of a line of the process log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, event number, event name, details.
    Text,
    /// One JSON object for each line; its `message` holds event number, event name and details.
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the error with the file and, where known, the line, the key and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })?;
        match check::check(&settings) {
            Ok(()) => Ok(settings),
            Err(check::InvalidValue { key, why }) => OutOfRangeSnafu {
                path,
                line: check::line_of(&text, key),
                key,
                why,
            }
            .fail(),
        }
    }
}
