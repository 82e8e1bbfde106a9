//! What a node asks its peers for, and what it gives back.

use std::time::Duration;

use rand::{RngExt as _, seq::SliceRandom as _};

use crate::{
    clock::Timestamp,
    rate::{
        Account, LoanId, LoanReply, LoanRequest, OutgoingLoanRequest, Peer, ReturnedLoan,
        account::{Hint, Pending},
        loan::MAX_TERM,
    },
};

/// Time before its end at which a loan is renewed; it leaves time for all tries of an ask.
const RENEW_BEFORE: Duration = Duration::from_millis(700);
/// Time after which an ask is forgotten of which the node was told neither answer nor loss.
const FORGET_ASK: Duration = Duration::from_secs(1);
/// Peers asked at once while no request waits.
const PARALLEL: usize = 4;
/// Peers asked at once while requests wait for a token.
const PARALLEL_WAITING: usize = 16;
/// Further peers that are asked for the last few tokens while requests wait.
const MORE_FOR_LAST: usize = 3;
/// More tokens than this, asked of several peers, would be missed by another node in need.
const FEW_TOKENS: f64 = 2.0;
/// Pause after a peer had nothing, doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Asks in vain that an organisation may make a second.
const VAIN_ASKS_PER_S: f64 = 10.0;
/// Asks in vain that it may make at once; a jump of demand to another node takes about 40.
const VAIN_ASKS_BURST: f64 = 96.0;
/// Asks of the node's budget that are kept from an organisation that asked in vain, so that one
/// that is over its rate does not use up the asks of the others.
const RESERVED_ASKS: usize = 48;
/// Asks in vain from which an organisation may not use the reserve.
const MANY_VAIN_ASKS: f64 = 48.0;
/// Age at which a hint says nothing any more.
const HINT_AGE: Duration = Duration::from_secs(2);
/// Part of the needed rate that may be missing before a peer is asked.
const RATE_SLACK: f64 = 0.05;
/// Part of the needed stock of tokens below which a peer is asked.
const LOW_STOCK: f64 = 0.5;
/// Loans are kept until the demand needs less than this part of what is held.
const SURPLUS: f64 = 0.7;
/// Longest wait of a request for a token.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Requests of one organisation that may wait at one node.
const MAX_WAITING: u32 = 256;

impl Account {
    /// Longest wait of a request for a token.
    pub const MAX_WAIT: Duration = MAX_WAIT;

    /// Decides what to ask of which peers now; at most `budget` asks.
    pub fn plan_loan_requests(
        &mut self,
        peers: &[Peer],
        now: Timestamp,
        lease_until: Timestamp,
        budget: usize,
        random: &mut impl rand::Rng,
    ) -> Vec<OutgoingLoanRequest> {
        self.advance(now, lease_until);
        self.pending.retain(|pending| now < pending.sent + FORGET_ASK);
        let mut asks = Vec::new();
        if now >= lease_until || peers.is_empty() {
            return asks;
        }
        self.send_again(budget, &mut asks);
        self.give_up_surplus(now, budget, &mut asks);
        self.renew_loans(now, budget, &mut asks);
        self.ask_for_more(peers, now, budget, random, &mut asks);
        asks
    }

    /// Tells whether a token may come within [`Self::MAX_WAIT`].
    pub(super) fn may_wait(&self, now: Timestamp, retry_after: Duration) -> bool {
        if self.waiting >= MAX_WAITING || f64::from(self.waiting) >= self.total.burst {
            return false;
        }
        retry_after <= MAX_WAIT
            || self.pending.iter().any(|pending| pending.request.wants_loan())
            || now >= self.dry_until
    }

    /// Learns from an answer which peers have something to spare.
    pub(super) fn learn(&mut self, lender: &Peer, loan: &LoanReply, now: Timestamp) {
        if loan.term.is_zero() {
            self.mark_dry(lender, now);
            return;
        }
        self.dry_backoff = Duration::ZERO;
        self.dry_until = now;
        let hint = Hint {
            spare_tokens: loan.spare_tokens,
            spare_rate_per_s: loan.spare_rate_per_s,
            learnt: now,
            dry_until: now,
            backoff: Duration::ZERO,
        };
        self.hints.insert(lender.clone(), hint);
    }

