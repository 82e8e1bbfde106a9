//! Calls between services, and the use of services by a call and the calls below it.

use std::{collections::HashMap, sync::Arc};

use smallvec::SmallVec;

use crate::{
    clock::Timestamp,
    mesh::{Rank, RetryReservation},
    names::{OrganisationName, ServiceName},
};

/// Request at its entry node or at the guard of an upstream.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request, set by the caller.
    pub request_id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Called service.
    pub service: ServiceName,
    /// Organisation that the request is charged to; `None` on an open route.
    pub organisation: Option<OrganisationName>,
    /// Service of the entry node's local upstream.
    pub caller_service: ServiceName,
    /// Time after which an answer is of no use.
    pub deadline: Timestamp,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rank of the root request of the call chain.
    pub rank: Rank,
    /// Organisation of the root request of the call chain.
    pub root_organisation: Option<OrganisationName>,
    /// Number of calls above this one in the call chain; 0 for a root request.
    pub depth: u32,
    /// Whether an earlier attempt of this request, or of a request above it, has reached an upstream.
    pub repeated: bool,
    /// Retries that the entry node of the root request has reserved for the call chain.
    pub reservation: Option<Arc<RetryReservation>>,
}

/// Use of one service by a request and the calls below it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceUse {
    /// Used service.
    pub service: ServiceName,
    /// Slot time, in seconds.
    pub held_s: f64,
    /// Requests that reached upstreams of the service; fractional in the mean of a route.
    pub arrivals: f64,
    /// Requests to the service, each counted once however often it was retried.
    pub requests: f64,
}

/// Use of services by a request and the calls below it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Usage {
    /// Use of each service; every service appears at most once.
    pub services: SmallVec<[ServiceUse; 4]>,
}

impl Usage {
    /// Adds use of one service.
    pub fn add(&mut self, service: &ServiceName, held_s: f64, arrivals: f64) {
        let used = self.use_of(service);
        used.held_s += held_s;
        used.arrivals += arrivals;
    }

    /// Adds requests to one service.
    pub fn add_requests(&mut self, service: &ServiceName, requests: f64) {
        self.use_of(service).requests += requests;
    }

    fn use_of(&mut self, service: &ServiceName) -> &mut ServiceUse {
        let index = self.services.iter().position(|known| known.service == *service);
        let index = index.unwrap_or_else(|| {
            let service = service.clone();
            self.services.push(ServiceUse { service, held_s: 0.0, arrivals: 0.0, requests: 0.0 });
            self.services.len() - 1
        });
        &mut self.services[index]
    }

    /// Total time that slots of a service were held, in seconds; `None` if none was held.
    pub fn held_s(&self, service: &ServiceName) -> Option<f64> {
        let used = self.services.iter().find(|used| used.service == *service)?;
        Some(used.held_s)
    }

    /// Adds the use of services by another request.
    pub fn merge(&mut self, other: &Self) {
        for used in &other.services {
            self.add(&used.service, used.held_s, used.arrivals);
            self.add_requests(&used.service, used.requests);
        }
    }
}

/// Weight of a new request in the moving average of its route.
const ROUTE_MEAN_WEIGHT: f64 = 0.05;

/// Mean use of services by the requests of each route and the calls below them.
#[derive(Debug, Default)]
pub struct RouteUsage {
    routes: HashMap<Arc<str>, Usage>,
}

impl RouteUsage {
    /// Mean use of services by the requests of a route; `None` until the first complete response.
    pub fn mean(&self, route: &str) -> Option<&Usage> {
        self.routes.get(route)
    }

    /// Records the use of services by a request with a complete response.
    pub fn record(&mut self, route: &Arc<str>, usage: &Usage) {
        let Some(known) = self.routes.get_mut(route) else {
            self.routes.insert(route.clone(), usage.clone());
            return;
        };
        for used in &mut known.services {
            used.held_s *= 1.0 - ROUTE_MEAN_WEIGHT;
            used.arrivals *= 1.0 - ROUTE_MEAN_WEIGHT;
            used.requests *= 1.0 - ROUTE_MEAN_WEIGHT;
        }
        for used in &usage.services {
            // The first use of a service is weighted too, so that a rarely called one counts little.
            known.add(
                &used.service,
                used.held_s * ROUTE_MEAN_WEIGHT,
                used.arrivals * ROUTE_MEAN_WEIGHT,
            );
            known.add_requests(&used.service, used.requests * ROUTE_MEAN_WEIGHT);
        }
    }
}
