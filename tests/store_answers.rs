//! Answers of the object store, from bytes of any kind, read by the clients of both of its forms.
//!
//! A client must not panic, must name what is wrong in a text of bounded size, must not hold more memory
//! than the smallest machine has, and must not take an unreadable answer for one that says what happened
//! to a write.

use std::{fmt::Write as _, net::SocketAddr, process::Command, sync::Arc, time::Duration};

use hibiscusdoor::{
    platform::PlatformStore,
    store::{HttpStore, Listing, ObjectApi, StoreError},
};
use parking_lot::Mutex;
use proptest::{collection::vec, prelude::*};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    task::JoinSet,
};

/// Held by the running test, since the memory of the process is measured.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest text of an error. It is logged, and the answer may have 8 MiB.
const MAX_ERROR_BYTES: usize = 1024;
/// Variable of the environment of a process that runs one test.
const IS_ALONE: &str = "HIBISCUSDOOR_STORE_ANSWERS_ALONE";
/// Memory of the smallest machine of a deployment.
const MACHINE_MEMORY_KB: u64 = 160 * 1000;
/// Largest body that the clients read.
const MAX_ANSWER_BYTES: usize = 8 << 20;

const STATUSES: [u16; 12] = [200, 201, 202, 204, 304, 400, 404, 409, 410, 429, 500, 503];
/// Answers of both forms of the store, with places for values.
const TEMPLATES: [&str; 7] = [
    r#"{"metadata":{"name":@,"revision":@,"deleting":@},"spec":@}"#,
    r#"{"items":[{"metadata":{"name":@,"revision":@},"spec":@}],"more":@,"storeRevision":@}"#,
    r#"{"events":[{"object":{"metadata":{"name":@,"revision":@},"spec":@},"deleted":@}],"storeRevision":@}"#,
    r#"{"items":@,"events":@,"storeRevision":@}"#,
    r#"{"kind":@,"name":@,"version":@,"era":@,"value":@}"#,
    r#"{"version":@,"objects":[{"kind":@,"name":@,"version":@,"value":@}]}"#,
    r#"{"version":@,"objects":@}"#,
];

/// What the store answers to each call.
#[derive(Debug, Clone, Default)]
struct Answer {
    status: u16,
    headers: String,
    body: Arc<[u8]>,
    /// Length of the part of the body that is sent before the connection is closed.
    cut: Option<usize>,
}

impl Answer {
    fn new(status: u16, body: impl AsRef<[u8]>) -> Self {
        Self { status, body: body.as_ref().into(), ..Self::default() }
    }
}

/// A store that answers all calls with the same bytes.
struct Standin {
    runtime: Runtime,
    address: SocketAddr,
    answer: Arc<Mutex<Answer>>,
}

impl Standin {
    fn start() -> Self {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let answer = Arc::<Mutex<Answer>>::default();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("an address");
        let address = listener.local_addr().expect("an address");
        runtime.spawn(serve(listener, answer.clone()));
        Self { runtime, address, answer }
    }

    /// Makes each kind of call; returns the results by the names of the calls.
    fn call_all<S: ObjectApi>(
        &self,
        store: &S,
        answer: &Answer,
    ) -> Vec<(&'static str, CallResult)> {
        *self.answer.lock() = answer.clone();
        self.runtime.block_on(async {
            vec![
                ("get", store.get("kind", "name").await.map(drop)),
                ("list", store.list("kind").await.map(drop)),
                ("list_stale", store.list_stale("kind").await.map(drop)),
                ("watch", store.watch("kind", 7, Duration::ZERO).await.map(drop)),
                ("create", store.put("kind", "name", json!(1), 0).await.map(drop)),
                ("replace", store.put("kind", "name", json!(1), 7).await.map(drop)),
                ("delete", store.delete("kind", "name", 7).await),
            ]
        })
    }

    /// The same for both forms of the store.
    fn call_both(&self, answer: &Answer) -> Vec<(&'static str, CallResult)> {
        let http = HttpStore::new(self.address, CALL_TIMEOUT);
        let platform = PlatformStore::new(self.address, CALL_TIMEOUT);
        let mut results = self.call_all(&http, answer);
        results.extend(self.call_all(&platform, answer));
        results
    }
}

