//! Admission of a root request by the paces of the services that its call chain uses.

use std::time::Duration;

use smallvec::SmallVec;

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Call, Dialect, Node,
        pace::{PacedRefusal, ServicePace},
    },
    names::ServiceName,
};

type Uses = SmallVec<[(ServiceName, f64, ServicePace); 2]>;

/// Requests that a root request was charged for, at services whose upstreams are all cold.
#[derive(Debug, Default)]
pub struct PacedCharge(Uses);

impl PacedCharge {
    /// Returns the charge of a root request that did not begin.
    pub fn refund<D: Dialect>(&self, node: &Node<D>) {
        if self.0.is_empty() {
            return;
        }
        let mut roots = node.paced_roots.lock();
        for (service, requests, _) in &self.0 {
            roots.refund(service, *requests);
        }
    }

    /// Records whether the chain of the root request was refused below it.
    pub fn record_result<D: Dialect>(&self, node: &Node<D>, was_refused: bool) {
        if self.0.is_empty() {
            return;
        }
        let mut roots = node.paced_roots.lock();
        for (service, ..) in &self.0 {
            roots.record_result(service, was_refused);
        }
    }
}

/// Decides whether a root request fits into the paces of the services that its chain uses, and charges
/// it. While no service is cold as a whole, all are admitted.
pub fn admit_root<D: Dialect>(
    node: &Node<D>,
    call: &Call,
    urgency: f64,
) -> Result<PacedCharge, PacedRefusal> {
    let members = node.members.load();
    if !members.has_cold() {
        return Ok(PacedCharge::default());
    }
    let now = clock::now();
    let uses = {
        let route_usage = node.route_usage.lock();
        let used: SmallVec<[(ServiceName, f64); 4]> = match route_usage.mean(&call.route) {
            Some(usage) => {
                usage.services.iter().map(|it| (it.service.clone(), it.arrivals)).collect()
            }
            // Nothing has been measured yet, as at the start of the whole fleet.
            None => [(call.service.clone(), 1.0)].into_iter().collect(),
        };
        let paced = used.into_iter().filter_map(|(service, requests)| {
            let pace = service_pace(node, now, &service)?;
            Some((service, requests, pace))
        });
        paced.collect::<Uses>()
    };
    if uses.is_empty() {
        return Ok(PacedCharge::default());
    }
    node.paced_roots.lock().try_admit(now, &uses, urgency, members.len())?;
    Ok(PacedCharge(uses))
}

/// What a service accepts if all its usable instances are cold; otherwise `None`.
fn service_pace<D: Dialect>(
    node: &Node<D>,
    now: Timestamp,
    service: &ServiceName,
) -> Option<ServicePace> {
    let members = node.members.load();
    let placement = node.placement.lock();
    let mut pace = ServicePace { per_s: 0.0, remaining: None };
    for member in members.for_service(service) {
        let Some(upstream) = member.ready_upstream() else { continue };
        if !node.accepts_zone(&member.record.address.zone) {
            continue;
        }
        if upstream.pace_per_ks == 0 {
            return None;
        }
        pace.per_s += f64::from(upstream.pace_per_ks) / 1000.0;
        let reported = placement.reported_capacity(now, &member.record.instance);
        let remaining: Option<Duration> =
            reported.and_then(|(_, pace)| pace).map(|pace| pace.remaining);
        pace.remaining = pace.remaining.into_iter().chain(remaining).min();
    }
    (pace.per_s > 0.0).then_some(pace)
}
