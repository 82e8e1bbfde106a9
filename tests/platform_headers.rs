//! The platform's headers of answers.

mod support;

use hibiscusdoor::{
    mesh::{Dialect as _, ReportedLoad},
    platform::OperatorsPlatform,
};
use http::{HeaderMap, HeaderValue, StatusCode};

/// Guards against a load header that is lost because of its fourth figure, and against a load that takes
/// another figure for the relative service time.
fn load_is_read(text: &'static str, expected: Option<(u32, u32, u32, Option<u32>)>) {
    let mut headers = HeaderMap::new();
    headers.insert("x-instance-load", HeaderValue::from_static(text));
    let expected = expected.map(|(running, waiting, slots, relative_time_percent)| ReportedLoad {
        running,
        waiting,
        slots,
        relative_time_percent,
    });
    assert_eq!(OperatorsPlatform::answer_head(StatusCode::OK, &headers).load, expected);
}

crate::cases! { load_is_read:
    of_three_figures("3,1,20", Some((3, 1, 20, None))),
    of_four_figures("3,1,20,250", Some((3, 1, 20, Some(250)))),
    of_four_figures_with_spaces("3, 1, 20, 60", Some((3, 1, 20, Some(60)))),
    of_five_figures("3,1,20,100,7", Some((3, 1, 20, Some(100)))),
    with_an_unreadable_fourth_figure("3,1,20,fast", Some((3, 1, 20, None))),
    of_two_figures("3,1", None),
}
