//! Callers: requests as they arrive, their answers, and what callers send again.

use std::time::Duration;

use rand::RngExt as _;

use crate::{
    call::Reason,
    experiment::figures::bucket,
    experiment::world::{
        BURST_S, End, Event, Hop, OVER_RATE_DELAY, PLAIN_RETRIES, Policy, Root, World, slab::Id,
    },
    retry::{HopBudget, ROOT_RETRY_BUDGET},
    routing::{AttemptResult, Verdict},
};

impl World<'_> {
    /// Stands for the rate control, as if its shares were always in the right place: charges a
    /// request to its organisation; false where that is beyond the rate.
    pub(super) fn charge(&mut self, organisation: usize) -> bool {
        let Some(rates) = self.scenario.rates else { return true };
        let rate = rates * self.base_capacity * self.deployment.organisations[organisation];
        let (tokens, at) = &mut self.tokens[organisation];
        let age_s = self.now.saturating_sub(*at).as_secs_f64();
        *tokens = (*tokens + age_s * rate).min(rate * BURST_S);
        *at = self.now;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    pub(super) fn arrival(&mut self) {
        let gap_s = self.exponential() / self.demand_per_s();
        self.schedule(Duration::from_secs_f64(gap_s), Event::Arrival);
        let class = Self::pick(&mut self.random, &self.class_sums);
        let organisation = Self::pick(&mut self.random, &self.organisation_sums);
        let excess = !self.charge(organisation);
        let measured = self.is_measured() && !excess;
        if measured {
            self.counts.offered[class][organisation] += 1;
        }
        self.counts.originals += 1;
        let root = Root {
            class,
            organisation,
            sending: 0,
            hop: None,
            retries: 0,
            measured,
            turned_away: false,
            excess,
        };
        let root = self.roots.insert(root);
        self.send(root);
    }

    pub(super) fn send(&mut self, id: Id) {
        let Some(root) = self.roots.get(id) else { return };
        root.sending += 1;
        root.hop = None;
        root.retries = 0;
        let (sending, class) = (root.sending, root.class);
        self.counts.sendings += 1;
        self.schedule(self.deployment.clients, Event::Enter(id, sending));
        self.schedule(self.deployment.classes[class].within, Event::CallerTimeout(id, sending));
    }

    pub(super) fn enter(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let (class, organisation) = (root.class, root.organisation);
        if root.excess && self.control.has_decisions() {
            let reply =
                Event::CallerReply(id, sending, End::NotRun(Reason::OverRate), OVER_RATE_DELAY);
            self.schedule(self.deployment.clients, reply);
            return;
        }
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|node| self.nodes[*node].alive).collect();
        let node = alive[self.random.random_range(0..alive.len())];
        let spec = &self.deployment.classes[class];
        if self.control.has_decisions() {
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
                self.schedule(self.deployment.clients, reply);
                return;
            }
        }
        let hop = self.hops.insert(Hop {
            root: id,
            parent: None,
            node,
            service: spec.service,
            deadline: self.now + spec.within - 2 * self.deployment.clients,
            depth: 0,
            budget: HopBudget::new(ROOT_RETRY_BUDGET),
            plain_retries: PLAIN_RETRIES,
            tried: Vec::new(),
            may_have_run: false,
            visit: None,
        });
        if let Some(root) = self.roots.get(id) {
            root.hop = Some(hop);
        }
        self.begin_hop(hop);
    }

    pub(super) fn caller_reply(&mut self, id: Id, sending: u32, end: End, told: Duration) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        if end == End::Whole {
            let (class, organisation, excess) = (root.class, root.organisation, root.excess);
            self.roots.remove(id);
            if excess {
                return;
            }
            self.counts.good[bucket(self.now)] += 1;
            if self.is_measured() {
                self.counts.served[class][organisation] += 1;
            }
            return;
        }
        // The sending is over, so its timeout must not count.
        root.sending += 1;
        self.send_again(id, sending, told);
    }

    pub(super) fn caller_timeout(&mut self, id: Id, sending: u32) {
        let Some(root) = self.roots.get(id) else { return };
        if root.sending != sending {
            return;
        }
        let hop = root.hop.take();
        if self.control.has_decisions()
            && !self.control.is_without(Policy::Cancellation)
            && let Some(hop) = hop
        {
            self.cancel_hop(hop);
        }
        if let Some(root) = self.roots.get(id) {
            root.sending += 1;
        }
        self.send_again(id, sending, Duration::ZERO);
    }

    /// `sending` counts two for each sending: one that it is under way, one that it is over.
    pub(super) fn send_again(&mut self, id: Id, sending: u32, told: Duration) {
        let Some(root) = self.roots.get(id) else { return };
        if root.measured && !root.turned_away {
            root.turned_away = true;
            self.counts.turned_away[root.class][root.organisation] += 1;
        }
        let sent = sending / 2 + 1;
        if sent > self.scenario.caller_retries {
            self.roots.remove(id);
            return;
        }
        let jitter = self.random.random_range(0.5..1.5);
        let own = self.scenario.backoff.mul_f64(jitter);
        let delay = if self.scenario.impatient { own } else { own.max(told) };
        self.schedule(delay, Event::Send(id));
    }

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
        let latency = self.now.saturating_sub(visit.begun_at);
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
