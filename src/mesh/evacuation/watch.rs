//! Reads which zones are evacuated, and applies what other nodes state.

use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Call, Dialect, Node,
        evacuation::ZoneState,
        pause::{Backoff, jittered},
        proto,
    },
    names::{ServiceName, ZoneName},
    store::{ObjectApi as _, StoreError},
};

/// Age of the state at which the first hub reads the store, as a divisor of the bound on evacuations. The
/// rest of the bound is for the read, the exchanges, and one failed read.
const HUB_READ_DIVISOR: u32 = 4;
/// The same for any other node, which reads the store only where it hears no hub.
const READ_DIVISOR: u32 = 2;
/// Jitter of that age, as a fraction of it.
const READ_JITTER: f64 = 0.15;
/// Time after the start in which a node waits for the state from a hub before it reads the store itself, so
/// that a fleet that starts does not read it as often as it has nodes.
const START_WAIT: Duration = Duration::from_millis(500);
/// Longest time between two checks of the age: the node may become the first hub in between.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed read; it doubles with each further one up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Jitter of the delay after a failed read, as a fraction of it.
const RETRY_JITTER: f64 = 0.3;

/// Reads which zones are evacuated whenever the known state is too old; does nothing while the platform
/// evacuates no zones.
pub async fn run<D: Dialect>(node: Arc<Node<D>>) {
    let started = clock::now();
    let mut backoff = Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut jitter = jittered(Duration::from_secs(1), READ_JITTER).as_secs_f64();
    loop {
        let Some(bound) = node.live_settings.load().bounds.evacuate else {
            node.guard.set_evacuated(false);
            sleep(CHECK_INTERVAL).await;
            continue;
        };
        apply_to_guard(&node);
        let now = clock::now();
        let is_hub = node.is_first_hub(now) && node.members.load().len() > 1;
        let age = node.evacuations.load().age(now);
        let is_due = match age {
            Some(age) if is_hub => age >= bound / HUB_READ_DIVISOR,
            Some(age) => age >= (bound / READ_DIVISOR).mul_f64(jitter),
            None => is_hub || now >= started + START_WAIT,
        };
        if !is_due {
            sleep(CHECK_INTERVAL.min(bound / (2 * HUB_READ_DIVISOR))).await;
            continue;
        }
        jitter = jittered(Duration::from_secs(1), READ_JITTER).as_secs_f64();
        match timeout(node.settings.store_timeout * 2, read_store(&node)).await {
            Ok(Ok(())) => backoff.reset(),
            failure => {
                let cause = match failure {
                    Ok(Err(error)) => error.to_string(),
                    _ => "no answer in time".to_owned(),
                };
                log::warn!(
                    cause = cause, age_ms = age.map(clock::to_millis);
                    "reading the evacuated zones from the store failed; keeping the known ones"
                );
                sleep(jittered(backoff.next_delay(), RETRY_JITTER)).await;
            }
        }
    }
}

