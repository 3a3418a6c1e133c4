//! The commands that only look: health, hosts, placements, dump, trace, error kinds, settings.

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CallSnafu, CliError, Exit, SettingsSnafu};
use crate::cli::options::{
    CheckSettingsOptions, DumpOptions, ErrorsOptions, HealthOptions, HostsOptions,
    PlacementsOptions, TraceOptions,
};
use crate::cli::render::{bytes, columns, print, print_line};
use crate::cli::site::http_url;
use crate::edge::http::{call_json, client};
use crate::error::Ran;
use crate::membership::members::Members;
use crate::placement::copies::Placement;
use crate::prelude::*;
use crate::settings::Settings;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::time::Duration;
use trillium_client::Method;

const HEALTH_TIMEOUT: Duration = Duration::from_secs(5);
const SERVING: &str = "serving";

/// Tells whether a host serves.
///
/// # Errors
///
/// Returns the state of a host that does not, or why it did not answer.
pub async fn health(options: &HealthOptions) -> Result<Exit, CliError> {
    let url = http_url("--host", &options.host)?;
    let page = format!("{url}/healthz");
    let answer =
        call_json::<Value>(&client(), Method::Get, &page, None::<&()>, HEALTH_TIMEOUT).await;
    let answer = answer.context(CallSnafu { url: &url })?;
    let body = answer.body.unwrap_or_default();
    let state = body["state"].as_str().unwrap_or("unknown").to_string();
    if options.json {
        print_line(&json!({ "host": url, "state": state }).to_string())?;
    }
    if state != SERVING {
        return Err(CliError::NotServing { url, state });
    }
    if !options.json {
        print_line(&format!("{url}: {state}"))?;
    }
    Ok(Exit::Done)
}

/// Prints the hosts.
///
/// # Errors
///
/// Returns why they cannot be read.
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
                text_of(&member.state),
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

/// Prints upstreams and copies.
///
/// # Errors
///
/// Returns why they cannot be read.
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
                text_of(&upstream.role),
                if upstream.leaving { "leaving" } else { "live" }.to_string(),
                upstream.data_centre.to_string(),
                upstream.address.to_string(),
                format!("{} of {}", bytes(reserved), bytes(upstream.memory_bytes)),
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

fn copy_lines(placement: &Placement) -> String {
    let rows: Vec<Vec<String>> = placement
        .copies
        .iter()
        .map(|(offset, copy)| {
            vec![
                format!("{}@{}", copy.load.model, copy.load.version),
                text_of(&copy.state),
                copy.load.upstream.to_string(),
                bytes(copy.load.reserved_bytes),
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

/// Prints a process's state.
///
/// # Errors
///
/// Returns why it cannot be read.
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

/// Prints a process's recorded inputs.
///
/// # Errors
///
/// Returns why they cannot be read.
pub async fn trace(options: &TraceOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    print_line(&client.get("/trace").await?)?;
    Ok(Exit::Done)
}

/// Prints the table of error kinds.
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
    let line = kind.answer();
    let ran = match line.ran {
        Ran::NotRun => "no",
        Ran::Unknown => "unknown",
    };
    vec![
        kind.name().to_string(),
        line.status.to_string(),
        ran.to_string(),
        yes_or_no(line.retryable),
        line.advice.to_string(),
    ]
}

fn error_json(kind: ErrorKind) -> Value {
    let line = kind.answer();
    json!({
        "kind": kind,
        "status": line.status,
        "ran": line.ran,
        "retryable": line.retryable,
        "advice": line.advice,
    })
}

/// Checks a settings file.
///
/// # Errors
///
/// Returns the line, the key, and what is allowed.
pub fn check_settings(options: &CheckSettingsOptions) -> Result<Exit, CliError> {
    let file = &options.file;
    Settings::read(file).context(SettingsSnafu)?;
    print_line(&format!("{}: the settings are valid", file.display()))?;
    Ok(Exit::Done)
}

/// Writes an enum's name as JSON has it.
pub fn text_of(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_string()
}
