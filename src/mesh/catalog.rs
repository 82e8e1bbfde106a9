//! Configuration of a mesh by its operators, prepared for look-ups on the request path.

use std::{collections::HashMap, sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::{
    mesh::{Rank, RankOrder},
    names::{OrganisationName, Revision, ServiceName},
};

/// Service of a route, with its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the other destinations.
    pub weight: f64,
}

/// Route of requests to services. Among the routes of a host, the one with the longest matching path
/// prefix applies.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Requested host, in lower case.
    pub host: Arc<str>,
    /// Path prefix.
    pub prefix: Arc<str>,
    /// Services that requests are sent to; never empty.
    pub destinations: SmallVec<[Destination; 2]>,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub answer_within: Duration,
    /// Rank among the routes; 0 is the most urgent.
    pub rank: u32,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key and are not charged to a rate.
    pub open: bool,
}

/// Organisation that owns keys; callers are identified by the key that they present.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: OrganisationName,
    /// Maximum requests per second over the whole fleet; `None` if the rate is not limited.
    pub rate_per_s: Option<f64>,
    /// Maximum burst of requests over the whole fleet.
    pub burst: f64,
    /// Rank that takes precedence over the rank of the route.
    pub rank: Option<u32>,
}

/// Service that upstreams offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of the health check of an upstream.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one upstream.
    pub max_connections: u32,
    /// Time for which an upstream is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold upstream accepts from all nodes together; `None` if upstreams
    /// of the service accept any rate when they are cold.
    pub cold_per_s: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time until the head of a request has arrived.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Parts that a [`Catalog`] is built from.
#[derive(Debug, Clone, Default)]
pub struct CatalogParts {
    /// Version of the configuration, set by the operators.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Organisations, each with its own keys.
    pub organisations: Vec<(Organisation, Vec<Arc<str>>)>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Version of the operators' configuration with look-up tables.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version of the configuration, set by the operators.
    pub revision: Revision,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    organisations: HashMap<OrganisationName, Arc<Organisation>>,
    ranks: RankOrder,
    keys: HashMap<Arc<str>, Arc<Organisation>>,
}

impl Catalog {
    /// Whether requests of routes that are not open need the key of an organisation.
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Builds the look-up tables.
    pub fn new(parts: CatalogParts) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let ranks = rank_order(&parts);
        for route in parts.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let (mut organisations, mut keys) = (HashMap::new(), HashMap::new());
        for (organisation, own_keys) in parts.organisations {
            let organisation = Arc::new(organisation);
            keys.extend(own_keys.into_iter().map(|key| (key, organisation.clone())));
            organisations.insert(organisation.name.clone(), organisation);
        }
        Self {
            revision: parts.revision,
            limits: parts.limits,
            routes,
            services: parts.services,
            organisations,
            ranks,
            keys,
        }
    }

    /// Finds the route of a host with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(host).or_else(|| {
            host.bytes()
                .any(|byte| byte.is_ascii_uppercase())
                .then(|| self.routes.get(host.to_ascii_lowercase().as_str()))
                .flatten()
        })?;
        host_routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Urgency of a rank among those of the configuration, from 1 (most urgent) to 0.
    pub fn urgency(&self, rank: Rank) -> f64 {
        self.ranks.urgency(rank)
    }

    /// Finds the organisation that holds a key.
    pub fn key_holder(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Finds an organisation.
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// All organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// Order of the ranks that requests can have: where an organisation has no rank, that of the route
/// stands in its place.
fn rank_order(parts: &CatalogParts) -> RankOrder {
    let routes = || parts.routes.iter().map(|route| route.rank);
    let organisations = parts.organisations.iter().filter_map(|(it, _)| it.rank);
    let has_unranked = parts.organisations.iter().any(|(it, _)| it.rank.is_none())
        || parts.routes.iter().any(|route| route.open);
    RankOrder::new(organisations.chain(routes().filter(|_| has_unranked)), routes())
}
