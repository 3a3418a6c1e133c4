//! Lookup of the route of a request, and the choice of a service among its targets.

use crate::desired::{CallerLimits, DesiredState, RateLimitTable, Route, Service, UrgentRanks};
use crate::identity::{Credential, Identity, Keys};
use crate::prelude::*;

/// A desired state, indexed for lookups by the host name and path of requests.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version of the desired state.
    pub version: u64,
    /// The services by name.
    pub services: IndexMap<Name, Service>,
    /// Bounds on callers' requests and connections.
    pub limits: CallerLimits,
    /// Whether routes differ in rank, so that requests have an order.
    pub has_ranks: bool,
    /// The rate limits by the name of the organisation.
    pub rate_limits: RateLimitTable,
    /// The ranks whose requests engines should begin first.
    pub urgent_ranks: UrgentRanks,
    /// The organisations by key; absent if callers need no key.
    keys: Option<Keys>,
    /// The routes by host name, those with the longest path prefix first.
    by_host: IndexMap<Name, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the indexes of a desired state.
    pub fn new(state: DesiredState) -> Self {
        let urgent_ranks = UrgentRanks::new(state.routes.iter());
        let ranks: IndexSet<u8> = state.routes.iter().map(|route| route.rank).collect();
        let mut by_host: IndexMap<Name, Vec<Arc<Route>>> = IndexMap::new();
        for route in state.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let organisations = state.organisations.as_deref();
        Self {
            keys: organisations.map(Keys::new),
            rate_limits: organisations
                .unwrap_or_default()
                .iter()
                .filter_map(|own| Some((own.name.clone(), own.rate_limit?)))
                .collect(),
            has_ranks: ranks.len() > 1,
            version: state.version,
            services: state.services,
            limits: state.limits,
            urgent_ranks,
            by_host,
        }
    }

    /// Returns the route of a host name with the longest path prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Identifies the sender of a request on a route by its API key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a valid API key on a route that needs one.
    pub fn identify(&self, route: &Route, credential: Credential) -> Result<Identity, Refusal> {
        match &self.keys {
            None => Ok(Identity::Unchecked),
            Some(keys) => keys.identify(route, credential),
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Chooses the service of a request by the weights of the targets. `point` is drawn uniformly
    /// from 0 to 1. Returns `None` only if there are no targets.
    pub fn service(&self, point: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}
