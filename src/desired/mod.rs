//! The desired state that an operator submits to the platform: routes, services, models, caller
//! limits and organisations, all under one version.

pub mod rate_limit_table;
pub mod routes;
pub mod urgency;

#[cfg(test)]
mod tests;

use crate::identity::KeyDigest;
use crate::prelude::*;
pub use rate_limit_table::RateLimitTable;
pub use routes::RouteTable;
pub use urgency::{UrgentRank, UrgentRanks};

/// A complete desired state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// The version; a state replaces any with a lower version.
    pub version: u64,
    /// The routes from callers' requests to services.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: IndexMap<Name, Service>,
    /// Bounds on callers' requests and connections.
    pub limits: CallerLimits,
    /// The organisations whose callers are served; if absent, callers need no API key.
    #[serde(default)]
    pub organisations: Option<Vec<Arc<Organisation>>>,
}

/// An organisation, whose callers share API keys and a rate limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The organisation's name, which is passed on to upstreams.
    pub name: Name,
    /// The digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which overrides that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The rate limit of its requests over all hosts together; unlimited if absent.
    pub rate_limit: Option<RateLimit>,
}

/// A rate limit in the form of a token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// What the limit counts.
    pub unit: LimitUnit,
    /// The units allowed per second, at which rate the bucket refills.
    pub per_s: f64,
    /// The size of the bucket: units allowed at once after a pause.
    pub burst: f64,
}

/// What a rate limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitUnit {
    /// Requests, each as one unit.
    Requests,
    /// Tokens: those of the prompt plus the most that the answer may have.
    Tokens {
        /// The number of tokens assumed for a request that does not state them.
        uncounted: u64,
    },
}

impl RateLimit {
    /// Returns the units that a request consumes; `tokens` is the number that it states, if any.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { uncounted } => tokens.unwrap_or(uncounted),
        }
    }
}

/// Whether a request of a route may be retried after an upstream may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The request may run at most once, but an event stream that broke off may be resumed after
    /// its last complete event.
    Resumable,
}

/// A rule that maps callers' requests to services, with the requirements for their answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host name in callers' requests, in lower case.
    pub host: Name,
    /// The prefix of the request paths; it ends with a slash.
    pub path_prefix: Name,
    /// The services that serve the route, with their shares; at least one.
    pub targets: Vec<Target>,
    /// Whether a request may be retried.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub streams: bool,
    /// The longest time from the arrival of a request to the end of its answer. A caller may set a
    /// shorter one.
    pub time_limit_ms: Millis,
    /// The latency objective for an answer or, for a stream, for its first event.
    pub goal_ms: Millis,
    /// The latency objective for the gap between the events of a stream.
    pub event_gap_ms: Option<Millis>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// The priority of its requests; 0 is the most urgent.
    pub rank: u8,
    /// Whether callers need no API key.
    #[serde(default)]
    pub is_public: bool,
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the service.
    pub service: Name,
    /// Its weight: the share of the route's requests, relative to the sum of the weights.
    pub weight: u32,
}

/// A set of interchangeable upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Most connections that one upstream accepts from all hosts together; zero for no bound.
    pub max_connections: u32,
    /// The capacity and models of its upstreams, if they are engines.
    pub engine: Option<EngineSpec>,
}

/// The capacity of the engines of a service, and the models that they can load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Most requests that one engine runs at once.
    pub slots: u32,
    /// The size of an engine's KV cache, for prompts and answers, in tokens.
    pub kv_tokens: u64,
    /// The size of the KV cache entries of one prompt token, in bytes; zero if not stated.
    #[serde(default)]
    pub token_bytes: f64,
    /// The rate at which an engine fetches KV cache entries from another engine, in megabits per
    /// second; zero if it cannot.
    #[serde(default)]
    pub link_mbps: f64,
    /// The memory of one engine for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Most adapters that one engine holds.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows for all engines together.
    pub loads_per_s: f64,
    /// The models that the engines can load, by name.
    pub models: IndexMap<Name, ModelSpec>,
}

impl EngineSpec {
    /// Returns the size of the largest model's weights in megabytes.
    pub fn largest_model_mb(&self) -> f64 {
        let sizes = self.models.values().map(|model| model.weights_mb);
        sizes.fold(0.0, f64::max)
    }
}

/// The sizes and load times of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The size of the model's weights in megabytes.
    pub weights_mb: f64,
    /// How long a load from the weight store takes.
    pub load_ms: Millis,
    /// How long a load from the engine's local disk takes.
    pub from_disk_ms: Millis,
    /// The size of one adapter of the model in megabytes.
    pub adapter_mb: f64,
    /// The names of its adapters.
    pub adapters: Vec<Name>,
}

/// Bounds on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes in the head of a request: request line and header fields.
    pub head_bytes: usize,
    /// Most bytes in the body of a request.
    pub body_bytes: u64,
    /// The timeout for the arrival of a complete head.
    pub head_ms: Millis,
    /// The timeout of an idle connection.
    pub idle_ms: Millis,
}

impl Default for CallerLimits {
    /// Returns the bounds that apply until the first desired state is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: Millis(3_000),
            idle_ms: Millis(15_000),
        }
    }
}
