//! Findings about invalid settings and configuration files, and secrets that they must not show.

mod support;

use std::{net::TcpListener, path::Path, process::Command};

use hibiscusdoor::{config::Document, findings, settings::RawSettings};
use serde_json::json;

use crate::support::programs;

/// Exit code of the programs for invalid input.
const EXIT_USAGE: Option<i32> = Some(2);
/// Fragments of the secrets in the files under `tests/bad`; every secret contains one of them.
const SECRET_PARTS: [&str; 4] = ["fleet-secret", "secret-in-a", "the-fleet", "bad-file-0001"];

fn run(program: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(programs().join(program))
        .args(arguments)
        .output()
        .expect("the program starts");
    (output.status.code(), String::from_utf8(output.stderr).expect("standard error is UTF-8"))
}

/// Guards against invalid settings that are accepted, findings without place or expected value,
/// faults that are only reported after others are mended, and secrets in the output.
fn check_settings(name: &str, expected: &[&str]) {
    let file = format!("tests/bad/settings/{name}.json");
    let (code, text) = run("hibiscusd", &["--settings", &file, "--check"]);
    assert_findings(&text, &file, expected);
    assert_eq!(code, EXIT_USAGE);
}

/// Guards against the same failures for the settings of a node in a mesh; see [`check_settings`].
fn check_mesh_settings(name: &str, expected: &[&str]) {
    let file = format!("tests/bad/settings-mesh/{name}.json");
    let (code, text) = run("hibiscusd", &["mesh", "--settings", &file, "--check"]);
    assert_findings(&text, &file, expected);
    assert_eq!(code, EXIT_USAGE);
}

/// Guards against the same failures for the configuration; see [`check_settings`].
fn check_configuration(name: &str, expected: &[&str]) {
    let file = format!("tests/bad/configuration/{name}.json");
    let (code, text) = run("hibiscusctl", &["check", &file]);
    assert_findings(&text, &file, expected);
    assert_eq!(code, EXIT_USAGE);
}

fn assert_findings(text: &str, file: &str, expected: &[&str]) {
    let expected: Vec<String> = expected
        .iter()
        .map(|line| match line.starts_with("tests/") {
            true => (*line).to_owned(),
            false => format!("{file}: {line}"),
        })
        .collect();
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
    let output = text.replace(file, "");
    for part in SECRET_PARTS {
        assert!(!output.contains(part), "the output contains a secret, {part}: {output}");
    }
}

/// Guards against an occupied port that is only noticed when requests fail, and against reporting
/// only one of several.
#[test]
fn occupied_ports_are_all_reported_before_the_node_starts() {
    let occupied: Vec<TcpListener> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let address = |index: usize| occupied[index].local_addr().expect("an address");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("settings.json");
    let settings = json!({
        "instance": "i1",
        "zone": "a",
        "listen": {
            "callers": address(0),
            "upstream": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "operators": address(1),
        },
        "platform": { "kind": "embedded", "configuration": null },
        "fleet_secret": "the-fleet-secret-in-a-bad-file-0001",
    });
    std::fs::write(&file, settings.to_string()).expect("the file is writable");
    let file = file.display().to_string();
    let (code, text) = run("hibiscusd", &["--settings", &file]);
    let occupied_finding = |place, index| {
        let address = address(index);
        format!(
            "/listen/{place}: expected an address that can be bound, found {address}: \
             Address already in use (os error 98)"
        )
    };
    let expected = [occupied_finding("callers", 0), occupied_finding("operators", 1)];
    assert_findings(&text, &file, &expected.each_ref().map(String::as_str));
    assert_eq!(code, EXIT_USAGE);
}

/// Guards against invalid sample files.
#[test]
fn samples_have_no_findings() {
    findings::check_input_file::<RawSettings>(Path::new("sample/settings.json"))
        .expect("no findings");
    findings::check_input_file::<RawSettings>(Path::new("sample/settings-fleet.json"))
        .expect("no findings");
    findings::check_input_file::<Document>(Path::new("sample/configuration.json"))
        .expect("no findings");
}

