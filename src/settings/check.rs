//! Checks the ranges of the values of the settings.

use crate::clock::Millis;
use crate::placement::policy::keep_warm::KeepWarmRule;
use crate::settings::Settings;
use std::net::SocketAddr;

const MAX_NAME_BYTES: usize = 64;
const SHA256_HEX_DIGITS: usize = 64;
const MAX_PROBES_PER_ROUND: u32 = 64;
const MAX_FRESH_BOUND_MS: Millis = Millis(60_000);
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_CONNECTIONS: usize = 1 << 20;
/// The event loop is woken every 20 ms; a lower value would take small delays for pauses.
const MIN_PAUSE_MS: Millis = Millis(100);

/// A value of the settings that is not allowed.
#[derive(Debug, PartialEq)]
pub struct InvalidValue {
    /// The key, as `key` or `section.key`.
    pub key: &'static str,
    /// Which values are allowed.
    pub why: String,
}

type CheckResult = Result<(), InvalidValue>;

/// Checks every value that has a limited range.
///
/// # Errors
///
/// Returns the first value that is not allowed.
pub fn check(settings: &Settings) -> CheckResult {
    name("name", &settings.name)?;
    name("data_centre", &settings.data_centre)?;
    addresses(settings)?;
    platform(settings)?;
    keys(settings)?;
    timing(settings)?;
    policy(settings)?;
    bounds(settings)
}

fn require(allowed: bool, key: &'static str, why: impl Into<String>) -> CheckResult {
    if allowed {
        return Ok(());
    }
    let why = why.into();
    Err(InvalidValue { key, why })
}

fn name(key: &'static str, value: &str) -> CheckResult {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let allowed = (1..=MAX_NAME_BYTES).contains(&value.len()) && value.bytes().all(is_allowed);
    let why = format!("takes 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
    require(allowed, key, why)
}

fn addresses(settings: &Settings) -> CheckResult {
    let listens = [
        ("caller_listen", settings.caller_listen),
        ("peer_listen", settings.peer_listen),
        ("operator_listen", settings.operator_listen),
    ];
    for (key, address) in listens {
        require(address.port() != 0, key, "takes a port above 0")?;
    }
    let same_address = settings.caller_listen == settings.operator_listen;
    require(
        !same_address,
        "operator_listen",
        "must not be caller_listen",
    )?;
    let callers = settings.caller_advertise;
    let peers = settings.peer_advertise;
    advertised_address(
        "caller_listen",
        settings.caller_listen,
        "caller_advertise",
        callers,
    )?;
    advertised_address("peer_listen", settings.peer_listen, "peer_advertise", peers)
}

/// Checks the address announced to others: the advertised address if there is one, else the address
/// to listen on.
fn advertised_address(
    listen_key: &'static str,
    listen: SocketAddr,
    advertise_key: &'static str,
    advertise: Option<SocketAddr>,
) -> CheckResult {
    match advertise {
        Some(address) => {
            let usable = address.port() != 0 && !address.ip().is_unspecified();
            require(
                usable,
                advertise_key,
                "takes an address that others can reach",
            )
        }
        None => {
            let why = format!(
                "others are told this address: take one that they can reach, or set {advertise_key}"
            );
            require(!listen.ip().is_unspecified(), listen_key, why)
        }
    }
}

fn platform(settings: &Settings) -> CheckResult {
    let platform = &settings.platform;
    service_url("platform.log_url", &platform.log_url)?;
    service_url("platform.hosts_url", &platform.hosts_url)?;
    if let Some(store_url) = &platform.store_url {
        service_url("platform.store_url", store_url)?;
    }
    name("platform.stream", &platform.stream)
}

fn service_url(key: &'static str, value: &str) -> CheckResult {
    let address = value.strip_prefix("http://").unwrap_or_default();
    let address = address.trim_end_matches('/');
    let has_port = address
        .rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok());
    let has_only_host_and_port = !address.contains(['/', ' ', '@', '?']);
    require(
        has_port && has_only_host_and_port,
        key,
        "takes http://host:port",
    )
}

