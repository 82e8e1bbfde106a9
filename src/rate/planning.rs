//! Decides which loans a node requests from its peers, renews and returns.

use std::time::Duration;

use rand::{RngExt as _, seq::SliceRandom as _};

use crate::{
    clock::Timestamp,
    rate::{
        Account, LoanId, LoanReply, LoanRequest, OutgoingLoanRequest, Peer, ReturnedLoan,
        account::{PeerHint, PendingRequest},
        loan::MAX_TERM,
    },
};

/// Time before its expiry at which a loan is renewed; long enough for all attempts of a loan
/// request.
const RENEW_BEFORE: Duration = Duration::from_millis(700);
/// Time after which a pending loan request is dropped if neither a reply nor a time-out was
/// reported for it.
const PENDING_REQUEST_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of pending loan requests while no request waits for a token.
const MAX_PENDING_REQUESTS: usize = 4;
/// Maximum number of pending loan requests while requests wait for a token.
const MAX_PENDING_REQUESTS_WHILE_WAITING: usize = 16;
/// Maximum number of additional peers that are sent a loan request for the same few tokens while
/// requests wait for them.
const MAX_DUPLICATE_REQUESTS: usize = 3;
/// Maximum number of tokens to request from several peers at the same time. More would leave
/// too few for other nodes that need tokens.
const MAX_DUPLICATED_TOKENS: f64 = 2.0;
/// Shortest pause after a peer lent nothing; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Longest pause after a peer lent nothing.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);
/// Unsuccessful loan requests that an organisation may send per second.
const MAX_FAILED_REQUESTS_PER_S: f64 = 10.0;
/// Unsuccessful loan requests that an organisation may send in a burst; a jump of demand to another
/// node takes about 40.
const MAX_FAILED_REQUESTS_AT_ONCE: f64 = 96.0;
/// Part of the node's request budget that is not available to an organisation with many
/// unsuccessful requests, so that an organisation over its rate does not use up the budget of the
/// others.
const RESERVED_REQUESTS: usize = 48;
/// Unsuccessful requests above which an organisation must not use the reserved budget.
const RESERVE_CUTOFF_REQUESTS: f64 = 48.0;
/// Age after which a hint is ignored.
const HINT_LIFETIME: Duration = Duration::from_secs(2);
/// Fraction of the needed rate that may be missing before a loan is requested.
const RATE_SLACK_FRACTION: f64 = 0.05;
/// Fraction of the needed token reserve below which a loan is requested.
const LOW_RESERVE_FRACTION: f64 = 0.5;
/// A loan is returned only if the demand needs at most this fraction of what would remain; while
/// another node lacks rate, the fraction is 1.
const MAX_NEEDED_FRACTION: f64 = 0.7;
/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of requests of one organisation that wait at one node.
const MAX_WAITING_REQUESTS: u32 = 256;

impl Account {
    /// Longest time that a request waits for a token.
    pub const MAX_WAIT: Duration = MAX_WAIT;

    /// Returns the loan requests to send now and the peer for each, at most `budget`.
    pub fn plan_loan_requests(
        &mut self,
        peers: &[Peer],
        now: Timestamp,
        lease_until: Timestamp,
        budget: usize,
        random: &mut impl rand::Rng,
    ) -> Vec<OutgoingLoanRequest> {
        self.advance(now, lease_until);
        self.pending.retain(|pending| now < pending.first_sent_at + PENDING_REQUEST_LIFETIME);
        let mut requests = Vec::new();
        if now >= lease_until || peers.is_empty() {
            return requests;
        }
        self.resend_unanswered(budget, &mut requests);
        self.return_surplus(now, budget, &mut requests);
        self.renew_loans(now, budget, &mut requests);
        self.request_loans(peers, now, budget, random, &mut requests);
        requests
    }

