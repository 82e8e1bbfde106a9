//! Injection of faults into the simulated deployment.

use crate::{
    admission::Admission,
    call::Reason,
    experiment::Fault,
    experiment::world::{EVICTION_DELAY, End, Event, SILENT_CONNECTION_TIMEOUT, Stage, World},
    retry::RetryControl,
    routing::{FirstHopAdmission, Targets},
};

impl World<'_> {
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Demand(demand) => self.demand = demand,
            Fault::Slow(slow) => self.slow_factor = slow,
            Fault::Outage(outage) => self.is_platform_down = outage,
            Fault::KillDeepest => self.kill_node(self.by_service[self.deployment.deepest()][0]),
            Fault::KillZone => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].zone == 0 {
                        self.kill_node(node);
                    }
                }
            }
            Fault::Restart => {
                for node in &mut self.nodes {
                    if !node.is_alive {
                        node.is_alive = true;
                        node.is_listed = true;
                        node.admission = Admission::new(self.now, node.announced_slots);
                    }
                }
            }
        }
    }

    pub(super) fn kill_node(&mut self, index: usize) {
        let (now, seed) = (self.now, self.sequence);
        let node = &mut self.nodes[index];
        node.is_alive = false;
        node.busy_slots = 0;
        node.in_flight = 0;
        node.queue.clear();
        node.admission = Admission::new(now, node.announced_slots);
        node.targets = Targets::new(seed);
        node.first_hop = FirstHopAdmission::new(seed ^ 1);
        node.retries = RetryControl::new(seed ^ 2);
        self.schedule(EVICTION_DELAY, Event::RemoveFromTable(index));
        // The other nodes detect the loss of attempts at this node when its connections time out.
        for id in self.visits.ids() {
            let Some(visit) = self.visits.get(id) else { continue };
            if visit.node == index {
                let downstream = match visit.stage {
                    Stage::Calling(downstream) => Some(downstream),
                    _ => None,
                };
                self.fail_without_reply(
                    id,
                    End::Unknown(Reason::PeerFailed),
                    SILENT_CONNECTION_TIMEOUT,
                );
                if let Some(downstream) = downstream {
                    self.cancel_hop(downstream);
                }
            }
        }
        // Requests with this node as their entry node are lost with it.
        for id in self.hops.ids() {
            if self.hops.get(id).is_some_and(|hop| hop.node == index && hop.parent.is_none()) {
                self.cancel_hop(id);
            }
        }
    }
}
