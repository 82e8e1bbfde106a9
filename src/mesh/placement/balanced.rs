//! Choice among instances of varying speed by many entry nodes that do not know of each other.
//!
//! Load pattern: 78 entry nodes choose among three instances with views that are up to a second old. When
//! each of them takes the instance that looks best, all take the same one, and it is full before the
//! next reports arrive. Here an entry node draws two instances at random, by their capacity, and moves
//! from the first to the second only with a probability that rises with the difference of their costs.
//! Without usable views this is a division by capacity. See docs/design/placement.md.

use rand::{Rng, RngExt as _};
use smallvec::SmallVec;

/// Difference of the costs of two instances from which the cheaper one is always taken, as a fraction of
/// the mean time of a request. A smaller one makes the choice a switch, and the load of instances
/// oscillates with the age of the views.
const FULL_SWITCH: f64 = 1.0;

/// What is expected of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Requests per second that it can run, less those that are likely to fail.
    pub capacity_per_s: f64,
    /// Expected disadvantage for the request there, in seconds.
    pub cost_s: f64,
    /// Whether it is in the availability zone of this node.
    pub is_same_zone: bool,
    /// Additional time of a request to it in the network, in seconds.
    pub network_s: f64,
}

/// Chooses an estimate and returns its index; `None` if there is none. `request_s` is the mean time of a
/// request.
pub fn choose(random: &mut impl Rng, estimates: &[Estimate], request_s: f64) -> Option<usize> {
    let all: SmallVec<[usize; 16]> = (0..estimates.len()).collect();
    let near: SmallVec<[usize; 16]> =
        all.iter().copied().filter(|index| estimates[*index].is_same_zone).collect();
    let stays = random.random_range(0.0..1.0) < probability_to_stay(estimates, &near);
    let drawn_from = if stays { &near } else { &all };
    let first = draw(random, estimates, drawn_from, None)?;
    let Some(second) = draw(random, estimates, drawn_from, Some(first)) else {
        return Some(first);
    };
    let gain_s = estimates[first].cost_s - estimates[second].cost_s;
    let switches = random.random_range(0.0..1.0) < gain_s / (FULL_SWITCH * request_s);
    Some(if switches { second } else { first })
}

/// Probability that the request stays in the availability zone: 1 while the cost there is below the
/// time of the network to the other zones, and 0 from twice that time.
fn probability_to_stay(estimates: &[Estimate], near: &[usize]) -> f64 {
    let least_near = near.iter().map(|index| estimates[*index]).min_by(by_cost);
    let far = estimates.iter().filter(|it| !it.is_same_zone).copied();
    let (Some(near), Some(far)) =
        (least_near, far.min_by(|a, b| a.network_s.total_cmp(&b.network_s)))
    else {
        return 0.0;
    };
    let network_s = (far.network_s - near.network_s).max(1e-6);
    (2.0 - near.cost_s / network_s).clamp(0.0, 1.0)
}

fn by_cost(left: &Estimate, right: &Estimate) -> std::cmp::Ordering {
    left.cost_s.total_cmp(&right.cost_s)
}

/// Draws an instance with a probability that is proportional to its capacity.
fn draw(
    random: &mut impl Rng,
    estimates: &[Estimate],
    from: &[usize],
    except: Option<usize>,
) -> Option<usize> {
    let left = || from.iter().copied().filter(|index| Some(*index) != except);
    let total: f64 = left().map(|index| estimates[index].capacity_per_s).sum();
    let mut rest = random.random_range(0.0..1.0) * total;
    let mut last = None;
    for index in left() {
        last = Some(index);
        rest -= estimates[index].capacity_per_s;
        if rest < 0.0 {
            break;
        }
    }
    last
}
