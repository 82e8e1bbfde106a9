//! Calls at the node that they enter: choice of a target, attempts, retries and results.

use std::time::Duration;

use rand::RngExt as _;

use crate::{
    admission::OwnTime,
    call::Reason,
    experiment::world::{
        CONNECT_TIMEOUT, Control, End, Event, Policy, Stage, Visit, World, slab::Id,
    },
    names::InstanceName,
    retry::{AttemptFailure, may_retry},
    routing::{AttemptResult, Candidate, Pressure},
};

impl World<'_> {
    pub(super) fn begin_hop(&mut self, id: Id) {
        self.counts.calls += 1;
        if let Some(hop) = self.hops.get(id) {
            self.nodes[hop.node].retries.record_request();
        }
        self.start_attempt(id);
    }

    /// Chooses a target for a call and sends an attempt to it.
    pub(super) fn start_attempt(&mut self, id: Id) {
        self.counts.attempts += 1;
        let Some(hop) = self.hops.get(id) else { return };
        let listed: Vec<usize> = self.by_service[hop.service]
            .iter()
            .copied()
            .filter(|node| self.nodes[*node].is_listed)
            .collect();
        if listed.is_empty() {
            self.end_hop(id, End::NotRun(Reason::NoUpstream), &[]);
            return;
        }
        let origin = hop.node;
        let target = match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                let is_random = self.control.is_without(Policy::Routing);
                let names: Vec<(InstanceName, bool)> = listed
                    .iter()
                    .map(|node| {
                        let node = &self.nodes[*node];
                        (node.name.clone(), node.zone == self.nodes[origin].zone)
                    })
                    .collect();
                let candidates: Vec<Candidate<'_>> = names
                    .iter()
                    .map(|(instance, is_same_zone)| Candidate {
                        instance,
                        is_same_zone: *is_same_zone,
                    })
                    .collect();
                let targets = &mut self.nodes[origin].targets;
                let chosen = match is_random {
                    true => self.random.random_range(0..candidates.len()),
                    false => targets.choose_target(self.now, &candidates, &hop.tried).unwrap_or(0),
                };
                targets.attempt_started(self.now, candidates[chosen].instance);
                listed[chosen]
            }
            Control::None | Control::Fixed => {
                let untried: Vec<usize> = listed
                    .iter()
                    .copied()
                    .filter(|node| !hop.tried.contains(&self.nodes[*node].name))
                    .collect();
                let eligible = if untried.is_empty() { listed } else { untried };
                eligible[self.random.random_range(0..eligible.len())]
            }
        };
        hop.tried.push(self.nodes[target].name.clone());
        let retries_left = hop.budget.split_for_attempt();
        let visit = self.visits.insert(Visit {
            hop: id,
            node: target,
            stage: Stage::InTransit,
            started_at: self.now,
            arrived_at: self.now,
            own_time: OwnTime::start(self.now),
            retries_left,
            pressures: Vec::new(),
            load: None,
            end: End::Whole,
        });
        if let Some(hop) = self.hops.get(id) {
            hop.visit = Some(visit);
        }
        if !self.nodes[target].is_alive {
            self.fail_without_reply(visit, End::NotRun(Reason::PeerFailed), CONNECT_TIMEOUT);
            return;
        }
        self.schedule(self.network_delay(origin, target), Event::AttemptArrival(visit));
    }

    /// Ends an attempt after a time without a reply from the target.
    pub(super) fn fail_without_reply(&mut self, id: Id, end: End, after: Duration) {
        if let Some(visit) = self.visits.get(id) {
            visit.stage = Stage::Replying;
            visit.end = end;
            visit.pressures.clear();
            visit.load = None;
            if end != End::NotRun(Reason::PeerFailed) {
                visit.retries_left = 0;
            }
            self.schedule(after, Event::Reply(id));
        }
    }

    /// Ends an attempt with the result in its visit; retries the call or ends it.
    pub(super) fn handle_reply(&mut self, id: Id) {
        let Some(visit) = self.visits.remove(id) else { return };
        let Some(hop) = self.hops.get(visit.hop) else { return };
        hop.visit = None;
        hop.budget.restore_unused(visit.retries_left);
        let target = self.nodes[visit.node].name.clone();
        let origin = hop.node;
        let (end, attempt) = match visit.end {
            End::Whole => (None, AttemptResult::Answered),
            End::RefusedDownstream => (None, AttemptResult::Refused),
            End::NotRun(reason @ Reason::PeerFailed) => {
                (Some(AttemptFailure::NotRun(reason)), AttemptResult::Failed)
            }
            End::NotRun(reason) => (Some(AttemptFailure::NotRun(reason)), AttemptResult::Refused),
            End::Unknown(reason) => {
                hop.may_have_run = true;
                (Some(AttemptFailure::Unknown(reason)), AttemptResult::Failed)
            }
        };
        let will_retry = match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                let latency = self.now.saturating_sub(visit.started_at);
                self.nodes[origin]
                    .targets
                    .attempt_finished(self.now, &target, attempt, latency, visit.load);
                end.is_some_and(|end| self.take_retry(visit.hop, end))
            }
            Control::None | Control::Fixed => {
                // The baselines do not retry after an unknown outcome either, so that no
                // non-idempotent request runs twice.
                let is_retryable = !matches!(visit.end, End::Unknown(_));
                let will_retry =
                    visit.end != End::Whole && is_retryable && hop.baseline_retries_left > 0;
                hop.baseline_retries_left -= u32::from(will_retry);
                will_retry
            }
        };
        if will_retry {
            let root = self.hops.get(visit.hop).map(|hop| hop.root);
            if let Some(root) = root.and_then(|root| self.roots.get(root)) {
                root.retries += 1;
                self.counts.max_retries_per_sending =
                    self.counts.max_retries_per_sending.max(root.retries);
            }
            self.start_attempt(visit.hop);
            return;
        }
        self.end_hop(visit.hop, visit.end, &visit.pressures);
    }

    /// Checks whether a failed attempt can be retried, and takes the retry from the budgets.
    pub(super) fn take_retry(&mut self, id: Id, end: AttemptFailure) -> bool {
        let Some(hop) = self.hops.get(id) else { return false };
        let class = self.roots.get(hop.root).map_or(0, |root| root.class);
        let idempotent = self.deployment.classes[class].is_idempotent;
        let names: Vec<InstanceName> = self.by_service[hop.service]
            .iter()
            .map(|node| &self.nodes[*node])
            .filter(|node| node.is_listed)
            .map(|node| node.name.clone())
            .collect();
        let candidates: Vec<Candidate<'_>> =
            names.iter().map(|instance| Candidate { instance, is_same_zone: false }).collect();
        let untried = names.iter().any(|name| !hop.tried.contains(name));
        let node = &mut self.nodes[hop.node];
        let has_spare_target = node.targets.has_spare_target(self.now, &candidates, &hop.tried);
        self.now < hop.deadline
            && untried
            && may_retry(end, idempotent, has_spare_target)
            && hop.budget.remaining() > 0
            && node.retries.take_retry()
            && hop.budget.spend_retry()
    }

    pub(super) fn end_hop(&mut self, id: Id, end: End, pressures: &[Pressure]) {
        let Some(hop) = self.hops.remove(id) else { return };
        let end = match end {
            End::NotRun(_) if hop.may_have_run => End::Unknown(Reason::PeerFailed),
            end => end,
        };
        if let Some(parent) = hop.parent {
            let now = self.now;
            let Some(visit) = self.visits.get(parent) else { return };
            visit.own_time.record_call_end(now);
            visit.retries_left += hop.budget.remaining();
            visit.pressures.extend_from_slice(pressures);
            match end {
                End::Whole => self.leave_upstream(parent, End::Whole),
                _ => self.leave_upstream(parent, End::RefusedDownstream),
            }
            return;
        }
        let Some(root) = self.roots.get(hop.root) else { return };
        root.hop = None;
        let (sending, class, organisation) = (root.sending, root.class, root.organisation);
        let mut delay = Duration::ZERO;
        if self.control.uses_daemon_policies() {
            let refused = end != End::Whole;
            let counted = refused && !self.control.is_without(Policy::Proportion);
            let node = &mut self.nodes[hop.node];
            let organisation = Some(self.organisations[organisation].clone());
            let importance = self.deployment.classes[class].importance;
            if !self.control.is_without(Policy::Pressure) {
                node.first_hop.record_pressures(self.now, &self.routes[class], pressures);
            }
            node.first_hop.record_root_end(
                self.now,
                &self.routes[class],
                importance,
                &organisation,
                counted,
            );
            node.retries.record_root_end(self.now, refused);
            delay = node.retries.retry_after();
        }
        let reply = Event::CallerReply(hop.root, sending, end, delay);
        self.schedule(self.deployment.caller_delay, reply);
    }
}
