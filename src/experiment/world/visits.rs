//! Attempts at their target: admission, the queue and slots of the upstream, and its work.

use crate::{
    admission::{Action, Arrival, Completion, OwnTime, Refusal, Ticket},
    call::Reason,
    experiment::world::{
        BASELINE_RETRIES, Control, End, Event, FIXED_LIMIT_FACTOR, Hop, Policy,
        SERVICE_TIME_PHASES, Stage, Visit, World, slab::Id,
    },
    retry::HopBudget,
    routing::Pressure,
};

impl World<'_> {
    pub(super) fn handle_attempt_arrival(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        if visit.stage != Stage::InTransit {
            return;
        }
        visit.arrived_at = self.now;
        let index = visit.node;
        let hop_id = visit.hop;
        let Some(hop) = self.hops.get(hop_id) else { return };
        let (root, deadline, depth) = (hop.root, hop.deadline, hop.depth);
        let Some(root) = self.roots.get(root) else { return };
        let (class, organisation) = (root.class, root.organisation);
        let node = &mut self.nodes[index];
        match self.control {
            Control::Hibiscusdoor | Control::Without(_) => {
                node.tickets += 1;
                // The low 32 bits are the index of the visit in the slab, for `apply_actions`.
                let ticket = Ticket((node.tickets << 32) | u64::from(id.0));
                if let Some(visit) = self.visits.get(id) {
                    visit.stage = Stage::Waiting(ticket);
                }
                let actions = node.admission.on_arrival(
                    self.now,
                    Arrival {
                        ticket,
                        importance: self.deployment.classes[class].importance,
                        organisation: Some(self.organisations[organisation].clone()),
                        is_nested_call: depth > 0,
                        deadline,
                        own_time: None,
                    },
                );
                self.apply_actions(index, &actions);
            }
            Control::Fixed => {
                let limit = (f64::from(node.announced_slots) * FIXED_LIMIT_FACTOR) as usize;
                if node.in_flight >= limit {
                    self.finish_visit(id, End::NotRun(Reason::Overload));
                } else {
                    self.enter_upstream(id);
                }
            }
            Control::None => {
                if node.in_flight >= node.connections {
                    self.finish_visit(id, End::NotRun(Reason::Overload));
                } else {
                    self.enter_upstream(id);
                }
            }
        }
    }

    /// Carries out what the admission control of a node has decided.
    pub(super) fn apply_actions(&mut self, node: usize, actions: &[Action]) {
        for action in actions {
            let ticket = match action {
                Action::Start(ticket) | Action::Wait(ticket, _) | Action::Refuse(ticket, _) => {
                    *ticket
                }
            };
            let index = (ticket.0 & u64::from(u32::MAX)) as u32;
            let id = self.visits.id_at(index);
            let Some(visit) = self.visits.get(id) else { continue };
            if visit.stage != Stage::Waiting(ticket) || visit.node != node {
                continue;
            }
            match action {
                Action::Start(_) => self.enter_upstream(id),
                Action::Wait(_, until) => self.schedule_at(*until, Event::QueueTimeout(id)),
                Action::Refuse(_, refusal) => self.refuse_visit(id, *refusal),
            }
        }
    }

    pub(super) fn refuse_visit(&mut self, id: Id, refusal: Refusal) {
        let Some(visit) = self.visits.get(id) else { return };
        let (node, arrived_at, hop) = (visit.node, visit.arrived_at, visit.hop);
        if let Some(hop) = self.hops.get(hop)
            && let Some(root) = self.roots.get(hop.root)
            && root.class == 0
            && refusal == Refusal::Overload
            && self.nodes[node].last_less_important_start > arrived_at
        {
            self.counts.inversions += 1;
        }
        let reason = match refusal {
            Refusal::Overload => Reason::Overload,
            Refusal::DeadlinePassed => Reason::DeadlinePassed,
        };
        self.finish_visit(id, End::NotRun(reason));
    }

    pub(super) fn handle_queue_timeout(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        let Stage::Waiting(ticket) = visit.stage else { return };
        let node = visit.node;
        if let Some(refusal) = self.nodes[node].admission.on_wait_timeout(self.now, ticket) {
            self.refuse_visit(id, refusal);
        }
    }

    pub(super) fn enter_upstream(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.own_time = OwnTime::start(self.now);
        visit.stage = Stage::Queued;
        let (index, hop) = (visit.node, visit.hop);
        let class = self.hops.get(hop).map(|hop| hop.root);
        let class = class.and_then(|root| self.roots.get(root)).map(|root| root.class);
        let node = &mut self.nodes[index];
        if class.is_some_and(|class| class > 0) {
            node.last_less_important_start = self.now;
        }
        node.in_flight += 1;
        if node.busy_slots < node.slots {
            self.start_work(id);
        } else {
            node.queue.push_back(id);
        }
    }

    pub(super) fn start_work(&mut self, id: Id) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.stage = Stage::Working;
        let index = visit.node;
        let phases: f64 = (0..SERVICE_TIME_PHASES).map(|_| self.exponential()).sum();
        let node = &mut self.nodes[index];
        node.busy_slots += 1;
        let slow = if node.service == self.deployment.deepest() { self.slow_factor } else { 1.0 };
        let factor = phases / f64::from(SERVICE_TIME_PHASES) * slow * node.time_factor;
        let time = self.deployment.services[node.service].service_time.mul_f64(factor);
        self.schedule(time, Event::WorkDone(id));
    }

    pub(super) fn handle_work_done(&mut self, id: Id) {
        let now = self.now;
        let Some(visit) = self.visits.get(id) else { return };
        if visit.stage != Stage::Working {
            return;
        }
        let (index, hop) = (visit.node, visit.hop);
        let Some(service) = self.deployment.services[self.nodes[index].service].calls else {
            self.leave_upstream(id, End::Whole);
            return;
        };
        visit.own_time.record_call_start(now);
        // The call gets half of the remaining retries, as in the daemon.
        let downstream_retries = visit.retries_left.div_ceil(2);
        visit.retries_left -= downstream_retries;
        let Some(parent) = self.hops.get(hop) else { return };
        let (root, deadline, depth) = (parent.root, parent.deadline, parent.depth + 1);
        let downstream = self.hops.insert(Hop {
            root,
            parent: Some(id),
            node: index,
            service,
            deadline,
            depth,
            budget: HopBudget::new(downstream_retries),
            baseline_retries_left: BASELINE_RETRIES,
            tried: Vec::new(),
            may_have_run: false,
            visit: None,
        });
        if let Some(visit) = self.visits.get(id) {
            visit.stage = Stage::Calling(downstream);
        }
        self.begin_hop(downstream);
    }

    pub(super) fn leave_upstream(&mut self, id: Id, end: End) {
        let Some(visit) = self.visits.get(id) else { return };
        let completion = match end {
            _ if self.control.is_without(Policy::AdaptiveLimit) => Completion::Aborted,
            End::Whole if self.control.is_without(Policy::OwnTime) => Completion::Answered {
                own_time: visit.own_time.total_time(self.now),
                total_time: visit.own_time.total_time(self.now),
            },
            End::Whole => Completion::Answered {
                own_time: visit.own_time.own_time(self.now),
                total_time: visit.own_time.total_time(self.now),
            },
            _ => Completion::Aborted,
        };
        let node = visit.node;
        visit.stage = Stage::Replying;
        self.free_slot(node, completion);
        self.finish_visit(id, end);
    }

    pub(super) fn free_slot(&mut self, index: usize, completion: Completion) {
        let node = &mut self.nodes[index];
        node.busy_slots -= 1;
        if let Some(next) = node.queue.pop_front() {
            self.start_work(next);
        }
        self.leave_admission(index, completion);
    }

    /// Reports the end of a request in the upstream to admission control.
    pub(super) fn leave_admission(&mut self, index: usize, completion: Completion) {
        let node = &mut self.nodes[index];
        node.in_flight -= 1;
        if self.control.uses_daemon_policies() {
            let actions = node.admission.on_completion(self.now, completion);
            self.apply_actions(index, &actions);
        }
    }

    /// Sends the result of an attempt back to the node that called.
    pub(super) fn finish_visit(&mut self, id: Id, end: End) {
        let Some(visit) = self.visits.get(id) else { return };
        visit.stage = Stage::Replying;
        visit.end = end;
        let node = &self.nodes[visit.node];
        if self.control.uses_daemon_policies() {
            visit.load = Some(u32::from(node.admission.load(self.now)));
            visit.pressures.push(Pressure {
                service: self.deployment.services[node.service].name.clone(),
                shed_below: node.admission.shed_below(self.now),
            });
        }
        let (target, hop) = (visit.node, visit.hop);
        let Some(origin) = self.hops.get(hop).map(|hop| hop.node) else { return };
        self.schedule(self.network_delay(origin, target), Event::Reply(id));
    }

    /// Frees what a cancelled attempt holds at its target.
    pub(super) fn cancel_at_target(&mut self, id: Id, visit: &Visit) {
        match visit.stage {
            Stage::InTransit | Stage::Replying => {}
            Stage::Waiting(ticket) => {
                self.nodes[visit.node].admission.on_disconnect(ticket);
            }
            Stage::Queued => {
                self.nodes[visit.node].queue.retain(|queued| *queued != id);
                self.leave_admission(visit.node, Completion::Aborted);
            }
            Stage::Working => self.free_slot(visit.node, Completion::Aborted),
            Stage::Calling(downstream) => {
                self.cancel_hop(downstream);
                self.free_slot(visit.node, Completion::Aborted);
            }
        }
    }
}