async fn read_store<D: Dialect>(node: &Node<D>) -> Result<(), StoreError> {
    let read_at = clock::now();
    let listing = node.store.list(D::EVACUATIONS).await?;
    // An object that is being deleted still exists, so its zone counts as evacuated.
    let zones = listing.objects.into_iter().map(|object| object.name).collect();
    let era = node.store.era();
    let read = ZoneState { zones, era, version: listing.version, read_at };
    update(node, |evacuations| evacuations.record_read(read));
    let lost: Vec<ZoneName> = node.evacuations.load().lost().cloned().collect();
    for zone in lost {
        log::warn!(
            zone:% = zone;
            "the store has lost an evacuation by coming back from a copy; writing it again"
        );
        match node.store.put(D::EVACUATIONS, &zone, json!({}), 0).await {
            // Another node has written it.
            Ok(_) | Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Applies what another node states. `measured_at` is the time that its age refers to: for a reply, when
/// the request was sent, since the read cannot have begun earlier.
pub fn apply_stated<D: Dialect>(
    node: &Node<D>,
    measured_at: Timestamp,
    stated: Option<proto::Evacuations>,
) {
    let Some(stated) = stated.filter(|_| node.live_settings.load().bounds.evacuate.is_some())
    else {
        return;
    };
    let state = ZoneState {
        zones: stated.zones.into_iter().map(Into::into).collect(),
        era: stated.era,
        version: stated.version,
        read_at: measured_at.saturating_sub(Duration::from_millis(u64::from(stated.age_ms))),
    };
    update(node, |evacuations| evacuations.record_stated(state));
}

/// Encodes the known state for other nodes.
pub fn to_proto<D: Dialect>(node: &Node<D>, now: Timestamp) -> Option<proto::Evacuations> {
    let evacuations = node.evacuations.load();
    evacuations.known().map(|known| proto::Evacuations {
        zones: known.zones.iter().map(ToString::to_string).collect(),
        era: known.era,
        version: known.version,
        age_ms: clock::to_millis_u32(now.saturating_sub(known.read_at)),
    })
}

fn update<D: Dialect>(node: &Node<D>, apply: impl FnOnce(&mut super::Evacuations) -> bool) {
    let has_changed = {
        let _lock = node.evacuation_updates.lock();
        let mut evacuations = (**node.evacuations.load()).clone();
        let has_changed = apply(&mut evacuations);
        if has_changed {
            log::info!(
                state:? = evacuations.known(), lost:? = evacuations.lost().collect::<Vec<_>>();
                "evacuated zones have changed"
            );
        }
        node.evacuations.store(Arc::new(evacuations));
        has_changed
    };
    apply_to_guard(node);
    if has_changed {
        // Without a pause, other nodes hear of it with the next exchange.
        node.sync_now.send_replace(());
    }
}

/// Makes the guard refuse requests while the node's own zone is evacuated or the state is not known.
fn apply_to_guard<D: Dialect>(node: &Node<D>) {
    let is_active = node.live_settings.load().bounds.evacuate.is_some();
    let accepts = node.evacuations.load().accepts(&node.settings.zone);
    let is_evacuated = is_active && !accepts;
    if node.guard.is_evacuated() != is_evacuated {
        log::info!(
            zone:% = node.settings.zone, known = node.evacuations.load().is_known();
            "{}", match is_evacuated {
                true => "refusing requests to the upstream, since the zone is evacuated or not known",
                false => "accepting requests to the upstream again: the zone is not evacuated",
            }
        );
    }
    node.guard.set_evacuated(is_evacuated);
}

/// Time after which a caller may ask again for a service whose ready instances are all in evacuated zones;
/// `None` for any other service. The end of an evacuation is not known before it, but is in force within
/// this time.
pub fn retry_after<D: Dialect>(node: &Node<D>, service: &str) -> Option<Duration> {
    let bound = node.live_settings.load().bounds.evacuate?;
    let evacuations = node.evacuations.load();
    if !evacuations.has_zones() {
        return None;
    }
    let members = node.members.load();
    let mut ready =
        members.for_service(service).iter().filter(|it| it.ready_upstream().is_some()).peekable();
    ready.peek()?;
    ready.all(|it| !evacuations.accepts(&it.record.address.zone)).then_some(bound)
}

/// Refusal of a root request whose call chain uses a service of which all ready instances are in evacuated
/// zones: the service, and the time after which the caller may ask again.
pub fn refuse_root<D: Dialect>(node: &Node<D>, call: &Call) -> Option<(ServiceName, Duration)> {
    if !node.evacuates_zones() || !node.evacuations.load().has_zones() {
        return None;
    }
    let route_usage = node.route_usage.lock();
    let used = route_usage.mean(&call.route).into_iter().flat_map(|usage| &usage.services);
    let mut services = used.map(|it| &it.service).chain([&call.service]);
    services.find_map(|service| Some((service.clone(), retry_after(node, service)?)))
}
