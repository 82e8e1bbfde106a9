//! The actor that borrows and gives back parts of organisations' rates.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::ActorStopReason,
    message::{Context, Message},
};
use tokio::{task::JoinSet, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    names::OrganisationName,
    node::{Shared, rates::AccountCell},
    peers::proto,
    rate::{LoanReply, LoanRequest, LoanRequestBudget, OutgoingLoanRequest, Peer, ReturnedLoan},
};

/// Interval at which accounts are looked at while nothing waits.
const TICK: Duration = Duration::from_millis(50);
/// Shortest interval while requests wait for tokens.
const MIN_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which an ask counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Counters of the messages about loans.
#[derive(Debug, Default)]
pub struct LoanCounters {
    /// Asks sent.
    pub asks_sent: AtomicU64,
    /// Asks answered.
    pub asks_answered: AtomicU64,
    /// Bytes of the messages sent and received, without the framing of HTTP/2.
    pub bytes: AtomicU64,
}

/// Borrows and gives back parts of organisations' rates.
pub struct LoansActor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    budget: LoanRequestBudget,
}

/// Looks at all accounts.
struct Plan;

impl Actor for LoansActor {
    type Args = Arc<Shared>;
    type Error = kameo::error::Infallible;

    async fn on_start(shared: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(ticks(shared.clone(), actor, stop.clone()));
        Ok(Self { shared, stop, tasks, budget: LoanRequestBudget::default() })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Self::Error> {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
        Ok(())
    }
}

impl Message<Plan> for LoansActor {
    type Reply = ();

    async fn handle(&mut self, _: Plan, _ctx: &mut Context<Self, Self::Reply>) {
        while self.tasks.try_join_next().is_some() {}
        let shared = &self.shared;
        shared.rates.follow_configuration(&shared.configuration.load());
        let view = shared.view.load_full();
        let rows = view.table.rows.iter();
        let rows: Vec<_> = rows.filter(|row| row.instance != shared.settings.instance).collect();
        let peers: Vec<Peer> = rows
            .iter()
            .map(|row| Peer { instance: row.instance.clone(), incarnation: row.incarnation })
            .collect();
        for (name, cell) in shared.rates.all().iter() {
            let now = clock::now();
            let available = self.budget.available(now);
            let lease_until = shared.lease.row_until();
            let asks = cell.with(shared, name, now, |account| {
                account.retain_peers(|peer| peers.contains(peer));
                account.plan_loan_requests(&peers, now, lease_until, available, &mut rand::rng())
            });
            self.budget.spend(asks.len());
            for outgoing in asks {
                let row = rows.iter().find(|row| {
                    row.instance == outgoing.lender.instance
                        && row.incarnation == outgoing.lender.incarnation
                });
                let Some(row) = row else {
                    continue;
                };
                let (shared, name, cell) = (shared.clone(), name.clone(), cell.clone());
                let (address, version) = (row.peer_address, view.table.version);
                self.tasks.spawn(async move {
                    ask(&shared, name, &cell, outgoing, address, version).await;
                });
            }
        }
    }
}

async fn ticks(shared: Arc<Shared>, actor: ActorRef<LoansActor>, stop: CancellationToken) {
    loop {
        // `ask` waits until the plan is made, so a busy node plans less often.
        if actor.ask(Plan).await.is_err() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = async {
                tokio::time::sleep(MIN_INTERVAL).await;
                shared.rates.wanted.notified().await;
            } => {}
            () = stop.cancelled() => return,
        }
    }
}

async fn ask(
    shared: &Shared,
    organisation: OrganisationName,
    cell: &AccountCell,
    outgoing: OutgoingLoanRequest,
    address: std::net::SocketAddr,
    table_version: u64,
) {
    let OutgoingLoanRequest { lender, request } = outgoing;
    let sequence = request.sequence;
    let message = borrow_request(shared, &organisation, request, table_version);
    let counters = &shared.loan_counters;
    counters.asks_sent.fetch_add(1, Ordering::Relaxed);
    count_bytes(counters, &message);
    let mut client = shared.peers.client(address);
    let reply = timeout(ASK_TIMEOUT, client.borrow(message)).await;
    let now = clock::now();
    match reply {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            count_bytes(counters, &reply);
            let loan = loan(reply);
            cell.with(shared, &organisation, now, |account| {
                account.receive_reply(&lender, sequence, &loan, now);
            });
        }
        Ok(Err(status)) => {
            log::debug!("{} did not answer an ask: {}", lender.instance, status.message());
            cell.with(shared, &organisation, now, |account| {
                account.mark_unanswered(&lender, sequence, now)
            });
        }
        Err(_) => {
            log::debug!("{} did not answer an ask within {ASK_TIMEOUT:?}", lender.instance);
            cell.with(shared, &organisation, now, |account| {
                account.mark_unanswered(&lender, sequence, now)
            });
        }
    }
    cell.wake();
}