fn keys(settings: &Settings) -> CheckResult {
    let key = "keys.operator_token_sha256";
    let hashes = &settings.keys.operator_token_sha256;
    require(!hashes.is_empty(), key, "takes at least one hash")?;
    let is_hash = |hash: &str| hash.len() == SHA256_HEX_DIGITS && hash.bytes().all(is_lower_hex);
    let allowed = hashes.iter().all(|hash| is_hash(hash));
    require(
        allowed,
        key,
        format!("takes {SHA256_HEX_DIGITS} hex digits each, in lower case"),
    )
}

fn is_lower_hex(byte: u8) -> bool {
    byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte)
}

fn timing(settings: &Settings) -> CheckResult {
    let timing = &settings.timing;
    let fresh_bound_ms = timing.fresh_bound_ms;
    let interval_ms = timing.probe_interval_ms;
    let above_zero = interval_ms > Millis::ZERO;
    require(above_zero, "timing.probe_interval_ms", "must be above 0")?;
    let allowed = (interval_ms..=MAX_FRESH_BOUND_MS).contains(&fresh_bound_ms);
    let why = format!("must be between timing.probe_interval_ms and {MAX_FRESH_BOUND_MS}");
    require(allowed, "timing.fresh_bound_ms", why)?;
    let allowed = (MIN_PAUSE_MS..=fresh_bound_ms).contains(&timing.pause_ms);
    let why = format!("must be between {MIN_PAUSE_MS} and timing.fresh_bound_ms");
    require(allowed, "timing.pause_ms", why)?;
    let allowed = timing.suspect_after_ms > interval_ms;
    let why = "must be above timing.probe_interval_ms";
    require(allowed, "timing.suspect_after_ms", why)?;
    let allowed = (1..=MAX_PROBES_PER_ROUND).contains(&timing.probes_per_round);
    let why = format!("must be between 1 and {MAX_PROBES_PER_ROUND}");
    require(allowed, "timing.probes_per_round", why)
}

fn policy(settings: &Settings) -> CheckResult {
    let key = "policy.keep_warm";
    if let KeepWarmRule::FixedTimeout { idle_ms } = settings.policy.keep_warm {
        require(idle_ms > Millis::ZERO, key, "idle_ms must be above 0")?;
    }
    if let KeepWarmRule::Learned { cold_second_price } = settings.policy.keep_warm {
        let allowed = cold_second_price.is_finite() && cold_second_price >= 0.0;
        require(allowed, key, "cold_second_price must be 0 or more")?;
    }
    Ok(())
}

fn bounds(settings: &Settings) -> CheckResult {
    let bounds = &settings.bounds;
    let bytes = 1..=MAX_BODY_BYTES;
    let why = format!("must be between 1 and {MAX_BODY_BYTES}");
    require(
        bytes.contains(&bounds.body_bytes),
        "bounds.body_bytes",
        &why,
    )?;
    require(
        bytes.contains(&bounds.answer_bytes),
        "bounds.answer_bytes",
        &why,
    )?;
    let allowed = (1..=MAX_CONNECTIONS).contains(&bounds.connections);
    let why = format!("must be between 1 and {MAX_CONNECTIONS}");
    require(allowed, "bounds.connections", why)
}

/// Finds a key, given as `key` or `section.key`, in the text of a settings file.
///
/// Returns its line number, counted from 1, or `None` if the key is not in the text.
pub fn line_of(text: &str, key: &str) -> Option<usize> {
    let (sought_section, sought_key) = key.rsplit_once('.').unwrap_or(("", key));
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(rest) = line.strip_prefix('[') {
            section = rest
                .split(']')
                .next()
                .unwrap_or_default()
                .trim()
                .to_string();
            continue;
        }
        let found = line.split('=').next().unwrap_or_default().trim();
        if section == sought_section && found == sought_key {
            return Some(index + 1);
        }
    }
    None
}
