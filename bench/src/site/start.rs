//! Starts the processes of a site.

use super::StandIn;
use super::plan::{EngineSpec, ServiceSpec};
use crate::process::{Process, wait_for};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;

const LISTEN_PORTS: std::ops::Range<u16> = 10_000..32_000;

pub(super) fn start_daemon(directory: &Path, name: &str, settings: &Path, starts: u32) -> Process {
    let arguments = ["--settings".to_string(), settings.display().to_string()];
    let log_path = directory.join(format!("{name}-{starts}.log"));
    Process::start("mangovaled", &arguments, &log_path)
}

pub(super) fn stand_in(directory: &Path, name: &str, mut arguments: Vec<String>) -> StandIn {
    arguments.extend(["--listen".to_string(), "127.0.0.1:0".to_string()]);
    let log_path = directory.join(format!("{name}.log"));
    let process = Process::start("mangovale-standins", &arguments, &log_path);
    let mut address = None;
    wait_for(&format!("{name} to listen"), || {
        let log = process.log();
        address = log
            .lines()
            .find_map(|line| line.strip_prefix("listening on "))
            .and_then(|text| text.trim().parse().ok());
        address.is_some()
    });
    StandIn {
        process,
        address: address.expect("the stand-in listens"),
    }
}

pub(super) fn engine_arguments(
    engine: &EngineSpec,
    host_list: &StandIn,
    store: &Option<StandIn>,
) -> Vec<String> {
    let mut arguments = with(&["engine", "--name", &engine.name], &[]);
    let hosts = format!("http://{}", host_list.address);
    let pairs = [
        ("--data-centre", engine.data_centre.clone()),
        ("--hosts", hosts),
        ("--memory-bytes", engine.memory_bytes.to_string()),
        ("--slots", engine.slots.to_string()),
        ("--token-ms", engine.token_ms.to_string()),
        ("--checks-fencing", engine.checks_fencing.to_string()),
    ];
    for (option, value) in pairs {
        arguments.extend([option.to_string(), value]);
    }
    match store {
        Some(store) => {
            arguments.extend(["--store".to_string(), format!("http://{}", store.address)]);
        }
        None => arguments.extend(["--load-ms".to_string(), engine.load_ms.to_string()]),
    }
    arguments.extend(engine.arguments.iter().cloned());
    arguments
}

pub(super) fn service_arguments(service: &ServiceSpec, host_list: &StandIn) -> Vec<String> {
    let hosts = format!("http://{}", host_list.address);
    let arguments = [
        "service",
        "--name",
        &service.name,
        "--data-centre",
        &service.data_centre,
        "--hosts",
        &hosts,
    ];
    with(&arguments, &service.arguments)
}

pub(super) fn with(first: &[&str], rest: &[String]) -> Vec<String> {
    let mut arguments = to_strings(first);
    arguments.extend(rest.iter().cloned());
    arguments
}

pub(super) fn to_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| text.to_string()).collect()
}

/// Finds a port that nobody listens on, below the range from which outgoing connections take theirs.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    const TRIES: u32 = 1_000;
    (0..TRIES)
        .map(|_| SocketAddr::from(([127, 0, 0, 1], fastrand::u16(LISTEN_PORTS))))
        .find(|address| is_free(*address))
        .expect("a free port")
}

pub(super) fn free_tcp() -> SocketAddr {
    free_port(|address| TcpListener::bind(address).is_ok())
}

pub(super) fn free_udp() -> SocketAddr {
    free_port(|address| UdpSocket::bind(address).is_ok())
}
