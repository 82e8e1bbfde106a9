//! Changes of the configuration: concurrent edits, repeated changes and the recorded history.

mod support;

use hibiscusdoor::{
    config::{
        Change, ChangeError, Decision, Document, Edit, KeyHasher, MAX_RECENT_CHANGES, ResourceId,
        ResourceKind, evaluate_change,
    },
    settings::FleetSecret,
};
use proptest::prelude::*;
use serde_json::{Value, json};
use uuid::Uuid;

fn hasher() -> KeyHasher {
    KeyHasher::new(&FleetSecret::new("a secret for tests of the configuration"))
}

fn organisation(name: &str, burst: u32) -> Value {
    json!({ "name": name, "rate_per_s": 10.0, "burst": f64::from(burst) })
}

fn id(text: &str) -> ResourceId {
    text.parse().expect("a resource id")
}

fn change(stated_revision: u64, edit: Edit) -> Change {
    Change { change_id: Uuid::now_v7(), stated_revision, edit }
}

fn create(name: &str) -> Edit {
    Edit::Create(ResourceKind::Organisation, organisation(name, 1))
}

fn set_burst(name: &str, burst: u32) -> Edit {
    Edit::Change(id(&format!("organisations/{name}")), organisation(name, burst))
}

fn apply(document: &mut Document, change: &Change) -> Result<u64, ChangeError> {
    match evaluate_change(document, change, &hasher())? {
        Decision::AlreadyApplied(revision) => Ok(revision),
        Decision::Write(next) => {
            *document = *next;
            Ok(document.revision)
        }
    }
}

fn two_organisations() -> Document {
    let mut document = Document::default();
    for (revision, name) in ["bole", "piazza"].into_iter().enumerate() {
        apply(&mut document, &change(revision as u64, create(name))).expect("created");
    }
    document
}

/// Guards against applying a change twice when its writer repeats it after a lost response, and
/// other changes were accepted in between.
#[test]
fn overtaken_change_is_recognised_as_applied() {
    let mut document = two_organisations();
    let first = change(2, set_burst("bole", 7));
    assert_eq!(apply(&mut document, &first), Ok(3));
    for burst in 0..10 {
        apply(&mut document, &change(3 + u64::from(burst), set_burst("bole", 20 + burst)))
            .expect("a later change");
    }
    let before = document.clone();
    assert_eq!(apply(&mut document, &first), Ok(3));
    assert_eq!(document, before);
}

/// Guards against an edit that silently overwrites a concurrent edit of the same resource.
#[test]
fn outdated_edit_of_the_same_object_conflicts_and_names_it() {
    let mut document = two_organisations();
    apply(&mut document, &change(2, set_burst("bole", 7))).expect("the first edit");
    apply(&mut document, &change(3, set_burst("piazza", 8))).expect("an unrelated edit");
    let error = apply(&mut document, &change(2, set_burst("bole", 9))).expect_err("a conflict");
    let expected = ChangeError::Conflict {
        stated_revision: 2,
        current_revision: 4,
        changed: Some(vec![id("organisations/bole")]),
    };
    assert_eq!(error, expected);
    assert_eq!(
        error.to_string(),
        "conflict: the edit starts from revision 2, but revision 4 is accepted; \
         organisations/bole changed in between"
    );
}

/// Guards against conflicts between concurrent edits of different resources.
#[test]
fn outdated_edit_of_another_object_is_accepted() {
    let mut document = two_organisations();
    apply(&mut document, &change(2, set_burst("bole", 7))).expect("the first edit");
    assert_eq!(apply(&mut document, &change(2, set_burst("piazza", 9))), Ok(4));
    assert_eq!(document.organisations[0].burst, 7.0);
    assert_eq!(document.organisations[1].burst, 9.0);
}

/// Guards against a replacement of the whole configuration that reverts edits made since its base
/// revision.
#[test]
fn outdated_file_conflicts_and_names_what_changed() {
    let mut document = two_organisations();
    let file = document.clone();
    apply(&mut document, &change(2, set_burst("piazza", 9))).expect("an edit");
    let withdraw = Edit::Withdraw(id("organisations/bole"));
    apply(&mut document, &change(3, withdraw)).expect("withdrawn");
    let error = apply(&mut document, &change(2, Edit::Replace(Box::new(file))));
    let changed = Some(vec![id("organisations/bole"), id("organisations/piazza")]);
    let expected = ChangeError::Conflict { stated_revision: 2, current_revision: 4, changed };
    assert_eq!(error, Err(expected));
}

/// Guards against accepting an edit based on a revision newer than the current one, for example one
/// of another fleet.
#[test]
fn edit_from_a_revision_that_is_not_there_conflicts() {
    let mut document = two_organisations();
    for edit in [create("merkato"), set_burst("bole", 2)] {
        let error = apply(&mut document, &change(9, edit));
        assert!(matches!(error, Err(ChangeError::Conflict { changed: None, .. })), "{error:?}");
    }
}

