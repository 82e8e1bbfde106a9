//! Acknowledgement of an upstream's leaving, and what a restarted node must know of it.
//!
//! The acknowledgement is binding even if all processes of the fleet end right after it. It is therefore given
//! once the store has the departure. Where the store does not answer in time, another node must have the state
//! of the upstream. A process that has just started does not use its upstream before it knows what its
//! predecessors have acknowledged, or the upstream's health check says that it is not leaving.

mod stored;

use std::{sync::Arc, time::Duration};

use futures::{StreamExt as _, future::join_all, stream::FuturesUnordered};
use tokio::time::{Instant, sleep, timeout, timeout_at};

pub use stored::{DepartureLog, remove_expired, write_departures};

use crate::{
    clock,
    mesh::{Dialect, Node, probe, sync},
};

/// Nodes that are told of a leaving at the same time.
const TOLD_NODES: usize = 3;
/// Nodes that a restarted process asks; more than are told, since some of those may be gone.
const ASKED_NODES: usize = 5;
/// Time for another node to confirm. The upstream waits for at most a second.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for the other nodes after the first one has confirmed.
const MORE_CONFIRMATIONS: Duration = Duration::from_millis(50);
/// Time for the store, after which the confirmation of another node is enough.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in which a process that has just started waits for the addresses of the fleet before it goes on
/// with the answer of the store alone.
const FLEET_TIMEOUT: Duration = Duration::from_secs(1);
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Makes the leaving of an upstream known beyond this process; returns whether that succeeded. It fails, too,
/// if the upstream is not leaving: its message was overtaken by those of a later start.
pub async fn confirm<D: Dialect>(node: &Arc<Node<D>>, upstream: &str) -> bool {
    let departures = node.upstream_tracker.lock().departures(clock::now());
    let Some(departure) = departures.into_iter().rev().find(|it| *it.id == *upstream) else {
        log::info!(upstream = upstream; "a message of an upstream that does not leave; answered 503");
        return false;
    };
    // Other nodes are told in any case, so that they stop sending requests.
    let (is_stored, is_told) =
        tokio::join!(timeout(STORE_TIMEOUT, node.departures.store(&departure)), tell_nodes(node));
    let is_stored = is_stored.is_ok();
    if !is_stored {
        log::warn!(
            upstream = upstream, other_nodes = is_told;
            "the store does not have the leaving of the upstream within {STORE_TIMEOUT:?}"
        );
    }
    is_stored || is_told
}

/// Sends the state of the upstream to other nodes; returns whether one has confirmed it.
async fn tell_nodes<D: Dialect>(node: &Arc<Node<D>>) -> bool {
    let sequence = node.own_record().sequence;
    if node.is_confirmed(sequence) {
        return true;
    }
    let is_told = confirm_by_nodes(node).await;
    if is_told {
        node.record_confirmation(sequence);
    }
    is_told
}

async fn confirm_by_nodes<D: Dialect>(node: &Arc<Node<D>>) -> bool {
    let addresses = sync::first_ranked(node, TOLD_NODES);
    let mut published: FuturesUnordered<_> =
        addresses.iter().map(|address| sync::publish_to(node, address)).collect();
    let mut until = Instant::now() + PEER_TIMEOUT;
    let mut is_confirmed = false;
    while let Ok(Some(result)) = timeout_at(until, published.next()).await {
        match result {
            Ok(()) if !is_confirmed => {
                is_confirmed = true;
                until = until.min(Instant::now() + MORE_CONFIRMATIONS);
            }
            Ok(()) => {}
            Err(cause) => log::debug!(cause = cause; "a node was not told of the leaving"),
        }
    }
    is_confirmed
}

/// Learns what earlier processes of this node have acknowledged about the upstream: from the store, or from a
/// node that knows such a process. Where there is neither, the upstream's health check shows whether it is
/// leaving.
pub async fn learn_earlier_state<D: Dialect>(node: Arc<Node<D>>) {
    let began = Instant::now();
    loop {
        let (is_read, answers) = tokio::join!(ask_store(&node), ask_nodes(&node));
        let is_told = answers > 0 && node.knows_predecessor();
        if is_read || is_told || probe::is_healthy(&node).await {
            log::info!(
                store = is_read, nodes = answers, took_ms = began.elapsed().as_millis();
                "learned what an earlier process has published about the upstream"
            );
            node.set_state_known();
            return;
        }
        log::warn!(
            "neither the store nor a node that knows an earlier process answers; the upstream is not used \
             until one does, or its health check says that it is not leaving"
        );
        sleep(RETRY_INTERVAL).await;
    }
}

async fn ask_store<D: Dialect>(node: &Node<D>) -> bool {
    match stored::read_departures(node).await {
        Ok(departures) => {
            for departure in &departures {
                node.apply_earlier_upstream(departure);
            }
            true
        }
        Err(error) => {
            log::warn!(cause:% = error; "reading the departures of this node's upstreams failed");
            false
        }
    }
}

/// Returns the number of nodes that have answered.
async fn ask_nodes<D: Dialect>(node: &Arc<Node<D>>) -> usize {
    let until = Instant::now() + FLEET_TIMEOUT;
    while !node.is_fleet_known() && Instant::now() < until {
        sleep(FLEET_CHECK_INTERVAL).await;
    }
    let addresses = sync::first_ranked(node, ASKED_NODES);
    let asked = addresses.iter().map(|address| sync::exchange_once(node, address));
    join_all(asked).await.iter().filter(|answer| answer.is_ok()).count()
}
