//! A whole site on loopback: stand-ins of the platform and daemons, as separate processes.
//!
//! ```no_run
//! use mangovale_bench::site::{EngineSpec, Site};
//!
//! let mut site = Site::plan().engine(EngineSpec::named("engine-1")).hosts(3).start();
//! site.put_model("m", 1_000, &["north"]);
//! site.host(0).process.kill();
//! ```

mod changes;
mod plan;
mod start;

pub use changes::{api_key, put_brand, put_model, put_row, put_row_with};
pub use plan::{EngineSpec, Plan};

use crate::call::{Caller, Outcome, finish};
use crate::link::{TcpLink, UdpLink};
use crate::platform::PlatformWatch;
use crate::process::{POLL, Process, WAIT_LIMIT, wait_for};
use mangovale::edge::digest::sha256;
use mangovale::edge::http::client;
use mangovale::event_log::LogEvent;
use mangovale::shared_log::record::Offset;
use mangovale::table::message::{Change, Edit, Service};
use serde_json::Value;
use start::{
    engine_arguments, free_tcp, free_udp, service_arguments, stand_in, start_daemon, with,
};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::Instant;
use tempfile::TempDir;
use trillium_client::Method;

const OPERATOR: &str = "operator";
const PORT_TAKEN: &str = "Address already in use";
const DATA_CENTRE: &str = "sapporo-a";
/// The platform knows which processes exist; a frozen one does not vanish from its list.
const HOST_LIST: &[&str] = &["hosts", "--expire-ms", "86400000"];

/// A stand-in of a running site.
#[derive(Debug)]
pub struct StandIn {
    /// Its process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
}

impl StandIn {
    /// Sets all active faults; an empty object lifts them.
    pub fn faults(&self, faults: &Value) {
        let answer = post(&format!("http://{}/admin/faults", self.address), faults);
        assert!(answer.is_success(), "faults refused: {answer:?}");
    }

    /// Posts to an admin path.
    pub fn admin_post(&self, path: &str, body: &Value) -> Outcome {
        post(&format!("http://{}{path}", self.address), body)
    }

    /// Reads a JSON page.
    pub fn get(&self, path: &str) -> Value {
        get_json(&format!("http://{}{path}", self.address))
    }
}

/// A daemon of a running site.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its process.
    pub process: Process,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Its own link to the log, when the site has links.
    pub log_link: Option<TcpLink>,
    /// The link by which peers reach it, when the site has links.
    pub peer_link: Option<UdpLink>,
    settings_path: std::path::PathBuf,
    starts: u32,
}

impl Host {
    /// Tells whether it serves.
    pub fn is_serving(&self) -> bool {
        self.health().is_success()
    }

    /// Waits until its log says that it has bound its ports; tells whether it did not end instead.
    /// An answer at its address would not show that: it may come from another process.
    fn is_listening(&mut self) -> bool {
        let started = format!("{:?}", LogEvent::Started);
        wait_for(&format!("{} to listen or end", self.name), || {
            !self.process.is_running() || self.process.log().contains(&started)
        });
        self.process.is_running()
    }

    fn health(&self) -> Outcome {
        let url = format!("http://{}/healthz", self.caller);
        smol::block_on(finish(client().build_conn(Method::Get, url)))
    }
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The log.
    pub log: StandIn,
    /// The host list.
    pub host_list: StandIn,
    /// The weight store, if there is one.
    pub store: Option<StandIn>,
    /// The engines, in the order of the plan.
    pub engines: Vec<StandIn>,
    /// The plain services' upstreams, in the order of the plan.
    pub services: Vec<StandIn>,
    /// The daemons.
    pub hosts: Vec<Host>,
    platform: PlatformWatch,
    directory: TempDir,
    host_settings: String,
    host_data_centres: Vec<String>,
    links: bool,
    token: String,
    token_sha256: Arc<str>,
    next_edit: AtomicU64,
}

impl Site {
    /// Begins a plan.
    pub fn plan() -> Plan {
        Plan {
            host_count: 3,
            ..Plan::default()
        }
    }

