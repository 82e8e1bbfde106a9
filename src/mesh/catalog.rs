//! The operators' configuration in the form that the request path of a mesh reads.

use std::{collections::HashMap, sync::Arc, time::Duration};

use smallvec::SmallVec;

use crate::names::{OrganisationName, Revision, ServiceName};

/// One service of a route with its part of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Part of the requests, relative to the other destinations.
    pub weight: f64,
}

/// A route; among the routes of a host the longest prefix of the path wins.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Path prefix.
    pub prefix: Arc<str>,
    /// Services that answer; never empty.
    pub destinations: SmallVec<[Destination; 2]>,
    /// Requests may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub answer_within: Duration,
    /// Rank among the routes; 0 goes first.
    pub rank: u32,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Open to all: no key is needed and no rate is charged.
    pub open: bool,
}

/// An organisation whose callers present keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, unique.
    pub name: OrganisationName,
    /// Requests a second over the whole fleet; none where the rate is not limited.
    pub rate_per_s: Option<f64>,
    /// Requests that may come at once over the whole fleet.
    pub burst: f64,
    /// Rank that goes before the route's.
    pub rank: Option<u32>,
}

/// A service that upstreams offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path that answers whether an upstream is healthy.
    pub health_path: Arc<str>,
    /// Connections that one upstream takes.
    pub max_connections: u32,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time that the head of a request may take.
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

/// What a catalog is made from.
#[derive(Debug, Clone, Default)]
pub struct CatalogParts {
    /// Version that the operators gave it.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Organisations, each with its keys.
    pub organisations: Vec<(Organisation, Vec<Arc<str>>)>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// One version of the operators' configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version that the operators gave it.
    pub revision: Revision,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    organisations: HashMap<OrganisationName, Arc<Organisation>>,
    /// Lowest and highest rank of all routes and organisations.
    ranks: (u32, u32),
    keys: HashMap<Arc<str>, Arc<Organisation>>,
}

impl Catalog {
    /// Builds the look-up tables.
    pub fn new(parts: CatalogParts) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let ranks = ranks(&parts);
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

    /// Finds the route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host).or_else(|| {
            host.bytes()
                .any(|byte| byte.is_ascii_uppercase())
                .then(|| self.routes.get(host.to_ascii_lowercase().as_str()))
                .flatten()
        })?;
        of_host.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// How urgent a rank is among those in use: 1 for the first, 0 for the last.
    pub fn urgency(&self, rank: u32) -> f64 {
        let (first, last) = self.ranks;
        match last > first {
            true => f64::from(last.saturating_sub(rank)) / f64::from(last - first),
            false => 1.0,
        }
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

fn ranks(parts: &CatalogParts) -> (u32, u32) {
    let of_routes = parts.routes.iter().map(|route| route.rank);
    let of_organisations = parts.organisations.iter().filter_map(|(it, _)| it.rank);
    let ranks = of_routes.chain(of_organisations);
    ranks.fold((u32::MAX, 0), |(first, last), rank| (first.min(rank), last.max(rank)))
}
