//! The exchange between nodes and the fleet's hubs.
//!
//! A hub is an ordinary node. For each hub number, every node ranks the known instances by rendezvous
//! hashing and exchanges messages periodically with the first one that answers. Hubs distribute the
//! records of instances and the operators' configuration with its freshness proof, and they grant the
//! tokens of the organisations that have their home there. There is no consensus: while two nodes use
//! different instances as the same hub, changes only reach them later.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    ops::RangeInclusive,
    sync::Arc,
    time::Duration,
};

use futures::future::join_all;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Addresses, ContactProof, Dialect, Grant, HolderUse, HubNumber, InstanceAddress,
        InstanceRecord, MergeResult, Node, OrganisationHash, Pacer, Position, UpstreamRecord, Want,
        configuration, evacuation, pause::jittered, proto,
    },
    names::InstanceName,
    once::QuarantineEntry,
};

/// Instances per hub that the number of hubs is chosen for.
const INSTANCES_PER_HUB: usize = 40;
/// Range of the instances per hub, as a fraction of [`INSTANCES_PER_HUB`], within which the number of
/// hubs does not change.
const STABLE_HUB_FILL: RangeInclusive<f64> = 0.4..=1.25;
/// Maximum number of hubs, so that the number of exchanges does not grow with the square of the
/// fleet's size.
pub const MAX_HUBS: usize = 8;
/// Time between two exchanges with a hub.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Jitter of [`SYNC_INTERVAL`], as a fraction of it.
const SYNC_INTERVAL_JITTER: f64 = 0.15;
/// Shortest time between two exchanges with a hub.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(4);
/// Exchanges per second that one hub can serve in addition to its requests. When all nodes want tokens
/// at once, each exchange carries the wants of a longer interval. Without this limit, 71 nodes
/// overloaded the hubs in a burst, and half of the requests within the rates got no token in time.
const MAX_HUB_EXCHANGES_PER_S: f64 = 2_000.0;
/// Longest delay of a want that [`MAX_HUB_EXCHANGES_PER_S`] may cause; urgent requests wait at most
/// 50 ms for a token.
const MAX_WANT_DELAY: Duration = Duration::from_millis(40);
/// Timeout of one exchange.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause of the exchanges with an instance after a failed one; it doubles with each further failure up
/// to [`MAX_FAILURE_PAUSE`].
const FIRST_FAILURE_PAUSE: Duration = Duration::from_secs(1);
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(8);
/// Time after the start of a node in which a hub without a reply so far is tried again after
/// [`START_FAILURE_PAUSE`]. Where all nodes start at once, those that started before the hub used others
/// for a second, and no hub had a majority.
const START_TIME: Duration = Duration::from_secs(3);
const START_FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Time between two exchanges that a first hub without contact to most of the fleet attempts.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a claim of a hub; it doubles with each further one up to [`MAX_CLAIM_PAUSE`].
const FIRST_CLAIM_PAUSE: Duration = Duration::from_millis(80);
const MAX_CLAIM_PAUSE: Duration = Duration::from_secs(2);
/// Largest fleet in which hubs make claims: a claim costs one message for each instance. In larger fleets
/// a hub that has just started waits for the end of the time in which another one may be in use.
const MAX_CLAIMED_INSTANCES: usize = 128;
/// How much fresher another node's proof must be before this node requests it.
const PROOF_ADVANTAGE: Duration = Duration::from_millis(300);
/// Value of `proof_age_ms` in messages of a node that has no freshness proof.
const NO_PROOF_AGE_MS: u32 = u32::MAX;
/// Largest number of tokens that is accepted in a message of another node.
const MAX_TOKENS: f64 = 1e9;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 hub of a fleet";

/// State of the exchanges with one hub.
#[derive(Debug, Default)]
struct Contact {
    hub_incarnation: u64,
    hub_sequence: u64,
    /// Time of the hub's last reply by its own clock; 0 without one.
    hub_time_ms: u64,
    /// Generation and sequence of this node's record at the hub.
    known_record: (u64, u64),
    known_incarnation: u64,
    /// Whether the hub was provably the only one of its number at its last reply.
    is_sole_hub: bool,
    /// Instances for which the hub sent outdated records.
    outdated: Vec<InstanceName>,
    /// Number of this node's last crash change that was reported to the hub.
    reported_crash_change: u64,
    /// Number of the hub's last crash change with verdicts that this node has received.
    known_verdict_change: u64,
}

/// Why an exchange has failed.
#[derive(Debug)]
struct ExchangeFailure {
    cause: String,
    /// Whether there was no answer in time; the other node may be slow.
    is_timeout: bool,
}

impl Contact {
    /// Requests the records of all instances with the next exchange. A node that returns to a first hub may
    /// have taken over marks from another one in the meantime; the hub does not know them and sends changed
    /// records only, so the marks would stay.
    fn request_all_records(&mut self) {
        self.hub_sequence = 0;
    }
}

/// Role of the receiving node in an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role<'a> {
    /// A hub.
    Hub {
        /// Number of the hub; the first hub has the number 0.
        number: HubNumber,
        /// Time for which this node has used no other instance as the hub of this number.
        exclusive: Duration,
        /// The lost instances at the last exchange with a hub that was provably the only one of this
        /// number, in the first exchange after one with another instance.
        losses: Option<&'a BTreeSet<InstanceName>>,
    },
    /// Any other node.
    Peer,
}