/// Guards against reference pages that do not match the program, and fields without unit or meaning.
fn check_reference_page(name: &str) {
    let output = Command::new(programs().join("hibiscusctl"))
        .args(["reference", name])
        .output()
        .expect("the program starts");
    let page = std::fs::read_to_string(format!("docs/{name}.md")).expect("the page is readable");
    let generated = String::from_utf8(output.stdout).expect("standard output is UTF-8");
    assert!(page == generated, "run: hibiscusctl reference {name} > docs/{name}.md");
    for line in generated.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        let is_number = cells[1].starts_with("integer") || cells[1].starts_with("number");
        assert!(!is_number || cells[2] != "–", "field of a number type without unit: {line}");
        assert!(
            cells.last().is_some_and(|meaning| !meaning.is_empty()),
            "field without description: {line}"
        );
    }
}

cases! {
    check_reference_page:
    settings_page_matches_the_program("settings"),
    mesh_settings_page_matches_the_program("settings-mesh"),
    configuration_page_matches_the_program("configuration"),
}

cases! {
    check_mesh_settings:
    mesh_settings_with_several_faults(
        "several",
        &[
            "/announced_peers: expected an IP address and a port, as in 127.0.0.1:7000, found \"127.0.0.1\"",
            "/upstream: expected an IP address and a port, as in 127.0.0.1:7000, found \"bole:80\"",
            "/bounds/drain: expected a time, as in \"1500ms\", found \"soon\"",
            "/bounds/retryBudgetRatio: expected a ratio, found -1",
            "/seeds/0: expected an IP address and a port, as in 127.0.0.1:7000, found nowhere",
        ],
    ),
    mesh_settings_with_wrong_fields(
        "fields",
        &[
            "/store/timeout_ms: expected a number of at least 10, found 5",
            "/store: expected the field \"address\", found none",
            "/zones: expected a known field, found an unknown field",
        ],
    ),
}

cases! {
    check_settings:
    settings_address_twice(
        "address_twice",
        &[
            "/listen/operators: expected an address of its own, found 127.0.0.1:7000, used twice",
        ],
    ),
    settings_configuration_missing(
        "configuration_missing",
        &[
            "tests/bad/no_such_file.json: /: expected a readable file, found No such file or directory (os error 2)",
        ],
    ),
    settings_empty(
        "empty",
        &[
            "line 1, column 0: expected JSON, found other text (EOF while parsing a value)",
        ],
    ),
    settings_log_module_of_library(
        "log_module_of_library",
        &["/log/modules/h2: expected a module below one of hibiscusdoor, hibiscusd, hibiscusctl, \
           hibiscus_standin, found another module"],
    ),
    settings_missing_field(
        "missing_field",
        &[
            "/: expected the field \"zone\", found none",
        ],
    ),
    settings_not_an_address(
        "not_an_address",
        &[
            "/listen/callers: expected an IP address and a port, as in 127.0.0.1:7000, found \"localhost\"",
        ],
    ),
    settings_not_json(
        "not_json",
        &[
            "line 1, column 75: expected JSON, found other text (expected `,` or `}`)",
        ],
    ),
    settings_out_of_range(
        "out_of_range",
        &[
            "/limits/drain_timeout_ms: expected a number of at least 100, found 5",
        ],
    ),
    settings_peers_unspecified(
        "peers_unspecified",
        &[
            "/listen/peers: expected an address that other nodes can reach, found 0.0.0.0:7002",
        ],
    ),
    settings_platform_without_address(
        "platform_without_address",
        &[
            "/platform: expected the field \"address\", found none",
        ],
    ),
    settings_secret_of_wrong_type(
        "secret_of_wrong_type",
        &[
            "/fleet_secret: expected a value of type string, found an object",
        ],
    ),
    settings_several(
        "several",
        &[
            "/listen/callers: expected an IP address and a port, as in 127.0.0.1:7000, found \"nowhere\"",
            "/weight: expected a number of at least 1, found 0",
            "/colour: expected a known field, found an unknown field",
            "/listen/upstream: expected a loopback address, found 10.0.0.1:7001",
        ],
    ),
    settings_short_secret(
        "short_secret",
        &[
            "/fleet_secret: expected text of at least 32 characters, found text of 22 characters",
        ],
    ),
    settings_unknown_field(
        "unknown_field",
        &[
            "/lisen: expected a known field, found an unknown field",
        ],
    ),
    settings_unknown_log_level(
        "unknown_log_level",
        &[
            "/log/level: expected one of \"error\", \"warn\", \"info\", \"debug\", \"trace\", found \"loud\"",
        ],
    ),
    settings_unknown_platform(
        "unknown_platform",
        &[
            "/platform/kind: expected one of \"embedded\", \"http\", found \"cloud\"",
        ],
    ),
    settings_upstream_not_loopback(
        "upstream_not_loopback",
        &[
            "/listen/upstream: expected a loopback address, found 10.0.0.1:7001",
        ],
    ),
    settings_wrong_type(
        "wrong_type",
        &[
            "/weight: expected a value of type integer, found \"heavy\"",
        ],
    ),
    settings_no_such_file(
        "no_such_file",
        &[
            "/: expected a readable file, found No such file or directory (os error 2)",
        ],
    ),
}

