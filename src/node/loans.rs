//! Actor that borrows parts of organisations' rates from other nodes and returns them.

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

/// Interval at which loan requests are planned while no request waits for a token.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two plans while requests wait for tokens.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a loan request without a reply is treated as lost.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Counters of loan messages.
#[derive(Debug, Default)]
pub struct LoanCounters {
    /// Loan requests sent to other nodes.
    pub requests_sent: AtomicU64,
    /// Loan requests of other nodes that were answered.
    pub requests_answered: AtomicU64,
    /// Bytes of the requests sent and of the replies received, without HTTP/2 framing.
    pub bytes: AtomicU64,
}

/// Actor that borrows parts of organisations' rates from other nodes and returns them.
pub struct LoansActor {
    shared: Arc<Shared>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    budget: LoanRequestBudget,
}

/// Plans and sends the loan requests of all accounts.
struct PlanLoans;

impl Actor for LoansActor {
    type Args = Arc<Shared>;
    type Error = kameo::error::Infallible;

    async fn on_start(shared: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(trigger_planning(shared.clone(), actor, stop.clone()));
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

impl Message<PlanLoans> for LoansActor {
    type Reply = ();

    async fn handle(&mut self, _: PlanLoans, _ctx: &mut Context<Self, Self::Reply>) {
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
        for (name, cell) in shared.rates.accounts().iter() {
            let now = clock::now();
            let available = self.budget.available_requests(now);
            let lease_until = shared.lease.row_until();
            let requests = cell.with_account(shared, name, now, |account| {
                account.retain_peers(|peer| peers.contains(peer));
                account.plan_loan_requests(&peers, now, lease_until, available, &mut rand::rng())
            });
            self.budget.spend(requests.len());
            for outgoing in requests {
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
                    send_loan_request(&shared, name, &cell, outgoing, address, version).await;
                });
            }
        }
    }
}

/// Triggers planning every [`PLAN_INTERVAL`], or earlier while requests wait for tokens.
async fn trigger_planning(
    shared: Arc<Shared>,
    actor: ActorRef<LoansActor>,
    stop: CancellationToken,
) {
    loop {
        // `ask` waits until the actor has planned, so a busy node plans less often.
        if actor.ask(PlanLoans).await.is_err() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(PLAN_INTERVAL) => {}
            () = async {
                tokio::time::sleep(MIN_PLAN_INTERVAL).await;
                shared.rates.planning_needed.notified().await;
            } => {}
            () = stop.cancelled() => return,
        }
    }
}

/// Sends a loan request and applies the reply to the account.
async fn send_loan_request(
    shared: &Shared,
    organisation: OrganisationName,
    cell: &AccountCell,
    outgoing: OutgoingLoanRequest,
    address: std::net::SocketAddr,
    table_version: u64,
) {
    let OutgoingLoanRequest { lender, request } = outgoing;
    let sequence = request.sequence;
    let message = loan_request_to_proto(shared, &organisation, request, table_version);
    let counters = &shared.loan_counters;
    counters.requests_sent.fetch_add(1, Ordering::Relaxed);
    count_bytes(counters, &message);
    let mut client = shared.peers.client(address);
    let reply = timeout(LOAN_REQUEST_TIMEOUT, client.borrow(message)).await;
    let now = clock::now();
    match reply {
        Ok(Ok(reply)) => {
            let reply = reply.into_inner();
            count_bytes(counters, &reply);
            let loan = loan_reply_from_proto(reply);
            cell.with_account(shared, &organisation, now, |account| {
                account.receive_reply(&lender, sequence, &loan, now);
            });
        }
        Ok(Err(status)) => {
            log::debug!(
                "loan request to {} failed: {}; the next plan may send it again",
                lender.instance,
                status.message()
            );
            cell.with_account(shared, &organisation, now, |account| {
                account.mark_unanswered(&lender, sequence, now)
            });
        }
        Err(_) => {
            log::debug!(
                "{} did not answer a loan request within {LOAN_REQUEST_TIMEOUT:?}; the next plan \
                 may send it again",
                lender.instance
            );
            cell.with_account(shared, &organisation, now, |account| {
                account.mark_unanswered(&lender, sequence, now)
            });
        }
    }
    cell.wake_waiters();
}