impl Role<'_> {
    fn is_first_hub(self) -> bool {
        matches!(self, Self::Hub { number: 0, .. })
    }
}

/// Instances with a failed last exchange, each with the end and the length of its current pause.
#[derive(Debug, Default)]
struct FailurePauses(HashMap<InstanceName, (Instant, Duration)>);

impl FailurePauses {
    fn is_paused(&self, instance: &InstanceName, now: Instant) -> bool {
        self.0.get(instance).is_some_and(|(until, _)| now < *until)
    }

    fn has_failed(&self, instance: &InstanceName) -> bool {
        self.0.contains_key(instance)
    }

    /// Records a failed exchange with an instance that may be starting at the same time as this node.
    fn record_start_failure(&mut self, instance: &InstanceName, now: Instant) {
        self.0.insert(instance.clone(), (now + START_FAILURE_PAUSE, START_FAILURE_PAUSE));
    }

    fn record_failure(&mut self, instance: &InstanceName, now: Instant) {
        let pause = self.0.get(instance).map_or(FIRST_FAILURE_PAUSE, |(_, last)| {
            (*last * 2).clamp(FIRST_FAILURE_PAUSE, MAX_FAILURE_PAUSE)
        });
        self.0.insert(instance.clone(), (now + pause, pause));
    }
}

/// Exchanges messages periodically with the hub of this number, or acts as that hub.
pub async fn run<D: Dialect>(node: Arc<Node<D>>, number: HubNumber) {
    let (mut pauses, mut ranking) = (FailurePauses::default(), Ranking::default());
    let mut sync_now = node.sync_now.subscribe();
    let mut contacts: HashMap<InstanceName, Contact> = HashMap::new();
    let mut pacer = Pacer::default();
    let mut holder_use = HolderUse::new(clock::now());
    let mut last_hub: Option<InstanceName> = None;
    let mut known_losses = BTreeSet::new();
    let start_end = Instant::now() + START_TIME;
    let mut is_retry = false;
    let mut claims = Claims::new();
    let (mut next_search, mut searched) = (Instant::now() + SEARCH_INTERVAL, 0);
    loop {
        let began = Instant::now();
        let members = node.members.load_full();
        let hubs = node.hub_count();
        if number >= hubs {
            node.wait_for_hub(number).await;
            continue;
        }
        ranking.update(members.addresses(), number);
        let is_usable = |it: &&InstanceName| !pauses.is_paused(it, began);
        // A hub that is about to stop is replaced while it still answers. If all are, they are used.
        let hub = ranking.order.iter().find(|it| is_usable(it) && !members.is_leaving(it));
        let hub = hub.or_else(|| ranking.order.iter().find(is_usable)).cloned();
        let now = clock::now();
        let replaced = hub.as_ref().and_then(|hub| holder_use.replaced_by(now, hub));
        // A hub without a reply to the last exchange is not asked; it may be cut off.
        let released = replaced.filter(|it| !pauses.has_failed(it));
        // Only the second exchange shows a new hub that this node uses no other one, so the first one would
        // be granted nothing.
        let is_new = hub.is_some() && hub != last_hub;
        let wants = match is_new {
            true => Vec::new(),
            false => node.stock.lock().due_wants(now, |lookup| lookup.home_hub(hubs) == number),
        };
        match hub {
            Some(hub) if hub != node.settings.instance => {
                let address = members.addresses()[&hub].clone();
                let contact = contacts.entry(hub.clone()).or_default();
                if number == 0 && is_new && node.directory.lock().has_marks() {
                    contact.request_all_records();
                }
                let exclusive = holder_use.begin(now, &hub);
                let losses = Some(&known_losses).filter(|_| is_new && last_hub.is_some());
                let role = Role::Hub { number, exclusive, losses };
                let (exchanged, is_released) = tokio::join!(
                    exchange(&node, &address, contact, &wants, role),
                    release(&node, number, released.as_ref()),
                );
                holder_use.end(clock::now(), exchanged.is_ok());
                if let Some(released) = released.filter(|_| is_released) {
                    holder_use.confirm_release(&released);
                }
                match exchanged {
                    Ok(()) => {
                        is_retry = false;
                        pauses.0.remove(&hub);
                        last_hub = Some(hub);
                        if contact.is_sole_hub {
                            known_losses = node.lost_instances();
                        }
                        if is_new {
                            sleep_until(began + MIN_SYNC_INTERVAL).await;
                            continue;
                        }
                    }
                    Err(failure) => {
                        node.stock.lock().restore_returned(&wants);
                        let is_starting = contact.hub_time_ms == 0 && began < start_end;
                        if is_starting {
                            log::debug!(
                                hub:% = hub, cause = failure.cause;
                                "the hub does not answer yet after this node's start"
                            );
                            pauses.record_start_failure(&hub, Instant::now());
                            continue;
                        }
                        // If a part of the fleet left a hub that is slow for a moment, no hub would have
                        // a majority. A substitute cannot grant the whole rates before the end of a
                        // second attempt anyway.
                        if failure.is_timeout && !is_retry {
                            is_retry = true;
                            continue;
                        }
                        is_retry = false;
                        log::warn!(
                            hub:% = hub, cause = failure.cause;
                            "exchange with the hub failed; using the next instance in the ranking"
                        );
                        pauses.record_failure(&hub, Instant::now());
                        continue;
                    }
                }
            }
            // The node itself ranks first, or no other instance answers: it acts as this hub and
            // grants its own wants the fraction of the rates that its contacts permit.
            _ => {
                node.act_as_hub(number, now);
                if number == 0 {
                    node.set_hub_count(hub_count(hubs, members.live_len()));
                }
                let own = &node.settings.instance;
                if is_new && last_hub.is_some() {
                    node.record_stated_losses(now, number, &known_losses);
                }
                last_hub = Some(own.clone());
                if node.homes.lock().is_sole(now, number) {
                    known_losses = node.lost_instances();
                }
                let exclusive_for = holder_use.begin_own(now, own);
                if let Some(released) = released
                    && release(&node, number, Some(&released)).await
                {
                    holder_use.confirm_release(&released);
                }
                if claims.is_due(&node, number, began) {
                    claims.claim(&node, number).await;
                }
                let proof = ContactProof { sent_after: Some(now), exclusive_for };
                let grants = draw_tokens(&node, number, own, proof, &wants);
                apply_grants(&node, &wants, grants);
                if number == 0 && began >= next_search && node.is_isolated_hub(now) {
                    next_search = began + SEARCH_INTERVAL;
                    searched = search_other(&node, &ranking, searched).await;
                }
            }
        }
        node.tokens_granted.notify_waiters();
        let pause = pacer.record_exchange(now, min_sync_interval(members.live_len()));
        sleep_until(began + pause.max(MIN_SYNC_INTERVAL)).await;
        let interval = match node.homes.lock().can_claim(clock::now(), number) {
            true => FIRST_CLAIM_PAUSE,
            false => SYNC_INTERVAL,
        };
        // An error means that the sender was dropped with the node; a timeout, that the regular
        // interval has passed.
        let _ = timeout(jittered(interval, SYNC_INTERVAL_JITTER), sync_now.changed()).await;
    }
}