/// Guards against a history of changes that grows without bound, and against accepting an edit from
/// before the start of the history.
#[test]
fn memory_of_changes_is_bounded_and_edits_from_before_it_conflict() {
    let mut document = two_organisations();
    for step in 0..(MAX_RECENT_CHANGES as u64 + 5) {
        let burst = 1 + u32::try_from(step).expect("small");
        apply(&mut document, &change(2 + step, set_burst("bole", burst))).expect("an edit");
    }
    assert_eq!(document.recent_changes.len(), MAX_RECENT_CHANGES);
    let error = apply(&mut document, &change(2, set_burst("piazza", 3)));
    assert!(matches!(error, Err(ChangeError::Conflict { changed: None, .. })), "{error:?}");
}

/// Guards against a stored document that contains the secret of a key.
#[test]
fn secret_of_a_key_is_kept_as_a_hash_only() {
    let mut document = two_organisations();
    let secret = "kJ3mPq8sVt2xZa5cEf7h";
    let key = json!({ "id": "k1", "organisation": "bole", "secret": secret });
    apply(&mut document, &change(2, Edit::Create(ResourceKind::Key, key))).expect("created");
    let stored = serde_json::to_string(&document).expect("JSON");
    assert!(!stored.contains(secret), "{stored}");
    assert_eq!(document.keys[0].hash, Some(hasher().hash("k1", secret).to_hex().to_string()));
}

/// Guards against an invalid edit that is accepted, or rejected with an unclear message.
fn check_refused(edit: Edit, expected: &str) {
    let mut document = two_organisations();
    let key = json!({ "id": "k1", "organisation": "bole", "secret": "kJ3mPq8sVt2xZa5cEf7h" });
    apply(&mut document, &change(2, Edit::Create(ResourceKind::Key, key))).expect("created");
    let error = apply(&mut document, &change(3, edit)).expect_err("refused");
    assert_eq!(error.to_string(), expected);
}

cases! {
    check_refused:
    creating_what_exists_is_refused(create("bole"), "organisations/bole exists already"),
    changing_what_is_missing_is_refused(
        set_burst("merkato", 1),
        "organisations/merkato does not exist",
    ),
    withdrawing_what_is_missing_is_refused(
        Edit::Withdraw(id("routes//drops")),
        "routes//drops does not exist",
    ),
    withdrawing_what_is_in_use_is_refused(
        Edit::Withdraw(id("organisations/bole")),
        "request body: /keys/0/organisation: expected the name of an organisation, found a name \
         that no organisation has",
    ),
}

/// One step of a random history: an edit based on the revision `age` before the current one, or a
/// repeat of the accepted change `back` places before the last.
#[derive(Debug, Clone)]
enum Step {
    Edit { organisation: usize, age: u64, burst: u32 },
    Repeat { back: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 0..4_u64, 1..1000_u32)
            .prop_map(|(organisation, age, burst)| Step::Edit { organisation, age, burst }),
        1 => (0..10_usize).prop_map(|back| Step::Repeat { back }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::with_cases(60)
    })]

    /// Guards against lost edits, changes applied twice and revisions that do not increase by one.
    #[test]
    fn random_history_of_racing_operators_loses_and_doubles_nothing(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        const NAMES: [&str; 3] = ["bole", "merkato", "piazza"];
        let mut document = Document::default();
        for (revision, name) in NAMES.into_iter().enumerate() {
            apply(&mut document, &change(revision as u64, create(name))).expect("created");
        }
        let mut changed_at = [3_u64; 3];
        let mut accepted: Vec<(Change, u64)> = Vec::new();
        for step in steps {
            let before = document.clone();
            match step {
                Step::Repeat { back } => {
                    let Some((earlier, revision)) = accepted.iter().rev().nth(back) else { continue };
                    prop_assert_eq!(apply(&mut document, earlier), Ok(*revision));
                    prop_assert_eq!(&document, &before);
                }
                Step::Edit { organisation, age, burst } => {
                    let stated = document.revision.saturating_sub(age).max(3);
                    let edit = change(stated, set_burst(NAMES[organisation], burst));
                    let result = apply(&mut document, &edit);
                    if changed_at[organisation] > stated {
                        let is_conflict = matches!(result, Err(ChangeError::Conflict { .. }));
                        prop_assert!(is_conflict);
                        prop_assert_eq!(&document, &before);
                    } else {
                        prop_assert_eq!(result, Ok(before.revision + 1));
                        let edited = document.organisations.iter().find(|it| &*it.name == NAMES[organisation]);
                        prop_assert_eq!(edited.map(|it| it.burst), Some(f64::from(burst)));
                        changed_at[organisation] = document.revision;
                        accepted.push((edit, document.revision));
                    }
                }
            }
        }
    }
}