    fn start(plan: Plan) -> Self {
        let directory = TempDir::new().expect("a temporary directory");
        let at = directory.path();
        let log = stand_in(at, "log", with(&["log"], &plan.log_arguments));
        let host_list = stand_in(at, "hosts", with(HOST_LIST, &plan.hosts_arguments));
        let platform = PlatformWatch::start(host_list.address);
        let store = plan
            .store_arguments
            .as_ref()
            .map(|arguments| stand_in(at, "store", with(&["store"], arguments)));
        let engines = plan
            .engines
            .iter()
            .map(|engine| {
                stand_in(
                    at,
                    &engine.name,
                    engine_arguments(engine, &host_list, &store),
                )
            })
            .collect();
        let services = plan
            .services
            .iter()
            .map(|service| stand_in(at, &service.name, service_arguments(service, &host_list)))
            .collect();
        let token = "operator-token-of-a-test".to_string();
        let token_sha256 = sha256(&token);
        let mut site = Self {
            log,
            host_list,
            store,
            engines,
            services,
            hosts: Vec::new(),
            platform,
            directory,
            host_settings: plan.host_settings,
            host_data_centres: plan.host_data_centres,
            links: plan.links,
            token,
            token_sha256,
            next_edit: AtomicU64::new(1),
        };
        for (spec, engine) in plan.engines.iter().zip(&site.engines) {
            site.platform.watch(&spec.name, engine.process.id());
        }
        for (spec, service) in plan.services.iter().zip(&site.services) {
            site.platform.watch(&spec.name, service.process.id());
        }
        for _ in 0..plan.host_count {
            site.add_host();
        }
        site.wait_serving();
        for host in &mut site.hosts {
            let name = &host.name;
            assert!(
                host.process.is_running(),
                "{name} ended:\n{}",
                host.process.log()
            );
        }
        site
    }

    /// Returns a daemon.
    pub fn host(&mut self, index: usize) -> &mut Host {
        &mut self.hosts[index]
    }

    /// Returns the directory with the keys, settings and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Returns the operators' token.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Starts one more daemon and returns its index.
    ///
    /// # Panics
    ///
    /// Panics with the daemon's log when it ends at once, other than for a port that was just taken.
    pub fn add_host(&mut self) -> usize {
        const TRIES: usize = 10;
        let index = self.hosts.len();
        let name = format!("entry-{}", index + 1);
        self.make_keys(&name);
        for _ in 0..TRIES {
            let mut host = self.start_host(&name);
            if host.is_listening() {
                self.platform.watch(&name, host.process.id());
                self.hosts.push(host);
                return index;
            }
            let log = host.process.log();
            assert!(log.contains(PORT_TAKEN), "{name} ended:\n{log}");
        }
        panic!("{name} found no free ports in {TRIES} tries");
    }

    fn start_host(&self, name: &str) -> Host {
        let (caller, operator, peer) = (free_tcp(), free_tcp(), free_udp());
        let log_link = self.links.then(|| TcpLink::start(self.log.address));
        let peer_link = self.links.then(|| UdpLink::start(peer));
        let log_address = log_link.as_ref().map_or(self.log.address, TcpLink::address);
        let data_centre = self.data_centre_of_host(self.hosts.len());
        let mut text = format!(
            "name = \"{name}\"\ndata_centre = \"{data_centre}\"\ncaller_listen = \"{caller}\"\n\
             operator_listen = \"{operator}\"\npeer_listen = \"{peer}\"\n"
        );
        if let Some(link) = &peer_link {
            let _ = writeln!(text, "peer_advertise = \"{}\"", link.address());
        }
        let _ = writeln!(
            text,
            "[platform]\nlog_url = \"http://{log_address}\"\nhosts_url = \"http://{}\"",
            self.host_list.address
        );
        if let Some(store) = &self.store {
            let _ = writeln!(text, "store_url = \"http://{}\"", store.address);
        }
        let keys = self.directory.path().join("keys");
        let _ = writeln!(
            text,
            "[keys]\nfleet_certificate = \"{0}/fleet.pem\"\nhost_certificate = \"{0}/{name}.pem\"\n\
             host_key = \"{0}/{name}.key\"\noperator_token_sha256 = [\"{1}\"]\n{2}",
            keys.display(),
            self.token_sha256,
            self.host_settings
        );
        let settings_path = self.directory.path().join(format!("{name}.toml"));
        std::fs::write(&settings_path, text).expect("the settings can be written");
        let process = start_daemon(self.directory.path(), name, &settings_path, 0);
        Host {
            name: name.to_string(),
            process,
            caller,
            operator,
            peer,
            log_link,
            peer_link,
            settings_path,
            starts: 1,
        }
    }

    fn data_centre_of_host(&self, index: usize) -> &str {
        let names = &self.host_data_centres;
        match names.len() {
            0 => DATA_CENTRE,
            count => &names[index % count],
        }
    }

    /// Starts a daemon again whose process has ended.
    pub fn restart_host(&mut self, index: usize) {
        let directory = self.directory.path().to_path_buf();
        let host = &mut self.hosts[index];
        host.process = start_daemon(&directory, &host.name, &host.settings_path, host.starts);
        host.starts += 1;
        self.platform.watch(&host.name, host.process.id());
    }

