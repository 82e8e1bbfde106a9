//! Check of a configuration in the platform's form: its findings, the differences from the configuration in
//! force, and the output of `hibiscusctl check`.

mod support;

use std::{fs, process::Command};

use hibiscusdoor::{
    mesh::Dialect as _,
    platform::{
        OperatorsPlatform,
        check::{self, CheckOptions, FindingKind, Report, SourceFile},
    },
};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::support::programs;

const FOLDER: &str = "tests/platform_check";
/// Fragments of the keys in the samples; each key contains one of them.
const SECRET_PARTS: [&str; 2] = ["secret-", ".1\""];

fn path_of(name: &str) -> String {
    format!("{FOLDER}/{name}.json")
}

fn read(name: &str) -> String {
    fs::read_to_string(path_of(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Checks samples; `options` get the texts of the samples that they name.
struct Case<'a> {
    against: Option<&'a str>,
    calls: Option<&'a str>,
    options: CheckOptions<'a>,
}

impl<'a> Case<'a> {
    fn plain() -> Self {
        Self { against: None, calls: None, options: CheckOptions::default() }
    }

    fn against(name: &'a str) -> Self {
        Self { against: Some(name), ..Self::plain() }
    }

    fn calls(name: &'a str) -> Self {
        Self { calls: Some(name), ..Self::plain() }
    }

    fn memory_mb(memory_mb: usize) -> Self {
        let options = CheckOptions { memory_bytes: Some(memory_mb << 20), ..Default::default() };
        Self { options, ..Self::plain() }
    }

    fn retry_ratio(retry_ratio: f64) -> Self {
        let options = CheckOptions { retry_ratio, ..Default::default() };
        Self { options, ..Self::plain() }
    }

    fn run(self, name: &str) -> Report {
        let text = read(name);
        let texts = [self.against, self.calls].map(|name| name.map(|name| (name, read(name))));
        let [against, calls] =
            texts.each_ref().map(|it| it.as_ref().map(|(name, text)| SourceFile { name, text }));
        let options = CheckOptions { against, calls, ..self.options };
        check::check(SourceFile { name, text: &text }, &options)
    }
}

/// Guards against faults that are not reported, or only after others are mended, findings without a place
/// or an expected value, findings about valid entries, and keys in the output.
fn check_findings(name: &str, case: Case<'_>, kind: FindingKind, expected: &[&str]) {
    let report = case.run(name);
    let expected: Vec<String> = expected
        .iter()
        .map(|line| match line.starts_with('/') || line.starts_with("line ") {
            true => format!("{name}: {line}"),
            false => (*line).to_owned(),
        })
        .collect();
    let found: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert_eq!(found, expected);
    assert!(report.findings.iter().all(|it| it.kind == kind), "{:?}", report.findings);
    assert_shows_no_key(&report);
}

fn assert_shows_no_key(report: &Report) {
    let json = serde_json::to_string(report).expect("the report is JSON");
    for output in [report.to_string(), json] {
        for part in SECRET_PARTS {
            assert!(!output.contains(part), "a key is in {output}");
        }
    }
}

macro_rules! findings {
    ($($name:ident: $sample:literal, $case:expr, $kind:ident [$($line:literal),* $(,)?];)*) => {
        cases! {
            check_findings:
            $($name($sample, $case, FindingKind::$kind, &[$($line),*]),)*
        }
    };
}

findings! {
    valid: "valid", Case::plain(), Error [];
    valid_on_the_smallest_machine: "valid", Case::memory_mb(160), Error [];
    wrong_fields: "error_in_fields", Case::plain(), Error [
        "/resources/0/spec (routes/orders): expected the field \"host\", found none",
        "/resources/0/spec/priority (routes/orders): expected a whole number, 0 or above, \
         found integer `-1`",
        "/resources/0/spec/timeout (routes/orders): expected a time, as in \"1500ms\", \
         found \"2 minutes\"",
        "/resources/1/spec (routes/stock): expected a service, or a traffic split with a weight \
         above 0, found none",
        "/resources/2/spec (routes/split): expected a service, or a traffic split with a weight \
         above 0, found none",
        "/resources/3/spec/coldStart (services/orders): expected a string, found integer `5`",
        "/resources/4/spec/apiKeys (tenants/bars): expected a list of texts, found a list with \
         other values",
        "/resources/4/spec/ratePerS (tenants/bars): expected a number, found string \"many\"",
        "/resources/5/spec/maxBodyBytes (limits/): expected a whole number, 0 or above, \
         found string \"64 MiB\"",
    ];
    wrong_entries: "error_in_entries", Case::plain(), Error [
        "/resources/0: expected an object, found a text",
        "/resources/1: expected the field \"resourceType\", found none",
        "/resources/2/spec (routes/b): expected an object, found a list",
        "/resources/3/metadata/name (tenants/): expected a name, found none",
    ];
    wrong_document: "error_in_document", Case::plain(), Error [
        "/version: expected a whole number, 0 or above, found \"seven\"",
        "/resources: expected a list of entries, found an object",
    ];
    not_json: "error_not_json", Case::plain(), Error [
        "line 3, column 45: expected JSON, found other text (trailing comma)",
    ];
    unknown_kind: "error_unknown_kind", Case::plain(), Error [
        "/resources/0/spec/kind (routes/orders): expected safe, unsafe or upload, found another \
         kind, whose requests are never retried",
    ];
    unknown_type: "never_unknown_type", Case::plain(), NeverApplies [
        "/resources/2/resourceType (quotas/bars): expected routes, services, tenants or limits \
         (others are ignored), found quotas",
    ];
    host_or_path_of_no_request: "never_host_or_path", Case::plain(), NeverApplies [
        "/resources/0/spec/host (routes/a): expected a host name, without scheme, wildcard, port \
         or path, found \"https://yard.example\"",
        "/resources/1/spec/host (routes/b): expected a host name, without scheme, wildcard, port \
         or path, found \"*.example\"",
        "/resources/2/spec/host (routes/c): expected a host name, without scheme, wildcard, port \
         or path, found \"yard.example:8080\"",
        "/resources/3/spec/pathPrefix (routes/d): expected a path that begins with /, without \
         query, fragment or spaces, found \"orders/\"",
        "/resources/4/spec/pathPrefix (routes/e): expected a path that begins with /, without \
         query, fragment or spaces, found \"/e?x=1\"",
    ];
    duplicate_host_and_path: "never_same_path", Case::plain(), NeverApplies [
        "/resources/1/spec/pathPrefix (routes/again): expected a host and path prefix of its own, \
         found Yard.Example/orders/, which routes/orders takes first",
    ];
    route_shadowed_by_the_root: "never_shadowed_by_root", Case::plain(), NeverApplies [
        "/resources/0/spec/pathPrefix (routes/all): expected a host and path prefix of its own, \
         found yard.example, which routes/root takes first",
    ];
    undefined_service: "never_undefined_service", Case::plain(), NeverApplies [
        "/resources/0/spec/service (routes/orders): expected a service with an entry of the type \
         services, found \"order\", which has none",
        "/resources/1/spec/trafficSplit/1/service (routes/mixed): expected a service with an \
         entry of the type services, found \"stock\", which has none",
    ];
    unused_traffic_split: "never_split_beside_service", Case::plain(), NeverApplies [
        "/resources/0/spec/trafficSplit (routes/orders): expected a service or a traffic split \
         (the service takes precedence), found both",
        "/resources/1/spec/trafficSplit/1/weight (routes/mixed): expected a weight of 0 or above, \
         found -1",
    ];
    unused_service: "never_unused_service", Case::plain(), NeverApplies [
        "/resources/2/metadata/name (services/stock): expected a service that a route names, \
         found none",
    ];
    organisation_without_key: "never_no_key", Case::plain(), NeverApplies [
        "/resources/2/spec/apiKeys (tenants/bars): expected one key or more, by which its \
         requests are recognised, found none",
    ];
    keys_of_several_organisations: "never_shared_key", Case::plain(), NeverApplies [
        "/resources/2/spec/apiKeys/1 (tenants/bars): expected a key of its own, found one that \
         also belongs to tenants/kitchens, which takes precedence",
        "/resources/2/spec/apiKeys/2 (tenants/bars): expected a key of its own, found an empty one",
        "/resources/3/spec/apiKeys/2 (tenants/kitchens): expected a key of its own, found a \
         repeated one",
    ];
    second_limits: "never_second_limits", Case::plain(), NeverApplies [
        "/resources/2/spec (limits/): expected one entry of the type limits (only the last is \
         used), found one of several",
    ];
    duplicate_names: "contradiction_names", Case::plain(), Contradiction [
        "/resources/1/metadata/name (routes/orders): expected a name used by one route only, \
         found the name of /resources/0",
        "/resources/5/metadata/name (tenants/bars): expected a name used by one organisation \
         only, found the name of /resources/4",
        "/resources/3/metadata/name (services/orders): expected a name used by one service only, \
         found the name of /resources/2",
    ];
    timeout_against_target: "contradiction_times", Case::plain(), Contradiction [
        "/resources/0/spec/aim (routes/orders): expected at most the timeout, 500ms, found 2s",
        "/resources/1/spec/timeout (routes/zero): expected a time above 0, or no request has time \
         to run, found 0s",
        "/resources/1/spec/aim (routes/zero): expected a time above 0, or each answer is late, \
         found 0s",
    ];
    attempts_against_budget: "contradiction_attempts", Case::plain(), Contradiction [
        "/resources/1/spec/maxAttempts (routes/many): expected at most 5: the budget of 0.2 \
         retries per request must suffice for 5 in 100 requests, found 6, for which it suffices \
         for 4.0 in 100",
        "/resources/3/spec/maxAttempts (routes/none): expected at least 1 (0 is taken as 1), \
         found 0",
    ];
    attempts_without_budget: "valid", Case::retry_ratio(0.0), Contradiction [
        "/resources/0/spec/maxAttempts (routes/orders): expected at most 1: the budget of 0 \
         retries per request must suffice for 5 in 100 requests, found 2, for which it suffices \
         for 0.0 in 100",
        "/resources/3/spec/maxAttempts (routes/mixed): expected at most 1: the budget of 0 \
         retries per request must suffice for 5 in 100 requests, found 2, for which it suffices \
         for 0.0 in 100",
        "/resources/4/spec/maxAttempts (routes/below): expected at most 1: the budget of 0 \
         retries per request must suffice for 5 in 100 requests, found 2, for which it suffices \
         for 0.0 in 100",
    ];
    rate_against_burst: "contradiction_rate", Case::plain(), Contradiction [
        "/resources/2/spec/burst (tenants/small): expected at least 25: one request, and the \
         250ms of the rate of 100 requests/s that nodes draw ahead, found 20",
        "/resources/3/spec/burst (tenants/none): expected at least 1: one request, and the 250ms \
         of the rate of 2 requests/s that nodes draw ahead, found 0",
        "/resources/4/spec/burst (tenants/free): expected 0, as a burst without a rate has no \
         effect, found 20",
        "/resources/5/spec/ratePerS (tenants/minus): expected 0 or above (a negative rate is no \
         limit), found -1",
        "/resources/5/spec/burst (tenants/minus): expected 0 or above, found -1",
    ];
    limits_of_zero: "contradiction_limits", Case::plain(), Contradiction [
        "/resources/3/spec/maxHeaderBytes (limits/): expected above 0, or each request is \
         refused, found 0",
        "/resources/3/spec/maxBodyBytes (limits/): expected above 0, as routes/photos takes \
         uploads, found 0",
        "/resources/3/spec/headerTimeout (limits/): expected a time above 0, found 0s",
        "/resources/3/spec/idleTimeout (limits/): expected a time above 0, found 0s",
    ];
    body_limit_against_memory: "valid", Case::memory_mb(128), Contradiction [
        "/resources/9/spec/maxBodyBytes (limits/): expected at most 57671680, what a machine of \
         128 MB can hold of them, found 67108864",
    ];
    timeouts_of_nested_calls: "nested", Case::calls("nested_calls"), Contradiction [
        "/resources/1/spec/timeout (routes/stock): expected at most 1s, the timeout of \
         routes/orders, which calls it, found 2s",
        "/resources/1/spec/aim (routes/stock): expected at most 300ms, the aim of routes/orders, \
         which calls it, found 500ms",
    ];
    nested_calls_of_unknown_routes: "valid", Case::calls("nested_calls_unknown"), Error [
        "nested_calls_unknown: /orders/0: expected the name of a route, found \"absent\"",
        "nested_calls_unknown: /unknown~1route: expected the name of a route, found \
         \"unknown/route\"",
    ];
    wrong_nested_calls: "valid", Case::calls("nested_calls_wrong"), Error [
        "nested_calls_wrong: line 1, column 0: expected an object with a list of routes for each \
         route, found another form",
    ];
    version_below_the_one_in_force: "valid", Case::against("in_force"), NeverApplies [
        "/version: expected at least 9, the version in force, which the nodes would keep, found 7",
    ];
    error_in_the_configuration_in_force: "valid", Case::against("error_not_json"), Error [
        "error_not_json: line 3, column 45: expected JSON, found other text (trailing comma)",
    ];
}

/// Guards against changes that are not reported, or in terms that do not say who is affected and how.
fn check_differences(name: &str, against: &str, expected: &[&str]) {
    let report = Case::against(against).run(name);
    let found: Vec<String> = report.differences.iter().map(ToString::to_string).collect();
    assert_eq!(found, expected);
    assert_shows_no_key(&report);
}

cases! {
    check_differences:
    no_differences("valid", "valid", &[]),
    entries_with_errors_are_not_compared("valid", "error_in_fields", &[
        "route below: added; requests to inside.example/below/ now go to stock (before: no \
         route)",
        "route mixed: added; requests to yard.example/ now go to orders (90.0%), stock (10.0%) \
         (before: no route)",
        "route orders-once: added; requests to yard.example/orders/once/ now go to orders (before: \
         no route)",
        "route photos: added; requests to yard.example/photos/ now go to stock (before: no \
         route)",
        "service stock: added; 3 routes send requests to it",
        "organisation kitchens: added, with no limit on its rate",
        "organisation kitchens: 1 key added",
    ]),
    each_kind_of_change("changed", "in_force", &[
        "route all: priority changed from 3 to 0: more urgent",
        "route kind: kind changed from safe to unsafe: requests run at most once",
        "route kind: no longer retried (before: up to 2 times)",
        "route late: timeout raised from 1s to 2s",
        "route late: target for answers raised from 1s to 2s",
        "route mixed: requests now go to orders (50.0%), stock (50.0%) (before: orders (90.0%), \
         stock (10.0%))",
        "route moved: moved from yard.example/from/ to yard.example/to/; requests to \
         yard.example/from/ now go to route all",
        "route new: added; requests to yard.example/new/ now go to slow (before: route all)",
        "route old: removed; requests to yard.example/old/ now go to route all",
        "route open: now needs a key, and is charged to its organisation's rate",
        "route orders: now retried up to 3 times (before: not retried)",
        "service fresh: added; no route sends requests to it",
        "service slow: time for which an upstream is cold raised from 4s to 8s",
        "service slow: rate of a cold upstream now limited to 10 requests/s (before: no limit)",
        "service stock: removed; 3 routes have no upstream, and 1 route still sends a part of its \
         requests to it",
        "organisation bars: rate lowered from 50 to 20 requests/s",
        "organisation bars: burst raised from 20 to 30 requests",
        "organisation bars: 1 key withdrawn, and refused from now on",
        "organisation bars: 1 key moved to organisation kitchens, whose rate is charged",
        "organisation free: rate now limited to 5 requests/s (before: no limit)",
        "organisation free: priority changed from 2 to that of the route (0 is the highest)",
        "organisation gone: removed",
        "organisation gone: 1 key withdrawn, and refused from now on",
        "organisation guests: added, with 5 requests/s and a burst of 5",
        "organisation guests: 1 key added",
        "organisation kitchens: rate no longer limited (before: 10 requests/s)",
        "organisation kitchens: 1 key added",
        "all callers: largest request body lowered from 67108864 to 1048576 bytes",
    ]),
    no_organisation_left("error_unknown_kind", "never_no_key", &[
        "route orders: kind changed from safe to unknown: requests run at most once",
        "route orders: no longer retried (before: up to 1 time)",
        "organisation bars: removed",
        "all callers: requests need no key any more: no organisation is left",
    ]),
}

/// Guards against an input that the nodes reject and the check passes.
fn assert_reports_rejected(value: &Value) {
    let text = value.to_string();
    let report = check::check(SourceFile { name: "input", text: &text }, &CheckOptions::default());
    let has_error = report.findings.iter().any(|it| it.kind == FindingKind::Error);
    if let Err(error) = OperatorsPlatform::catalog(value, 1) {
        assert!(has_error, "rejected with {error}, and no finding in {report}: {text}");
    }
}

#[test]
fn what_nodes_reject_is_an_error() {
    let mut rejected = 0;
    for entry in fs::read_dir(FOLDER).expect("the folder of samples") {
        let path = entry.expect("a sample").path();
        let text = fs::read_to_string(path).expect("a readable sample");
        let Ok(value) = serde_json::from_str(&text) else { continue };
        assert_reports_rejected(&value);
        rejected += usize::from(OperatorsPlatform::catalog(&value, 1).is_err());
    }
    assert!(rejected >= 3, "{rejected} samples are rejected");
}

/// Places of all values below a value, as JSON pointers.
fn pointers(value: &Value, place: &str, found: &mut Vec<String>) {
    let mut add = |name: String, value: &Value| {
        let place = format!("{place}/{name}");
        pointers(value, &place, found);
        found.push(place);
    };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| add(name.clone(), value));
        }
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(index, value)| add(index.to_string(), value));
        }
        _ => {}
    }
}

fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9/ ]{0,8}(ms|s)?".prop_map(Value::from),
    ];
    leaf.prop_recursive(2, 8, 3, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..3).prop_map(Value::from),
            proptest::collection::btree_map("[a-z]{1,4}", inner, 0..3)
                .prop_map(|fields| Value::from(serde_json::Map::from_iter(fields))),
        ]
    })
}

proptest! {
    /// Guards against a panic on a changed configuration, and against a change that the nodes reject and
    /// the check passes.
    #[test]
    fn changed_values_are_checked(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any_value()), 1..4),
    ) {
        let valid: Value = serde_json::from_str(&read("valid")).expect("the sample is JSON");
        let mut changed = valid.clone();
        let mut places = Vec::new();
        pointers(&valid, "", &mut places);
        for (index, value) in changes {
            if let Some(target) = changed.pointer_mut(&places[index.index(places.len())]) {
                *target = value;
            }
        }
        assert_reports_rejected(&changed);
        let (old, new) = (valid.to_string(), changed.to_string());
        let against = Some(SourceFile { name: "valid", text: &old });
        let options = CheckOptions { against, ..CheckOptions::default() };
        check::check(SourceFile { name: "changed", text: &new }, &options);
    }
}

fn many_routes(count: usize) -> Value {
    let route = |index: usize| {
        json!({
            "resourceType": "routes",
            "metadata": { "name": format!("route-{index}") },
            "spec": {
                "host": "yard.example", "pathPrefix": format!("/{}/", index % (count - 1)),
                "kind": "safe", "timeout": "2s", "service": format!("service-{index}"),
            },
        })
    };
    let service = |index: usize| {
        json!({
            "resourceType": "services",
            "metadata": { "name": format!("service-{index}") },
            "spec": {},
        })
    };
    let resources: Vec<Value> = (0..count).map(route).chain((0..count).map(service)).collect();
    json!({ "version": 1, "resources": resources })
}

