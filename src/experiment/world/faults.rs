//! Faults that strike the deployment.

use crate::{
    admission::Admission,
    call::Reason,
    experiment::Fault,
    experiment::world::{EVICTION, End, Event, SILENCE, Stage, World},
    retry::RetryControl,
    routing::{FirstHopAdmission, Targets},
};

impl World<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Demand(demand) => self.demand = demand,
            Fault::Slow(slow) => self.slow = slow,
            Fault::Outage(outage) => self.outage = outage,
            Fault::KillDeepest => self.kill(self.by_service[self.deployment.deepest()][0]),
            Fault::KillZone => {
                for node in 0..self.nodes.len() {
                    if self.nodes[node].zone == 0 {
                        self.kill(node);
                    }
                }
            }
            Fault::Restart => {
                for node in &mut self.nodes {
                    if !node.alive {
                        node.alive = true;
                        node.listed = true;
                        node.admission = Admission::new(self.now, node.announced);
                    }
                }
            }
        }
    }

    pub(super) fn kill(&mut self, index: usize) {
        let (now, seed) = (self.now, self.sequence);
        let node = &mut self.nodes[index];
        node.alive = false;
        node.busy = 0;
        node.in_flight = 0;
        node.queue.clear();
        node.admission = Admission::new(now, node.announced);
        node.targets = Targets::new(seed);
        node.first_hop = FirstHopAdmission::new(seed ^ 1);
        node.retries = RetryControl::new(seed ^ 2);
        self.schedule(EVICTION, Event::Unlist(index));
        // Attempts at the node are found lost when its connections have been silent.
        for id in self.visits.ids() {
            let Some(visit) = self.visits.get(id) else { continue };
            if visit.node == index {
                let below = match visit.stage {
                    Stage::Calling(below) => Some(below),
                    _ => None,
                };
                self.lose(id, End::Unknown(Reason::PeerFailed), SILENCE);
                if let Some(below) = below {
                    self.cancel_hop(below);
                }
            }
        }
        // Requests that entered at the node end there.
        for id in self.hops.ids() {
            if self.hops.get(id).is_some_and(|hop| hop.node == index && hop.parent.is_none()) {
                self.cancel_hop(id);
            }
        }
    }
}