/// Claims of a node that acts as a hub and is not provably the only one.
struct Claims {
    next_at: Instant,
    pause: Duration,
}

impl Claims {
    fn new() -> Self {
        Self { next_at: Instant::now(), pause: FIRST_CLAIM_PAUSE }
    }

    /// Whether the node should claim the hub number now.
    fn is_due<D: Dialect>(&mut self, node: &Node<D>, number: HubNumber, now: Instant) -> bool {
        let is_small = node.members.load().len() <= MAX_CLAIMED_INSTANCES;
        // A node that knows no other may have read a list from before the others registered.
        let is_alone = node.members.load().len() < 2;
        if is_alone || !is_small || !node.homes.lock().can_claim(clock::now(), number) {
            self.pause = FIRST_CLAIM_PAUSE;
            return false;
        }
        now >= self.next_at
    }

    /// Asks all other instances not to act as the hub of this number.
    async fn claim<D: Dialect>(&mut self, node: &Arc<Node<D>>, number: HubNumber) {
        let sent_at = clock::now();
        let members = node.members.load_full();
        let asked: Vec<_> = {
            let directory = node.directory.lock();
            let others = members.addresses().iter().filter(|(instance, _)| {
                **instance != node.settings.instance
                    && directory.lost_for(sent_at, instance).is_none()
            });
            others.map(|(_, address)| node.peer(address.peer_address)).collect()
        };
        let request = proto::SyncRequest { claimed: true, ..hub_notice(node, number) };
        let answers = asked.into_iter().map(|mut peer| {
            let request = request.clone();
            async move {
                let answer = timeout(SYNC_TIMEOUT, peer.sync(request)).await;
                matches!(answer, Ok(Ok(reply)) if reply.get_ref().yielded)
            }
        });
        let answers = join_all(answers).await;
        let (count, confirmed) = (answers.len(), answers.iter().filter(|it| **it).count());
        let now = clock::now();
        if confirmed == count {
            let fleet_size = node.fleet_size();
            node.homes.lock().confirm_claim(now, number, sent_at, fleet_size);
        }
        log::info!(
            hub_number = number, asked = count, confirmed = confirmed;
            "claimed to be the only hub of this number"
        );
        self.next_at = Instant::now() + self.pause;
        self.pause = (self.pause * 2).min(MAX_CLAIM_PAUSE);
    }
}

/// A message about a hub number without an exchange; earlier builds take it for an exchange that proves
/// nothing.
fn hub_notice<D: Dialect>(node: &Node<D>, number: HubNumber) -> proto::SyncRequest {
    proto::SyncRequest {
        instance: node.settings.instance.to_string(),
        hub: hub_field(number),
        exclusive_ms: Some(0),
        ..Default::default()
    }
}

fn hub_field(number: HubNumber) -> u32 {
    u32::try_from(number + 1).unwrap_or(u32::MAX)
}

