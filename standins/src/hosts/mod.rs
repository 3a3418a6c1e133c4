//! Plays the platform's list of hosts, which lags what it is told.

mod table;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use argh::FromArgs;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use trillium::Method;

use crate::clock::now_ms;
use crate::error::{Refusal, StandInError};
use crate::hosts::table::HostTable;
use crate::http::{Answer, Request, StandIn};
use crate::server::Server;

/// How many hosts the list holds.
pub const MAX_HOSTS: usize = 10_000;
/// The longest name, address or data centre.
const MAX_TEXT_BYTES: usize = 256;

/// Plays the list of live and leaving hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub struct HostsArgs {
    /// address to listen on; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,
    /// how long the list lags what it was told
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// how long an entry lasts without being renewed
    #[argh(option, default = "10000")]
    expire_ms: u64,
}

/// What a host does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs models.
    Engine,
    /// Runs plain calls.
    Service,
    /// Takes callers' requests.
    Entry,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host takes work.
    Live,
    /// The host finishes its work and takes no more.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The unique name.
    pub name: Arc<str>,
    /// What the host does.
    pub role: Role,
    /// Where it listens.
    pub address: Arc<str>,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// Whether it stays.
    pub state: HostState,
    /// The accelerator memory of an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_bytes: Option<u64>,
    /// How many requests an engine batches at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether an engine checks fencing numbers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checks_fencing: Option<bool>,
    /// The number an entry host registered with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

impl Host {
    fn validate(&self) -> Result<(), Refusal> {
        if self.name.is_empty() || self.name.contains('/') {
            return Err(Refusal::bad_request("`name` must be a plain name"));
        }
        let texts = [&self.name, &self.address, &self.data_centre];
        if texts.iter().any(|text| text.len() > MAX_TEXT_BYTES) {
            let detail = format!("texts must not exceed {MAX_TEXT_BYTES} bytes");
            return Err(Refusal::bad_request(detail));
        }
        Ok(())
    }
}

/// The whole list, as it is told and answered.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct HostList {
    hosts: Vec<Host>,
}

/// The answer to a call that only has an effect.
#[derive(Debug, Serialize)]
struct Acknowledged {
    state: &'static str,
}

const DONE: Acknowledged = Acknowledged { state: "done" };

struct HostListService {
    table: Mutex<HostTable>,
}

/// Runs the host list until the process is told to stop.
///
/// # Errors
///
/// Fails where the address cannot be bound.
pub async fn run(args: HostsArgs) -> Result<(), StandInError> {
    let server = Server::bind(args.listen).await?;
    let table = HostTable::new(args.lag_ms, args.expire_ms);
    let service = HostListService {
        table: Mutex::new(table),
    };
    server.serve(Arc::new(service)).await;
    Ok(())
}

impl HostListService {
    fn table(&self) -> MutexGuard<'_, HostTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list(&self) -> HostList {
        let hosts = self.table().visible(now_ms());
        HostList { hosts }
    }

    fn register(&self, host: Host) -> Result<Answer, Refusal> {
        host.validate()?;
        self.table().register(now_ms(), host)?;
        Ok(Answer::ok(&DONE))
    }

    fn remove(&self, name: &str) -> Answer {
        self.table().remove(now_ms(), name);
        Answer::ok(&DONE)
    }

    fn replace(&self, list: HostList) -> Result<Answer, Refusal> {
        if list.hosts.len() > MAX_HOSTS {
            return Err(Refusal::Busy);
        }
        list.hosts.iter().try_for_each(Host::validate)?;
        self.table().replace(list.hosts);
        Ok(Answer::ok(&DONE))
    }
}

impl StandIn for HostListService {
    async fn answer(&self, request: &Request) -> Result<Answer, Refusal> {
        match (request.method, request.segments().as_slice()) {
            (Method::Get, ["hosts"]) => Ok(Answer::ok(&self.list())),
            (Method::Post, ["hosts"]) => self.register(request.json()?),
            (Method::Delete, ["hosts", name]) => {
                let name = percent_decode_str(name).decode_utf8();
                let name = name.map_err(|_| Refusal::bad_request("the name must be UTF-8"))?;
                Ok(self.remove(&name))
            }
            (Method::Post, ["admin", "hosts"]) => self.replace(request.json()?),
            _ => Err(Refusal::NotFound),
        }
    }
}
