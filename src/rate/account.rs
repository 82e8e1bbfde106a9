//! One organisation at one node: its share, its bucket and its loans.

use std::{collections::HashMap, time::Duration};

use serde::Serialize;

use crate::{
    clock::Timestamp,
    names::{Incarnation, InstanceName},
    rate::{
        Demand, LoanId, LoanReply, LoanRequest,
        loan::{CLOCK_DRIFT, terms},
    },
};

/// Sums of loans differ from whole tokens by rounding errors of this order.
const ROUNDING: f64 = 1e-9;
/// Loans that one borrower may hold of one organisation at one lender; more would let a faulty
/// peer fill the memory.
const MAX_LOANS_PER_PEER: usize = 8;
/// Part of its share below which a node's spare rate or burst is not worth a loan.
const MIN_LOAN_FRACTION: f64 = 0.01;
/// Burst capacity that a lender keeps beside rate that it keeps.
const MIN_ROOM: f64 = 2.0;
/// Part of the predicted demand that is held beyond it, for its variation.
const RATE_HEADROOM: f64 = 1.1;
/// Time of the predicted demand that a bucket should hold.
const STOCK_SECONDS: f64 = 0.25;
/// Standard deviations of one second's demand that a bucket should hold beyond that.
const STOCK_DEVIATIONS: f64 = 2.0;
/// Below this demand a node keeps nothing for itself and borrows for single requests only. One
/// request makes a predicted demand of 0.5 a second, which is no evidence of more to come.
const NO_DEMAND_PER_S: f64 = 0.75;
/// Times that one ask is sent; at a loss of a fifth of all messages, one in 60 asks fails.
const MAX_TRIES: u32 = 4;
/// Time until a node that has joined holds a share: settlement, rounded up.
const MAX_SHARE_DELAY_S: f64 = 5.0;
/// Lowest rate that an organisation can have.
const MIN_RATE_PER_S: f64 = 0.001;
/// Time in which another node's unanswered ask makes this one give back what it can spare.
const CONTESTED: Duration = Duration::from_millis(500);

/// Rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Allowance {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests at once.
    pub burst: f64,
}

impl Allowance {
    fn part(self, share: f64) -> Self {
        Self { rate_per_s: self.rate_per_s * share, burst: self.burst * share }
    }

    fn less(self, other: Self) -> Self {
        Self {
            rate_per_s: (self.rate_per_s - other.rate_per_s).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    fn plus(self, other: Self) -> Self {
        Self { rate_per_s: self.rate_per_s + other.rate_per_s, burst: self.burst + other.burst }
    }
}

/// A node as a party to a loan.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Peer {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process under that name.
    pub incarnation: Incarnation,
}

/// A loan, at the lender or at the borrower.
#[derive(Debug, Clone)]
pub(super) struct Moved {
    pub peer: Peer,
    pub id: LoanId,
    pub amount: Allowance,
    pub until: Timestamp,
    /// Tokens that moved at the start.
    pub tokens: f64,
    /// Term that the lender answered.
    pub term: Duration,
}

/// An ask whose answer has not come.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub request: LoanRequest,
    pub lender: Peer,
    /// When it was sent for the first time; the term counts from here.
    pub sent: Timestamp,
    pub tries: u32,
    /// No answer came to the last try.
    pub unanswered: bool,
}

/// What is known of a peer's spare part.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hint {
    pub spare_tokens: f64,
    pub spare_rate_per_s: f64,
    pub learnt: Timestamp,
    pub dry_until: Timestamp,
    pub backoff: Duration,
}

/// Decision about one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// A token was taken; [`Account::spend`] or [`Account::refund`] must follow.
    Admitted,
    /// The node may not use its share now.
    NoLease,
    /// The bucket is empty.
    Empty {
        /// Time until the bucket has a token by its own rate.
        retry_after: Duration,
        /// A token may come within milliseconds, from a peer or by the bucket's rate.
        may_wait: bool,
    },
}

