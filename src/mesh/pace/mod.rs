//! Cold upstreams at the entry nodes: how requests are placed beside and on them, and how many root
//! requests begin where all upstreams of a service are cold. The guard of each upstream holds the total;
//! see [`crate::admission::Pace`].

mod choice;
mod entry;
mod roots;

pub use choice::{PacedCandidate, choose, pick_paced};
pub use entry::{PacedCharge, admit_root};
pub use roots::{PacedRefusal, PacedRoots, ServicePace};

/// Requests in 1000 s, as messages state a pace; at least 1, since 0 means that there is none.
pub fn to_per_ks(per_s: f64) -> u32 {
    ((per_s * 1000.0).round() as u32).max(1)
}
