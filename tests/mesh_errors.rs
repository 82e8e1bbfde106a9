//! Unexpected errors and malformed messages inside a node.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hibiscusdoor::mesh::{Organisation, RateHome, supervise::supervise, to_token_count};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a background task that ends for good, without a word, when it panics: a node would
/// go on without exchanges or without its configuration.
#[tokio::test]
async fn a_background_task_that_panics_is_started_again() -> anyhow::Result<()> {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let task = supervise("test", move || {
        let starts = counted.clone();
        async move {
            let number = starts.fetch_add(1, Ordering::Relaxed);
            assert!(number >= 2, "the first two runs fail");
        }
    });
    timeout(TIMEOUT, task).await?;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    Ok(())
}

/// Guards against numbers of tokens in a malformed message that stay in a bucket for good.
fn malformed_tokens_leave_a_home_as_it_is(tokens: f64) {
    let organisation =
        Organisation { name: "bole".into(), rate_per_s: Some(10.0), burst: 5.0, rank: None };
    let mut home = RateHome::default();
    home.set_contacts(Duration::from_secs(1), 3, 3);
    let now = Duration::from_secs(2);
    let (wanted, returned) = (to_token_count(tokens), to_token_count(tokens));
    let grant = home.grant_tokens(now, &organisation, wanted, returned);
    assert!(grant.tokens.is_finite() && grant.tokens >= 0.0, "{grant:?}");
    let later = home.grant_tokens(now + Duration::from_secs(1), &organisation, 1.0, 0.0);
    assert!((later.tokens - 1.0).abs() < f64::EPSILON, "{later:?}");
}

crate::cases! { malformed_tokens_leave_a_home_as_it_is:
    that_are_no_number(f64::NAN),
    that_are_infinite(f64::INFINITY),
    that_are_negative(-5.0),
    that_are_negative_and_infinite(f64::NEG_INFINITY),
}
