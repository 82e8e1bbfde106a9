//! A stand-in of the platform's object store, with faults.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
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

/// Time after which an answer that never comes is given up.
const SILENCE: Duration = Duration::from_secs(30);
/// Time after which a write whose answer is lost takes effect.
const LATE_WRITE: Duration = Duration::from_millis(1500);

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// Answers 503 to all calls.
    Unavailable,
    /// Answers nothing.
    Silent,
    /// Answers late.
    Slow(Duration),
    /// Writes take effect later and are not answered.
    LosesWrites,
}

#[derive(Debug, Clone)]
struct Stored {
    revision: u64,
    spec: Value,
}

/// Objects by kind and name.
type Objects = BTreeMap<(String, String), Stored>;

/// The store.
#[derive(Debug)]
pub struct Store {
    objects: Mutex<Objects>,
    revision: AtomicU64,
    fault: Mutex<StoreFault>,
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
            fault: Mutex::new(StoreFault::None),
        });
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let served = store.clone();
        tokio::spawn(http_server::serve(listener, stop, move |request| {
            answer(served.clone(), request)
        }));
        Ok((store, bound))
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock() = fault;
    }

    /// Writes as the operator, whom no fault concerns.
    pub fn write(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        let key = (kind.to_owned(), name.to_owned());
        self.objects.lock().insert(key, Stored { revision, spec });
        revision
    }

    fn conditional_write(&self, kind: &str, name: &str, body: &Value) -> (StatusCode, Value) {
        let stated = body["metadata"]["revision"].as_u64().unwrap_or(0);
        let known = self.objects.lock().get(&(kind.to_owned(), name.to_owned())).cloned();
        let current = known.as_ref().map_or(0, |known| known.revision);
        if current != stated {
            let object = known.map_or(Value::Null, |known| object(name, &known));
            return (StatusCode::CONFLICT, object);
        }
        let revision = self.write(kind, name, body["spec"].clone());
        (StatusCode::OK, object(name, &Stored { revision, spec: body["spec"].clone() }))
    }
}

fn object(name: &str, stored: &Stored) -> Value {
    json!({ "metadata": { "name": name, "revision": stored.revision }, "spec": stored.spec })
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Response<Full<Bytes>> {
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
        StoreFault::Silent => sleep(SILENCE).await,
        StoreFault::Slow(delay) => sleep(delay).await,
        StoreFault::LosesWrites if method != Method::GET => {
            // Apart from the connection, which the caller gives up meanwhile.
            tokio::spawn(async move {
                sleep(LATE_WRITE).await;
                write(&store, &method, &path, &body);
            });
            sleep(SILENCE).await;
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

fn parts(path: &str) -> Option<(&str, Option<&str>)> {
    let rest = path.strip_prefix("/objects/")?;
    Some(rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name))))
}

fn read(store: &Store, path: &str) -> (StatusCode, Value) {
    let objects = store.objects.lock();
    match parts(path) {
        Some((kind, Some(name))) => match objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(stored) => (StatusCode::OK, object(name, stored)),
            None => (StatusCode::NOT_FOUND, Value::Null),
        },
        Some((kind, None)) => {
            let of_kind = objects.iter().filter(|((known, _), _)| known == kind);
            let items: Vec<Value> =
                of_kind.map(|((_, name), stored)| object(name, stored)).collect();
            let revision = store.revision.load(Ordering::Relaxed);
            (StatusCode::OK, json!({ "items": items, "more": false, "storeRevision": revision }))
        }
        None => (StatusCode::NOT_FOUND, Value::Null),
    }
}

fn write(store: &Store, method: &Method, path: &str, body: &Value) -> (StatusCode, Value) {
    match (method, parts(path)) {
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