    /// Whether a token may become available within [`Self::MAX_WAIT`].
    pub(super) fn may_wait(&self, now: Timestamp, retry_after: Duration) -> bool {
        if self.waiting >= MAX_WAITING_REQUESTS || f64::from(self.waiting) >= self.total.burst {
            return false;
        }
        retry_after <= MAX_WAIT
            || self.pending.iter().any(|pending| pending.request.wants_loan())
            || now >= self.requests_paused_until
    }

    /// Records from a reply how much the lender can still lend.
    pub(super) fn record_hint(&mut self, lender: &Peer, reply: &LoanReply, now: Timestamp) {
        if reply.term.is_zero() {
            self.mark_empty(lender, now);
            return;
        }
        self.request_pause = Duration::ZERO;
        self.requests_paused_until = now;
        let hint = PeerHint {
            spare_tokens: reply.spare_tokens,
            spare_rate_per_s: reply.spare_rate_per_s,
            received_at: now,
            empty_until: now,
            backoff: Duration::ZERO,
        };
        self.hints.insert(lender.clone(), hint);
    }

    /// Pauses loan requests to a peer that lent nothing or did not reply, and counts the failure.
    pub(super) fn mark_empty(&mut self, lender: &Peer, now: Timestamp) {
        let known = self.hints.get(lender).map_or(Duration::ZERO, |hint| hint.backoff);
        let backoff = (known * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.failed_requests += 1.0;
        let hint = PeerHint {
            spare_tokens: 0.0,
            spare_rate_per_s: 0.0,
            received_at: now,
            empty_until: now + backoff,
            backoff,
        };
        self.hints.insert(lender.clone(), hint);
    }

    /// Creates a loan request with the next sequence number. The number follows the clock, so that
    /// it still increases after an organisation was removed and added again.
    fn next_request(&mut self, now: Timestamp) -> LoanRequest {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.last_sent_sequence = micros.max(self.last_sent_sequence + 1);
        LoanRequest { sequence: self.last_sent_sequence, term: MAX_TERM, ..LoanRequest::default() }
    }

    /// Returns loans that the demand no longer needs.
    fn return_surplus(
        &mut self,
        now: Timestamp,
        budget: usize,
        requests: &mut Vec<OutgoingLoanRequest>,
    ) {
        let is_contested = now < self.contested_until;
        let needed = self.current_need(now);
        let max_needed_fraction = if is_contested { 1.0 } else { MAX_NEEDED_FRACTION };
        let first_return = requests.len();
        let mut index = 0;
        while index < self.borrowed.len() && requests.len() < budget {
            let usable = self.usable();
            let amount = self.borrowed[index].amount;
            let rate_left = usable.rate_per_s - amount.rate_per_s;
            let burst_left = usable.burst - amount.burst;
            let is_needless = rate_left * max_needed_fraction >= needed.rate_per_s
                && burst_left * max_needed_fraction >= needed.burst
                && self.waiting == 0;
            if !is_needless {
                index += 1;
                continue;
            }
            // Tokens are returned in proportion, and at least those beyond the remaining capacity.
            let part = if usable.burst > 0.0 { amount.burst / usable.burst } else { 0.0 };
            let tokens = (self.tokens * part).max(self.tokens - burst_left).min(amount.burst);
            self.tokens -= tokens;
            let loan = self.borrowed.remove(index);
            let returned = ReturnedLoan { id: loan.id, tokens };
            match requests[first_return..].iter_mut().find(|request| request.lender == loan.peer) {
                Some(known) => known.request.returned.push(returned),
                None => {
                    let request =
                        LoanRequest { returned: vec![returned], ..self.next_request(now) };
                    requests.push(OutgoingLoanRequest { lender: loan.peer, request });
                }
            }
        }
        for outgoing in &requests[first_return..] {
            self.pending.push(new_pending_request(outgoing, now));
        }
    }

    /// Resends loan requests that timed out. They keep their sequence number, so the lender lends
    /// only once.
    fn resend_unanswered(&mut self, budget: usize, requests: &mut Vec<OutgoingLoanRequest>) {
        let due = self.pending.iter_mut().filter(|pending| pending.needs_resend);
        for pending in due.take(budget) {
            pending.needs_resend = false;
            pending.attempts += 1;
            requests.push(OutgoingLoanRequest {
                lender: pending.lender.clone(),
                request: pending.request.clone(),
            });
        }
    }

    fn renew_loans(
        &mut self,
        now: Timestamp,
        budget: usize,
        requests: &mut Vec<OutgoingLoanRequest>,
    ) {
        let due: Vec<(Peer, LoanId)> = self
            .borrowed
            .iter()
            .filter(|loan| loan.until < now + RENEW_BEFORE)
            .map(|loan| (loan.peer.clone(), loan.id))
            .collect();
        for (lender, _) in &due {
            let has_request =
                requests.iter().any(|request| request.lender == *lender) || self.is_pending(lender);
            if has_request || requests.len() >= budget {
                continue;
            }
            let renew = due.iter().filter(|(peer, _)| peer == lender).map(|(_, id)| *id).collect();
            let request = LoanRequest { renew, ..self.next_request(now) };
            self.queue_request(lender.clone(), request, now, requests);
        }
    }

    fn request_loans(
        &mut self,
        peers: &[Peer],
        now: Timestamp,
        budget: usize,
        random: &mut impl rand::Rng,
        requests: &mut Vec<OutgoingLoanRequest>,
    ) {
        let needed = self.predicted_need(now);
        let usable = self.usable();
        let waiting = f64::from(self.waiting);
        // Only first attempts are counted: a request that timed out may have gone to a peer that no
        // longer runs.
        let first_attempts = self.pending.iter().filter(|pending| pending.attempts == 1);
        let (pending_rate_per_s, pending_tokens) =
            first_attempts.fold((0.0, 0.0), |(rate, tokens), pending| {
                (rate + pending.request.rate_per_s, tokens + pending.request.tokens)
            });
        let mut rate_per_s = needed.rate_per_s - usable.rate_per_s - pending_rate_per_s;
        let mut tokens = needed.burst + waiting - self.tokens - pending_tokens;
        let is_short_of_rate = rate_per_s > needed.rate_per_s * RATE_SLACK_FRACTION;
        let is_short_of_tokens = self.tokens + pending_tokens < needed.burst * LOW_RESERVE_FRACTION;
        let is_urgent = waiting > 0.0 && pending_tokens < waiting;
        let is_paused = now < self.requests_paused_until && !self.may_shorten_backoff();
        if is_paused || !(is_short_of_rate || is_short_of_tokens || is_urgent) {
            return;
        }
        let max_pending =
            if waiting > 0.0 { MAX_PENDING_REQUESTS_WHILE_WAITING } else { MAX_PENDING_REQUESTS };
        let elapsed_s = now.saturating_sub(self.failed_requests_at).as_secs_f64();
        self.failed_requests =
            (self.failed_requests - elapsed_s * MAX_FAILED_REQUESTS_PER_S).max(0.0);
        self.failed_requests_at = now;
        let failures_left = (MAX_FAILED_REQUESTS_AT_ONCE - self.failed_requests).max(0.0) as usize;
        let mut requests_left = max_pending.min(failures_left).saturating_sub(self.pending.len());
        let candidates = self.candidates(peers, now, random);
        if candidates.is_empty() && self.pending.is_empty() {
            self.request_pause = (self.request_pause * 2).clamp(MIN_BACKOFF, MAX_BACKOFF / 2);
            self.requests_paused_until = now + self.request_pause;
        }
        let mut duplicates_left = MAX_DUPLICATE_REQUESTS;
        let reserved =
            if self.failed_requests > RESERVE_CUTOFF_REQUESTS { RESERVED_REQUESTS } else { 0 };
        let budget = budget.saturating_sub(reserved);
        for lender in candidates {
            if requests_left == 0 || requests.len() >= budget {
                return;
            }
            if rate_per_s <= 0.0 && tokens <= 0.0 {
                return;
            }
            let base = self.base();
            let (spare_rate_per_s, spare_tokens) = self.expected_spare(&lender, now);
            let requested_rate_per_s =
                rate_per_s.max(0.0).min(spare_rate_per_s.max(base.rate_per_s));
            let requested_tokens = tokens.max(0.0).min(spare_tokens.max(base.burst));
            let request = LoanRequest {
                rate_per_s: requested_rate_per_s,
                tokens: requested_tokens,
                burst: requested_tokens.max((needed.burst - usable.burst).clamp(0.0, base.burst)),
                ..self.next_request(now)
            };
            if requested_tokens == tokens
                && tokens <= MAX_DUPLICATED_TOKENS
                && waiting > 0.0
                && duplicates_left > 0
            {
                // The peer may have nothing, and there is no time to try peers one after another.
                duplicates_left -= 1;
            } else {
                rate_per_s -= requested_rate_per_s;
                tokens -= requested_tokens;
            }
            requests_left -= 1;
            self.queue_request(lender, request, now, requests);
        }
    }

    fn queue_request(
        &mut self,
        lender: Peer,
        request: LoanRequest,
        now: Timestamp,
        requests: &mut Vec<OutgoingLoanRequest>,
    ) {
        let outgoing = OutgoingLoanRequest { lender, request };
        self.pending.push(new_pending_request(&outgoing, now));
        requests.push(outgoing);
    }

    /// Whether backoffs are shortened, since requests wait for tokens. With many failed loan
    /// requests they are not, as peers are then unlikely to have tokens again.
    fn may_shorten_backoff(&self) -> bool {
        self.waiting > 0 && self.failed_requests < RESERVE_CUTOFF_REQUESTS
    }

    fn is_pending(&self, lender: &Peer) -> bool {
        self.pending.iter().any(|pending| pending.lender == *lender)
    }

    /// Peers that may be able to lend, in descending order of the spare tokens in their hints.
    fn candidates(&self, peers: &[Peer], now: Timestamp, random: &mut impl rand::Rng) -> Vec<Peer> {
        let max_pause = if self.may_shorten_backoff() { MIN_BACKOFF } else { MAX_BACKOFF };
        let mut candidates: Vec<&Peer> = peers
            .iter()
            .filter(|peer| !self.is_pending(peer))
            .filter(|peer| {
                self.hints
                    .get(*peer)
                    .is_none_or(|hint| hint.empty_until.min(hint.received_at + max_pause) <= now)
            })
            .collect();
        candidates.shuffle(random);
        // Sorting is stable, so peers with equal hints stay in random order.
        candidates.sort_by(|a, b| {
            let (a, b) = (self.expected_spare(a, now).1, self.expected_spare(b, now).1);
            b.total_cmp(&a)
        });
        candidates.into_iter().cloned().collect()
    }

    /// Rate and tokens that a peer can presumably lend, by its hint. Without a recent hint, this
    /// node's own share is assumed.
    fn expected_spare(&self, peer: &Peer, now: Timestamp) -> (f64, f64) {
        let fresh = self.hints.get(peer).filter(|hint| now < hint.received_at + HINT_LIFETIME);
        let base = self.base();
        fresh.map_or((base.rate_per_s, base.burst), |hint| {
            (hint.spare_rate_per_s, hint.spare_tokens)
        })
    }
}

fn new_pending_request(outgoing: &OutgoingLoanRequest, now: Timestamp) -> PendingRequest {
    PendingRequest {
        request: outgoing.request.clone(),
        lender: outgoing.lender.clone(),
        first_sent_at: now,
        attempts: 1,
        needs_resend: false,
    }
}

/// Returns a random delay within 25 % of `delay`, so that refused callers do not all retry at the
/// same time.
pub fn jittered(delay: Duration, random: &mut impl rand::Rng) -> Duration {
    delay.mul_f64(random.random_range(0.75..1.25))
}
