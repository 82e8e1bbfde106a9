//! Single rules of shares, buckets and loans.

mod support;

use std::time::Duration;

use hibiscusdoor::{
    peers::proto,
    rate::{Account, Allowance, Charge, LoanReply, LoanRequest, OutgoingLoanRequest, Peer},
};
use prost::Message as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const WHOLE: Allowance = Allowance { rate_per_s: 100.0, burst: 40.0 };
const START: Duration = Duration::from_secs(100);
const FOREVER: Duration = Duration::MAX;
const TERM: Duration = Duration::from_secs(2);

fn ms(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

fn peer(name: &str) -> Peer {
    Peer { instance: name.into(), incarnation: 1 }
}

/// An account with a share and the tokens of one second.
fn account(share: f64) -> Account {
    let mut account = Account::default();
    let before = START - Duration::from_secs(1);
    account.set_total(WHOLE, before);
    account.set_share(share, before);
    // The first look at the lease counts as the end of a lapse.
    account.charge(before, FOREVER, true);
    account.snapshot(START);
    account
}

fn ask(sequence: u64) -> LoanRequest {
    LoanRequest {
        sequence,
        rate_per_s: 10.0,
        burst: 5.0,
        tokens: 5.0,
        term: TERM,
        ..LoanRequest::default()
    }
}

/// Guards against a burst that two nodes hand out, the old owner of a share and the new one.
#[test]
fn share_that_grows_brings_no_tokens() {
    let mut account = account(0.5);
    let before = account.snapshot(START).tokens;
    account.set_share(1.0, START);
    let after = account.snapshot(START);
    assert_eq!(after.tokens, before);
    assert_eq!(after.usable.burst, WHOLE.burst);
}

/// Guards against tokens that outlive the share they belong to.
#[test]
fn share_that_shrinks_clips_tokens() {
    let mut account = account(1.0);
    account.set_share(0.25, START);
    assert_eq!(account.snapshot(START).tokens, WHOLE.burst * 0.25);
}

/// Guards against more tokens after operators raise the burst, and too many after they lower it.
#[test]
fn changed_figures_follow_the_rule_of_shares() {
    let mut account = account(1.0);
    account.set_total(Allowance { rate_per_s: 100.0, burst: 80.0 }, START);
    assert_eq!(account.snapshot(START).tokens, WHOLE.burst);
    account.set_total(Allowance { rate_per_s: 100.0, burst: 10.0 }, START);
    assert_eq!(account.snapshot(START).tokens, 10.0);
}

/// Guards against a gained share that its old owner has still lent when the version settles: the
/// version cannot settle before the old owner adopts it, which its loans must allow.
#[test]
fn version_is_not_adopted_before_the_loans_of_a_lost_share_have_ended() {
    let (mut old, mut new) = (account(0.5), account(0.5));
    let long = LoanRequest { term: Duration::from_secs(60), ..ask(1) };
    old.lend(&peer("b"), &long, START, FOREVER);
    let mut adopted = false;
    for time in 0..5000 {
        if !adopted && old.prepare_share(0.0, ms(time)) {
            adopted = true;
            old.set_share(0.0, ms(time));
            new.set_share(1.0, ms(time));
        }
        let lent = old.snapshot(ms(time)).lent;
        let usable = new.snapshot(ms(time)).usable;
        assert!(lent.rate_per_s + usable.rate_per_s <= WHOLE.rate_per_s + 1e-9, "{time} ms");
        assert!(lent.burst + usable.burst <= WHOLE.burst + 1e-9, "{time} ms");
    }
    assert_eq!(new.snapshot(ms(5000)).usable, WHOLE);
}

/// Guards against a version that counts as adopted while a loan exceeds the share it gives, and
/// against a loan that is renewed meanwhile.
#[test]
fn smaller_share_waits_for_loans_to_end() {
    let mut account = account(0.5);
    let loan = account.lend(&peer("b"), &ask(1), START, FOREVER);
    // A quarter of the burst takes a quarter of the rate with it.
    assert_eq!(loan.rate_per_s, 12.5);
    assert!(!account.prepare_share(0.05, ms(10)));
    assert_eq!(account.snapshot(ms(10)).usable, Allowance::default());
    let renewal = LoanRequest { sequence: 2, renew: vec![1], term: TERM, ..LoanRequest::default() };
    assert!(account.lend(&peer("b"), &renewal, ms(20), FOREVER).renewed.is_empty());
    assert!(account.prepare_share(0.05, ms(10) + TERM + Duration::from_millis(100)));
}

/// Guards against a node that admits with what it has lent, while its share shrinks.
#[test]
fn smaller_share_admits_nothing_while_loans_exceed_it() {
    let mut account = account(0.5);
    let loan = account.lend(&peer("b"), &ask(1), START, FOREVER);
    // A quarter of the burst takes a quarter of the rate with it.
    assert_eq!(loan.rate_per_s, 12.5);
    account.set_share(0.05, ms(10));
    assert_eq!(account.snapshot(ms(10)).usable, Allowance::default());
    let later = account.snapshot(ms(100) + TERM);
    assert_eq!(later.usable, Allowance { rate_per_s: 5.0, burst: 2.0 });
}

/// Guards against a loan that lasts longer at the borrower than at the lender: the answer comes
/// 150 ms after the ask was sent, and the sum is looked at every millisecond.
#[test]
fn borrower_counts_its_term_from_before_it_asked() {
    let (mut lender, mut borrower) = (account(0.5), account(0.5));
    // Requests beyond its bucket make the borrower ask.
    while borrower.charge(START, FOREVER, false) == Charge::Admitted {
        borrower.spend();
    }
    borrower.begin_wait();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let asks = borrower.plan_loan_requests(&[peer("a")], START, FOREVER, 8, &mut random);
    let OutgoingLoanRequest { request, .. } = asks.first().expect("an ask").clone();
    let loan = lender.lend(&peer("b"), &request, ms(1), FOREVER);
    assert!(!loan.term.is_zero(), "{loan:?}");
    borrower.receive_reply(&peer("a"), request.sequence, &loan, ms(150));
    assert!(borrower.snapshot(ms(150)).loans_taken == 1);
    for time in 150..10_000 {
        let (a, b) = (lender.snapshot(ms(time)), borrower.snapshot(ms(time)));
        let rate_per_s = a.usable.rate_per_s + b.usable.rate_per_s;
        let burst = a.usable.burst + b.usable.burst;
        assert!(rate_per_s <= WHOLE.rate_per_s + 1e-9, "rate {rate_per_s} after {time} ms");
        assert!(burst <= WHOLE.burst + 1e-9, "burst {burst} after {time} ms");
    }
    assert_eq!(borrower.snapshot(ms(10_000)).loans_taken, 0);
    assert_eq!(lender.snapshot(ms(10_000)).loans_given, 0);
}

/// Guards against a message that came twice, or late, and lends twice.
#[test]
fn repeated_and_reordered_asks_lend_once() {
    let mut account = account(0.5);
    let first = account.lend(&peer("b"), &ask(2), START, FOREVER);
    let tokens = account.snapshot(ms(1)).tokens;
    // The same ask, sent again since no answer came, gets the same loan.
    let again = account.lend(&peer("b"), &ask(2), ms(1), FOREVER);
    let amounts = |loan: &LoanReply| (loan.rate_per_s, loan.burst, loan.tokens, loan.term);
    assert_eq!(amounts(&again), amounts(&first));
    let late = account.lend(&peer("b"), &ask(1), ms(1), FOREVER);
    assert_eq!(late.term, Duration::ZERO);
    let state = account.snapshot(ms(1));
    assert_eq!((state.loans_given, state.tokens), (1, tokens));
}

/// Guards against an answer that is booked twice, or after its ask was given up.
#[test]
fn answer_is_booked_once() {
    let mut borrower = account(0.5);
    while borrower.charge(START, FOREVER, false) == Charge::Admitted {
        borrower.spend();
    }
    // More than one peer's share has.
    for _ in 0..30 {
        borrower.begin_wait();
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let peers = [peer("a"), peer("c")];
    let asks = borrower.plan_loan_requests(&peers, START, FOREVER, 8, &mut random);
    assert_eq!(asks.len(), 2);
    let loan =
        LoanReply { rate_per_s: 1.0, burst: 2.0, tokens: 2.0, term: TERM, ..LoanReply::default() };
    for _ in 0..2 {
        borrower.receive_reply(&asks[0].lender, asks[0].request.sequence, &loan, ms(5));
    }
    // The same ask is sent again until it is given up.
    for time in 5..20 {
        borrower.mark_unanswered(&asks[1].lender, asks[1].request.sequence, ms(time));
        borrower.plan_loan_requests(&peers[..1], ms(time), FOREVER, 8, &mut random);
    }
    borrower.receive_reply(&asks[1].lender, asks[1].request.sequence, &loan, ms(21));
    assert_eq!(borrower.snapshot(ms(21)).loans_taken, 1);
}

/// Guards against a return that gives tokens twice or of a loan that already ended.
#[test]
fn returned_loan_is_taken_back_once() {
    let mut account = account(0.5);
    let full = account.snapshot(START).tokens;
    account.lend(&peer("b"), &ask(1), START, FOREVER);
    assert_eq!(account.snapshot(START).tokens, full - 5.0);
    let returned = vec![hibiscusdoor::rate::ReturnedLoan { id: 1, tokens: 3.0 }];
    let back = LoanRequest { sequence: 2, returned, ..LoanRequest::default() };
    for _ in 0..2 {
        account.lend(&peer("b"), &back, START, FOREVER);
    }
    let state = account.snapshot(START);
    assert_eq!((state.loans_given, state.tokens), (0, full - 2.0));
}

/// Guards against loans of loans.
#[test]
fn borrowed_rate_is_not_lent_on() {
    let mut account = account(0.0);
    assert_eq!(account.lend(&peer("b"), &ask(1), START, FOREVER).term, Duration::ZERO);
    let mut borrower = self::account(0.1);
    while borrower.charge(START, FOREVER, false) == Charge::Admitted {
        borrower.spend();
    }
    borrower.begin_wait();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let asks = borrower.plan_loan_requests(&[peer("a")], START, FOREVER, 8, &mut random);
    let loan = LoanReply {
        rate_per_s: 50.0,
        burst: 20.0,
        tokens: 20.0,
        term: TERM,
        ..LoanReply::default()
    };
    borrower.receive_reply(&peer("a"), asks[0].request.sequence, &loan, ms(1));
    borrower.end_wait();
    let wanted = LoanRequest { rate_per_s: 100.0, burst: 40.0, tokens: 40.0, ..ask(1) };
    // The demand has long gone, so everything of its own is to spare.
    let lent = borrower.lend(&peer("c"), &wanted, ms(1500), FOREVER);
    assert!(lent.rate_per_s <= WHOLE.rate_per_s * 0.1 + 1e-9, "{lent:?}");
    assert!(lent.burst <= WHOLE.burst * 0.1 + 1e-9, "{lent:?}");
}

/// Guards against a loan that outlives the lender's lease to what it lends.
#[test]
fn loan_ends_with_the_lease_of_the_lender() {
    let mut account = account(0.5);
    let lease_until = ms(800);
    let loan = account.lend(&peer("b"), &ask(1), START, lease_until);
    assert!(loan.term < Duration::from_millis(800), "{:?}", loan.term);
    assert!(loan.term > Duration::from_millis(700), "{:?}", loan.term);
    let refused = account.lend(&peer("b"), &ask(2), ms(790), lease_until);
    assert_eq!(refused.term, Duration::ZERO);
}

/// Guards against a bucket that admits after its share may have gone to others.
#[test]
fn lapsed_lease_refuses_and_empties_the_bucket() {
    let mut account = account(0.5);
    account.snapshot(START);
    assert_eq!(account.charge(START, ms(100), false), Charge::Admitted);
    account.spend();
    assert_eq!(account.charge(ms(100), ms(100), false), Charge::NoLease);
    assert!(matches!(account.charge(ms(200), ms(4000), false), Charge::Empty { .. }));
}

/// Guards against a token that is given back to a bucket which filled up in the meantime.
#[test]
fn token_given_back_never_exceeds_the_capacity() {
    let mut account = account(0.5);
    assert_eq!(account.charge(START, FOREVER, false), Charge::Admitted);
    let later = ms(2000);
    assert_eq!(account.snapshot(later).tokens, WHOLE.burst * 0.5 - 1.0);
    account.refund(later);
    assert_eq!(account.snapshot(later).tokens, WHOLE.burst * 0.5);
}

/// Guards against messages that outgrow the 6 KB a second that a node may spend on control.
#[test]
fn messages_about_loans_are_small() {
    let request = proto::BorrowRequest {
        organisation: "kirkos-grocers".to_owned(),
        instance: "drops-zone-a-03".to_owned(),
        incarnation: 1_760_000_000_000_000,
        table_version: 300,
        tokens: 12.5,
        rate_per_s: 80.0,
        term_ms: 2000,
        sequence: 86_400_000_000,
        burst: 20.0,
        renew: vec![86_400_000_000, 86_400_000_001],
        returned: Vec::new(),
    };
    let reply = proto::BorrowReply {
        tokens: 12.5,
        rate_per_s: 80.0,
        burst: 20.0,
        term_ms: 1990,
        renewed: request.renew.clone(),
        renewed_term_ms: 1990,
        spare_tokens: 1.0,
        spare_rate_per_s: 1.0,
    };
    let (request, reply) = (request.encoded_len(), reply.encoded_len());
    println!("an ask takes {request} bytes, its answer {reply} bytes");
    assert!(request + reply <= 200);
}
