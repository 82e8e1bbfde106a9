//! Limits on the rate of requests that upstreams name in their answers.

#[path = "soak/mod.rs"]
mod fleet;
mod support;

use std::{collections::HashMap, path::Path, time::Duration};

use fleet::{
    plan::{Fault, services},
    world::World,
};
use hibiscusdoor::{
    admission::{Action, Admission, Arrival, Completion, NamedRate, RateLimit, SlotLimit, Ticket},
    clock::Timestamp,
    config::Importance,
    mesh::Dialect as _,
    platform::OperatorsPlatform,
};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Guards against a limit that is read as none, and against a text that is read as a rate although it is
/// no decimal number: a limit of infinity or below zero would stay in force for good.
fn an_answer_names_a_rate((text, expected): (Option<&str>, NamedRate)) {
    let mut headers = HeaderMap::new();
    if let Some(text) = text {
        headers.insert("server-limit", HeaderValue::from_str(text).expect("a valid header value"));
    }
    assert_eq!(OperatorsPlatform::answer_head(StatusCode::OK, &headers).rate, expected);
}

crate::cases! { an_answer_names_a_rate:
    that_is_absent((None, NamedRate::Unlimited)),
    that_is_whole((Some("12"), NamedRate::PerSecond(12.0))),
    that_has_a_fraction((Some("9.4"), NamedRate::PerSecond(9.4))),
    that_is_zero((Some("0"), NamedRate::PerSecond(0.0))),
    that_is_enormous((Some("100000000000000"), NamedRate::PerSecond(1e14))),
    that_is_negative((Some("-3"), NamedRate::Invalid)),
    that_is_infinite((Some("inf"), NamedRate::Invalid)),
    that_is_no_number((Some("NaN"), NamedRate::Invalid)),
    that_is_empty((Some(""), NamedRate::Invalid)),
    that_has_a_unit((Some("12/s"), NamedRate::Invalid)),
}

/// Time for which the upstream names its limit: three seconds until the limit is checked, a window of
/// four, and the restart of the node.
const LIMITED: Duration = Duration::from_secs(9);

/// Guards against an upstream that receives more requests than the limit that it has named, on a usual
/// day and after its node has been killed: the new process does not know the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_receives_no_more_than_it_names() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let program = Path::new(env!("CARGO_BIN_EXE_hibiscusd"));
    let network = u16::try_from(5_000 + std::process::id() % 20_000)?;
    let world = World::start(program, folder.path(), 2 * services().len(), network).await?;
    world.start_callers(1);
    world.wait_until_serving().await?;
    let limited = world.clone().inject_fault(program, Fault::LimitUpstream(0, LIMITED));
    let killed = async {
        tokio::time::sleep(LIMITED / 2).await;
        world.clone().inject_fault(program, Fault::KillNode(0)).await
    };
    let (limited, killed) = tokio::join!(limited, killed);
    limited?;
    killed?;
    let exceeded = world.record.exceeded_limits();
    world.stop_callers().await;
    anyhow::ensure!(!world.record.limits.lock().is_empty(), "no answer has named the limit");
    assert_eq!(exceeded, Vec::<String>::new());
    Ok(())
}

/// Requests that a limit admits within a span, where more are always waiting.
fn admitted(limit: &mut RateLimit, from: Timestamp, span: Duration) -> u32 {
    let step = Duration::from_millis(5);
    let steps = span.as_millis() / step.as_millis();
    let mut count = 0;
    for number in 0..u32::try_from(steps).expect("a short span") {
        while limit.per_s(from + step * number).is_some() && limit.take(from + step * number) {
            count += 1;
        }
    }
    count
}

const START: Timestamp = Duration::from_secs(100);
const WINDOW: Duration = Duration::from_secs(4);

/// Guards against a limit that is exceeded within four seconds by half, and against one that admits
/// much less than the upstream offers.
fn a_named_rate_is_kept(per_s: f64) {
    let mut limit = RateLimit::default();
    limit.record_answer(START, NamedRate::PerSecond(per_s));
    let count = f64::from(admitted(&mut limit, START, WINDOW));
    assert!(count <= per_s * 4.0 * 1.5 + 5.0, "{count}");
    // The last step of the clock is missing.
    assert!(count >= (per_s * 4.0 * 0.99 - 1.0).floor(), "{count}");
}

crate::cases! { a_named_rate_is_kept:
    of_zero(0.0),
    of_a_request_in_five_seconds(0.2),
    of_two_requests(2.0),
    of_nine_requests(9.4),
    of_a_thousand_requests(1000.0),
}