/// Makes a hub that this node no longer uses stop counting it; returns whether it has confirmed that.
///
/// The hub's substitute then grants the whole rates at once, instead of after the time for which the
/// earlier hub may count the instance.
async fn release<D: Dialect>(
    node: &Arc<Node<D>>,
    number: HubNumber,
    hub: Option<&InstanceName>,
) -> bool {
    let Some(hub) = hub else { return false };
    if *hub == node.settings.instance {
        node.release_home(number, hub);
        return true;
    }
    let Some(address) = node.members.load().addresses().get(hub).cloned() else { return false };
    let request = proto::SyncRequest { released: true, ..hub_notice(node, number) };
    let mut peer = node.peer(address.peer_address);
    match timeout(SYNC_TIMEOUT, peer.sync(request)).await {
        Ok(Ok(reply)) => reply.into_inner().released,
        Ok(Err(status)) => {
            log::debug!(hub:% = hub, cause = status.message(); "the replaced hub has not confirmed it");
            false
        }
        Err(_) => {
            log::debug!(hub:% = hub; "the replaced hub has not answered");
            false
        }
    }
}

/// Makes an exchange with the next other instance in the ranking after `searched` ones; returns the number
/// of searched ones.
///
/// A first hub makes no exchanges of its own. If it was cut off and the others have removed it, they no
/// longer know its address and do not return to it by themselves.
async fn search_other<D: Dialect>(
    node: &Arc<Node<D>>,
    ranking: &Ranking,
    searched: usize,
) -> usize {
    let others = ranking.order.iter().filter(|it| **it != node.settings.instance);
    let others: Vec<&InstanceName> = others.collect();
    let Some(instance) = searched.checked_rem(others.len()).map(|index| others[index]) else {
        return 0;
    };
    let address = node.members.load().addresses().get(instance).cloned();
    if let Some(address) = address
        && let Err(cause) = exchange_once(node, &address).await
    {
        log::debug!(instance:% = instance, cause = cause; "no exchange with another node");
    }
    searched.wrapping_add(1)
}

/// Makes one exchange with a node outside the loop of [`run`], to receive its freshness proof,
/// configuration and records.
pub async fn exchange_once<D: Dialect>(
    node: &Arc<Node<D>>,
    address: &InstanceAddress,
) -> Result<(), String> {
    exchange(node, address, &mut Contact::default(), &[], Role::Peer)
        .await
        .map_err(|failure| failure.cause)
}

/// Sends the node's record to another node; returns an error unless that node then has it.
pub async fn publish_to<D: Dialect>(
    node: &Arc<Node<D>>,
    address: &InstanceAddress,
) -> Result<(), String> {
    // The first exchange may find the record of an earlier process, and raise the generation above it.
    for _ in 0..2 {
        let own = node.own_record();
        let mut contact = Contact::default();
        exchange(node, address, &mut contact, &[], Role::Peer)
            .await
            .map_err(|failure| failure.cause)?;
        let has_own = contact.known_incarnation == own.incarnation;
        if has_own && contact.known_record >= (own.generation, own.sequence) {
            return Ok(());
        }
    }
    Err("the node has another record of this instance".to_owned())
}

/// The first `count` other instances in the ranking for the first hub, without silent ones: the nodes that
/// are told of an upstream's leaving, and that a restarted node asks.
pub fn first_ranked<D: Dialect>(node: &Node<D>, count: usize) -> Vec<InstanceAddress> {
    let members = node.members.load();
    let silent: HashSet<&InstanceName> = members
        .with_record()
        .filter(|member| member.silent)
        .map(|member| &member.record.instance)
        .collect();
    let mut ranking = Ranking::default();
    ranking.update(members.addresses(), 0);
    let others = ranking
        .order
        .iter()
        .filter(|it| **it != node.settings.instance && !silent.contains(*it))
        .take(count);
    others.filter_map(|it| members.addresses().get(it).cloned()).collect()
}

