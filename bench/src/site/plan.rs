//! What a site is to be made of.

use super::start::to_strings;
use super::{DATA_CENTRE, Site};

/// An engine of a planned site.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Its name.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its accelerator memory.
    pub memory_bytes: u64,
    /// How many requests it batches.
    pub slots: u32,
    /// How long a load takes.
    pub load_ms: u64,
    /// The time of one token.
    pub token_ms: u64,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Further arguments of the stand-in.
    pub arguments: Vec<String>,
}

impl EngineSpec {
    /// Makes an engine with usual figures.
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_string(),
            data_centre: DATA_CENTRE.to_string(),
            memory_bytes: 10_000,
            slots: 8,
            load_ms: 300,
            token_ms: 5,
            checks_fencing: true,
            arguments: Vec::new(),
        }
    }
}

/// What a site is to be made of.
#[derive(Debug, Default)]
pub struct Plan {
    pub(super) engines: Vec<EngineSpec>,
    pub(super) services: Vec<ServiceSpec>,
    pub(super) store_arguments: Option<Vec<String>>,
    pub(super) log_arguments: Vec<String>,
    pub(super) hosts_arguments: Vec<String>,
    pub(super) host_count: usize,
    pub(super) host_settings: String,
    pub(super) host_data_centres: Vec<String>,
    pub(super) links: bool,
}

#[derive(Debug)]
pub(super) struct ServiceSpec {
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) arguments: Vec<String>,
}

impl Plan {
    /// Adds an engine.
    pub fn engine(mut self, engine: EngineSpec) -> Self {
        self.engines.push(engine);
        self
    }

    /// Adds a plain service's upstream, with further arguments of the stand-in.
    pub fn service(self, name: &str, arguments: &[&str]) -> Self {
        self.service_in(DATA_CENTRE, name, arguments)
    }

    /// Adds a plain service's upstream in a data centre.
    pub fn service_in(mut self, data_centre: &str, name: &str, arguments: &[&str]) -> Self {
        self.services.push(ServiceSpec {
            name: name.to_string(),
            data_centre: data_centre.to_string(),
            arguments: to_strings(arguments),
        });
        self
    }

    /// Spreads the daemons over data centres, in turn.
    pub fn host_data_centres(mut self, names: &[String]) -> Self {
        self.host_data_centres = names.to_vec();
        self
    }

    /// Adds the weight store, from which the engines then fetch.
    pub fn store(mut self, arguments: &[&str]) -> Self {
        self.store_arguments = Some(to_strings(arguments));
        self
    }

    /// Sets further arguments of the log stand-in.
    pub fn log(mut self, arguments: &[&str]) -> Self {
        self.log_arguments = to_strings(arguments);
        self
    }

    /// Sets further arguments of the host list stand-in.
    pub fn host_list(mut self, arguments: &[&str]) -> Self {
        self.hosts_arguments = to_strings(arguments);
        self
    }

    /// Sets the number of daemons.
    pub fn hosts(mut self, count: usize) -> Self {
        self.host_count = count;
        self
    }

    /// Adds lines to every daemon's settings: whole TOML sections.
    pub fn settings(mut self, lines: &str) -> Self {
        self.host_settings = lines.to_string();
        self
    }

    /// Puts links that can be cut before the log and between the daemons.
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Starts everything and waits until every daemon serves.
    pub fn start(self) -> Site {
        Site::start(self)
    }
}