/// One organisation at one node.
#[derive(Debug, Clone, Default)]
pub struct Account {
    pub(super) total: Allowance,
    share: f64,
    /// Share under a table version that is not adopted yet.
    coming_share: Option<f64>,
    pub(super) tokens: f64,
    held: u32,
    updated: Timestamp,
    lease_until: Timestamp,
    pub(super) lent: Vec<Moved>,
    pub(super) borrowed: Vec<Moved>,
    pub(super) pending: Vec<Pending>,
    pub(super) hints: HashMap<Peer, Hint>,
    pub(super) last_sequences: HashMap<Peer, LoanId>,
    pub(super) demand: Demand,
    pub(super) next_sequence: LoanId,
    pub(super) waiting: u32,
    pub(super) contested_until: Timestamp,
    pub(super) dry_until: Timestamp,
    pub(super) dry_backoff: Duration,
    pub(super) vain_asks: f64,
    pub(super) vain_updated: Timestamp,
}

/// State of an account for people and programs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountSnapshot {
    /// The organisation's figures over all nodes.
    #[serde(rename = "whole")]
    pub total: Allowance,
    /// The node's share before loans.
    pub base: Allowance,
    /// What the node holds after loans.
    pub usable: Allowance,
    /// Sum of the loans given.
    pub lent: Allowance,
    /// Sum of the loans taken.
    pub borrowed: Allowance,
    /// Number of loans given.
    pub loans_given: usize,
    /// Number of loans taken.
    pub loans_taken: usize,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Predicted requests a second.
    pub predicted_per_s: f64,
    /// Requests that wait for a token.
    pub waiting: u32,
}

impl Account {
    /// Sets the organisation's figures; tokens beyond the new capacity are dropped, and more
    /// capacity brings no tokens.
    pub fn set_total(&mut self, total: Allowance, now: Timestamp) {
        self.accrue(now);
        self.total = total;
        self.clip();
    }