async fn exchange<D: Dialect>(
    node: &Arc<Node<D>>,
    address: &InstanceAddress,
    contact: &mut Contact,
    wants: &[Want],
    role: Role<'_>,
) -> Result<(), ExchangeFailure> {
    let own = node.own_record();
    let sent_at = clock::now();
    let is_first_hub = role.is_first_hub();
    let (crash_changes, crashed) = {
        let crashes = node.guard.crashes.lock();
        match is_first_hub && crashes.change_number() != contact.reported_crash_change {
            true => crashes.crash_reports(sent_at),
            false => (contact.reported_crash_change, Vec::new()),
        }
    };
    let request = proto::SyncRequest {
        instance: node.settings.instance.to_string(),
        record: ((own.generation, own.sequence) != contact.known_record)
            .then(|| to_proto(&own, false)),
        hub_incarnation: contact.hub_incarnation,
        hub_sequence: contact.hub_sequence,
        catalog_version: node.catalog_version(),
        proof_age_ms: clock::to_millis_u32(node.proof.age(sent_at)),
        wants: wants
            .iter()
            .map(|want| proto::Want {
                organisation: want.organisation.to_string(),
                tokens: want.tokens,
                returned: want.returned,
            })
            .collect(),
        hub: match role {
            Role::Hub { number, .. } => hub_field(number),
            Role::Peer => 0,
        },
        later: later_records(node, std::mem::take(&mut contact.outdated)),
        crashed: crashed.iter().map(crashed_to_proto).collect(),
        verdicts: contact.known_verdict_change,
        position: Some(node.position().into()),
        evacuations: evacuation::to_proto(node, sent_at),
        exclusive_ms: match role {
            Role::Hub { exclusive, .. } => Some(clock::to_millis_u32(exclusive)),
            Role::Peer => None,
        },
        hub_time_ms: contact.hub_time_ms,
        released: false,
        claimed: false,
        losses: match role {
            Role::Hub { losses, .. } => losses.map(|lost| proto::KnownLosses {
                instances: lost.iter().map(ToString::to_string).collect(),
            }),
            Role::Peer => None,
        },
    };
    let mut peer = node.peer(address.peer_address);
    // The memory of the reply is returned with its extensions.
    let (_, mut reply, _extensions) = match timeout(SYNC_TIMEOUT, peer.sync(request)).await {
        Ok(Ok(reply)) => reply.into_parts(),
        Ok(Err(status)) => {
            return Err(ExchangeFailure { cause: status.message().to_owned(), is_timeout: false });
        }
        Err(_) => {
            let cause = format!("no answer within {SYNC_TIMEOUT:?}");
            return Err(ExchangeFailure { cause, is_timeout: true });
        }
    };
    node.record_peer_answer(clock::now());
    // A restarted hub has lost the crashes that were reported to its earlier process.
    let same_process =
        reply.hub_incarnation == contact.hub_incarnation || contact.hub_incarnation == 0;
    contact.reported_crash_change = if same_process { crash_changes } else { 0 };
    contact.known_verdict_change = reply.verdicts;
    contact.hub_incarnation = reply.hub_incarnation;
    contact.hub_sequence = reply.hub_sequence;
    contact.hub_time_ms = reply.hub_time_ms;
    contact.known_record = (reply.known_generation, reply.known_sequence);
    contact.known_incarnation = reply.known_incarnation;
    contact.is_sole_hub = reply.is_sole.unwrap_or(true);
    node.raise_generation(reply.known_generation, reply.known_incarnation);
    contact.outdated = apply_records(node, std::mem::take(&mut reply.records), role);
    apply_crashed(node, &reply.crashed);
    if is_first_hub {
        node.record_first_hub_heard();
    }
    if is_first_hub && reply.hubs > 0 {
        node.set_hub_count(usize::try_from(reply.hubs).unwrap_or(MAX_HUBS).min(MAX_HUBS));
    }
    configuration::apply_peer_configuration(node, sent_at, &reply);
    evacuation::apply_stated(node, sent_at, reply.evacuations.take());
    node.record_comparison(reply.position.map(Position::from));
    let grants = reply.grants.into_iter().map(|grant| Grant {
        tokens: to_token_count(grant.tokens),
        retry_after: Duration::from_millis(u64::from(grant.retry_after_ms)),
    });
    apply_grants(node, wants, grants.collect());
    Ok(())
}

/// Records of the instances for which a hub sent outdated ones.
fn later_records<D: Dialect>(
    node: &Node<D>,
    outdated: Vec<InstanceName>,
) -> Vec<proto::InstanceRecord> {
    if outdated.is_empty() {
        return Vec::new();
    }
    let directory = node.directory.lock();
    let known = outdated.iter().filter_map(|instance| directory.record_of(instance));
    known.map(|record| to_proto(record, false)).collect()
}

/// Applies records that another node sent; returns the instances for which this node has later ones.
pub fn apply_records<D: Dialect>(
    node: &Node<D>,
    records: Vec<proto::InstanceRecord>,
    role: Role<'_>,
) -> Vec<InstanceName> {
    let mut outdated = Vec::new();
    if records.is_empty() {
        return outdated;
    }
    let now = clock::now();
    let (mut changed, mut own_earlier) = (false, Vec::new());
    let has_no_hub = node.is_first_hub(now) || !node.has_heard_first_hub();
    let mut outgrown = None;
    let mut directory = node.directory.lock();
    for record in records {
        let silent = record.silent;
        let lost_for = record.lost.then(|| Duration::from_millis(u64::from(record.lost_for_ms)));
        let Some(record) = from_proto(record) else { continue };
        if record.instance == node.settings.instance {
            own_earlier.push(record);
            continue;
        }
        let instance = record.instance.clone();
        match directory.merge(record) {
            MergeResult::Applied => changed = true,
            MergeResult::Unchanged => {}
            MergeResult::Outdated => outdated.push(instance.clone()),
        }
        // Hubs receive the exchanges of an instance at different times, so only the first hub decides
        // which instances are silent.
        if role.is_first_hub() {
            let is_back = lost_for.is_none() && directory.lost_for(now, &instance).is_some();
            if is_back && outgrown.is_none() {
                outgrown = Some(directory.live());
            }
            changed |= directory.set_silent(&instance, silent);
            changed |= directory.set_lost(now, &instance, lost_for);
        } else if lost_for.is_some() && has_no_hub {
            // A node that starts as the first hub takes over what the one before has decided.
            changed |= directory.set_lost(now, &instance, lost_for);
        }
    }
    if changed {
        node.members.store(Arc::new(directory.members()));
    }
    drop(directory);
    if let Some(outgrown) = outgrown {
        node.homes.lock().record_outgrown_fleet(now, &outgrown);
    }
    for record in &own_earlier {
        node.apply_earlier_record(record);
    }
    outdated
}

