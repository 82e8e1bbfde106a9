//! The account of one organisation at one node: its share, its token bucket and its loans.

use std::{collections::HashMap, time::Duration};

use serde::Serialize;

use crate::{
    clock::Timestamp,
    names::{Incarnation, InstanceName},
    rate::{
        Demand, LoanId, LoanReply, LoanRequest,
        loan::{MAX_CLOCK_DRIFT, expiry_and_term},
    },
};

/// Tolerance for rounding errors in sums of loans and tokens.
const ROUNDING: f64 = 1e-9;
/// Maximum number of loans of one organisation from one lender to one borrower. The limit keeps a
/// faulty peer from exhausting memory.
const MAX_LOANS_PER_PEER: usize = 8;
/// Smallest loan as a fraction of the lender's share; a smaller one is not worth its message.
const MIN_LOAN_FRACTION: f64 = 0.01;
/// Burst capacity that a lender keeps together with any rate that it keeps. With less, tokens are
/// dropped before a request takes them.
const MIN_KEPT_BURST: f64 = 2.0;
/// Ratio of the rate that a node holds to its predicted demand, to cover the demand's variation.
const RATE_HEADROOM_FACTOR: f64 = 1.1;
/// Token reserve that a bucket should hold, in seconds of the predicted demand.
const TOKEN_RESERVE_S: f64 = 0.25;
/// Additional token reserve, in standard deviations of one second's demand.
const TOKEN_RESERVE_DEVIATIONS: f64 = 2.0;
/// Demand below which a node reserves nothing and borrows only for single requests. One request
/// yields a predicted demand of 0.5/s, which is no evidence of further requests.
const MIN_DEMAND_PER_S: f64 = 0.75;
/// Maximum number of times that one loan request is sent. With 20 % message loss in each
/// direction, one request in 60 fails.
const MAX_ATTEMPTS: u32 = 4;
/// Longest time until a node that has joined holds a share: the time until its table version
/// settles, rounded up.
const MAX_SHARE_DELAY_S: f64 = 5.0;
/// Lowest rate that an organisation can be configured with.
const MIN_RATE_PER_S: f64 = 0.001;
/// Period after an unmet loan request of another node in which this node keeps only what its most
/// recent demand needs.
const CONTENTION_PERIOD: Duration = Duration::from_millis(500);

/// A rate limit, or a part of one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Bucket capacity, in requests.
    pub burst: f64,
}

impl Allowance {
    fn scaled_by(self, share: f64) -> Self {
        Self { rate_per_s: self.rate_per_s * share, burst: self.burst * share }
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            rate_per_s: (self.rate_per_s - other.rate_per_s).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    fn add(self, other: Self) -> Self {
        Self { rate_per_s: self.rate_per_s + other.rate_per_s, burst: self.burst + other.burst }
    }
}

/// The lender or borrower of a loan: one process of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Peer {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation, which identifies the process under that name.
    pub incarnation: Incarnation,
}

/// A loan that has not expired, as recorded by its lender or its borrower.
#[derive(Debug, Clone)]
pub(super) struct ActiveLoan {
    pub peer: Peer,
    pub id: LoanId,
    pub amount: Allowance,
    pub until: Timestamp,
    /// Tokens that were transferred when the loan began.
    pub tokens: f64,
    /// Term that the lender replied with.
    pub term: Duration,
}

/// A loan request without a reply so far.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub request: LoanRequest,
    pub lender: Peer,
    /// Time of the first attempt; the term of the loan counts from here.
    pub first_sent_at: Timestamp,
    pub attempts: u32,
    /// The last attempt timed out, so the request must be sent again.
    pub needs_resend: bool,
}

/// What a peer's last reply says about the capacity that it can lend.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerHint {
    pub spare_tokens: f64,
    pub spare_rate_per_s: f64,
    pub received_at: Timestamp,
    /// Until then the peer is treated as having nothing to lend.
    pub empty_until: Timestamp,
    /// Last pause of loan requests to this peer; zero after it granted a loan.
    pub backoff: Duration,
}