/// Guards against findings that are lost or repeated among many entries.
#[test]
fn one_duplicate_among_2000_routes() {
    let (new, old) = (many_routes(2000).to_string(), json!({ "version": 1, "resources": [] }));
    let old = old.to_string();
    let against = Some(SourceFile { name: "old", text: &old });
    let options = CheckOptions { against, ..CheckOptions::default() };
    let report = check::check(SourceFile { name: "new", text: &new }, &options);
    let found: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        [
            "new: /resources/1999/spec/pathPrefix (routes/route-1999): expected a host and path prefix \
          of its own, found yard.example/0/, which routes/route-0 takes first"
        ]
    );
    assert_eq!(report.differences.len(), 4000);
}

/// Exit code, standard output and standard error of `hibiscusctl check`.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(programs().join("hibiscusctl"))
        .arg("check")
        .args(arguments)
        .output()
        .expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Guards against exit codes that do not tell findings from wrong usage, differences that count as
/// findings, JSON that differs from the text, and a changed check of the other form.
#[test]
fn exit_codes_and_json() {
    let [valid, duplicate, in_force, changed] =
        ["valid", "never_same_path", "in_force", "changed"].map(path_of);
    let (code, output, errors) = run(&[&valid, "--memory-mb", "160"]);
    assert_eq!((code, &*output, &*errors), (Some(0), &*format!("{valid}: no findings\n"), ""));

    let newer = tempfile::NamedTempFile::new().expect("a temporary file");
    let text = read("valid").replace("\"ratePerS\": 50", "\"ratePerS\": 30");
    fs::write(newer.path(), text).expect("the file is written");
    let newer = newer.path().to_str().expect("a path in UTF-8");
    let (code, output, _) = run(&[newer, "--against", &valid]);
    let expected = format!(
        "{newer}: no findings\ndifferences from {valid}:\n  \
         organisation bars: rate lowered from 50 to 30 requests/s\n"
    );
    assert_eq!((code, output), (Some(0), expected));

    let (code, output, errors) = run(&["--json", &duplicate]);
    let report: Value = serde_json::from_str(&output).expect("the output is JSON");
    let finding = json!({
        "kind": "never_applies", "entry": "routes/again", "file": duplicate,
        "place": "/resources/1/spec/pathPrefix", "expected": "a host and path prefix of its own",
        "found": "Yard.Example/orders/, which routes/orders takes first",
    });
    let expected = json!({ "file": duplicate, "findings": [finding], "differences": [] });
    assert_eq!((code, report, &*errors), (Some(1), expected, ""));

    let (code, output, _) = run(&["--json", &changed, "--against", &in_force]);
    let report: Value = serde_json::from_str(&output).expect("the output is JSON");
    let rate = json!({
        "subject": "organisation bars", "effect": "rate lowered from 50 to 20 requests/s",
    });
    let differences = report["differences"].as_array().expect("a list of differences");
    assert!(code == Some(1) && differences.contains(&rate), "{code:?}: {report}");
    assert_eq!(report["against"], json!(in_force));

    let missing = format!("{FOLDER}/missing.json");
    for wrong in [
        &[][..],
        &[&*missing][..],
        &[&*valid, "--against", &missing],
        &[&*valid, "--calls", &missing],
        &[&*valid, "--memory-mb", "much"],
        &[&*valid, "--memory-mb", "0"],
        &[&*valid, "--retry-ratio", "-1"],
        &[&*valid, "--unknown"],
        &["sample/configuration.json", "--memory-mb", "160"],
    ] {
        let (code, output, errors) = run(wrong);
        assert_eq!((code, &*output), (Some(2), ""), "{wrong:?}: {errors}");
        assert!(!errors.is_empty(), "{wrong:?}");
    }

    let (code, output, _) = run(&["sample/configuration.json"]);
    assert_eq!((code, &*output), (Some(0), "sample/configuration.json: no findings\n"));
}