/// Merges another node's entries about requests that were running when upstreams crashed.
fn apply_crashed<D: Dialect>(node: &Node<D>, crashed: &[proto::CrashedRequest]) {
    if crashed.is_empty() {
        return;
    }
    let entries: Vec<QuarantineEntry> = crashed.iter().filter_map(crashed_from_proto).collect();
    if entries.len() < crashed.len() {
        log::warn!(
            entries = crashed.len() - entries.len();
            "ignored crash reports with an invalid fingerprint or crash id"
        );
    }
    let now = clock::now();
    let mut crashes = node.guard.crashes.lock();
    let before = crashes.quarantined_count(now);
    crashes.merge(now, &entries);
    let quarantined = crashes.quarantined_count(now);
    if quarantined != before {
        log::warn!(
            quarantined = quarantined;
            "number of quarantined requests has changed; they are refused without running"
        );
    }
}

/// Applies records that a node sent because this node's records of the same instances were outdated.
fn apply_later_records<D: Dialect>(node: &Node<D>, records: Vec<proto::InstanceRecord>) {
    let is_own = |record: &proto::InstanceRecord| *record.instance == *node.settings.instance;
    for own in records.iter().filter(|record| is_own(record)) {
        node.raise_generation(own.generation, own.incarnation);
    }
    // Applied as a peer's records: `silent` flags sent by a client are ignored.
    apply_records(node, records, Role::Peer);
}

/// Answers an exchange that another node started with this node, as its hub or as any peer.
pub fn answer_exchange<D: Dialect>(
    node: &Arc<Node<D>>,
    request: proto::SyncRequest,
) -> proto::SyncReply {
    let now = clock::now();
    let hub_number = usize::try_from(request.hub).unwrap_or(0).checked_sub(1);
    if let Some(number) = hub_number.filter(|_| request.released) {
        node.release_home(number, &request.instance);
        return proto::SyncReply { released: true, ..Default::default() };
    }
    if let Some(number) = hub_number.filter(|_| request.claimed) {
        let fleet_size = node.fleet_size();
        let yielded = node.homes.lock().yield_to_claim(now, number, fleet_size);
        return proto::SyncReply { yielded, ..Default::default() };
    }
    // Sequence numbers that the client received from an earlier process under this node's name do not
    // apply to this process.
    let of_this_process = |number| match request.hub_incarnation == node.incarnation {
        true => number,
        false => 0,
    };
    let (known_sequence, known_verdicts) =
        (of_this_process(request.hub_sequence), of_this_process(request.verdicts));
    let instance: InstanceName = request.instance.into();
    let record = request.record.and_then(from_proto);
    apply_later_records(node, request.later);
    apply_crashed(node, &request.crashed);
    evacuation::apply_stated(node, now, request.evacuations);
    node.record_peer_contact(now);
    let (sequence, records, known, outgrown) = {
        let mut directory = node.directory.lock();
        // A process that has just started learns what the earlier one has published, also where its own
        // record takes the place of that one.
        let earlier = record.as_ref().and_then(|record| {
            let known = directory.record_of(&instance)?;
            (known.incarnation != record.incarnation).then(|| to_proto(known, false))
        });
        let mut changed =
            record.is_some_and(|record| directory.merge(record) == MergeResult::Applied);
        let outgrown = directory.lost_for(now, &instance).map(|_| directory.live());
        changed |= directory.record_contact(now, &instance);
        if changed {
            node.members.store(Arc::new(directory.members()));
        }
        let changes = directory.changes_since(known_sequence);
        let records = changes.members.iter().map(|member| {
            let lost_for = directory.lost_for(now, &member.record.instance);
            proto::InstanceRecord {
                lost: lost_for.is_some(),
                lost_for_ms: clock::to_millis_u32(lost_for.unwrap_or_default()),
                ..to_proto(&member.record, member.silent)
            }
        });
        let records: Vec<_> = earlier.into_iter().chain(records).collect();
        (changes.sequence, records, directory.record_of(&instance).cloned(), outgrown)
    };
    if let Some(outgrown) = outgrown {
        node.homes.lock().record_outgrown_fleet(now, &outgrown);
    }
    let wants: Vec<Want> = request
        .wants
        .into_iter()
        .map(|want| Want {
            organisation: want.organisation.into(),
            tokens: to_token_count(want.tokens),
            returned: to_token_count(want.returned),
        })
        .collect();
    let grants = match hub_number {
        Some(number) => {
            let proof = match request.exclusive_ms {
                Some(exclusive_ms) => ContactProof {
                    sent_after: Some(of_this_process(request.hub_time_ms))
                        .filter(|sent_ms| (1..=clock::to_millis(now)).contains(sent_ms))
                        .map(Duration::from_millis),
                    exclusive_for: Duration::from_millis(u64::from(exclusive_ms)),
                },
                None => ContactProof::assumed(now),
            };
            if let Some(losses) = request.losses {
                let lost = losses.instances.into_iter().map(InstanceName::from).collect();
                node.record_stated_losses(now, number, &lost);
            }
            draw_tokens(node, number, &instance, proof, &wants)
        }
        None => Vec::new(),
    };
    let grants = grants.into_iter().map(|grant| proto::Grant {
        tokens: grant.tokens,
        retry_after_ms: clock::to_millis_u32(grant.retry_after),
    });
    let claimed = Duration::from_millis(u64::from(request.proof_age_ms));
    // The proof of a node of an earlier build, which states no position, is not accepted.
    let is_fresher = request.position.is_some()
        && request.proof_age_ms != NO_PROOF_AGE_MS
        && claimed + PROOF_ADVANTAGE < node.proof.age(now);
    let position = node.position();
    let peer_position = request.position.map(Position::from);
    node.record_comparison(peer_position);
    let has_newer = match peer_position {
        Some(peer_position) => peer_position > position,
        None => request.catalog_version > position.version,
    };
    if is_fresher || has_newer {
        // The transit time of this request is unknown, so its claim cannot serve as a proof; only the
        // reply to a request of this node can (see `proof_read_at`).
        node.set_refresh_source(&instance);
    }
    let (verdicts, crashed) = {
        let crashes = node.guard.crashes.lock();
        match crashes.change_number() == known_verdicts {
            true => (known_verdicts, Vec::new()),
            false => crashes.quarantine_verdicts(now),
        }
    };
    let source = node.catalog_source.load();
    proto::SyncReply {
        hub_incarnation: node.incarnation,
        hub_sequence: sequence,
        records,
        catalog_version: position.version,
        position: Some(position.into()),
        evacuations: evacuation::to_proto(node, now),
        proof_age_ms: match node.catalog.load().is_some() {
            true => clock::to_millis_u32(node.proof.age(now)),
            false => NO_PROOF_AGE_MS,
        },
        catalog: source
            .as_ref()
            .filter(|source| match peer_position {
                Some(peer_position) => source.position > peer_position,
                None => source.position.version > request.catalog_version,
            })
            .map(|source| source.compressed.clone())
            .unwrap_or_default(),
        grants: grants.collect(),
        known_generation: known.as_ref().map_or(0, |known| known.generation),
        known_sequence: known.as_ref().map_or(0, |known| known.sequence),
        known_incarnation: known.as_ref().map_or(0, |known| known.incarnation),
        verdicts,
        crashed: crashed.iter().map(crashed_to_proto).collect(),
        hubs: match node.is_first_hub(now) {
            true => u32::try_from(node.hub_count()).unwrap_or(0),
            false => 0,
        },
        hub_time_ms: clock::to_millis(now),
        released: false,
        yielded: false,
        is_sole: hub_number.map(|number| node.homes.lock().is_sole(now, number)),
    }
}