/// Answers another node's ask.
pub fn lend(shared: &Shared, message: proto::BorrowRequest) -> proto::BorrowReply {
    let now = clock::now();
    let borrower =
        Peer { instance: message.instance.as_str().into(), incarnation: message.incarnation };
    let view = shared.view.load();
    let row = view.table.row(&borrower.instance);
    // Only rows of the table borrow, so the memory for borrowers is bounded by the table.
    if row.is_none_or(|row| row.incarnation != borrower.incarnation) {
        return proto::BorrowReply::default();
    }
    let Some(cell) = shared.rates.account(shared, &message.organisation) else {
        return proto::BorrowReply::default();
    };
    let organisation = message.organisation.clone();
    let request = loan_request(message);
    let returned = !request.returned.is_empty();
    let lease_until = shared.lease.row_until();
    let (loan, contested) = cell.with(shared, &organisation, now, |account| {
        let loan = account.lend(&borrower, &request, now, lease_until);
        (loan, account.is_contested(now))
    });
    shared.loan_counters.asks_answered.fetch_add(1, Ordering::Relaxed);
    if returned {
        cell.wake();
    }
    if contested {
        // The plan gives back what this node holds without need.
        shared.rates.wanted.notify_one();
    }
    proto::BorrowReply {
        tokens: loan.tokens,
        rate_per_s: loan.rate_per_s,
        burst: loan.burst,
        term_ms: whole_ms(loan.term),
        renewed: loan.renewed,
        renewed_term_ms: whole_ms(loan.renewed_term),
        spare_tokens: loan.spare_tokens,
        spare_rate_per_s: loan.spare_rate_per_s,
    }
}

fn borrow_request(
    shared: &Shared,
    organisation: &str,
    request: LoanRequest,
    table_version: u64,
) -> proto::BorrowRequest {
    proto::BorrowRequest {
        organisation: organisation.to_owned(),
        instance: shared.settings.instance.to_string(),
        incarnation: shared.incarnation,
        table_version,
        tokens: request.tokens,
        rate_per_s: request.rate_per_s,
        term_ms: whole_ms(request.term),
        sequence: request.sequence,
        burst: request.burst,
        renew: request.renew,
        returned: request
            .returned
            .into_iter()
            .map(|returned| proto::ReturnedLoan { sequence: returned.id, tokens: returned.tokens })
            .collect(),
    }
}

fn loan_request(message: proto::BorrowRequest) -> LoanRequest {
    LoanRequest {
        sequence: message.sequence,
        rate_per_s: finite(message.rate_per_s),
        burst: finite(message.burst),
        tokens: finite(message.tokens),
        term: Duration::from_millis(message.term_ms),
        renew: message.renew,
        returned: message
            .returned
            .into_iter()
            .map(|returned| ReturnedLoan { id: returned.sequence, tokens: finite(returned.tokens) })
            .collect(),
    }
}

fn loan(message: proto::BorrowReply) -> LoanReply {
    LoanReply {
        rate_per_s: finite(message.rate_per_s),
        burst: finite(message.burst),
        tokens: finite(message.tokens),
        term: Duration::from_millis(message.term_ms),
        renewed: message.renewed,
        renewed_term: Duration::from_millis(message.renewed_term_ms),
        spare_tokens: finite(message.spare_tokens),
        spare_rate_per_s: finite(message.spare_rate_per_s),
    }
}

/// Amounts of a faulty peer must not spoil the sums.
fn finite(amount: f64) -> f64 {
    if amount.is_finite() { amount.max(0.0) } else { 0.0 }
}

/// Rounds down, so that a term never becomes longer on the wire.
fn whole_ms(term: Duration) -> u64 {
    clock::millis(term)
}

fn count_bytes(counters: &LoanCounters, message: &impl prost::Message) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    counters.bytes.fetch_add(bytes, Ordering::Relaxed);
}