    /// Leaves a peer alone for a while after it had nothing.
    pub(super) fn mark_dry(&mut self, lender: &Peer, now: Timestamp) {
        let known = self.hints.get(lender).map_or(Duration::ZERO, |hint| hint.backoff);
        let backoff = (known * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.vain_asks += 1.0;
        let hint = Hint {
            spare_tokens: 0.0,
            spare_rate_per_s: 0.0,
            learnt: now,
            dry_until: now + backoff,
            backoff,
        };
        self.hints.insert(lender.clone(), hint);
    }

    /// Starts an ask. The clock keeps the sequence rising when an organisation is removed and
    /// added again.
    fn next_ask(&mut self, now: Timestamp) -> LoanRequest {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.next_sequence = micros.max(self.next_sequence + 1);
        LoanRequest { sequence: self.next_sequence, term: MAX_TERM, ..LoanRequest::default() }
    }

    /// Gives loans back that the demand no longer needs.
    fn give_up_surplus(
        &mut self,
        now: Timestamp,
        budget: usize,
        asks: &mut Vec<OutgoingLoanRequest>,
    ) {
        let contested = now < self.contested_until;
        let needed = self.need(now);
        let surplus = if contested { 1.0 } else { SURPLUS };
        let first = asks.len();
        let mut index = 0;
        while index < self.borrowed.len() && asks.len() < budget {
            let usable = self.usable();
            let amount = self.borrowed[index].amount;
            let rate_left = usable.rate_per_s - amount.rate_per_s;
            let burst_left = usable.burst - amount.burst;
            let needless = rate_left * surplus >= needed.rate_per_s
                && burst_left * surplus >= needed.burst
                && self.waiting == 0;
            if !needless {
                index += 1;
                continue;
            }
            // Tokens go back in proportion, and at least those that no longer fit here.
            let part = if usable.burst > 0.0 { amount.burst / usable.burst } else { 0.0 };
            let tokens = (self.tokens * part).max(self.tokens - burst_left).min(amount.burst);
            self.tokens -= tokens;
            let loan = self.borrowed.remove(index);
            let returned = ReturnedLoan { id: loan.id, tokens };
            match asks[first..].iter_mut().find(|request| request.lender == loan.peer) {
                Some(known) => known.request.returned.push(returned),
                None => {
                    let request = LoanRequest { returned: vec![returned], ..self.next_ask(now) };
                    asks.push(OutgoingLoanRequest { lender: loan.peer, request });
                }
            }
        }
        for outgoing in &asks[first..] {
            self.pending.push(pending(outgoing, now));
        }
    }

    /// Sends asks again that were not answered; they keep their number, so the lender lends once.
    fn send_again(&mut self, budget: usize, asks: &mut Vec<OutgoingLoanRequest>) {
        let unanswered = self.pending.iter_mut().filter(|pending| pending.unanswered);
        for pending in unanswered.take(budget) {
            pending.unanswered = false;
            pending.tries += 1;
            asks.push(OutgoingLoanRequest {
                lender: pending.lender.clone(),
                request: pending.request.clone(),
            });
        }
    }

    fn renew_loans(&mut self, now: Timestamp, budget: usize, asks: &mut Vec<OutgoingLoanRequest>) {
        let due: Vec<(Peer, LoanId)> = self
            .borrowed
            .iter()
            .filter(|loan| loan.until < now + RENEW_BEFORE)
            .map(|loan| (loan.peer.clone(), loan.id))
            .collect();
        for (lender, _) in &due {
            let busy =
                asks.iter().any(|request| request.lender == *lender) || self.is_pending(lender);
            if busy || asks.len() >= budget {
                continue;
            }
            let renew = due.iter().filter(|(peer, _)| peer == lender).map(|(_, id)| *id).collect();
            let request = LoanRequest { renew, ..self.next_ask(now) };
            self.send(lender.clone(), request, now, asks);
        }
    }

    fn ask_for_more(
        &mut self,
        peers: &[Peer],
        now: Timestamp,
        budget: usize,
        random: &mut impl rand::Rng,
        asks: &mut Vec<OutgoingLoanRequest>,
    ) {
        let needed = self.predicted_need(now);
        let usable = self.usable();
        let waiting = f64::from(self.waiting);
        // An ask that was sent again may go to a peer that does not live any more.
        let coming = self.pending.iter().filter(|pending| pending.tries == 1);
        let (coming_rate, coming_tokens) = coming.fold((0.0, 0.0), |(rate, tokens), pending| {
            (rate + pending.request.rate_per_s, tokens + pending.request.tokens)
        });
        let mut rate_per_s = needed.rate_per_s - usable.rate_per_s - coming_rate;
        let mut tokens = needed.burst + waiting - self.tokens - coming_tokens;
        let short_of_rate = rate_per_s > needed.rate_per_s * RATE_SLACK;
        let short_of_tokens = self.tokens + coming_tokens < needed.burst * LOW_STOCK;
        let urgent = waiting > 0.0 && coming_tokens < waiting;
        let pausing = now < self.dry_until && !self.may_hurry();
        if pausing || !(short_of_rate || short_of_tokens || urgent) {
            return;
        }
        let parallel = if waiting > 0.0 { PARALLEL_WAITING } else { PARALLEL };
        let elapsed = now.saturating_sub(self.vain_updated).as_secs_f64();
        self.vain_asks = (self.vain_asks - elapsed * VAIN_ASKS_PER_S).max(0.0);
        self.vain_updated = now;
        let vain = (VAIN_ASKS_BURST - self.vain_asks).max(0.0) as usize;
        let mut free = parallel.min(vain).saturating_sub(self.pending.len());
        let candidates = self.candidates(peers, now, random);
        if candidates.is_empty() && self.pending.is_empty() {
            self.dry_backoff = (self.dry_backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF / 2);
            self.dry_until = now + self.dry_backoff;
        }
        let mut more_for_last = MORE_FOR_LAST;
        let reserved = if self.vain_asks > MANY_VAIN_ASKS { RESERVED_ASKS } else { 0 };
        let budget = budget.saturating_sub(reserved);
        for lender in candidates {
            if free == 0 || asks.len() >= budget {
                return;
            }
            if rate_per_s <= 0.0 && tokens <= 0.0 {
                return;
            }
            let base = self.base();
            let (hint_rate, hint_tokens) = self.hinted(&lender, now);
            let ask_rate = rate_per_s.max(0.0).min(hint_rate.max(base.rate_per_s));
            let ask_tokens = tokens.max(0.0).min(hint_tokens.max(base.burst));
            let request = LoanRequest {
                rate_per_s: ask_rate,
                tokens: ask_tokens,
                burst: ask_tokens.max((needed.burst - usable.burst).clamp(0.0, base.burst)),
                ..self.next_ask(now)
            };
            if ask_tokens == tokens && tokens <= FEW_TOKENS && waiting > 0.0 && more_for_last > 0 {
                // One peer may have nothing, and there is no time for one after another.
                more_for_last -= 1;
            } else {
                rate_per_s -= ask_rate;
                tokens -= ask_tokens;
            }
            free -= 1;
            self.send(lender, request, now, asks);
        }
    }

    fn send(
        &mut self,
        lender: Peer,
        request: LoanRequest,
        now: Timestamp,
        asks: &mut Vec<OutgoingLoanRequest>,
    ) {
        let outgoing = OutgoingLoanRequest { lender, request };
        self.pending.push(pending(&outgoing, now));
        asks.push(outgoing);
    }

    /// Requests wait, and peers may have got something back since they were asked.
    fn may_hurry(&self) -> bool {
        self.waiting > 0 && self.vain_asks < MANY_VAIN_ASKS
    }

    fn is_pending(&self, lender: &Peer) -> bool {
        self.pending.iter().any(|pending| pending.lender == *lender)
    }

    /// Peers that may have something, those with the most by their hints first.
    fn candidates(&self, peers: &[Peer], now: Timestamp, random: &mut impl rand::Rng) -> Vec<Peer> {
        let pause = if self.may_hurry() { MIN_BACKOFF } else { MAX_BACKOFF };
        let mut candidates: Vec<&Peer> = peers
            .iter()
            .filter(|peer| !self.is_pending(peer))
            .filter(|peer| {
                self.hints
                    .get(*peer)
                    .is_none_or(|hint| hint.dry_until.min(hint.learnt + pause) <= now)
            })
            .collect();
        candidates.shuffle(random);
        // Sorting is stable, so peers with equal hints stay in random order.
        candidates.sort_by(|a, b| {
            let (a, b) = (self.hinted(a, now).1, self.hinted(b, now).1);
            b.total_cmp(&a)
        });
        candidates.into_iter().cloned().collect()
    }

    /// Rate and tokens that a peer is thought to have to spare; its share where nothing is known.
    fn hinted(&self, peer: &Peer, now: Timestamp) -> (f64, f64) {
        let fresh = self.hints.get(peer).filter(|hint| now < hint.learnt + HINT_AGE);
        let base = self.base();
        fresh.map_or((base.rate_per_s, base.burst), |hint| {
            (hint.spare_rate_per_s, hint.spare_tokens)
        })
    }
}

fn pending(outgoing: &OutgoingLoanRequest, now: Timestamp) -> Pending {
    Pending {
        request: outgoing.request.clone(),
        lender: outgoing.lender.clone(),
        sent: now,
        tries: 1,
        unanswered: false,
    }
}

/// A delay within a quarter of `delay` around it, so that refused callers do not return at once.
pub fn jittered(delay: Duration, random: &mut impl rand::Rng) -> Duration {
    delay.mul_f64(random.random_range(0.75..1.25))
}
