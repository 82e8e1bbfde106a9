//! The exchange between nodes and the fleet's hubs.
//!
//! A hub is an ordinary node. Every node ranks the instances that it knows by rendezvous hashing,
//! for each hub number, and keeps in contact with the first that answers. Through it pass the
//! records of instances, the operators' configuration with the proof that it is current, and the
//! tokens of the organisations that have their home there. Nothing is agreed: two nodes that take
//! different instances for a hub for a while only learn of changes later.

use std::{collections::HashMap, ops::RangeInclusive, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep_until, timeout};

use crate::{
    clock::{self, Timestamp},
    mesh::{
        Addresses, Dialect, Grant, HubNumber, InstanceAddress, InstanceRecord, MergeResult, Node,
        OrganisationHash, UpstreamRecord, Want, configuration, pause::jittered, proto,
    },
    names::InstanceName,
    once::QuarantineEntry,
};

/// Instances for each hub.
const INSTANCES_PER_HUB: usize = 40;
/// Instances for each hub, as a part of [`INSTANCES_PER_HUB`], at which their number stays as it is.
const HUB_FILL: RangeInclusive<f64> = 0.4..=1.25;
/// Most hubs, so that contacts do not grow with the square of the fleet.
pub const MAX_HUBS: usize = 8;
/// Time between two exchanges with a hub.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Part by which that varies.
const INTERVAL_SPREAD: f64 = 0.15;
/// Shortest time between two exchanges with a hub, when tokens are wanted or a record changes.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(4);
/// Exchanges a second that one hub has time for beside its requests. Where all nodes want tokens at
/// once, each exchange carries the wants of a longer time. Without this bound, 71 nodes kept the hubs
/// so busy in a burst that half of the requests within the rates had no token in time.
const MAX_HUB_EXCHANGES_PER_S: f64 = 2_000.0;
/// Longest time that the bound lets a want wait; an urgent request waits 50 ms for its token.
const MAX_WANT_DELAY: Duration = Duration::from_millis(40);
/// Time for the answer of a hub.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without exchanges with an instance that did not answer; it doubles with each miss.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// How much newer another node's proof must be for a hub to ask for it.
const PROOF_ADVANTAGE: Duration = Duration::from_millis(300);
/// Age that stands for no proof.
const NO_PROOF_MS: u32 = u32::MAX;
const HASH_PURPOSE: &str = "hibiscusdoor 2026 hub of a fleet";

/// What a node remembers of its exchange with one hub.
#[derive(Debug, Default)]
struct Contact {
    hub_incarnation: u64,
    hub_sequence: u64,
    /// Generation and sequence of the own record that the hub has.
    known: (u64, u64),
    /// Instances of which the hub told outdated records.
    outdated: Vec<InstanceName>,
    /// Number of the own change up to which the hub has heard of crashes, and that of the hub's
    /// change up to which its verdicts are known.
    crashes_told: u64,
    verdicts: u64,
}

/// What the asked node is to the asker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// The hub of a number; the first has the number 0.
    Hub(HubNumber),
    Peer,
}

/// Instances that did not answer.
#[derive(Debug, Default)]
struct Missed(HashMap<InstanceName, (Instant, Duration)>);

impl Missed {
    fn passes_over(&self, instance: &InstanceName, now: Instant) -> bool {
        self.0.get(instance).is_some_and(|(until, _)| now < *until)
    }

    fn missed(&mut self, instance: &InstanceName, now: Instant) {
        let pause =
            self.0.get(instance).map_or(FIRST_PAUSE, |(_, last)| (*last * 2).min(MAX_PAUSE));
        self.0.insert(instance.clone(), (now + pause, pause));
    }
}

