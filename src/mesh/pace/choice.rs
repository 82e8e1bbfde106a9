//! Choice between cold and warm instances of a service.
//!
//! Load pattern: one instance of a service is cold while the others are warm, or all are cold. A cold
//! instance has few requests and so looks empty, to all entry nodes at once; a choice by load would send
//! it the requests of the whole service. Each entry node knows the paces but not what the others send, so
//! it sends a cold instance the fraction of its requests that the pace has in the capacity of the
//! candidates, at random. The sum over the entry nodes then stays below the pace for as long as the
//! demand stays below the capacity; beyond that the guard refuses, and the request is tried elsewhere.

use crate::{
    clock::Timestamp,
    mesh::{Candidate, Members, Placement},
};

/// Capacity that is assumed for a slot of a warm instance without a report, in requests per second.
const DEFAULT_PER_SLOT_S: f64 = 20.0;

/// A candidate with what it accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PacedCandidate {
    /// A cold instance with its pace, in requests per second.
    Cold(f64),
    /// A warm instance with its capacity, in requests per second.
    Warm(f64),
}

/// Chooses a cold candidate, or none of them if the request is to be placed on the warm ones, with a
/// random number from 0 to 1.
pub fn pick_paced(candidates: &[PacedCandidate], random: f64) -> Option<usize> {
    let capacity: f64 = candidates
        .iter()
        .map(|candidate| match candidate {
            PacedCandidate::Cold(per_s) | PacedCandidate::Warm(per_s) => *per_s,
        })
        .sum();
    let mut remaining = random * capacity;
    let mut last = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let PacedCandidate::Cold(per_s) = candidate else { continue };
        remaining -= per_s;
        if remaining < 0.0 {
            return Some(index);
        }
        last = Some(index);
    }
    let has_warm = candidates.iter().any(|it| matches!(it, PacedCandidate::Warm(_)));
    // Rounding may leave a rest where all candidates are cold.
    if has_warm { None } else { last }
}

/// Chooses a candidate: a cold one by its part of the capacity, otherwise a warm one by `choose_warm`.
pub fn choose(
    placement: &mut Placement,
    members: &Members,
    now: Timestamp,
    candidates: &[Candidate<'_>],
    random: f64,
    choose_warm: impl FnOnce(&mut Placement, &[Candidate<'_>]) -> Option<usize>,
) -> Option<usize> {
    if !members.has_cold() && !candidates.iter().any(|it| is_reported_cold(placement, now, it)) {
        return choose_warm(placement, candidates);
    }
    let paced: Vec<PacedCandidate> =
        candidates.iter().map(|candidate| to_paced(placement, now, candidate)).collect();
    if let Some(index) = pick_paced(&paced, random) {
        return Some(index);
    }
    let is_warm = |index: &usize| matches!(paced[*index], PacedCandidate::Warm(_));
    let warm: Vec<usize> = (0..candidates.len()).filter(is_warm).collect();
    let warm_candidates: Vec<Candidate<'_>> = warm.iter().map(|it| candidates[*it]).collect();
    choose_warm(placement, &warm_candidates).map(|index| warm[index])
}

fn is_reported_cold(placement: &Placement, now: Timestamp, candidate: &Candidate<'_>) -> bool {
    placement.reported_capacity(now, candidate.instance).is_some_and(|(_, pace)| pace.is_some())
}

/// An instance counts as cold if its record or its last report states it: either may be the newer one.
fn to_paced(placement: &Placement, now: Timestamp, candidate: &Candidate<'_>) -> PacedCandidate {
    let reported = placement.reported_capacity(now, candidate.instance);
    let reported_pace = reported.and_then(|(_, pace)| pace).map(|pace| pace.per_s);
    let recorded_pace =
        (candidate.pace_per_ks > 0).then(|| f64::from(candidate.pace_per_ks) / 1000.0);
    match (reported_pace, recorded_pace) {
        (Some(reported), Some(recorded)) => PacedCandidate::Cold(reported.min(recorded)),
        (Some(per_s), None) | (None, Some(per_s)) => PacedCandidate::Cold(per_s),
        (None, None) => PacedCandidate::Warm(reported.map_or_else(
            || f64::from(candidate.slots) * DEFAULT_PER_SLOT_S,
            |(capacity_per_s, _)| capacity_per_s,
        )),
    }
}
