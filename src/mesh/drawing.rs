//! Drawing of tokens: the charge of a request, and the exchange between entries and homes.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, timeout};

use crate::{
    clock,
    mesh::{Dialect, Grant, Member, Node, Organisation, Token, Want, proto},
    names::{InstanceName, OrganisationName},
};

/// Instances for each home; the homes of all organisations are spread over the groups.
const INSTANCES_PER_HOME: usize = 24;
/// Most homes, so that contacts do not grow with the square of the fleet.
pub const MAX_HOMES: usize = 8;
/// Time between two draws without a request that waits. It keeps a node in contact.
const DRAW_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two draws.
const MIN_DRAW_INTERVAL: Duration = Duration::from_millis(4);
/// Time for the answer of a home.
const DRAW_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without draws from a home that did not answer.
const HOME_PAUSE: Duration = Duration::from_secs(1);
/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(120);
/// Shortest Retry-After of an organisation beyond its rate.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const HASH_PURPOSE: &str = "hibiscusdoor 2026 home of a rate";

/// A token that was taken for a request; it is spent unless it is given back.
#[derive(Debug)]
pub struct Charge(OrganisationName);

impl Charge {
    /// Puts the token back, since the request has not run.
    pub fn give_back<D: Dialect>(self, node: &Node<D>) {
        node.stock.lock().give_back(&self.0);
    }
}

/// Takes a token for a request, if need be after a short wait; the error says when the
/// organisation may have one.
pub async fn charge<D: Dialect>(
    node: &Arc<Node<D>>,
    organisation: &Organisation,
    answer_within: Duration,
) -> Result<Option<Charge>, Duration> {
    if organisation.rate_per_s.is_none() {
        return Ok(None);
    }
    let name = &organisation.name;
    let give_up = Instant::now() + MAX_WAIT.min(answer_within / 8);
    let mut waiting: Option<Waiting<'_, D>> = None;
    loop {
        // Registered before the stock is looked at, so that no grant is missed.
        let granted = node.granted.notified();
        tokio::pin!(granted);
        granted.as_mut().enable();
        let token = node.stock.lock().take(clock::now(), name, waiting.is_some());
        match token {
            Token::Taken => return Ok(Some(Charge(name.clone()))),
            Token::Dry { retry_after } => return Err(retry_after.max(MIN_RETRY_AFTER)),
            Token::Draw => {}
        }
        if waiting.is_none() {
            waiting = Some(Waiting::begin(node, name));
        }
        node.draw_now.notify_one();
        let left = give_up.saturating_duration_since(Instant::now());
        if left.is_zero() || timeout(left, granted).await.is_err() {
            return Err(MIN_RETRY_AFTER);
        }
    }
}

struct Waiting<'a, D: Dialect> {
    node: &'a Node<D>,
    organisation: &'a OrganisationName,
}

impl<'a, D: Dialect> Waiting<'a, D> {
    fn begin(node: &'a Node<D>, organisation: &'a OrganisationName) -> Self {
        node.stock.lock().waits(organisation, true);
        Self { node, organisation }
    }
}

impl<D: Dialect> Drop for Waiting<'_, D> {
    fn drop(&mut self) {
        self.node.stock.lock().waits(self.organisation, false);
    }
}

/// Answers a node that draws tokens.
pub fn answer<D: Dialect>(node: &Node<D>, request: proto::DrawRequest) -> proto::DrawReply {
    let wants = request.wants.into_iter().map(|want| Want {
        organisation: want.organisation.into(),
        tokens: want.tokens,
        returned: want.returned,
    });
    let wants: Vec<Want> = wants.collect();
    let grants = grant(node, &request.instance.into(), &wants);
    let grants = grants.into_iter().map(|grant| proto::Grant {
        tokens: grant.tokens,
        retry_after_ms: u32::try_from(grant.retry_after.as_millis()).unwrap_or(u32::MAX),
    });
    proto::DrawReply { grants: grants.collect() }
}

