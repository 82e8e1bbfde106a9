//! Model of the callers: arrival of requests, responses, timeouts and retries.
//!
//! A sending is one transmission of a request by its caller, the original one or a retry.

use std::time::Duration;

use rand::RngExt as _;

use crate::{
    call::Reason,
    experiment::figures::bucket_index,
    experiment::world::{
        BASELINE_RETRIES, BURST_DURATION_S, End, Event, Hop, OVER_RATE_RETRY_AFTER, Policy, Root,
        World, slab::Id,
    },
    retry::{HopBudget, ROOT_RETRY_BUDGET},
    routing::{AttemptResult, Verdict},
};

impl World<'_> {
    /// Takes a token from the organisation's bucket; returns false if it is empty.
    ///
    /// Replaces the distributed rate control by one bucket for each organisation, as if tokens were
    /// always at the node that needs them.
    pub(super) fn charge_organisation(&mut self, organisation: usize) -> bool {
        let Some(rates) = self.scenario.rates else { return true };
        let rate = rates * self.base_capacity * self.deployment.organisations[organisation];
        let (tokens, at) = &mut self.tokens[organisation];
        let age_s = self.now.saturating_sub(*at).as_secs_f64();
        *tokens = (*tokens + age_s * rate).min(rate * BURST_DURATION_S);
        *at = self.now;
        let is_within_rate = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(is_within_rate));
        is_within_rate
    }

    pub(super) fn handle_arrival(&mut self) {
        let gap_s = self.exponential() / self.demand_per_s();
        self.schedule(Duration::from_secs_f64(gap_s), Event::Arrival);
        let class = Self::pick_index(&mut self.random, &self.class_sums);
        let organisation = Self::pick_index(&mut self.random, &self.organisation_sums);
        let is_over_rate = !self.charge_organisation(organisation);
        let is_measured = self.is_measured() && !is_over_rate;
        if is_measured {
            self.counts.offered[class][organisation] += 1;
        }
        self.counts.originals += 1;
        let root = Root {
            class,
            organisation,
            sending: 0,
            hop: None,
            retries: 0,
            is_measured,
            was_refused: false,
            is_over_rate,
        };
        let root = self.roots.insert(root);
        self.start_sending(root);
    }

    pub(super) fn start_sending(&mut self, id: Id) {
        let Some(root) = self.roots.get(id) else { return };
        root.sending += 1;
        root.hop = None;
        root.retries = 0;
        let (sending, class) = (root.sending, root.class);
        self.counts.sendings += 1;
        self.schedule(self.deployment.caller_delay, Event::EntryArrival(id, sending));
        self.schedule(
            self.deployment.classes[class].answer_within,
            Event::CallerTimeout(id, sending),
        );
    }

    /// A sending arrives at a random live node, its entry node.
    pub(super) fn handle_entry_arrival(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let (class, organisation) = (root.class, root.organisation);
        if root.is_over_rate && self.control.uses_daemon_policies() {
            let reply = Event::CallerReply(
                id,
                sending,
                End::NotRun(Reason::OverRate),
                OVER_RATE_RETRY_AFTER,
            );
            self.schedule(self.deployment.caller_delay, reply);
            return;
        }
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].is_alive).collect();
        let node = alive[self.random.random_range(0..alive.len())];
        let spec = &self.deployment.classes[class];
        if self.control.uses_daemon_policies() {
            let organisation = Some(self.organisations[organisation].clone());
            let entry = &mut self.nodes[node];
            let verdict = entry.first_hop.check(
                self.now,
                &self.routes[class],
                spec.importance,
                &organisation,
            );
            if verdict == Verdict::Refuse && !self.control.is_without(Policy::FirstHop) {
                entry.retries.record_root_end(self.now, true);
                let delay = entry.retries.retry_after();
                let reply = Event::CallerReply(id, sending, End::NotRun(Reason::Overload), delay);
                self.schedule(self.deployment.caller_delay, reply);
                return;
            }
        }
        let hop = self.hops.insert(Hop {
            root: id,
            parent: None,
            node,
            service: spec.service,
            deadline: self.now + spec.answer_within - 2 * self.deployment.caller_delay,
            depth: 0,
            budget: HopBudget::new(ROOT_RETRY_BUDGET),
            baseline_retries_left: BASELINE_RETRIES,
            tried: Vec::new(),
            may_have_run: false,
            visit: None,
        });
        if let Some(root) = self.roots.get(id) {
            root.hop = Some(hop);
        }
        self.begin_hop(hop);
    }

    pub(super) fn handle_caller_reply(
        &mut self,
        id: Id,
        sending: u32,
        end: End,
        retry_after: Duration,
    ) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        if end == End::Whole {
            let (class, organisation, is_over_rate) =
                (root.class, root.organisation, root.is_over_rate);
            self.roots.remove(id);
            if is_over_rate {
                return;
            }
            self.counts.good[bucket_index(self.now)] += 1;
            if self.is_measured() {
                self.counts.served[class][organisation] += 1;
            }
            return;
        }
        // The sending has ended, so its pending timeout must be ignored.
        root.sending += 1;
        self.schedule_caller_retry(id, sending, retry_after);
    }

    pub(super) fn handle_caller_timeout(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let hop = root.hop.take();
        if self.control.uses_daemon_policies()
            && !self.control.is_without(Policy::Cancellation)
            && let Some(hop) = hop
        {
            self.cancel_hop(hop);
        }
        if let Some(root) = self.roots.get(id) {
            root.sending += 1;
        }
        self.schedule_caller_retry(id, sending, Duration::ZERO);
    }

    /// Schedules the next sending of a request, or drops it when its retries are used up.
    ///
    /// `Root::sending` is incremented at the start and at the end of each sending, so `sending` is
    /// odd here: 1 for the first sending, 3 for the second.
    pub(super) fn schedule_caller_retry(&mut self, id: Id, sending: u32, retry_after: Duration) {
        let Some(root) = self.roots.get(id) else { return };
        if root.is_measured && !root.was_refused {
            root.was_refused = true;
            self.counts.refused[root.class][root.organisation] += 1;
        }
        let sendings = sending / 2 + 1;
        if sendings > self.scenario.caller_retries {
            self.roots.remove(id);
            return;
        }
        let jitter = self.random.random_range(0.5..1.5);
        let backoff = self.scenario.backoff.mul_f64(jitter);
        let delay =
            if self.scenario.ignores_retry_after { backoff } else { backoff.max(retry_after) };
        self.schedule(delay, Event::Send(id));
    }

    /// Cancels a call and all calls further down the chain.
    pub(super) fn cancel_hop(&mut self, id: Id) {
        let Some(hop) = self.hops.remove(id) else { return };
        if hop.parent.is_none() {
            let Some(root) = self.roots.get(hop.root) else { return };
            let importance = self.deployment.classes[root.class].importance;
            let organisation = Some(self.organisations[root.organisation].clone());
            let node = &mut self.nodes[hop.node];
            let route = &self.routes[root.class];
            let counted = !self.control.is_without(Policy::Proportion);
            node.first_hop.record_root_end(self.now, route, importance, &organisation, counted);
            node.retries.record_root_end(self.now, true);
        }
        let Some(visit_id) = hop.visit else { return };
        let Some(visit) = self.visits.remove(visit_id) else { return };
        let target = self.nodes[visit.node].name.clone();
        let latency = self.now.saturating_sub(visit.started_at);
        self.nodes[hop.node].targets.attempt_finished(
            self.now,
            &target,
            AttemptResult::Abandoned,
            latency,
            None,
        );
        self.cancel_at_target(visit_id, &visit);
    }
}