    /// Waits until every daemon that runs serves.
    ///
    /// # Panics
    ///
    /// Panics with a daemon's log when it ends or does not serve in time.
    pub fn wait_serving(&mut self) {
        for host in &mut self.hosts {
            let started_at = Instant::now();
            while host.process.is_running() && !host.is_serving() {
                let name = &host.name;
                let log = || host.process.log();
                assert!(
                    started_at.elapsed() < WAIT_LIMIT,
                    "{name} does not serve:\n{}",
                    log()
                );
                sleep(POLL);
            }
        }
    }

    /// Reads a page of a daemon's operator interface.
    pub fn operator_get(&self, host: usize, path: &str) -> Value {
        let url = format!("http://{}{path}", self.hosts[host].operator);
        let conn = client()
            .build_conn(Method::Get, url)
            .with_request_header("authorization", format!("Bearer {}", self.token));
        match smol::block_on(finish(conn)) {
            Outcome::Answered { text, .. } => serde_json::from_str(&text).unwrap_or_default(),
            other => panic!("{path}: {other:?}"),
        }
    }

    /// Sends an edit to a daemon.
    pub async fn send_edit(&self, host: usize, edit: &Edit) -> Outcome {
        let url = format!("http://{}/table/edits", self.hosts[host].operator);
        let body = serde_json::to_string(edit).expect("an edit can be encoded");
        let conn = client()
            .build_conn(Method::Post, url)
            .with_request_header("authorization", format!("Bearer {}", self.token))
            .with_request_header("content-type", "application/json");
        finish(conn.with_body(body)).await
    }

    /// Makes an edit against the present table of a daemon.
    pub fn make_edit(&self, host: usize, changes: Vec<Change>) -> Edit {
        let version = self.operator_get(host, "/table")["version"]
            .as_u64()
            .unwrap_or(0);
        let number = self.next_edit.fetch_add(1, Ordering::Relaxed);
        Edit {
            edit_id: format!("edit-{number}").into(),
            operator: OPERATOR.into(),
            base_version: Offset(version),
            changes,
        }
    }

    /// Edits the table through the first daemon and waits until the edit is in force.
    ///
    /// # Panics
    ///
    /// Panics when the edit is refused.
    pub fn edit(&self, changes: Vec<Change>) {
        let edit = self.make_edit(0, changes);
        wait_for("an edit to be in force", || {
            let answer = smol::block_on(self.send_edit(0, &edit));
            match &answer {
                Outcome::Answered { text, .. } => text.contains("in_force"),
                Outcome::Refused { kind, .. } if kind == "edit_pending" => false,
                other => panic!("edit refused: {other:?}"),
            }
        });
    }

    /// Adds a model with one row for each brand, and the brands.
    pub fn put_model(&self, model: &str, reserved_bytes: u64, brands: &[&str]) {
        let mut changes: Vec<Change> = brands.iter().map(|brand| put_brand(brand)).collect();
        changes.push(put_model(model, reserved_bytes));
        changes.extend(brands.iter().map(|brand| put_row(brand, model)));
        self.edit(changes);
    }

    /// Adds a plain service run by all service upstreams of the plan, with one row for each brand.
    pub fn put_service(&self, service: &str, upstreams: &[&str], brands: &[&str]) {
        let mut changes: Vec<Change> = brands.iter().map(|brand| put_brand(brand)).collect();
        let upstreams = upstreams.iter().map(|name| Arc::from(*name)).collect();
        changes.push(Change::PutService {
            name: service.into(),
            service: Service { upstreams },
        });
        changes.extend(brands.iter().map(|brand| put_row(brand, service)));
        self.edit(changes);
    }

    /// Makes a caller of a brand; the brand's API key is its name with `-key`.
    pub fn caller(&self, brand: &str) -> Caller {
        Caller::new(&api_key(brand))
    }

    fn make_keys(&self, host: &str) {
        let options = mangovale::cli::options::KeysOptions {
            directory: self.directory.path().join("keys"),
            host: vec![host.to_string()],
            operator: Vec::new(),
            brand: Vec::new(),
        };
        mangovale::cli::keys::make(&options).expect("keys can be made");
    }
}

fn post(url: &str, body: &Value) -> Outcome {
    let conn = client()
        .build_conn(Method::Post, url)
        .with_request_header("content-type", "application/json")
        .with_body(body.to_string());
    smol::block_on(finish(conn))
}

fn get_json(url: &str) -> Value {
    match smol::block_on(finish(client().build_conn(Method::Get, url))) {
        Outcome::Answered { text, .. } => serde_json::from_str(&text).unwrap_or_default(),
        other => panic!("{url}: {other:?}"),
    }
}