fn grant<D: Dialect>(node: &Node<D>, instance: &InstanceName, wants: &[Want]) -> Vec<Grant> {
    let now = clock::now();
    let fleet = node.members.load().all().count();
    let catalog = node.catalog.load_full();
    let mut home = node.home.lock();
    home.heard(now, instance);
    let grants = wants.iter().map(|want| {
        match catalog.as_ref().and_then(|catalog| catalog.organisation(&want.organisation)) {
            Some(organisation) => home.draw(now, organisation, want.tokens, want.returned, fleet),
            // This node does not know the organisation yet.
            None => Grant { tokens: 0.0, retry_after: DRAW_INTERVAL },
        }
    });
    grants.collect()
}

/// Draws tokens from the home with this number for all organisations that belong to it.
pub async fn run<D: Dialect>(node: Arc<Node<D>>, number: usize) {
    let mut missed: Vec<(InstanceName, Instant)> = Vec::new();
    loop {
        let members = node.members.load_full();
        let homes = (members.all().count() / INSTANCES_PER_HOME + 1).min(MAX_HOMES);
        if number >= homes {
            tokio::time::sleep(DRAW_INTERVAL).await;
            continue;
        }
        let began = Instant::now();
        missed.retain(|(_, until)| began < *until);
        let ranked = ranked(members.all(), number);
        let home =
            ranked.iter().find(|member| !missed.iter().any(|(it, _)| *it == member.instance));
        let now = clock::now();
        let wants = node.stock.lock().wants(now, |name| home_of(name, homes) == number);
        let grants = match home {
            Some(home) if home.instance != node.settings.instance => {
                match ask(&node, home, &wants).await {
                    Ok(grants) => grants,
                    Err(cause) => {
                        log::warn!(home:% = home.instance, cause = cause; "drawing tokens failed");
                        missed.push((home.instance.clone(), Instant::now() + HOME_PAUSE));
                        continue;
                    }
                }
            }
            // Alone, a node is its own home with its part of the rate.
            _ => grant(&node, &node.settings.instance, &wants),
        };
        take_grants(&node, &wants, grants);
        node.granted.notify_waiters();
        tokio::time::sleep_until(began + MIN_DRAW_INTERVAL).await;
        let _ = timeout(DRAW_INTERVAL, node.draw_now.notified()).await;
    }
}

fn take_grants<D: Dialect>(node: &Node<D>, wants: &[Want], grants: Vec<Grant>) {
    let now = clock::now();
    let mut stock = node.stock.lock();
    for (want, grant) in wants.iter().zip(grants) {
        stock.granted(now, &want.organisation, grant);
    }
}

async fn ask<D: Dialect>(
    node: &Node<D>,
    home: &Member,
    wants: &[Want],
) -> Result<Vec<Grant>, String> {
    let wants = wants.iter().map(|want| proto::Want {
        organisation: want.organisation.to_string(),
        tokens: want.tokens,
        returned: want.returned,
    });
    let request =
        proto::DrawRequest { instance: node.settings.instance.to_string(), wants: wants.collect() };
    let mut peer = node.peer(home.record.peer_address);
    let reply = match timeout(DRAW_TIMEOUT, peer.draw(request)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return Err(status.message().to_owned()),
        Err(_) => return Err(format!("no answer within {DRAW_TIMEOUT:?}")),
    };
    let grants = reply.grants.into_iter().map(|grant| Grant {
        tokens: grant.tokens,
        retry_after: Duration::from_millis(u64::from(grant.retry_after_ms)),
    });
    Ok(grants.collect())
}

/// Number of an organisation's home.
fn home_of(organisation: &str, homes: usize) -> usize {
    let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
    hasher.update(organisation.as_bytes());
    let hash = hasher.finalize();
    usize::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]])) % homes
}

/// The instances in the order in which they stand for the home with a number.
fn ranked<'a>(
    members: impl Iterator<Item = &'a Arc<Member>>,
    number: usize,
) -> Vec<&'a Arc<Member>> {
    let mut ranked: Vec<&Arc<Member>> = members.filter(|it| !it.record.leaving).collect();
    ranked.sort_by_cached_key(|member| {
        let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
        hasher.update(&number.to_le_bytes());
        hasher.update(member.instance.as_bytes());
        *hasher.finalize().as_bytes()
    });
    ranked
}
