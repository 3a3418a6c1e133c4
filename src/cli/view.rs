//! The commands that only read: `health`, `hosts`, `placements`, `dump`, `trace`, `errors` and
//! `check-settings`.

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CallSnafu, CliError, Exit, SettingsSnafu};
use crate::cli::options::{
    CheckSettingsOptions, DumpOptions, ErrorsOptions, HealthOptions, HostsOptions,
    PlacementsOptions, TraceOptions,
};
use crate::cli::render::{columns, format_bytes, print, print_line};
use crate::cli::site::http_url;
use crate::edge::exchange::{authority_of, call_json};
use crate::error::Ran;
use crate::http1::Target;
use crate::membership::members::Members;
use crate::placement::copies::Placement;
use crate::prelude::*;
use crate::settings::Settings;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::time::Duration;
use trillium::Method;

const HEALTH_TIMEOUT: Duration = Duration::from_secs(5);
const SERVING_STATE: &str = "serving";

/// Prints whether a host serves callers.
///
/// # Errors
///
/// Returns the state of a host that does not serve, or why it did not answer.
pub async fn health(options: &HealthOptions) -> Result<Exit, CliError> {
    let url = http_url("--host", &options.host)?;
    let (authority, target) = (authority_of(&url), Target::new("/healthz"));
    let call = call_json::<Value>(Method::Get, authority, &target, None::<&()>, HEALTH_TIMEOUT);
    let answer = call.await;
    let answer = answer.context(CallSnafu { url: &url })?;
    let body = answer.body.unwrap_or_default();
    let state = body["state"].as_str().unwrap_or("unknown").to_string();
    if options.json {
        print_line(&json!({ "host": url, "state": state }).to_string())?;
    }
    if state != SERVING_STATE {
        return Err(CliError::NotServing { url, state });
    }
    if !options.json {
        print_line(&format!("{url}: {state}"))?;
    }
    Ok(Exit::Done)
}

/// Prints the hosts of the site, present and departed, as one host knows them.
///
/// # Errors
///
/// Returns why the hosts cannot be read or printed.
pub async fn hosts(options: &HostsOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let text = client.get("/hosts").await?;
    if options.json {
        print_line(&text)?;
        return Ok(Exit::Done);
    }
    let members: Members = client.decode(&text)?;
    let rows: Vec<Vec<String>> = members
        .iter()
        .chain(members.departed())
        .map(|(host, member)| {
            vec![
                member.entry.name.to_string(),
                json_name(&member.state),
                // `counted`: whether the host is a voter, that is, counts for majorities.
                yes_or_no(member.counted),
                member.entry.data_centre.to_string(),
                member.entry.caller_address.to_string(),
                member.entry.peer_address.to_string(),
                host.to_string(),
            ]
        })
        .collect();
    let header = [
        "HOST",
        "STATE",
        "COUNTED",
        "DATA CENTRE",
        "CALLERS",
        "PEERS",
        "INCARNATION",
    ];
    print(&columns(&header, &rows))?;
    Ok(Exit::Done)
}

/// Prints the upstreams and the copies of models on them, as one host knows them.
///
/// # Errors
///
/// Returns why the placements cannot be read or printed.
pub async fn placements(options: &PlacementsOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let text = client.get("/placements").await?;
    if options.json {
        print_line(&text)?;
        return Ok(Exit::Done);
    }
    let placement: Placement = client.decode(&text)?;
    print(&upstream_lines(&placement))?;
    print_line("")?;
    print(&copy_lines(&placement))?;
    Ok(Exit::Done)
}

