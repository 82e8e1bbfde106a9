//! The parser of scenario files.

mod support;

use std::time::Duration;

use hibiscusdoor::scenario::{When, parse, parse_time};

/// Guards against a time or a comparison that is parsed as an ordinary word, or the reverse.
#[test]
fn statement_has_time_verb_words_and_arguments() {
    let text = "# comment\nnode i00 zone=a weight=2\nat 300ms kill i00\nfrom 5s to 1m cut i01 loss=0.5\nexpect admitted <= 120 # why\n";
    let statements = parse("a.scenario", text).expect("no findings");
    assert_eq!(statements.len(), 4);
    assert_eq!(statements[0].arguments["zone"], "a");
    assert_eq!(statements[0].argument("weight", 1), Ok(2));
    assert_eq!(statements[1].when, When::At(Duration::from_millis(300)));
    let during = When::During { from: Duration::from_secs(5), to: Duration::from_secs(60) };
    assert_eq!(statements[2].when, during);
    assert_eq!(statements[3].words, ["admitted", "<=", "120"]);
    assert_eq!(statements[3].line, 5);
}

/// Guards against a scenario that passes because the parser skipped an invalid line.
#[test]
fn every_faulty_line_is_reported() {
    let findings = parse("a.scenario", "at 3x kill\nok\n=\n").expect_err("findings").findings;
    let places: Vec<&str> = findings.iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, ["line 1", "line 3"]);
}

fn check_time(text: &str, expected_ms: Option<u64>) {
    assert_eq!(parse_time(text), expected_ms.map(Duration::from_millis));
}

cases! {
    check_time:
    time_in_milliseconds("20ms", Some(20)),
    time_in_seconds("2.5s", Some(2500)),
    time_in_minutes("1m", Some(60_000)),
    time_without_unit_is_refused("5", None),
    negative_time_is_refused("-5s", None),
}
