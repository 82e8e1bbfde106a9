//! Test double of the platform's object store, with faults.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::http_server;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

/// Time for which a store that does not respond holds a call open.
const UNANSWERED_HOLD: Duration = Duration::from_secs(30);
/// Time after which a write without a response takes effect.
const LOST_WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// Responds with 503 to all calls.
    Unavailable,
    /// Does not respond.
    Silent,
    /// Responds after this delay.
    Slow(Duration),
    /// Writes take effect later and get no response; reads work.
    LosesWrites,
}

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    spec: Value,
}

/// Objects by kind and name.
type Objects = BTreeMap<(String, String), Stored>;

/// An object store in memory.
#[derive(Debug)]
pub struct Store {
    objects: Mutex<Objects>,
    revision: AtomicU64,
    /// Rises by one with each restore from a copy.
    era: AtomicU64,
    /// Whether answers name the era.
    names_era: AtomicBool,
    calls: AtomicU64,
    fault: Mutex<StoreFault>,
}

/// Copy of the store's content at one time.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    objects: Objects,
    revision: u64,
}

impl Store {
    /// Starts a store; returns it with its address.
    pub async fn start(
        address: &str,
        stop: CancellationToken,
    ) -> anyhow::Result<(Arc<Self>, std::net::SocketAddr)> {
        let store = Arc::new(Self {
            objects: Mutex::default(),
            revision: AtomicU64::new(1),
            era: AtomicU64::new(1),
            names_era: AtomicBool::new(true),
            calls: AtomicU64::new(0),
            fault: Mutex::new(StoreFault::None),
        });
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let served = store.clone();
        tokio::spawn(http_server::serve(listener, stop, move |request| {
            handle_request(served.clone(), request)
        }));
        Ok((store, bound))
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock() = fault;
    }

    /// Number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Sets whether answers name the era of the store.
    pub fn set_names_era(&self, names_era: bool) {
        self.names_era.store(names_era, Ordering::Relaxed);
    }

    /// Copies the present content.
    pub fn copy(&self) -> StoreCopy {
        let objects = self.objects.lock().clone();
        StoreCopy { objects, revision: self.revision.load(Ordering::Relaxed) }
    }

    /// Loses all writes since the copy. Their revisions are given out again, in the next era.
    pub fn restore(&self, copy: StoreCopy) {
        let mut objects = self.objects.lock();
        self.era.fetch_add(1, Ordering::Relaxed);
        self.revision.store(copy.revision, Ordering::Relaxed);
        *objects = copy.objects;
    }

    /// Whether an object of this kind and name exists.
    pub fn contains(&self, kind: &str, name: &str) -> bool {
        self.objects.lock().contains_key(&(kind.to_owned(), name.to_owned()))
    }

    /// Writes an object at once, whatever the fault; returns its revision.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        let key = (kind.to_owned(), name.to_owned());
        self.objects.lock().insert(key, Stored { revision, spec });
        revision
    }

    /// Removes an object at once, whatever the fault.
    pub fn remove(&self, kind: &str, name: &str) {
        self.revision.fetch_add(1, Ordering::Relaxed);
        self.objects.lock().remove(&(kind.to_owned(), name.to_owned()));
    }

    /// Writes an object if its revision is the one that the caller states, otherwise responds with
    /// the present object.
    fn conditional_write(&self, kind: &str, name: &str, body: &Value) -> (StatusCode, Value) {
        let expected_revision = body["metadata"]["revision"].as_u64().unwrap_or(0);
        let current_object = self.objects.lock().get(&(kind.to_owned(), name.to_owned())).cloned();
        let current = current_object.as_ref().map_or(0, |stored| stored.revision);
        if current != expected_revision {
            let object = current_object.map_or(Value::Null, |stored| object(name, &stored));
            return (StatusCode::CONFLICT, object);
        }
        let revision = self.write(kind, name, body["spec"].clone());
        (StatusCode::OK, object(name, &Stored { revision, spec: body["spec"].clone() }))
    }
}

/// Returns an object in the platform's format.
fn object(name: &str, stored: &Stored) -> Value {
    json!({ "metadata": { "name": name, "revision": stored.revision }, "spec": stored.spec })
}

async fn handle_request(store: Arc<Store>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    store.calls.fetch_add(1, Ordering::Relaxed);
    let mut response = answer_call(store.clone(), request).await;
    if store.names_era.load(Ordering::Relaxed) {
        let era = store.era.load(Ordering::Relaxed);
        response.headers_mut().insert("store-era", http::HeaderValue::from(era));
    }
    response
}

async fn answer_call(store: Arc<Store>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let body = match request.into_body().collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or_default(),
        Err(error) => return http_server::text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let fault = *store.fault.lock();
    match fault {
        StoreFault::Unavailable => {
            return http_server::text(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        StoreFault::Silent => sleep(UNANSWERED_HOLD).await,
        StoreFault::Slow(delay) => sleep(delay).await,
        StoreFault::LosesWrites if method != Method::GET => {
            // In a task of its own, since the caller closes the connection before the write.
            tokio::spawn(async move {
                sleep(LOST_WRITE_DELAY).await;
                write(&store, &method, &path, &body);
            });
            sleep(UNANSWERED_HOLD).await;
            return http_server::text(StatusCode::SERVICE_UNAVAILABLE, "lost");
        }
        StoreFault::None | StoreFault::LosesWrites => {}
    }
    let (status, value) = match method {
        Method::GET => read(&store, &path),
        _ => write(&store, &method, &path, &body),
    };
    http_server::json(status, &value)
}

/// Splits the path of a call into the kind and, unless it addresses all objects of the kind, the name.
fn kind_and_name(path: &str) -> Option<(&str, Option<&str>)> {
    let rest = path.strip_prefix("/objects/")?;
    Some(rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name))))
}

fn read(store: &Store, path: &str) -> (StatusCode, Value) {
    let objects = store.objects.lock();
    match kind_and_name(path) {
        Some((kind, Some(name))) => match objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(stored) => (StatusCode::OK, object(name, stored)),
            None => (StatusCode::NOT_FOUND, Value::Null),
        },
        Some((kind, None)) => {
            let of_kind = objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
            let items: Vec<Value> =
                of_kind.map(|((_, name), stored)| object(name, stored)).collect();
            let revision = store.revision.load(Ordering::Relaxed);
            (StatusCode::OK, json!({ "items": items, "more": false, "storeRevision": revision }))
        }
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}

fn write(store: &Store, method: &Method, path: &str, body: &Value) -> (StatusCode, Value) {
    match (method, kind_and_name(path)) {
        (&Method::POST, Some((kind, None))) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default();
            store.conditional_write(kind, name, body)
        }
        (&Method::PUT, Some((kind, Some(name)))) => store.conditional_write(kind, name, body),
        (&Method::DELETE, Some((kind, Some(name)))) => {
            store.objects.lock().remove(&(kind.to_owned(), name.to_owned()));
            (StatusCode::OK, Value::Null)
        }
        _ => (StatusCode::NOT_FOUND, Value::Null),
    }
}
