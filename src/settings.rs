//! The daemon's settings: a TOML file, checked whole before anything starts.

mod check;

use crate::clock::Millis;
use crate::placement::policy::keep_warm::KeepWarmRule;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read the settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML, or has a key or value that is not allowed.
    #[snafu(display("{}: {}", path.display(), source.to_string().trim_end()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A value is outside of its range.
    #[snafu(display("{}{}: {key}: {why}", path.display(), line_text(*line)))]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The line, when the key is in the file.
        line: Option<usize>,
        /// The key.
        key: &'static str,
        /// What is allowed.
        why: String,
    },
}

impl SettingsError {
    /// Returns what to do next, in one sentence.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "check the path and its permissions",
            Self::Malformed { .. } | Self::OutOfRange { .. } => {
                "correct the settings; docs/OPERATORS.md lists every key"
            }
        }
    }
}

fn line_text(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!(": line {line}"))
}

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the site.
    pub name: Arc<str>,
    /// The data centre it stands in.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where other hosts connect (UDP).
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// The address that callers are told, when it is not `caller_listen`.
    #[serde(default)]
    pub caller_advertise: Option<SocketAddr>,
    /// The address that other hosts are told, when it is not `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Keys and certificates.
    pub keys: KeySettings,
    /// Times that the hosts of a site share.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Placement policy.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Bounds on what callers send.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// The process's own log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Where the platform's services are.
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
    /// The weight store, as `http://host:port`; without it fetch times are not predicted.
    #[serde(default)]
    pub store_url: Option<String>,
}

fn default_stream() -> String {
    "mangovale".to_string()
}

/// Keys and certificates, as files in PEM form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The fleet's certificate, which signs the hosts' own.
    pub fleet_certificate: PathBuf,
    /// This host's certificate.
    pub host_certificate: PathBuf,
    /// This host's private key.
    pub host_key: PathBuf,
    /// SHA-256 of each operator's token, as 64 hex digits.
    pub operator_token_sha256: Vec<Arc<str>>,
}

/// Times that the hosts of a site share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// How long a host may serve without learning the newest offset.
    pub fresh_bound_ms: Millis,
    /// The longest gap in a process's clock that is not a pause.
    pub pause_ms: Millis,
    /// The time between rounds of probes.
    pub probe_interval_ms: Millis,
    /// How long a silent peer is not suspected.
    pub suspect_after_ms: Millis,
    /// Partners in a round of probes.
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

/// Placement policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// When idle copies are unloaded.
    pub keep_warm: KeepWarmRule,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// The longest request body.
    pub body_bytes: u64,
    /// The longest answer that is not a stream.
    pub answer_bytes: u64,
    /// Most connections of callers at once.
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

/// The process's own log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least level that is written.
    pub level: LogLevel,
    /// The form of its lines.
    pub format: LogFormat,
    /// Where to write; standard error when absent.
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

/// A level of the process's own log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// The usual course too.
    Info,
    /// Single requests too.
    Debug,
}

/// The form of the lines of the process's own log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level, event number, event name, details.
    Text,
    /// One JSON object a line, the same as its `message`.
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the file, the line and key, and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let settings: Self = toml::from_str(&text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })?;
        match check::check(&settings) {
            Ok(()) => Ok(settings),
            Err(check::Fault { key, why }) => OutOfRangeSnafu {
                path,
                line: check::line_of(&text, key),
                key,
                why,
            }
            .fail(),
        }
    }
}
