//! Scenario files: a deployment, its load and the policies to compare.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use std::path::{Path, PathBuf};

/// Why a scenario cannot be used.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not a scenario.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A policy was asked for that the file does not have.
    #[snafu(display("no policy {name:?}; the scenario has {known}"))]
    UnknownPolicy {
        /// The name.
        name: String,
        /// What the file has.
        known: String,
    },
}

/// A scenario: one deployment under one load, with the policies to compare.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for file names.
    pub name: String,
    /// How many seconds of the deployment's day pass in one second of the run.
    pub time_factor: f64,
    /// How long the load lasts.
    pub span_ms: u64,
    /// What is started.
    pub site: SiteSpec,
    /// What is called.
    pub models: ModelSpec,
    /// Who calls.
    pub brands: Vec<BrandSpec>,
    /// How often.
    pub load: LoadSpec,
    /// The policies, in the order of the file.
    pub policies: Vec<PolicySpec>,
}

/// The processes of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// The data centres; engines, services and daemons are spread over them in turn.
    pub data_centres: Vec<String>,
    /// How many daemons.
    pub hosts: usize,
    /// How many engines.
    pub engines: usize,
    /// How many of these ignore fencing numbers.
    #[serde(default)]
    pub engines_ignoring_fences: usize,
    /// How many upstreams the plain service has.
    pub services: usize,
    /// Accelerator memory of each engine.
    pub engine_memory_bytes: u64,
    /// Requests in one batch.
    pub engine_slots: u32,
    /// Time of one token.
    pub token_ms: u64,
    /// Checkpoint cache on each engine's disk.
    pub disk_cache_bytes: u64,
    /// Rate of a load from disk.
    pub disk_bytes_per_s: u64,
    /// How late engines report their load.
    pub report_lag_ms: u64,
    /// Loads that the store starts in a second.
    pub store_loads_per_s: u32,
    /// Fetches that the store serves at full speed at once.
    pub store_parallel: u32,
    /// Rate of one fetch.
    pub store_bytes_per_s: u64,
    /// Appends that the log takes in a second.
    pub log_appends_per_s: u32,
}

/// Models, adapters and the plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// How many models.
    pub models: usize,
    /// How many adapters.
    pub adapters: usize,
    /// Sizes of models, taken in turn.
    pub model_bytes: Vec<u64>,
    /// Size of an adapter.
    pub adapter_bytes: u64,
    /// Whether adapters name a base model.
    pub adapters_have_base: bool,
    /// The plain service's name.
    pub service: String,
    /// Classes of use, taken in turn by the models.
    pub uses: Vec<UseSpec>,
}

/// One class of use: how urgent, and how long it may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UseSpec {
    /// The rows' urgency, as the table has it.
    pub urgency: String,
    /// The deadline of a request.
    pub deadline_ms: u64,
    /// Length of a prompt.
    pub prompt_bytes: usize,
}

/// A brand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BrandSpec {
    /// Its name.
    pub name: String,
    /// The weight of its rows.
    pub weight: u32,
}

/// The load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// How many callers ask, each with its own kept entry answers.
    pub callers: usize,
    /// Mean rate of model requests.
    pub requests_per_s: f64,
    /// Exponent of the popularity by rank.
    pub zipf_exponent: f64,
    /// How far the rate swings about its mean over the run, from 0 to 1.
    pub day_swing: f64,
    /// Mean rate of calls to the plain service.
    pub service_calls_per_s: f64,
    /// Share of those that may run at most once.
    pub service_write_share: f64,
    /// Time between bursts for a cold model.
    pub burst_every_ms: u64,
    /// Requests of one burst.
    pub burst_requests: usize,
    /// How close together they arrive.
    pub burst_within_ms: u64,
    /// Whether the callers of a burst go straight to their usual host, as those do that keep an
    /// older answer, and so meet at no common one.
    pub burst_spreads: bool,
    /// A time of more demand for one model than the site can serve.
    #[serde(default)]
    pub saturation: Option<SaturationSpec>,
}

/// More demand for the most popular model than one copy serves, the same from each brand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SaturationSpec {
    /// When it begins.
    pub start_ms: u64,
    /// How long it lasts.
    pub span_ms: u64,
    /// Rate of each brand.
    pub requests_per_s_each: f64,
}

/// A policy: settings that every daemon gets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Its name.
    pub name: String,
    /// Sections of the daemon's settings.
    #[serde(default)]
    pub settings: toml::Table,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Returns where the file is wrong.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        toml::from_str(&text)
            .map_err(Box::new)
            .context(MalformedSnafu { path })
    }

    /// Returns the named policies, or all when none is named.
    ///
    /// # Errors
    ///
    /// Returns the first name that the file does not have.
    pub fn choose_policies(&self, names: &[String]) -> Result<Vec<PolicySpec>, ScenarioError> {
        if names.is_empty() {
            return Ok(self.policies.clone());
        }
        names.iter().map(|name| self.policy(name)).collect()
    }

    fn policy(&self, name: &str) -> Result<PolicySpec, ScenarioError> {
        let found = self.policies.iter().find(|policy| policy.name == name);
        found.cloned().ok_or_else(|| {
            let known: Vec<&str> = self.policies.iter().map(|p| p.name.as_str()).collect();
            let known = known.join(", ");
            UnknownPolicySnafu { name, known }.build()
        })
    }

    /// Returns the names of all models and adapters by popularity, the most popular first.
    pub fn targets(&self) -> Vec<Target> {
        let total = self.models.models + self.models.adapters;
        let mut ranked: Vec<Target> = (0..total).map(|index| self.target(index)).collect();
        // Models and adapters alternate in rank, by a fixed order that is not that of their names.
        ranked.sort_by_key(|target| target.shuffle_key);
        ranked
    }

    fn target(&self, index: usize) -> Target {
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        let spec = &self.models;
        let (name, bytes, base) = match index.checked_sub(spec.models) {
            None => {
                let bytes = spec.model_bytes[index % spec.model_bytes.len()];
                (model_name(index), bytes, None)
            }
            Some(adapter) => {
                let base = model_name(adapter % spec.models);
                let base = spec.adapters_have_base.then_some(base);
                (format!("adapter-{adapter:02}"), spec.adapter_bytes, base)
            }
        };
        Target {
            name,
            bytes,
            base,
            use_index: index % spec.uses.len(),
            shuffle_key: (index as u64 + 1).wrapping_mul(MULTIPLIER),
        }
    }
}

impl PolicySpec {
    /// Returns the sections as text.
    pub fn settings_text(&self) -> String {
        toml::to_string(&self.settings).unwrap_or_default()
    }
}

fn model_name(index: usize) -> String {
    format!("model-{index:02}")
}

/// A model or adapter of a scenario.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Its size.
    pub bytes: u64,
    /// The base of an adapter.
    pub base: Option<String>,
    /// Its class of use.
    pub use_index: usize,
    shuffle_key: u64,
}
