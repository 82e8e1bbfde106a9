//! Limits on the rate of requests that upstreams name in their answers.

mod support;

use hibiscusdoor::{
    mesh::{Dialect as _, NamedRate},
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