/// Keeps the node in contact with the hub of a number.
pub async fn run<D: Dialect>(node: Arc<Node<D>>, number: HubNumber) {
    let (mut missed, mut ranking) = (Missed::default(), Ranking::default());
    let mut sync_now = node.sync_now.subscribe();
    let mut contacts: HashMap<InstanceName, Contact> = HashMap::new();
    loop {
        let began = Instant::now();
        let members = node.members.load_full();
        let hubs = node.hub_count();
        if number >= hubs {
            tokio::time::sleep(SYNC_INTERVAL).await;
            continue;
        }
        ranking.update(members.addresses(), number);
        let hub = ranking.order.iter().find(|it| !missed.passes_over(it, began)).cloned();
        let now = clock::now();
        let wants = node.stock.lock().due_wants(now, |homes| homes.home_hub(hubs) == number);
        match hub {
            Some(hub) if hub != node.settings.instance => {
                let address = members.addresses()[&hub].clone();
                let contact = contacts.entry(hub.clone()).or_default();
                match exchange(&node, &address, contact, &wants, Role::Hub(number)).await {
                    Ok(()) => drop(missed.0.remove(&hub)),
                    Err(cause) => {
                        log::warn!(hub:% = hub, cause = cause; "a hub does not answer");
                        missed.missed(&hub, Instant::now());
                        node.stock.lock().restore_returned(&wants);
                        continue;
                    }
                }
            }
            // A hub is its own; a node that reaches no other has its part of the rate.
            _ => {
                node.act_as_hub(number, now);
                if number == 0 {
                    node.set_hub_count(hub_count(hubs, members.len()));
                }
                let grants = grant(&node, number, &node.settings.instance, &wants);
                take_grants(&node, &wants, grants);
            }
        }
        node.tokens_granted.notify_waiters();
        sleep_until(began + min_sync_interval(members.len())).await;
        // It ends with the node, and the interval passes in any case.
        let _ = timeout(jittered(SYNC_INTERVAL, INTERVAL_SPREAD), sync_now.changed()).await;
    }
}

/// Makes one exchange with another node, for its proof and its records.
pub async fn exchange_once<D: Dialect>(
    node: &Arc<Node<D>>,
    address: &InstanceAddress,
) -> Result<(), String> {
    exchange(node, address, &mut Contact::default(), &[], Role::Peer).await
}

async fn exchange<D: Dialect>(
    node: &Arc<Node<D>>,
    address: &InstanceAddress,
    contact: &mut Contact,
    wants: &[Want],
    role: Role,
) -> Result<(), String> {
    let own = node.own_record();
    let asked = clock::now();
    let is_first = role == Role::Hub(0);
    let (crash_changes, crashed) = {
        let crashes = node.guard.crashes.lock();
        match is_first && crashes.change_number() != contact.crashes_told {
            true => crashes.reports(asked),
            false => (contact.crashes_told, Vec::new()),
        }
    };
    let request = proto::SyncRequest {
        instance: node.settings.instance.to_string(),
        record: ((own.generation, own.sequence) != contact.known).then(|| to_proto(&own, false)),
        hub_incarnation: contact.hub_incarnation,
        hub_sequence: contact.hub_sequence,
        catalog_version: node.catalog_version(),
        proof_age_ms: clock::millis_u32(node.proof.age(asked)),
        wants: wants
            .iter()
            .map(|want| proto::Want {
                organisation: want.organisation.to_string(),
                tokens: want.tokens,
                returned: want.returned,
            })
            .collect(),
        hub: match role {
            Role::Hub(number) => u32::try_from(number + 1).unwrap_or(u32::MAX),
            Role::Peer => 0,
        },
        later: later_records(node, std::mem::take(&mut contact.outdated)),
        crashed: crashed.iter().map(crashed_to_proto).collect(),
        verdicts: contact.verdicts,
    };
    let mut peer = node.peer(address.peer_address);
    let reply = match timeout(SYNC_TIMEOUT, peer.sync(request)).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return Err(status.message().to_owned()),
        Err(_) => return Err(format!("no answer within {SYNC_TIMEOUT:?}")),
    };
    // A hub that has restarted has forgotten what it was told.
    let heard = reply.hub_incarnation == contact.hub_incarnation || contact.hub_incarnation == 0;
    contact.crashes_told = if heard { crash_changes } else { 0 };
    contact.verdicts = reply.verdicts;
    contact.hub_incarnation = reply.hub_incarnation;
    contact.hub_sequence = reply.hub_sequence;
    contact.known = (reply.known_generation, reply.known_sequence);
    node.raise_generation(reply.known_generation, reply.known_incarnation);
    contact.outdated = take_records(node, reply.records, role);
    take_crashed(node, &reply.crashed);
    if is_first && reply.hubs > 0 {
        node.set_hub_count(usize::try_from(reply.hubs).unwrap_or(MAX_HUBS).min(MAX_HUBS));
    }
    configuration::apply_peer_configuration(
        node,
        asked,
        &reply.catalog,
        reply.catalog_version,
        reply.proof_age_ms,
    );
    let grants = reply.grants.into_iter().map(|grant| Grant {
        tokens: grant.tokens,
        retry_after: Duration::from_millis(u64::from(grant.retry_after_ms)),
    });
    take_grants(node, wants, grants.collect());
    Ok(())
}

/// Records that are later than those which a hub told.
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