type CallResult = Result<(), StoreError>;

async fn serve(listener: TcpListener, answer: Arc<Mutex<Answer>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        let answer = answer.lock().clone();
        connections.spawn(async move {
            // The client may have closed the connection.
            let _ = answer_call(stream, answer).await;
        });
    }
}

async fn answer_call(mut stream: TcpStream, answer: Answer) -> std::io::Result<()> {
    let mut request = Vec::new();
    let end = loop {
        if let Some(end) = request.windows(4).position(|it| it == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    };
    let head = String::from_utf8_lossy(&request[..end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
    while request.len() < end + length && stream.read_buf(&mut request).await? > 0 {}
    let Answer { status, headers, body, cut } = answer;
    let head = format!(
        "HTTP/1.1 {status} S\r\ncontent-length: {}\r\nconnection: close\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body[..cut.unwrap_or(body.len())]).await?;
    stream.shutdown().await
}

/// Checks what holds for each answer.
fn check(answer: &Answer, results: &[(&str, CallResult)]) {
    for (call, result) in results {
        let Err(error) = result else { continue };
        let text = error.to_string();
        assert!(!text.is_empty(), "{call}");
        assert!(text.len() <= MAX_ERROR_BYTES, "{call}: a text of {} bytes", text.len());
        // Only a status says that a write has not been made; an unreadable body says nothing.
        match answer.status {
            200..=299 => {
                let is_end_of_pages = *call != "get" && matches!(error, StoreError::Refused(_));
                let is_write = ["create", "replace", "delete"].contains(call);
                assert!(
                    matches!(error, StoreError::NoAnswer(_)) || (is_end_of_pages && !is_write),
                    "{call}: {error:?}"
                );
            }
            500 => assert!(matches!(error, StoreError::NoAnswer(_)), "{call}: {error:?}"),
            _ => {}
        }
    }
}

/// Values of JSON, as text: of each type, large numbers, long strings and deep nesting.
fn literals() -> impl Strategy<Value = String> {
    let fixed = [
        "null",
        "true",
        "\"main\"",
        "\"\"",
        "\"a b\\n&#?%\"",
        "0",
        "-1",
        "1.5",
        "18446744073709551615",
        "18446744073709551616",
        "-9223372036854775809",
        "1e308",
        "1e400",
        "-1e400",
        "[]",
        "{}",
        "\"\\ud800\"",
        "{\"a\":1,\"a\":2}",
        "NaN",
        "",
    ];
    prop_oneof![
        6 => prop::sample::select(fixed.map(str::to_owned).to_vec()),
        1 => (1..4000_usize).prop_map(|length| format!("\"{}\"", "é".repeat(length))),
        1 => (1..2000_usize).prop_map(|digits| "9".repeat(digits)),
        1 => (1..2000_usize).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        1 => (1..2000_usize).prop_map(|depth| "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth)),
        1 => (1..2000_usize).prop_map(|depth| "[".repeat(depth)),
    ]
}

/// A template with these values in its places, in turn.
fn fill(template: &str, values: &[String]) -> String {
    let mut values = values.iter().cycle();
    let mut text = String::new();
    for (index, part) in template.split('@').enumerate() {
        if index > 0 {
            text.push_str(values.next().map_or("1", String::as_str));
        }
        text.push_str(part);
    }
    text
}

/// A readable answer of each form.
fn readable(template: &str) -> String {
    let values = ["\"main\"", "3", "1", "false", "4"].map(str::to_owned);
    fill(template, &values)
}

fn statuses() -> impl Strategy<Value = u16> {
    prop_oneof![3 => Just(200), 2 => prop::sample::select(STATUSES.to_vec())]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against panics, and against errors that repeat the whole answer, by bytes that are no JSON.
    #[test]
    fn random_answers_are_named(
        status in statuses(),
        body in vec(prop_oneof![4 => prop::sample::select(b"{}[]\",:0e-\\un ".to_vec()), 1 => any::<u8>()], 0..3000),
    ) {
        let _lock = ONE_AT_A_TIME.lock();
        let answer = Answer::new(status, body);
        check(&answer, &Standin::start().call_both(&answer));
    }

    /// The same for answers that are almost readable.
    #[test]
    fn mutated_answers_are_named(
        status in statuses(),
        template in prop::sample::select(TEMPLATES.to_vec()),
        changes in vec((any::<prop::sample::Index>(), 0..3_u8, any::<u8>()), 1..5),
    ) {
        let _lock = ONE_AT_A_TIME.lock();
        let mut body = readable(template).into_bytes();
        for (place, kind, byte) in changes {
            let place = place.index(body.len().max(1));
            match kind {
                0 if place < body.len() => body[place] = byte,
                1 if place < body.len() => drop(body.remove(place)),
                _ => body.insert(place.min(body.len()), byte),
            }
        }
        let answer = Answer::new(status, body);
        check(&answer, &Standin::start().call_both(&answer));
    }

    /// The same for JSON with values of other types, large numbers, long strings and deep nesting, and
    /// for eras of any kind.
    #[test]
    fn answers_of_other_types_are_named(
        status in statuses(),
        template in prop::sample::select(TEMPLATES.to_vec()),
        values in vec(literals(), 1..6),
        era in "[0-9a-z -]{0,24}",
    ) {
        let _lock = ONE_AT_A_TIME.lock();
        let answer = Answer {
            headers: format!("store-era: {era}\r\n"),
            ..Answer::new(status, fill(template, &values))
        };
        check(&answer, &Standin::start().call_both(&answer));
    }

    /// Guards against an answer that is taken for complete although its connection was closed before its
    /// end.
    #[test]
    fn cut_answers_are_no_answers(
        status in prop::sample::select(vec![200_u16, 409, 500, 503]),
        template in prop::sample::select(TEMPLATES.to_vec()),
        cut in any::<prop::sample::Index>(),
    ) {
        let _lock = ONE_AT_A_TIME.lock();
        let body = readable(template);
        let answer = Answer { cut: Some(cut.index(body.len())), ..Answer::new(status, body) };
        for (call, result) in Standin::start().call_both(&answer) {
            prop_assert!(matches!(result, Err(StoreError::NoAnswer(_))), "{call}: {result:?}");
        }
    }
}

/// Values that another writer may have left, and that cannot be read as JSON values.
fn unreadable_values() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("a number out of range", b"{\"port\":1e400}".to_vec()),
        ("an integer of 400 digits", [b"-".as_slice(), &[b'7'; 400], b".5e999"].concat()),
        ("deep nesting", [vec![b'['; 100_000], vec![b']'; 100_000]].concat()),
        ("half of a surrogate pair", b"\"\\ud800\"".to_vec()),
        ("values beyond the memory", [b"[".as_slice(), &b"0,".repeat(200_000), b"0]"].concat()),
    ]
}

/// An object of the store with this text as its content.
fn object_text(name: &str, version: u64, spec: &[u8]) -> Vec<u8> {
    let head = format!(r#"{{"metadata":{{"name":"{name}","revision":{version}}},"spec":"#);
    [head.as_bytes(), spec, b"}"].concat()
}

/// Checks that the objects `a` and `c` are listed, and the odd one without a value that was made up.
fn check_others(cause: &str, listing: Listing, has_name: bool) {
    let names: Vec<&str> = listing.objects.iter().map(|it| &*it.name).collect();
    let expected: &[&str] = if has_name { &["a", "b", "c"] } else { &["a", "c"] };
    assert_eq!(names, expected, "{cause}");
    assert_eq!(listing.version, 9, "{cause}");
    for object in listing.objects {
        let value = object.value.expect("an object that exists");
        match &*object.name {
            "b" => assert!(!value.is_object(), "{cause}: {value}"),
            _ => assert_eq!(value, json!({ "port": 1 }), "{cause}"),
        }
    }
}

/// Guards against a node that cannot replace what another writer has left under its name.
#[test]
fn unreadable_objects_have_a_version() {
    let _lock = ONE_AT_A_TIME.lock();
    let standin = Standin::start();
    let store = PlatformStore::new(standin.address, CALL_TIMEOUT);
    for (cause, spec) in unreadable_values() {
        let object = object_text("b", 5, &spec);
        *standin.answer.lock() = Answer::new(200, &object);
        let read = standin.runtime.block_on(store.get("kind", "b")).expect(cause);
        let read = read.expect("an object that exists");
        assert_eq!((&*read.name, read.version), ("b", 5), "{cause}");
        let written = standin.runtime.block_on(store.put("kind", "b", json!(1), 4));
        assert_eq!(written, Ok(5), "{cause}");
        *standin.answer.lock() = Answer::new(409, &object);
        let conflict = standin.runtime.block_on(store.put("kind", "b", json!(1), 4));
        assert_eq!(conflict, Err(StoreError::Conflict { current: 5 }), "{cause}");
        let conflict = standin.runtime.block_on(store.delete("kind", "b", 4));
        assert_eq!(conflict, Err(StoreError::Conflict { current: 5 }), "{cause}");
    }
}

/// Guards against a list or a watch that fails as a whole for one object that cannot be read, so that no
/// node follows the others.
#[test]
fn unreadable_objects_leave_the_others() {
    let _lock = ONE_AT_A_TIME.lock();
    let standin = Standin::start();
    let store = PlatformStore::new(standin.address, CALL_TIMEOUT);
    let good = |name, version| object_text(name, version, b"{\"port\":1}");
    let mut odd_items: Vec<_> = unreadable_values()
        .into_iter()
        .map(|(cause, spec)| (cause, object_text("b", 2, &spec), true))
        .collect();
    odd_items.push(("bytes that are no text", object_text("b", 2, b"\"\xff\""), true));
    odd_items.push(("no metadata", b"{\"spec\":1}".to_vec(), false));
    let no_version = br#"{"metadata":{"name":"b","revision":1e400},"spec":{}}"#;
    odd_items.push(("a version out of range", no_version.to_vec(), false));
    for (cause, odd, has_name) in odd_items {
        let items = [good("a", 1), odd.clone(), good("c", 3)].join(b",".as_slice());
        let list =
            [b"{\"items\":[".as_slice(), &items, b"],\"more\":false,\"storeRevision\":9}"].concat();
        *standin.answer.lock() = Answer::new(200, list);
        for listing in standin
            .runtime
            .block_on(async { [store.list("kind").await, store.list_stale("kind").await] })
        {
            check_others(cause, listing.expect(cause), has_name);
        }
        let event = |object: &[u8]| [b"{\"object\":".as_slice(), object, b"}"].concat();
        let events =
            [event(&good("a", 1)), event(&odd), event(&good("c", 3))].join(b",".as_slice());
        let events = [b"{\"events\":[".as_slice(), &events, b"],\"storeRevision\":9}"].concat();
        *standin.answer.lock() = Answer::new(200, events);
        let listing = standin.runtime.block_on(store.watch("kind", 7, Duration::ZERO));
        check_others(cause, listing.expect(cause), has_name);
    }
}
/// Guards against a test whose answers are unreadable for another reason than the one that it names.
#[test]
fn readable_answers_are_read() {
    let _lock = ONE_AT_A_TIME.lock();
    let standin = Standin::start();
    let platform = PlatformStore::new(standin.address, CALL_TIMEOUT);
    let http = HttpStore::new(standin.address, CALL_TIMEOUT);
    let ok = |results: &[(&str, CallResult)], call: &str| {
        results.iter().any(|(name, result)| *name == call && result.is_ok())
    };
    let answer = |template: usize, values: [&str; 5]| {
        Answer::new(200, fill(TEMPLATES[template], &values.map(str::to_owned)))
    };
    let results = standin.call_all(&platform, &answer(0, ["\"main\"", "3", "false", "{}", "1"]));
    assert!(ok(&results, "get") && ok(&results, "create") && ok(&results, "delete"), "{results:?}");
    let results = standin.call_all(&platform, &answer(1, ["\"main\"", "3", "{}", "false", "4"]));
    assert!(ok(&results, "list") && ok(&results, "list_stale"), "{results:?}");
    let results = standin.call_all(&platform, &answer(2, ["\"main\"", "3", "{}", "false", "4"]));
    assert!(ok(&results, "watch"), "{results:?}");
    let results = standin.call_all(&http, &answer(4, ["\"kind\"", "\"main\"", "3", "0", "{}"]));
    assert!(ok(&results, "get") && ok(&results, "replace"), "{results:?}");
    let results = standin.call_all(&http, &answer(5, ["9", "\"kind\"", "\"main\"", "3", "{}"]));
    assert!(ok(&results, "list") && ok(&results, "watch"), "{results:?}");
}

/// Guards against bodies over the limit that are read, and against errors that do not name the cause.
#[test]
fn answers_over_the_limit_are_named() {
    let _lock = ONE_AT_A_TIME.lock();
    let answer = Answer::new(200, vec![b' '; MAX_ANSWER_BYTES + 1]);
    let results = Standin::start().call_both(&answer);
    check(&answer, &results);
    for (call, result) in results {
        let Err(StoreError::NoAnswer(text)) = result else { panic!("{call}: {result:?}") };
        assert!(text.contains("limit"), "{call}: {text}");
    }
}

/// Peak memory of this process, in KiB.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.split_whitespace().next().and_then(|it| it.parse().ok()).expect("a number")
}

macro_rules! dense_answers {
    ($($name:ident($template:expr, $value:expr)),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                check_dense_answer(stringify!($name), $template, $value);
            }
        )+
    };
}

// Guard against answers within the limit of their size whose parsed values exceed the memory of the
// smallest machine: an element takes 2 bytes of an answer and 32 bytes of memory.
dense_answers! {
    lists_of_numbers_are_bounded(OBJECT, || format!("[0{}]", ",0".repeat(4_190_000))),
    lists_of_lists_are_bounded(PAGE, || format!("[[]{}]", ",[]".repeat(2_790_000))),
    maps_are_bounded(PAGE, map_text),
    pages_are_bounded(PAGE, || format!("\"{}\"", "x".repeat(8_300_000))),
}

/// Answers of the platform's form with a place for a value.
const OBJECT: &str = r#"{"metadata":{"name":"main","revision":3},"spec":@}"#;
const PAGE: &str = r#"{"items":[{"metadata":{"name":"main","revision":3},"spec":@}],"more":true,"storeRevision":4}"#;

/// A map with many short names.
fn map_text() -> String {
    let mut text = "{".to_owned();
    for number in 0..800_000 {
        let separator = if number == 0 { "" } else { "," };
        write!(text, "{separator}\"{number:x}\":0").expect("a text that grows");
    }
    text + "}"
}

/// Runs a test again in a process of its own, whose peak memory is not that of other tests.
fn run_alone(name: &str) {
    let test = std::env::current_exe().expect("the path of the test");
    let output = Command::new(test)
        .args(["--exact", name, "--nocapture"])
        .env(IS_ALONE, "1")
        .output()
        .expect("a process");
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{text}");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("1 passed"), "{text}");
}

fn check_dense_answer(name: &str, template: &str, value: impl FnOnce() -> String) {
    let _lock = ONE_AT_A_TIME.lock();
    if std::env::var_os(IS_ALONE).is_none() {
        return run_alone(name);
    }
    let body = template.replace('@', &value());
    assert!(body.len() <= MAX_ANSWER_BYTES, "{} bytes", body.len());
    let answer = Answer::new(200, body);
    let standin = Standin::start();
    let platform = PlatformStore::new(standin.address, CALL_TIMEOUT);
    let results = standin.call_all(&platform, &answer);
    check(&answer, &results);
    println!("{name}: peak memory {} MiB", peak_memory_kb() >> 10);
    assert!(peak_memory_kb() < MACHINE_MEMORY_KB, "peak memory {} KiB", peak_memory_kb());
}
