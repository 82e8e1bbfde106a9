//! One call as the nodes see it, and what calls below it have used.

use std::{collections::HashMap, sync::Arc};

use smallvec::SmallVec;

use crate::{
    clock::Timestamp,
    names::{OrganisationName, ServiceName},
};

/// One request at its entry or at the guard of an upstream.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id that the caller gave the request.
    pub request_id: Arc<str>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Service that is called.
    pub service: ServiceName,
    /// Organisation that the request runs for; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// Service beside the node at which the request began.
    pub caller_service: ServiceName,
    /// Latest useful answer.
    pub deadline: Timestamp,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Rank of the request at the head of the chain; 0 goes first.
    pub rank: u32,
    /// Organisation of the request at the head of the chain.
    pub root_organisation: Option<OrganisationName>,
    /// Number of calls above this one.
    pub depth: u32,
    /// An earlier attempt of this request, or of one above it, has reached an upstream.
    pub repeated: bool,
}

/// What a request and the calls below it used of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceName,
    /// Time that slots of the service were held, in seconds.
    pub held_s: f64,
    /// Requests that reached its upstreams; a mean where it speaks of a route.
    pub arrivals: f64,
}

/// What a request and the calls below it used.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Usage {
    /// Uses by service, each service once.
    pub services: SmallVec<[ServiceUse; 4]>,
}

impl Usage {
    /// Adds what was used of one service.
    pub fn add(&mut self, service: &ServiceName, held_s: f64, arrivals: f64) {
        match self.services.iter_mut().find(|known| known.service == *service) {
            Some(known) => {
                known.held_s += held_s;
                known.arrivals += arrivals;
            }
            None => {
                let service = service.clone();
                self.services.push(ServiceUse { service, held_s, arrivals });
            }
        }
    }

    /// Adds all that another request used.
    pub fn merge(&mut self, other: &Self) {
        for used in &other.services {
            self.add(&used.service, used.held_s, used.arrivals);
        }
    }
}

/// Weight of a new request in the mean use of its route.
const ROUTE_WEIGHT: f64 = 0.05;

/// What requests of each route use on the mean, with the calls below them.
#[derive(Debug, Default)]
pub struct RouteUsage {
    routes: HashMap<Arc<str>, Usage>,
}

impl RouteUsage {
    /// Mean use of a route's requests; none before one was answered.
    pub fn mean(&self, route: &str) -> Option<&Usage> {
        self.routes.get(route)
    }

    /// A request was answered whole.
    pub fn record(&mut self, route: &Arc<str>, usage: &Usage) {
        let Some(known) = self.routes.get_mut(route) else {
            self.routes.insert(route.clone(), usage.clone());
            return;
        };
        for used in &mut known.services {
            used.held_s *= 1.0 - ROUTE_WEIGHT;
            used.arrivals *= 1.0 - ROUTE_WEIGHT;
        }
        for used in &usage.services {
            // A service that a route rarely calls comes in with its part of the mean too.
            known.add(&used.service, used.held_s * ROUTE_WEIGHT, used.arrivals * ROUTE_WEIGHT);
        }
    }
}