/// Takes what another node told; returns the instances of which this one knows later records.
fn take_records<D: Dialect>(
    node: &Node<D>,
    records: Vec<proto::InstanceRecord>,
    role: Role,
) -> Vec<InstanceName> {
    let mut outdated = Vec::new();
    if records.is_empty() {
        return outdated;
    }
    let (mut changed, mut earlier) = (false, Vec::new());
    let mut directory = node.directory.lock();
    for record in records {
        let silent = record.silent;
        let Some(record) = from_proto(record) else { continue };
        if record.instance == node.settings.instance {
            earlier.push(record);
            continue;
        }
        let instance = record.instance.clone();
        match directory.merge(record) {
            MergeResult::Applied => changed = true,
            MergeResult::Unchanged => {}
            MergeResult::Outdated => outdated.push(instance.clone()),
        }
        // Hubs hear an instance at different moments, so only one of them is believed.
        if role == Role::Hub(0) {
            changed |= directory.set_silent(&instance, silent);
        }
    }
    if changed {
        node.members.store(Arc::new(directory.members()));
    }
    drop(directory);
    for record in &earlier {
        node.apply_earlier_record(record);
    }
    outdated
}

/// Takes what another node knows of requests that were running at crashes.
fn take_crashed<D: Dialect>(node: &Node<D>, crashed: &[proto::CrashedRequest]) {
    if crashed.is_empty() {
        return;
    }
    let entries: Vec<QuarantineEntry> = crashed.iter().filter_map(crashed_from_proto).collect();
    if entries.len() < crashed.len() {
        log::warn!(entries = crashed.len() - entries.len(); "unreadable reports of crashes");
    }
    let now = clock::now();
    let mut crashes = node.guard.crashes.lock();
    let before = crashes.quarantined_count(now);
    crashes.merge(now, &entries);
    let quarantined = crashes.quarantined_count(now);
    if quarantined != before {
        log::warn!(quarantined = quarantined; "requests that crashed upstreams no longer run");
    }
}

/// Takes the later records of a node that this one told outdated ones.
fn take_later<D: Dialect>(node: &Node<D>, records: Vec<proto::InstanceRecord>) {
    let is_own = |record: &proto::InstanceRecord| *record.instance == *node.settings.instance;
    for own in records.iter().filter(|record| is_own(record)) {
        node.raise_generation(own.generation, own.incarnation);
    }
    // This node goes on telling those that it takes, so the role does not matter.
    take_records(node, records, Role::Peer);
}

/// Answers a node that takes this one for a hub.
pub fn answer<D: Dialect>(node: &Arc<Node<D>>, request: proto::SyncRequest) -> proto::SyncReply {
    let now = clock::now();
    // What the asker has of an earlier process under this name says nothing of this one.
    let known_here = |number| match request.hub_incarnation == node.incarnation {
        true => number,
        false => 0,
    };
    let (known_sequence, known_verdicts) =
        (known_here(request.hub_sequence), known_here(request.verdicts));
    let instance: InstanceName = request.instance.into();
    let record = request.record.and_then(from_proto);
    take_later(node, request.later);
    take_crashed(node, &request.crashed);
    let (changes, known) = {
        let mut directory = node.directory.lock();
        let mut changed =
            record.is_some_and(|record| directory.merge(record) == MergeResult::Applied);
        changed |= directory.record_contact(now, &instance);
        if changed {
            node.members.store(Arc::new(directory.members()));
        }
        (directory.changes_since(known_sequence), directory.record_of(&instance).cloned())
    };
    let wants: Vec<Want> = request
        .wants
        .into_iter()
        .map(|want| Want {
            organisation: want.organisation.into(),
            tokens: want.tokens,
            returned: want.returned,
        })
        .collect();
    let grants = match usize::try_from(request.hub).unwrap_or(0).checked_sub(1) {
        Some(number) => grant(node, number, &instance, &wants),
        None => Vec::new(),
    };
    let grants = grants.into_iter().map(|grant| proto::Grant {
        tokens: grant.tokens,
        retry_after_ms: clock::millis_u32(grant.retry_after),
    });
    let claimed = Duration::from_millis(u64::from(request.proof_age_ms));
    let is_fresher =
        request.proof_age_ms != NO_PROOF_MS && claimed + PROOF_ADVANTAGE < node.proof.age(now);
    if is_fresher || request.catalog_version > node.catalog_version() {
        // What a node claims may have been true when it was sent; only an answer proves.
        node.set_refresh_source(&instance);
    }
    let (verdicts, crashed) = {
        let crashes = node.guard.crashes.lock();
        match crashes.change_number() == known_verdicts {
            true => (known_verdicts, Vec::new()),
            false => crashes.verdicts(now),
        }
    };
    let source = node.catalog_source.load();
    proto::SyncReply {
        hub_incarnation: node.incarnation,
        hub_sequence: changes.sequence,
        records: changes
            .members
            .iter()
            .map(|member| to_proto(&member.record, member.silent))
            .collect(),
        catalog_version: node.catalog_version(),
        proof_age_ms: match node.catalog.load().is_some() {
            true => clock::millis_u32(node.proof.age(now)),
            false => NO_PROOF_MS,
        },
        catalog: source
            .as_ref()
            .filter(|source| source.version > request.catalog_version)
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
    }
}