/// Draws the wanted tokens from the node's home of this hub number, for the instance `requester`.
fn draw_tokens<D: Dialect>(
    node: &Node<D>,
    number: HubNumber,
    requester: &InstanceName,
    proof: ContactProof,
    wants: &[Want],
) -> Vec<Grant> {
    let now = clock::now();
    let fleet_size = node.fleet_size();
    let catalog = node.catalog.load_full();
    let mut homes = node.homes.lock();
    let home = homes.record_proven_contact(now, number, requester, proof, fleet_size);
    let grants: Vec<Grant> = wants
        .iter()
        .map(|want| {
            match catalog.as_ref().and_then(|catalog| catalog.organisation(&want.organisation)) {
                Some(organisation) => {
                    home.grant_tokens(now, organisation, want.tokens, want.returned)
                }
                // The organisation is not in this node's configuration yet.
                None => Grant { tokens: 0.0, retry_after: SYNC_INTERVAL },
            }
        })
        .collect();
    if *requester != node.settings.instance && homes.can_claim(now, number) {
        // The node's own loop makes the claim.
        node.sync_now.send_replace(());
    }
    grants
}

/// Number of tokens in a message of another node. A number that is none, infinite or negative would stay
/// in an account or a bucket for good, and is taken as zero.
pub fn to_token_count(tokens: f64) -> f64 {
    let is_valid = tokens.is_finite() && tokens >= 0.0;
    if is_valid { tokens.min(MAX_TOKENS) } else { 0.0 }
}

fn apply_grants<D: Dialect>(node: &Node<D>, wants: &[Want], grants: Vec<Grant>) {
    let now = clock::now();
    let mut stock = node.stock.lock();
    for (want, grant) in wants.iter().zip(grants) {
        stock.apply_grant(now, &want.organisation, grant);
    }
}

/// Mean time between two exchanges of a node with one hub while tokens are wanted all the time, in a
/// fleet of this many instances.
pub fn min_sync_interval(instances: usize) -> Duration {
    Duration::from_secs_f64(instances as f64 / MAX_HUB_EXCHANGES_PER_S)
        .clamp(MIN_SYNC_INTERVAL, MAX_WANT_DELAY)
}

/// Number of hubs for a fleet that has `hubs` now.
///
/// It changes only when the fleet is much too large or too small for the current number: a change moves
/// organisations to other homes, and for a short time the old and the new home grant tokens for the
/// same rate, which exceeded the rate limit of a heavily used organisation (day trouble-3
/// of the deployment tesfaye-ice-grown).
pub fn hub_count(hubs: usize, instances: usize) -> usize {
    let fitting = instances.div_ceil(INSTANCES_PER_HUB).clamp(1, MAX_HUBS);
    let fill = instances as f64 / (hubs * INSTANCES_PER_HUB) as f64;
    if STABLE_HUB_FILL.contains(&fill) { hubs } else { fitting }
}