/// Result of charging one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// A token was taken. The caller must call [`Account::spend`] or [`Account::refund`].
    Admitted,
    /// The node has no valid lease on its row, so it must not use its share.
    NoLease,
    /// The bucket is empty.
    Empty {
        /// Time until the bucket accrues a token at its own rate.
        retry_after: Duration,
        /// A token may become available within [`Account::MAX_WAIT`], from a peer or by accrual.
        may_wait: bool,
    },
}

/// The share, token bucket and loans of one organisation at one node.
#[derive(Debug, Clone, Default)]
pub struct Account {
    pub(super) total: Allowance,
    share: f64,
    /// Share according to a table version that this node has not adopted yet.
    prepared_share: Option<f64>,
    pub(super) tokens: f64,
    /// Charges that were neither spent nor refunded.
    open_charges: u32,
    /// Time up to which tokens have accrued.
    updated_at: Timestamp,
    lease_until: Timestamp,
    pub(super) lent: Vec<ActiveLoan>,
    pub(super) borrowed: Vec<ActiveLoan>,
    pub(super) pending: Vec<PendingRequest>,
    pub(super) hints: HashMap<Peer, PeerHint>,
    /// Sequence number of the last loan request received from each peer.
    pub(super) last_sequences: HashMap<Peer, LoanId>,
    pub(super) demand: Demand,
    pub(super) last_sent_sequence: LoanId,
    /// Requests that are waiting for a token.
    pub(super) waiting: u32,
    /// Until then another node is considered to lack what this node reserves.
    pub(super) contested_until: Timestamp,
    /// Until then no loans are requested, because no peer had anything to lend.
    pub(super) requests_paused_until: Timestamp,
    /// Last pause of loan requests to all peers; zero after one of them granted a loan.
    pub(super) request_pause: Duration,
    /// Unsuccessful loan requests, decaying over time.
    pub(super) failed_requests: f64,
    /// When `failed_requests` was last reduced by its decay.
    pub(super) failed_requests_at: Timestamp,
}

/// State of an account as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountSnapshot {
    /// Rate and burst of the organisation across all nodes.
    #[serde(rename = "whole")]
    pub total: Allowance,
    /// The node's share before loans.
    pub base: Allowance,
    /// What the node holds: its share, less the loans granted, plus the loans taken.
    pub usable: Allowance,
    /// Sum of the loans granted to other nodes.
    pub lent: Allowance,
    /// Sum of the loans taken from other nodes.
    pub borrowed: Allowance,
    /// Number of loans granted to other nodes.
    pub loans_given: usize,
    /// Number of loans taken from other nodes.
    pub loans_taken: usize,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Predicted requests per second.
    pub predicted_per_s: f64,
    /// Requests that are waiting for a token.
    pub waiting: u32,
}

impl Account {
    /// Sets the organisation's rate and burst. Tokens beyond the new capacity are dropped; a larger
    /// capacity adds no tokens.
    pub fn set_total(&mut self, total: Allowance, now: Timestamp) {
        self.accrue(now);
        self.total = total;
        self.drop_excess_tokens();
    }