/// Guards against a limit that ends, or rises, by an answer that was sent before the limit was named.
#[test]
fn an_answer_that_crosses_does_not_lift_the_limit() {
    let mut limit = RateLimit::default();
    limit.record_answer(START, NamedRate::PerSecond(4.0));
    let soon = START + Duration::from_millis(100);
    limit.record_answer(soon, NamedRate::Unlimited);
    assert_eq!(limit.per_s(soon), Some(4.0));
    limit.record_answer(soon, NamedRate::PerSecond(40.0));
    assert_eq!(limit.per_s(soon), Some(4.0));
    limit.record_answer(soon, NamedRate::Invalid);
    assert_eq!(limit.per_s(soon), Some(4.0));
    limit.record_answer(soon, NamedRate::PerSecond(2.0));
    assert_eq!(limit.per_s(soon), Some(2.0), "a lower limit applies at once");
    let later = soon + Duration::from_millis(300);
    limit.record_answer(later, NamedRate::PerSecond(8.0));
    assert_eq!(limit.per_s(later), Some(8.0), "the limit has risen");
}

/// Guards against an upstream that receives all the work of the fleet at the moment its limit ends, and
/// against a limit that stays for good.
#[test]
fn the_end_of_a_limit_is_gradual() {
    let mut limit = RateLimit::default();
    limit.record_answer(START, NamedRate::PerSecond(4.0));
    let ended = START + Duration::from_secs(2);
    limit.record_answer(ended, NamedRate::Unlimited);
    let second = Duration::from_secs(1);
    let counts = [0, 1, 2].map(|number| admitted(&mut limit, ended + second * number, second));
    assert!(counts[0] <= 10 && counts[1] > counts[0] && counts[2] > counts[1], "{counts:?}");
    assert_eq!(limit.per_s(ended + Duration::from_secs(5)), None);
}

/// Guards against a restarted node that floods an upstream whose limit the other nodes know, and
/// against a limit that other nodes remember although the upstream no longer names it.
#[test]
fn a_relayed_limit_holds_until_the_first_answer() {
    let mut limit = RateLimit::default();
    limit.record_relayed(START, 3.0);
    assert_eq!(limit.per_s(START), Some(3.0));
    limit.record_relayed(START, 2.0);
    assert_eq!(limit.per_s(START), Some(2.0), "the lowest of several applies");
    let answered = START + Duration::from_millis(300);
    limit.record_answer(answered, NamedRate::Unlimited);
    assert_eq!(limit.per_s(answered), None);
    limit.record_relayed(answered, 3.0);
    assert_eq!(limit.per_s(answered), None, "the node has an answer of its own");
    let mut limit = RateLimit::default();
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        limit.record_relayed(START, invalid);
        assert_eq!(limit.per_s(START), None, "{invalid}");
    }
}

/// Guards against urgent requests that are refused while less urgent ones use up a named limit, and
/// against requests that wait for a token that cannot come in time.
#[test]
fn urgent_requests_use_a_named_limit_first() {
    const PER_S: f64 = 10.0;
    let (urgent, usual) = (Importance(200), Importance(100));
    let mut admission: Admission<SlotLimit> = Admission::new(START, 36);
    admission.rate_mut().record_answer(START, NamedRate::PerSecond(PER_S));
    let mut waiting: HashMap<Ticket, (Importance, Timestamp)> = HashMap::new();
    let (mut started, mut arrived) = (HashMap::new(), HashMap::new());
    for step in 0..400_u32 {
        let now = START + Duration::from_millis(10) * step;
        let mut actions = admission.on_token(now);
        for (importance, every) in [(usual, 2), (urgent, 20)] {
            if step % every != 0 {
                continue;
            }
            let ticket = Ticket(u64::from(step) * 2 + u64::from(importance == urgent));
            *arrived.entry(importance).or_insert(0) += 1;
            waiting.insert(ticket, (importance, Timestamp::MAX));
            actions.extend(admission.on_arrival(
                now,
                Arrival {
                    ticket,
                    importance,
                    organisation: None,
                    is_nested_call: false,
                    deadline: now + Duration::from_secs(2),
                    own_time: None,
                },
            ));
        }
        for action in actions {
            match action {
                Action::Start(ticket) => {
                    let (importance, _) = waiting.remove(&ticket).expect("it waits");
                    *started.entry(importance).or_insert(0) += 1;
                    admission.on_completion(now, Completion::Aborted);
                }
                Action::Wait(ticket, until) => {
                    waiting.get_mut(&ticket).expect("it waits").1 = until
                }
                Action::Refuse(ticket, _) => drop(waiting.remove(&ticket)),
            }
        }
        waiting.retain(|ticket, (_, until)| {
            now < *until || admission.on_wait_timeout(now, *ticket).is_none()
        });
        assert!(waiting.len() <= 2, "{} requests wait at {now:?}", waiting.len());
    }
    assert_eq!(started.get(&urgent), arrived.get(&urgent), "{started:?} of {arrived:?}");
    let total = started.values().sum::<u32>();
    assert!((38..=43).contains(&total), "{started:?} of {arrived:?}");
}