/// Number of the hub that is the home of an organisation, by rendezvous hashing: when hubs are added,
/// organisations move only to the new ones.
pub fn home_hub(organisation: OrganisationHash, hubs: usize) -> HubNumber {
    let weight = |number: &HubNumber| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&organisation.to_le_bytes());
        hasher.update(&number.to_le_bytes());
        *hasher.finalize().as_bytes()
    };
    (0..hubs).max_by_key(weight).unwrap_or(0)
}

/// The instances in their rendezvous order for a hub number; the first one that answers is the hub.
///
/// The order is computed only when the set of instances changes, since it costs one hash per instance.
#[derive(Debug, Default)]
struct Ranking {
    addresses: Addresses,
    order: Vec<InstanceName>,
}

impl Ranking {
    fn update(&mut self, addresses: &Addresses, number: HubNumber) {
        if Arc::ptr_eq(addresses, &self.addresses) {
            return;
        }
        self.addresses = addresses.clone();
        self.order = addresses.keys().cloned().collect();
        self.order.sort_by_cached_key(|instance| {
            let mut hasher = blake3::Hasher::new_derive_key(HASH_PURPOSE);
            hasher.update(&number.to_le_bytes());
            hasher.update(instance.as_bytes());
            *hasher.finalize().as_bytes()
        });
    }
}

/// Encodes a record for other nodes.
pub fn to_proto(record: &InstanceRecord, silent: bool) -> proto::InstanceRecord {
    let upstream = record.upstream.as_ref();
    proto::InstanceRecord {
        instance: record.instance.to_string(),
        generation: record.generation,
        sequence: record.sequence,
        zone: record.address.zone.to_string(),
        peer_address: record.address.peer_address.to_string(),
        leaving: record.leaving,
        service: record.service.to_string(),
        upstream: upstream.map(|it| it.id.to_string()).unwrap_or_default(),
        slots: upstream.map_or(0, |it| it.slots),
        ready: upstream.is_some_and(|it| it.ready),
        silent,
        incarnation: record.incarnation,
        upstream_started_unix_ms: upstream.map_or(0, |it| it.started_unix_ms),
        upstream_sequence: upstream.map_or(0, |it| it.sequence),
        upstream_left: upstream.is_some_and(|it| it.has_left),
        lost: false,
        lost_for_ms: 0,
        pace_per_ks: upstream.map_or(0, |it| it.pace_per_ks),
    }
}

/// Decodes a record; `None` if its address is invalid.
fn from_proto(record: proto::InstanceRecord) -> Option<InstanceRecord> {
    let peer_address = record
        .peer_address
        .parse()
        .inspect_err(|error| {
            log::warn!(
                instance = record.instance, cause:% = error;
                "ignored the record of an instance with an invalid address"
            );
        })
        .ok()?;
    let upstream = (!record.upstream.is_empty()).then(|| UpstreamRecord {
        id: record.upstream.into(),
        slots: record.slots,
        ready: record.ready,
        has_left: record.upstream_left,
        started_unix_ms: record.upstream_started_unix_ms,
        sequence: record.upstream_sequence,
        pace_per_ks: record.pace_per_ks,
    });
    Some(InstanceRecord {
        instance: record.instance.into(),
        generation: record.generation,
        sequence: record.sequence,
        incarnation: record.incarnation,
        address: InstanceAddress { zone: record.zone.into(), peer_address },
        leaving: record.leaving,
        service: record.service.into(),
        upstream,
    })
}

impl From<Position> for proto::ConfigurationPosition {
    fn from(position: Position) -> Self {
        let Position { revision, era, version } = position;
        Self { revision, era, version }
    }
}

impl From<proto::ConfigurationPosition> for Position {
    fn from(position: proto::ConfigurationPosition) -> Self {
        let proto::ConfigurationPosition { revision, era, version } = position;
        Self { revision, era, version }
    }
}

fn crashed_to_proto(entry: &QuarantineEntry) -> proto::CrashedRequest {
    proto::CrashedRequest {
        fingerprint: entry.fingerprint_bytes(),
        crash_ids: entry.crash_ids(),
        remaining_ms: clock::to_millis_u32(entry.remaining),
    }
}

fn crashed_from_proto(message: &proto::CrashedRequest) -> Option<QuarantineEntry> {
    let remaining = Duration::from_millis(u64::from(message.remaining_ms));
    QuarantineEntry::from_parts(&message.fingerprint, &message.crash_ids, remaining)
}

/// Lower bound on the time when the store read behind a received freshness proof began.
///
/// `age_ms` is the proof's age in the reply to a request that was sent at `sent_at`. The reply was made
/// after the request was sent, so the read cannot have begun earlier than this, however long the
/// transit took.
pub fn proof_read_at(sent_at: Timestamp, age_ms: u32) -> Option<Timestamp> {
    (age_ms != NO_PROOF_AGE_MS)
        .then(|| sent_at.checked_sub(Duration::from_millis(u64::from(age_ms))))?
}