    /// Sets the node's share of the organisation's rate and burst, from the adopted table version.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        self.accrue(now);
        self.share = share;
        self.prepared_share = None;
        self.drop_excess_tokens();
    }

    /// Limits the node to its share in a new table version before it adopts that version.
    ///
    /// Returns whether the loans granted fit into the new share. The node may adopt the version
    /// only if they do, because other nodes use the rest of its old share once all nodes have
    /// adopted the version.
    pub fn prepare_share(&mut self, share: f64, now: Timestamp) -> bool {
        self.accrue(now);
        self.prepared_share = Some(share);
        self.drop_excess_tokens();
        self.loans_fit()
    }

    /// Takes a token for a request. `is_repeat` marks a further attempt for a request that has
    /// waited; it is not counted as demand again.
    pub fn charge(&mut self, now: Timestamp, lease_until: Timestamp, is_repeat: bool) -> Charge {
        self.advance(now, lease_until);
        if !is_repeat {
            self.demand.record_arrival(now);
        }
        if now >= lease_until {
            return Charge::NoLease;
        }
        if self.tokens + ROUNDING >= 1.0 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.open_charges += 1;
            return Charge::Admitted;
        }
        let retry_after = self.time_until_token();
        Charge::Empty { retry_after, may_wait: self.may_wait(now, retry_after) }
    }

    /// Finalises a charge: the request was sent on, so its token cannot be refunded any more.
    pub fn spend(&mut self) {
        self.open_charges = self.open_charges.saturating_sub(1);
    }

    /// Returns the token of a charged request that was refused before it left the node.
    pub fn refund(&mut self, now: Timestamp) {
        self.accrue(now);
        self.open_charges = self.open_charges.saturating_sub(1);
        self.tokens += 1.0;
        self.drop_excess_tokens();
    }

    /// Counts a request that starts to wait for a token.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that stops waiting, with or without a token.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether this node recently could not spare what another node requested as a loan.
    pub fn is_contested(&self, now: Timestamp) -> bool {
        now < self.contested_until
    }

    /// Handles a loan request of another node. What it lends is deducted from this account before
    /// the reply is sent.
    pub fn handle_loan_request(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        now: Timestamp,
        lease_until: Timestamp,
    ) -> LoanReply {
        self.advance(now, lease_until);
        for returned in &request.returned {
            self.accept_return(borrower, returned.id, returned.tokens);
        }
        let mut reply = LoanReply::default();
        let last_sequence = self.last_sequences.entry(borrower.clone()).or_default();
        if request.sequence < *last_sequence || now >= lease_until {
            return reply;
        }
        let is_repeated = request.sequence == *last_sequence;
        *last_sequence = request.sequence;
        let Some((until, term)) = expiry_and_term(now, request.term, lease_until) else {
            return reply;
        };
        self.renew_granted(borrower, request, until, &mut reply);
        if !reply.renewed.is_empty() {
            reply.renewed_term = term;
        }
        if is_repeated {
            self.repeat_reply(borrower, request, &mut reply);
        } else if request.wants_loan() {
            self.grant_loan(borrower, request, until, term, &mut reply);
            if reply.term.is_zero() && !self.is_contested(now) {
                // Another node lacks tokens, so lend also what is reserved for a demand that may
                // have ended.
                self.contested_until = now + CONTENTION_PERIOD;
                self.grant_loan(borrower, request, until, term, &mut reply);
            }
            if reply.term.is_zero() {
                self.contested_until = now + CONTENTION_PERIOD;
            }
        }
        let (spare, spare_tokens) = self.spare();
        reply.spare_tokens = spare_tokens;
        reply.spare_rate_per_s = spare.rate_per_s;
        reply
    }

    /// Applies a lender's reply. Replies to requests that were given up are ignored.
    pub fn receive_reply(
        &mut self,
        lender: &Peer,
        sequence: LoanId,
        reply: &LoanReply,
        now: Timestamp,
    ) {
        self.accrue(now);
        let Some(index) = self
            .pending
            .iter()
            .position(|pending| pending.request.sequence == sequence && pending.lender == *lender)
        else {
            return;
        };
        let pending = self.pending.remove(index);
        let renewed_until = pending.first_sent_at + reply.renewed_term;
        for borrowed in &mut self.borrowed {
            if borrowed.peer == *lender && reply.renewed.contains(&borrowed.id) {
                borrowed.until = borrowed.until.max(renewed_until);
            }
        }
        let until = pending.first_sent_at + reply.term;
        let is_refused = reply.term.is_zero();
        if !is_refused && until > now {
            let amount = Allowance { rate_per_s: reply.rate_per_s, burst: reply.burst };
            let (term, tokens) = (reply.term, reply.tokens.min(reply.burst));
            let peer = lender.clone();
            self.borrowed.push(ActiveLoan { peer, id: sequence, amount, until, tokens, term });
            self.tokens += tokens;
            self.drop_excess_tokens();
        }
        if pending.request.wants_loan() {
            self.record_hint(lender, reply, now);
        }
    }

    /// Records that a loan request timed out. [`Self::plan_loan_requests`] sends the same request
    /// again a limited number of times, and the lender answers it with the same loan.
    pub fn mark_unanswered(&mut self, lender: &Peer, sequence: LoanId, now: Timestamp) {
        let mut given_up = false;
        self.pending.retain_mut(|pending| {
            if pending.request.sequence != sequence || pending.lender != *lender {
                return true;
            }
            pending.needs_resend = true;
            given_up = pending.attempts >= MAX_ATTEMPTS;
            !given_up
        });
        if given_up {
            self.mark_empty(lender, now);
        }
    }

    /// Drops what is recorded about peers that are no longer in the table.
    pub fn retain_peers(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.hints.retain(|peer, _| keep(peer));
        // A borrower that left the table has no valid lease, so a delayed loan request of it
        // cannot let it admit anything.
        self.last_sequences.retain(|peer, _| keep(peer));
    }

    /// Whether the account can be dropped: no loan is outstanding and no charge is open.
    pub fn is_idle(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.open_charges == 0
    }

    /// Whether a request could be admitted now, so that waiting requests should be woken.
    pub fn has_token(&self) -> bool {
        self.tokens + ROUNDING >= 1.0
    }

    /// State of the account as reported to operators.
    pub fn snapshot(&mut self, now: Timestamp) -> AccountSnapshot {
        self.accrue(now);
        AccountSnapshot {
            total: self.total,
            base: self.base(),
            usable: self.usable(),
            lent: self.lent(),
            borrowed: sum_loans(&self.borrowed),
            loans_given: self.lent.len(),
            loans_taken: self.borrowed.len(),
            tokens: self.tokens,
            predicted_per_s: self.demand.predicted_per_s(now),
            waiting: self.waiting,
        }
    }

    /// Accrues tokens up to `now` and stores the end of the node's lease.
    ///
    /// While the lease was expired, a newer table version may have assigned the share to other
    /// nodes, so the bucket is emptied after an expiry.
    pub(super) fn advance(&mut self, now: Timestamp, lease_until: Timestamp) {
        let was_expired = now >= self.lease_until;
        self.accrue(now);
        if was_expired {
            self.tokens = 0.0;
        }
        self.lease_until = lease_until;
    }

    /// The node's share before loans.
    pub(super) fn base(&self) -> Allowance {
        self.total
            .scaled_by(self.prepared_share.map_or(self.share, |prepared| prepared.min(self.share)))
    }

    /// Sum of the loans granted to other nodes.
    pub(super) fn lent(&self) -> Allowance {
        sum_loans(&self.lent)
    }

    /// The share less the loans granted; only this can be lent, so that loans are not passed on.
    pub(super) fn unlent(&self) -> Allowance {
        self.base().saturating_sub(self.lent())
    }

    /// What the node may use: its share, less the loans granted, plus the loans taken.
    pub(super) fn usable(&self) -> Allowance {
        self.unlent().add(sum_loans(&self.borrowed))
    }

    /// Rate and burst that this node should hold now; less while another node lacks some.
    pub(super) fn current_need(&self, now: Timestamp) -> Allowance {
        match self.is_contested(now) {
            // Omits the headroom, because another node lacks what is spare here.
            true => self.allowance_for(self.demand.recent_per_s(now) / RATE_HEADROOM_FACTOR),
            false => self.predicted_need(now),
        }
    }

    /// Rate and burst that the predicted demand requires.
    pub(super) fn predicted_need(&self, now: Timestamp) -> Allowance {
        let rate_per_s = self.allowance_for(self.demand.predicted_per_s(now)).rate_per_s;
        // The sustained rate excludes a burst that has ended, for which the node must not hoard
        // tokens.
        let burst = self.allowance_for(self.demand.sustained_per_s(now)).burst;
        Allowance { rate_per_s, burst }
    }

    /// Rate and burst that a given demand requires.
    pub(super) fn allowance_for(&self, demand_per_s: f64) -> Allowance {
        if demand_per_s < MIN_DEMAND_PER_S || self.total.rate_per_s <= 0.0 {
            return Allowance::default();
        }
        let rate_per_s = (demand_per_s * RATE_HEADROOM_FACTOR).min(self.total.rate_per_s);
        // The burst is divided in proportion to the rate, so that one node does not hoard it.
        let part = self.total.burst * rate_per_s / self.total.rate_per_s;
        let reserve =
            demand_per_s * TOKEN_RESERVE_S + TOKEN_RESERVE_DEVIATIONS * demand_per_s.sqrt();
        let burst = reserve.min(part).max(1.0).min(self.total.burst);
        Allowance { rate_per_s, burst }
    }

    fn time_until_token(&self) -> Duration {
        let rate_per_s = self.usable().rate_per_s.max(self.base().rate_per_s);
        let missing_tokens = f64::from(self.waiting) + 1.0 - self.tokens;
        let seconds = if rate_per_s > 0.0 { missing_tokens / rate_per_s } else { f64::MAX };
        // A node with little or no share receives one when the table version settles, or a loan
        // earlier.
        let longest =
            missing_tokens / self.total.rate_per_s.max(MIN_RATE_PER_S) + MAX_SHARE_DELAY_S;
        Duration::from_secs_f64(seconds.min(longest).clamp(0.001, 60.0))
    }

    fn loans_fit(&self) -> bool {
        let (base, lent) = (self.base(), self.lent());
        lent.rate_per_s <= base.rate_per_s + ROUNDING && lent.burst <= base.burst + ROUNDING
    }

    fn renew_granted(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        until: Timestamp,
        reply: &mut LoanReply,
    ) {
        // After the share has shrunk, loans beyond it must expire, because other nodes take over
        // that part of the share.
        if !self.loans_fit() {
            return;
        }
        let base = self.base();
        // A loan is renewed even while requests wait here: if it expired, its rate would be unused
        // between the end of the term at the borrower and the later one here, and the borrower
        // returns what it does not need. Rate without burst capacity is wasted, so a node that
        // holds such rate lets loans with burst expire.
        let usable = self.usable();
        let lacks_burst = base.burst >= MIN_KEPT_BURST
            && usable.burst < MIN_KEPT_BURST
            && usable.rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION;
        for lent in &mut self.lent {
            if lacks_burst && lent.amount.burst > 0.0 {
                continue;
            }
            if lent.peer == *borrower && request.renew.contains(&lent.id) {
                lent.until = lent.until.max(until);
                reply.renewed.push(lent.id);
            }
        }
    }

    /// Fills the reply to a repeated request with the loan that was granted to the first copy.
    fn repeat_reply(&self, borrower: &Peer, request: &LoanRequest, reply: &mut LoanReply) {
        let known = self.lent.iter().find(|it| it.peer == *borrower && it.id == request.sequence);
        if let Some(known) = known {
            reply.rate_per_s = known.amount.rate_per_s;
            reply.burst = known.amount.burst;
            reply.tokens = known.tokens;
            reply.term = known.term;
        }
    }

    fn grant_loan(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        until: Timestamp,
        term: Duration,
        reply: &mut LoanReply,
    ) {
        let loans = self.lent.iter().filter(|lent| lent.peer == *borrower).count();
        if loans >= MAX_LOANS_PER_PEER || self.waiting > 0 {
            return;
        }
        let base = self.base();
        let (spare, spare_tokens) = self.spare();
        let rate_per_s = request.rate_per_s.min(spare.rate_per_s).max(0.0);
        let tokens = request.tokens.min(spare_tokens).max(0.0);
        // Lent capacity beyond the lent tokens must be unfilled here, or tokens would be dropped.
        let free = self.usable().burst - (self.tokens - tokens) - f64::from(self.open_charges);
        let burst = request.burst.max(tokens).min(spare.burst).min(free).max(0.0);
        let tokens = tokens.min(burst);
        // Rate without burst capacity is wasted, so rate is lent at least in proportion to burst.
        let unlent_burst = self.unlent().burst;
        let part = if unlent_burst > 0.0 { burst / unlent_burst } else { 0.0 };
        let rate_per_s = rate_per_s.max(spare.rate_per_s * part.min(1.0));
        let is_worthwhile = rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION
            || tokens > (base.burst * MIN_LOAN_FRACTION).min(1.0);
        if !is_worthwhile {
            return;
        }
        let keeps_rate =
            self.unlent().rate_per_s - rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION;
        // Rate that is kept needs burst capacity, or tokens are dropped before a request takes
        // them.
        let lendable_burst = match keeps_rate && base.burst >= MIN_KEPT_BURST {
            true => (unlent_burst - MIN_KEPT_BURST).max(0.0),
            false => unlent_burst,
        };
        let (burst, tokens) = (burst.min(lendable_burst), tokens.min(lendable_burst));
        self.tokens -= tokens;
        let amount = Allowance { rate_per_s, burst };
        let (peer, id) = (borrower.clone(), request.sequence);
        self.lent.push(ActiveLoan { peer, id, amount, until, tokens, term });
        self.drop_excess_tokens();
        reply.term = term;
        reply.rate_per_s = rate_per_s;
        reply.burst = burst;
        reply.tokens = tokens;
    }

    /// Rate, burst and tokens that the node can lend beyond its current need.
    fn spare(&self) -> (Allowance, f64) {
        let unlent = self.unlent();
        let needed = self.current_need(self.updated_at);
        let kept = needed.saturating_sub(sum_loans(&self.borrowed));
        let spare = unlent.saturating_sub(kept);
        // The bucket may hold fewer tokens than its reserve for some time.
        let tokens = (self.tokens - needed.burst).clamp(0.0, spare.burst);
        (spare, tokens)
    }

    /// Ends a loan that its borrower returned early.
    fn accept_return(&mut self, borrower: &Peer, id: LoanId, tokens: f64) {
        let Some(index) = self.lent.iter().position(|lent| lent.peer == *borrower && lent.id == id)
        else {
            return;
        };
        let lent = self.lent.remove(index);
        if tokens.is_finite() {
            self.tokens += tokens.clamp(0.0, lent.amount.burst);
        }
        self.drop_excess_tokens();
    }

    /// Accrues tokens up to `now`; a loan that expires earlier counts until its expiry.
    pub(super) fn accrue(&mut self, now: Timestamp) {
        while let Some(end) = self.next_expiry().filter(|end| *end <= now) {
            self.accrue_until(end);
            self.lent.retain(|lent| lent.until > end);
            self.borrowed.retain(|borrowed| borrowed.until > end);
            self.drop_excess_tokens();
        }
        self.accrue_until(now);
    }

    fn next_expiry(&self) -> Option<Timestamp> {
        self.lent.iter().chain(&self.borrowed).map(|it| it.until).min()
    }

    fn accrue_until(&mut self, until: Timestamp) {
        let elapsed = until.saturating_sub(self.updated_at);
        // Reduced by the maximum drift, so that a fast clock does not admit more than the rate.
        self.tokens += elapsed.as_secs_f64() * self.usable().rate_per_s * (1.0 - MAX_CLOCK_DRIFT);
        self.updated_at = self.updated_at.max(until);
        self.drop_excess_tokens();
    }

    /// Drops tokens beyond the capacity. Charged tokens that may still be refunded count towards
    /// the capacity.
    fn drop_excess_tokens(&mut self) {
        let capacity = self.usable().burst - f64::from(self.open_charges);
        self.tokens = self.tokens.min(capacity).max(0.0);
    }
}

fn sum_loans(loans: &[ActiveLoan]) -> Allowance {
    loans.iter().fold(Allowance::default(), |sum, it| sum.add(it.amount))
}