/// Answers a loan request of another node; the reply is empty if nothing is lent.
pub fn handle_loan_request(shared: &Shared, message: proto::BorrowRequest) -> proto::BorrowReply {
    let now = clock::now();
    let borrower =
        Peer { instance: message.instance.as_str().into(), incarnation: message.incarnation };
    let view = shared.view.load();
    let row = view.table.row(&borrower.instance);
    // Only rows of the table may borrow, so the number of borrowers kept is bounded by the table.
    if row.is_none_or(|row| row.incarnation != borrower.incarnation) {
        return proto::BorrowReply::default();
    }
    let Some(cell) = shared.rates.account(shared, &message.organisation) else {
        return proto::BorrowReply::default();
    };
    let organisation = message.organisation.clone();
    let request = loan_request_from_proto(message);
    let returned = !request.returned.is_empty();
    let lease_until = shared.lease.row_until();
    let (loan, contested) = cell.with_account(shared, &organisation, now, |account| {
        let loan = account.handle_loan_request(&borrower, &request, now, lease_until);
        (loan, account.is_contested(now))
    });
    shared.loan_counters.requests_answered.fetch_add(1, Ordering::Relaxed);
    if returned {
        cell.wake_waiters();
    }
    if contested {
        // Planning returns the loans that this node no longer needs.
        shared.rates.planning_needed.notify_one();
    }
    proto::BorrowReply {
        tokens: loan.tokens,
        rate_per_s: loan.rate_per_s,
        burst: loan.burst,
        term_ms: floor_ms(loan.term),
        renewed: loan.renewed,
        renewed_term_ms: floor_ms(loan.renewed_term),
        spare_tokens: loan.spare_tokens,
        spare_rate_per_s: loan.spare_rate_per_s,
    }
}

fn loan_request_to_proto(
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
        term_ms: floor_ms(request.term),
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

fn loan_request_from_proto(message: proto::BorrowRequest) -> LoanRequest {
    LoanRequest {
        sequence: message.sequence,
        rate_per_s: sanitize_amount(message.rate_per_s),
        burst: sanitize_amount(message.burst),
        tokens: sanitize_amount(message.tokens),
        term: Duration::from_millis(message.term_ms),
        renew: message.renew,
        returned: message
            .returned
            .into_iter()
            .map(|returned| ReturnedLoan {
                id: returned.sequence,
                tokens: sanitize_amount(returned.tokens),
            })
            .collect(),
    }
}

fn loan_reply_from_proto(message: proto::BorrowReply) -> LoanReply {
    LoanReply {
        rate_per_s: sanitize_amount(message.rate_per_s),
        burst: sanitize_amount(message.burst),
        tokens: sanitize_amount(message.tokens),
        term: Duration::from_millis(message.term_ms),
        renewed: message.renewed,
        renewed_term: Duration::from_millis(message.renewed_term_ms),
        spare_tokens: sanitize_amount(message.spare_tokens),
        spare_rate_per_s: sanitize_amount(message.spare_rate_per_s),
    }
}

/// Replaces an infinite, undefined or negative amount from a faulty peer by 0, so that it does not
/// corrupt the sums of the account.
fn sanitize_amount(amount: f64) -> f64 {
    if amount.is_finite() { amount.max(0.0) } else { 0.0 }
}

/// Converts to milliseconds and rounds down, so that a term never becomes longer on the wire.
fn floor_ms(term: Duration) -> u64 {
    clock::to_millis(term)
}

fn count_bytes(counters: &LoanCounters, message: &impl prost::Message) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    counters.bytes.fetch_add(bytes, Ordering::Relaxed);
}