fn grant<D: Dialect>(
    node: &Node<D>,
    number: HubNumber,
    by: &InstanceName,
    wants: &[Want],
) -> Vec<Grant> {
    let now = clock::now();
    let fleet = node.members.load().len();
    let catalog = node.catalog.load_full();
    let mut homes = node.homes.lock();
    let home = homes.record_contact(now, number, by, fleet);
    let grants = wants.iter().map(|want| {
        match catalog.as_ref().and_then(|catalog| catalog.organisation(&want.organisation)) {
            Some(organisation) => home.draw(now, organisation, want.tokens, want.returned),
            // This node does not know the organisation yet.
            None => Grant { tokens: 0.0, retry_after: SYNC_INTERVAL },
        }
    });
    grants.collect()
}

fn take_grants<D: Dialect>(node: &Node<D>, wants: &[Want], grants: Vec<Grant>) {
    let now = clock::now();
    let mut stock = node.stock.lock();
    for (want, grant) in wants.iter().zip(grants) {
        stock.apply_grant(now, &want.organisation, grant);
    }
}

/// Shortest time between two exchanges of a node with one hub in a fleet of this many instances.
pub fn min_sync_interval(instances: usize) -> Duration {
    Duration::from_secs_f64(instances as f64 / MAX_HUB_EXCHANGES_PER_S)
        .clamp(MIN_SYNC_INTERVAL, MAX_WANT_DELAY)
}

/// Number of hubs of a fleet which has `hubs` now. It changes only where the fleet is much too large
/// or small for them: a change moves organisations to other homes, and two homes that grant the same
/// tokens for a while broke the bound on a hot organisation (trouble-3 of the grown tesfaye).
pub fn hub_count(hubs: usize, instances: usize) -> usize {
    let fitting = instances.div_ceil(INSTANCES_PER_HUB).clamp(1, MAX_HUBS);
    let size = instances as f64 / (hubs * INSTANCES_PER_HUB) as f64;
    if HUB_FILL.contains(&size) { hubs } else { fitting }
}

/// Number of the hub that is the home of an organisation. Where hubs are added, organisations move only
/// to the new ones.
pub fn home_hub(home: OrganisationHash, hubs: usize) -> HubNumber {
    let weight = |number: &HubNumber| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&home.to_le_bytes());
        hasher.update(&number.to_le_bytes());
        *hasher.finalize().as_bytes()
    };
    (0..hubs).max_by_key(weight).unwrap_or(0)
}

/// The instances in the order in which they stand for the hub of a number. It is worked out when the
/// set of instances changes, and not at each exchange: it takes a hash for each of them.
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

fn to_proto(record: &InstanceRecord, silent: bool) -> proto::InstanceRecord {
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
    }
}

/// Reads a record; none where its address is unreadable.
fn from_proto(record: proto::InstanceRecord) -> Option<InstanceRecord> {
    let peer_address = record
        .peer_address
        .parse()
        .inspect_err(|error| {
            log::warn!(instance = record.instance, cause:% = error; "unreadable address of a node");
        })
        .ok()?;
    let upstream = (!record.upstream.is_empty()).then(|| UpstreamRecord {
        id: record.upstream.into(),
        slots: record.slots,
        ready: record.ready,
        has_left: record.upstream_left,
        started_unix_ms: record.upstream_started_unix_ms,
        sequence: record.upstream_sequence,
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

fn crashed_to_proto(entry: &QuarantineEntry) -> proto::CrashedRequest {
    proto::CrashedRequest {
        fingerprint: entry.fingerprint_bytes(),
        crash_ids: entry.crash_ids(),
        remaining_ms: clock::millis_u32(entry.remaining),
    }
}

fn crashed_from_proto(message: &proto::CrashedRequest) -> Option<QuarantineEntry> {
    let remaining = Duration::from_millis(u64::from(message.remaining_ms));
    QuarantineEntry::from_parts(&message.fingerprint, &message.crash_ids, remaining)
}

/// Time of the read behind a proof of this age, where the question was asked at `asked`.
///
/// The answer was made after the question was sent, so the read cannot have begun earlier than
/// this, however long the answer was under way.
pub fn proof_read_at(asked: Timestamp, age_ms: u32) -> Option<Timestamp> {
    (age_ms != NO_PROOF_MS).then(|| asked.checked_sub(Duration::from_millis(u64::from(age_ms))))?
}