fn upstream_lines(placement: &Placement) -> String {
    let rows: Vec<Vec<String>> = placement
        .upstreams
        .values()
        .map(|upstream| {
            let reserved = placement.reserved_bytes(&upstream.name);
            vec![
                upstream.name.to_string(),
                json_name(&upstream.role),
                if upstream.leaving { "leaving" } else { "live" }.to_string(),
                upstream.data_centre.to_string(),
                upstream.address.to_string(),
                format!(
                    "{} of {}",
                    format_bytes(reserved),
                    format_bytes(upstream.memory_bytes)
                ),
                yes_or_no(upstream.checks_fencing),
            ]
        })
        .collect();
    let header = [
        "UPSTREAM",
        "ROLE",
        "STATE",
        "DATA CENTRE",
        "ADDRESS",
        "RESERVED",
        "CHECKS FENCING",
    ];
    columns(&header, &rows)
}

/// Returns the table of copies. A copy's id is the log offset of the record that decided its load;
/// its executor is the host that sends the orders for it to the engine.
fn copy_lines(placement: &Placement) -> String {
    let rows: Vec<Vec<String>> = placement
        .copies
        .iter()
        .map(|(offset, copy)| {
            vec![
                format!("{}@{}", copy.load.model, copy.load.version),
                json_name(&copy.state),
                copy.load.upstream.to_string(),
                format_bytes(copy.load.reserved_bytes),
                offset.to_string(),
                copy.fence.to_string(),
                copy.executor.to_string(),
            ]
        })
        .collect();
    let header = [
        "COPY",
        "STATE",
        "UPSTREAM",
        "RESERVED",
        "LOADED BY",
        "FENCE",
        "EXECUTOR",
    ];
    columns(&header, &rows)
}

/// Prints the state of a daemon as JSON.
///
/// # Errors
///
/// Returns why the state cannot be read or printed.
pub async fn dump(options: &DumpOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let text = client.get("/dump").await?;
    if options.json {
        print_line(&text)?;
        return Ok(Exit::Done);
    }
    let state: Value = client.decode(&text)?;
    print_line(&serde_json::to_string_pretty(&state).unwrap_or(text))?;
    Ok(Exit::Done)
}

/// Prints the trace of a daemon, its last recorded inputs, in the form that `replay` reads.
///
/// # Errors
///
/// Returns why the trace cannot be read or printed.
pub async fn trace(options: &TraceOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    print_line(&client.get("/trace").await?)?;
    Ok(Exit::Done)
}

/// Prints all error kinds with their status, whether the request ran, and advice.
///
/// # Errors
///
/// Returns why the output cannot be written.
pub fn errors(options: &ErrorsOptions) -> Result<Exit, CliError> {
    if options.json {
        print_line(&Value::from_iter(ErrorKind::ALL.map(error_json)).to_string())?;
        return Ok(Exit::Done);
    }
    let rows: Vec<Vec<String>> = ErrorKind::ALL.into_iter().map(error_row).collect();
    let header = ["KIND", "STATUS", "RAN", "RETRYABLE", "WHAT TO DO"];
    print(&columns(&header, &rows))?;
    Ok(Exit::Done)
}

fn error_row(kind: ErrorKind) -> Vec<String> {
    let defaults = kind.answer();
    let ran = match defaults.ran {
        Ran::NotRun => "no",
        Ran::Unknown => "unknown",
    };
    vec![
        kind.name().to_string(),
        defaults.status.to_string(),
        ran.to_string(),
        yes_or_no(defaults.retryable),
        defaults.advice.to_string(),
    ]
}

fn error_json(kind: ErrorKind) -> Value {
    let defaults = kind.answer();
    json!({
        "kind": kind,
        "status": defaults.status,
        "ran": defaults.ran,
        "retryable": defaults.retryable,
        "advice": defaults.advice,
    })
}

/// Checks a daemon's settings file.
///
/// # Errors
///
/// Returns the line and the key that is wrong, and what is allowed.
pub fn check_settings(options: &CheckSettingsOptions) -> Result<Exit, CliError> {
    let file = &options.file;
    Settings::read(file).context(SettingsSnafu)?;
    print_line(&format!("{}: the settings are valid", file.display()))?;
    Ok(Exit::Done)
}

/// Returns the name of a variant as it stands in JSON; empty if the value is not written as a
/// string.
pub fn json_name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_string()
}