cases! {
    check_configuration:
    configuration_fraction_above_one(
        "fraction_above_one",
        &[
            "/classes/0/target/must_get_through: expected a number of at most 1.0, found 99.9",
        ],
    ),
    configuration_hash_not_hexadecimal(
        "hash_not_hexadecimal",
        &[
            "/keys/0/hash: expected 64 hexadecimal digits, found other text",
        ],
    ),
    configuration_key_with_both(
        "key_with_both",
        &[
            "/keys/0: expected either \"hash\" or \"secret\", found both",
        ],
    ),
    configuration_key_without_secret(
        "key_without_secret",
        &[
            "/keys/0: expected either \"hash\" or \"secret\", found none",
        ],
    ),
    configuration_keys_as_object(
        "keys_as_object",
        &[
            "/keys: expected a value of type array, found an object",
        ],
    ),
    configuration_list_at_top(
        "list_at_top",
        &[
            "/: expected a value of type object, found a list of 0 items",
        ],
    ),
    configuration_name_twice(
        "name_twice",
        &[
            "/services/1/name: expected a name used once, found a name used before",
            "/routes/1/service: expected the name of a service, found trucks",
            "/routes/3/service: expected the name of a service, found trucks",
        ],
    ),
    configuration_negative_rate(
        "negative_rate",
        &[
            "/organisations/1/rate_per_s: expected a number of at least 0.001, found -1",
        ],
    ),
    configuration_not_json(
        "not_json",
        &[
            "line 1, column 1: expected JSON, found other text (expected value)",
        ],
    ),
    configuration_prefix_twice(
        "prefix_twice",
        &[
            "/routes/1/prefix: expected a prefix used once, found /drops/",
        ],
    ),
    configuration_prefix_without_slash(
        "prefix_without_slash",
        &[
            "/routes/0/prefix: expected text matching ^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$, found \"drops\"",
        ],
    ),
    configuration_short_secret(
        "short_secret",
        &[
            "/keys/0/secret: expected text of at least 20 characters, found text of 11 characters",
        ],
    ),
    configuration_unknown_class(
        "unknown_class",
        &[
            "/routes/0/class: expected the name of a class, found urgent",
        ],
    ),
    configuration_unknown_field(
        "unknown_field",
        &[
            "/organisations/0/colour: expected a known field, found an unknown field",
        ],
    ),
    configuration_unknown_idempotency(
        "unknown_idempotency",
        &[
            "/routes/1/idempotency: expected one of \"by_method\", \"always\", \"never\", found \"sometimes\"",
        ],
    ),
    configuration_unknown_organisation(
        "unknown_organisation",
        &[
            "/keys/0/organisation: expected the name of an organisation, found a name that no organisation has",
        ],
    ),
    configuration_unknown_service(
        "unknown_service",
        &[
            "/routes/0/service: expected the name of a service, found boats",
        ],
    ),
    configuration_whole_key_as_id(
        "whole_key_as_id",
        &[
            "/keys/0/id: expected text matching ^[A-Za-z0-9][A-Za-z0-9_-]*$, found text of 30 characters",
        ],
    ),
    configuration_wrong_type(
        "wrong_type",
        &[
            "/organisations/0/rate_per_s: expected a value of type number, found \"200\"",
        ],
    ),
    configuration_no_such_file(
        "no_such_file",
        &[
            "/: expected a readable file, found No such file or directory (os error 2)",
        ],
    ),
}