    /// Sets the node's share of the organisation's figures by the table in force.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        self.accrue(now);
        self.share = share;
        self.coming_share = None;
        self.clip();
    }

    /// Limits the node to the share that a table version gives it before the version is adopted.
    ///
    /// Returns whether the outstanding loans fit into it. The node may adopt the version only
    /// then, since other nodes take over what it lost once all have adopted it.
    pub fn prepare_share(&mut self, share: f64, now: Timestamp) -> bool {
        self.accrue(now);
        self.coming_share = Some(share);
        self.clip();
        self.loans_fit()
    }

    /// Charges a request, or tries again for one that waited.
    pub fn charge(&mut self, now: Timestamp, lease_until: Timestamp, is_repeat: bool) -> Charge {
        self.advance(now, lease_until);
        if !is_repeat {
            self.demand.arrived(now);
        }
        if now >= lease_until {
            return Charge::NoLease;
        }
        if self.tokens + ROUNDING >= 1.0 {
            self.tokens = (self.tokens - 1.0).max(0.0);
            self.held += 1;
            return Charge::Admitted;
        }
        let retry_after = self.time_until_token();
        Charge::Empty { retry_after, may_wait: self.may_wait(now, retry_after) }
    }

    /// The charged request leaves the node.
    pub fn spend(&mut self) {
        self.held = self.held.saturating_sub(1);
    }

    /// The charged request was refused before it left the node.
    pub fn refund(&mut self, now: Timestamp) {
        self.accrue(now);
        self.held = self.held.saturating_sub(1);
        self.tokens += 1.0;
        self.clip();
    }

    /// A request begins to wait for a token.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// A request ends its wait, with a token or without.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Another node asked in vain a short while ago.
    pub fn is_contested(&self, now: Timestamp) -> bool {
        now < self.contested_until
    }

    /// Answers another node's ask. What is lent is deducted here before the answer is sent.
    pub fn lend(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        now: Timestamp,
        lease_until: Timestamp,
    ) -> LoanReply {
        self.advance(now, lease_until);
        for returned in &request.returned {
            self.take_back(borrower, returned.id, returned.tokens);
        }
        let mut loan = LoanReply::default();
        let last = self.last_sequences.entry(borrower.clone()).or_default();
        if request.sequence < *last || now >= lease_until {
            return loan;
        }
        let repeated = request.sequence == *last;
        *last = request.sequence;
        let Some((until, term)) = terms(now, request.term, lease_until) else {
            return loan;
        };
        self.renew(borrower, request, until, &mut loan);
        if !loan.renewed.is_empty() {
            loan.renewed_term = term;
        }
        if repeated {
            self.repeat(borrower, request, &mut loan);
        } else if request.wants_loan() {
            self.lend_new(borrower, request, until, term, &mut loan);
            if loan.term.is_zero() && !self.is_contested(now) {
                // What is kept for a demand that may be over is lent when others lack it.
                self.contested_until = now + CONTESTED;
                self.lend_new(borrower, request, until, term, &mut loan);
            }
            if loan.term.is_zero() {
                self.contested_until = now + CONTESTED;
            }
        }
        let (spare, spare_tokens) = self.spare();
        loan.spare_tokens = spare_tokens;
        loan.spare_rate_per_s = spare.rate_per_s;
        loan
    }

    /// Books a peer's answer; answers to asks that were given up are ignored.
    pub fn receive_reply(
        &mut self,
        lender: &Peer,
        sequence: LoanId,
        loan: &LoanReply,
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
        let renewed_until = pending.sent + loan.renewed_term;
        for borrowed in &mut self.borrowed {
            if borrowed.peer == *lender && loan.renewed.contains(&borrowed.id) {
                borrowed.until = borrowed.until.max(renewed_until);
            }
        }
        let until = pending.sent + loan.term;
        let empty = loan.term.is_zero();
        if !empty && until > now {
            let amount = Allowance { rate_per_s: loan.rate_per_s, burst: loan.burst };
            let (term, tokens) = (loan.term, loan.tokens.min(loan.burst));
            let peer = lender.clone();
            self.borrowed.push(Moved { peer, id: sequence, amount, until, tokens, term });
            self.tokens += tokens;
            self.clip();
        }
        if pending.request.wants_loan() {
            self.learn(lender, loan, now);
        }
    }

    /// Takes note that no reply to a loan request came in time; [`Self::plan_loan_requests`] sends
    /// the same request again a few times, and the lender answers it with the same loan.
    pub fn mark_unanswered(&mut self, lender: &Peer, sequence: LoanId, now: Timestamp) {
        let mut given_up = false;
        self.pending.retain_mut(|pending| {
            if pending.request.sequence != sequence || pending.lender != *lender {
                return true;
            }
            pending.unanswered = true;
            given_up = pending.tries >= MAX_TRIES;
            !given_up
        });
        if given_up {
            self.mark_dry(lender, now);
        }
    }

    /// Forgets what is known of nodes that left the table.
    pub fn retain_peers(&mut self, keep: impl Fn(&Peer) -> bool) {
        self.hints.retain(|peer, _| keep(peer));
        // A borrower that left has no valid lease, so an old loan request of it cannot be of use
        // to it.
        self.last_sequences.retain(|peer, _| keep(peer));
    }

    /// No loan ties the account to another node, so it may be forgotten.
    pub fn is_idle(&self) -> bool {
        self.lent.is_empty() && self.borrowed.is_empty() && self.held == 0
    }

    /// Whether a request could be admitted now, for waking those that wait.
    pub fn has_token(&self) -> bool {
        self.tokens + ROUNDING >= 1.0
    }

    /// State for people and programs.
    pub fn snapshot(&mut self, now: Timestamp) -> AccountSnapshot {
        self.accrue(now);
        AccountSnapshot {
            total: self.total,
            base: self.base(),
            usable: self.usable(),
            lent: self.lent(),
            borrowed: sum(&self.borrowed),
            loans_given: self.lent.len(),
            loans_taken: self.borrowed.len(),
            tokens: self.tokens,
            predicted_per_s: self.demand.predicted_per_s(now),
            waiting: self.waiting,
        }
    }

    /// Brings the bucket to `now` and takes note of the lease.
    ///
    /// While the lease had lapsed another version may have given the share away, so a bucket
    /// that comes back from a lapse starts empty.
    pub(super) fn advance(&mut self, now: Timestamp, lease_until: Timestamp) {
        let lapsed = now >= self.lease_until;
        self.accrue(now);
        if lapsed {
            self.tokens = 0.0;
        }
        self.lease_until = lease_until;
    }

    pub(super) fn base(&self) -> Allowance {
        self.total.part(self.coming_share.map_or(self.share, |coming| coming.min(self.share)))
    }

    pub(super) fn lent(&self) -> Allowance {
        sum(&self.lent)
    }

    /// What is left of the share after the loans given; only this can be lent.
    pub(super) fn own(&self) -> Allowance {
        self.base().less(self.lent())
    }

    pub(super) fn usable(&self) -> Allowance {
        self.own().plus(sum(&self.borrowed))
    }

    /// Rate and burst that this node should hold.
    pub(super) fn need(&self, now: Timestamp) -> Allowance {
        match self.is_contested(now) {
            // Without the headroom, since another node lacks what is spare here.
            true => self.needed(self.demand.recent_per_s(now) / RATE_HEADROOM),
            false => self.predicted_need(now),
        }
    }

    /// Rate and burst that the predicted demand needs.
    pub(super) fn predicted_need(&self, now: Timestamp) -> Allowance {
        let rate_per_s = self.needed(self.demand.predicted_per_s(now)).rate_per_s;
        // A burst that is over needs no stock, so it does not make the node hoard tokens.
        let burst = self.needed(self.demand.lasting_per_s(now)).burst;
        Allowance { rate_per_s, burst }
    }

    /// Rate and burst that a demand needs.
    pub(super) fn needed(&self, demand_per_s: f64) -> Allowance {
        if demand_per_s < NO_DEMAND_PER_S || self.total.rate_per_s <= 0.0 {
            return Allowance::default();
        }
        let rate_per_s = (demand_per_s * RATE_HEADROOM).min(self.total.rate_per_s);
        // The burst is divided as the rate is, so that one node does not hoard it.
        let part = self.total.burst * rate_per_s / self.total.rate_per_s;
        let stock = demand_per_s * STOCK_SECONDS + STOCK_DEVIATIONS * demand_per_s.sqrt();
        let burst = stock.min(part).max(1.0).min(self.total.burst);
        Allowance { rate_per_s, burst }
    }

    fn time_until_token(&self) -> Duration {
        let rate_per_s = self.usable().rate_per_s.max(self.base().rate_per_s);
        let ahead = f64::from(self.waiting) + 1.0 - self.tokens;
        let seconds = if rate_per_s > 0.0 { ahead / rate_per_s } else { f64::MAX };
        // A node with little or no share gets one at settlement, or a loan before that.
        let longest = ahead / self.total.rate_per_s.max(MIN_RATE_PER_S) + MAX_SHARE_DELAY_S;
        Duration::from_secs_f64(seconds.min(longest).clamp(0.001, 60.0))
    }

    fn loans_fit(&self) -> bool {
        let (base, lent) = (self.base(), self.lent());
        lent.rate_per_s <= base.rate_per_s + ROUNDING && lent.burst <= base.burst + ROUNDING
    }

    fn renew(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        until: Timestamp,
        loan: &mut LoanReply,
    ) {
        // Loans beyond a share that shrank must end, since other nodes count on that.
        if !self.loans_fit() {
            return;
        }
        let base = self.base();
        // A loan is renewed even where requests wait: at its end the rate would lie idle for the
        // allowance, and the borrower gives back what it does not need.
        // Rate that came back without room for its tokens would be wasted.
        let usable = self.usable();
        let wastes = base.burst >= MIN_ROOM
            && usable.burst < MIN_ROOM
            && usable.rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION;
        for lent in &mut self.lent {
            if wastes && lent.amount.burst > 0.0 {
                continue;
            }
            if lent.peer == *borrower && request.renew.contains(&lent.id) {
                lent.until = lent.until.max(until);
                loan.renewed.push(lent.id);
            }
        }
    }

    /// Answers an ask that came before with the loan that it was given then.
    fn repeat(&self, borrower: &Peer, request: &LoanRequest, loan: &mut LoanReply) {
        let known = self.lent.iter().find(|it| it.peer == *borrower && it.id == request.sequence);
        if let Some(known) = known {
            loan.rate_per_s = known.amount.rate_per_s;
            loan.burst = known.amount.burst;
            loan.tokens = known.tokens;
            loan.term = known.term;
        }
    }

    fn lend_new(
        &mut self,
        borrower: &Peer,
        request: &LoanRequest,
        until: Timestamp,
        term: Duration,
        loan: &mut LoanReply,
    ) {
        let loans = self.lent.iter().filter(|lent| lent.peer == *borrower).count();
        if loans >= MAX_LOANS_PER_PEER || self.waiting > 0 {
            return;
        }
        let base = self.base();
        let (spare, spare_tokens) = self.spare();
        let rate_per_s = request.rate_per_s.min(spare.rate_per_s).max(0.0);
        let tokens = request.tokens.min(spare_tokens).max(0.0);
        // Lent capacity beyond the tokens must be free here, or tokens would be dropped.
        let free = self.usable().burst - (self.tokens - tokens) - f64::from(self.held);
        let burst = request.burst.max(tokens).min(spare.burst).min(free).max(0.0);
        let tokens = tokens.min(burst);
        // Rate without capacity is wasted, so they move together.
        let own_burst = self.own().burst;
        let part = if own_burst > 0.0 { burst / own_burst } else { 0.0 };
        let rate_per_s = rate_per_s.max(spare.rate_per_s * part.min(1.0));
        let worthwhile = rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION
            || tokens > (base.burst * MIN_LOAN_FRACTION).min(1.0);
        if !worthwhile {
            return;
        }
        let keeps_rate = self.own().rate_per_s - rate_per_s > base.rate_per_s * MIN_LOAN_FRACTION;
        // The rate that stays needs room, or tokens are dropped before a request takes them.
        let room = match keeps_rate && base.burst >= MIN_ROOM {
            true => (own_burst - MIN_ROOM).max(0.0),
            false => own_burst,
        };
        let (burst, tokens) = (burst.min(room), tokens.min(room));
        self.tokens -= tokens;
        let amount = Allowance { rate_per_s, burst };
        let (peer, id) = (borrower.clone(), request.sequence);
        self.lent.push(Moved { peer, id, amount, until, tokens, term });
        self.clip();
        loan.term = term;
        loan.rate_per_s = rate_per_s;
        loan.burst = burst;
        loan.tokens = tokens;
    }

    /// Rate, burst and tokens that the node can lend without missing them.
    fn spare(&self) -> (Allowance, f64) {
        let own = self.own();
        let needed = self.need(self.updated);
        let kept = needed.less(sum(&self.borrowed));
        let spare = own.less(kept);
        // The bucket may be below the stock that it needs for some time.
        let tokens = (self.tokens - needed.burst).clamp(0.0, spare.burst);
        (spare, tokens)
    }

    fn take_back(&mut self, borrower: &Peer, id: LoanId, tokens: f64) {
        let Some(index) = self.lent.iter().position(|lent| lent.peer == *borrower && lent.id == id)
        else {
            return;
        };
        let lent = self.lent.remove(index);
        if tokens.is_finite() {
            self.tokens += tokens.clamp(0.0, lent.amount.burst);
        }
        self.clip();
    }

    /// Adds tokens up to `now`; loans end at their own moments in between.
    pub(super) fn accrue(&mut self, now: Timestamp) {
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.accrue_until(end);
            self.lent.retain(|lent| lent.until > end);
            self.borrowed.retain(|borrowed| borrowed.until > end);
            self.clip();
        }
        self.accrue_until(now);
    }

    fn next_end(&self) -> Option<Timestamp> {
        self.lent.iter().chain(&self.borrowed).map(|moved| moved.until).min()
    }

    fn accrue_until(&mut self, until: Timestamp) {
        let elapsed = until.saturating_sub(self.updated);
        // Slower by the drift, so that a fast clock does not admit more than the rate.
        self.tokens += elapsed.as_secs_f64() * self.usable().rate_per_s * (1.0 - CLOCK_DRIFT);
        self.updated = self.updated.max(until);
        self.clip();
    }

    /// Drops tokens beyond the capacity; charged tokens that may still come back occupy it too.
    fn clip(&mut self) {
        let capacity = self.usable().burst - f64::from(self.held);
        self.tokens = self.tokens.min(capacity).max(0.0);
    }
}

fn sum(loans: &[Moved]) -> Allowance {
    loans.iter().fold(Allowance::default(), |sum, loan| sum.plus(loan.amount))
}
