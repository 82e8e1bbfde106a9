//! Client of the platform's object store.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Method, Response, StatusCode};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json, value::RawValue};

use crate::store::{
    HttpExchange, Listing, Object, ObjectApi, ObjectVersion, ParseBudget, StoreEra, StoreError,
    parse_json, shorten, status_error,
};

/// Era of the store in all its answers; it rises by one when the store comes back from a copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum number of pages that one call of `list` reads.
const MAX_PAGES: usize = 64;

/// Unreadable objects that are remembered, so that each is logged once.
const MAX_REPORTED: usize = 1024;

/// The platform's object store.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    exchange: HttpExchange,
    timeout: Duration,
    /// Highest era that an answer has named.
    era: Arc<AtomicU64>,
    /// Texts about unreadable objects that have been logged.
    reported: Arc<Mutex<HashSet<String>>>,
}

/// An object whose content is left as text, since another writer may have written what cannot be read.
#[derive(Deserialize)]
struct WireObject<'a> {
    metadata: Metadata,
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
}

/// An object of which only the version is of interest.
#[derive(Deserialize)]
struct WireVersion {
    metadata: Metadata,
}

#[derive(Deserialize)]
struct Metadata {
    name: Arc<str>,
    /// Version of the object.
    revision: ObjectVersion,
    /// Whether the object is being deleted; the platform removes it when its finalizers have been
    /// removed.
    #[serde(default)]
    deleting: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    /// Whether further pages follow.
    #[serde(default)]
    more: bool,
    /// Version of the store.
    store_revision: ObjectVersion,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events<'a> {
    #[serde(borrow, default)]
    events: Vec<&'a RawValue>,
    /// Version of the store.
    store_revision: ObjectVersion,
}

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    object: &'a RawValue,
    #[serde(default)]
    deleted: bool,
}

/// Answer of the store to one call.
struct StoreAnswer {
    status: StatusCode,
    body: Bytes,
    /// Era of the store that made the answer.
    era: StoreEra,
}

impl PlatformStore {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let exchange = HttpExchange::new(address, timeout);
        Self { exchange, timeout, era: Arc::default(), reported: Arc::default() }
    }

    /// The underlying HTTP exchange, which counts the calls.
    pub fn exchange(&self) -> &HttpExchange {
        &self.exchange
    }

    /// Makes a call.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        Ok(self.record_era(self.exchange.call(method, path, body, limit).await?))
    }

    /// Records the era that an answer names; one without an era belongs to the last known one.
    fn record_era(&self, answer: Response<Bytes>) -> StoreAnswer {
        let (parts, body) = answer.into_parts();
        let named =
            parts.headers.get(STORE_ERA).and_then(|value| value.to_str().ok()?.parse().ok());
        let era = match named {
            Some(era) => {
                let before = self.era.fetch_max(era, Ordering::AcqRel);
                if before != 0 && era > before {
                    log::warn!(
                        era = era, before = before;
                        "the store has come back from an earlier copy; its versions start again"
                    );
                }
                era
            }
            None => self.era.load(Ordering::Acquire),
        };
        StoreAnswer { status: parts.status, body, era }
    }

    async fn get_path(&self, path: &str, limit: Duration) -> Result<StoreAnswer, StoreError> {
        self.call(Method::GET, path, None, limit).await
    }

    async fn fetch_page(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<StoreAnswer, StoreError> {
        let path = match (freshness, after) {
            (Freshness::Current, None) => format!("/objects/{kind}"),
            (Freshness::Current, Some(name)) => format!("/objects/{kind}?after={name}"),
            (Freshness::Stale, None) => format!("/objects/{kind}?staleOk=1"),
            (Freshness::Stale, Some(name)) => format!("/objects/{kind}?staleOk=1&after={name}"),
        };
        let answer = self.get_path(&path, self.timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            status => Err(status_error(status, &answer.body)),
        }
    }

    async fn list_pages(&self, kind: &str, freshness: Freshness) -> Result<Listing, StoreError> {
        let mut listing = Listing::default();
        let mut after: Option<Arc<str>> = None;
        let mut budget = ParseBudget::for_listing();
        for _ in 0..MAX_PAGES {
            let StoreAnswer { body, era, .. } =
                self.fetch_page(kind, after.as_deref(), freshness).await?;
            let text = String::from_utf8_lossy(&body);
            let page: Page<'_> = budget.parse_frame(&text)?;
            // A watch from the first page's version also reports changes made between the pages.
            if after.is_none() {
                listing.version = page.store_revision;
            }
            after = None;
            for item in page.items {
                let Some(object) = self.read_object(kind, item, era, false, &mut budget)? else {
                    continue;
                };
                after = Some(object.name.clone());
                listing.objects.push(object);
            }
            if !page.more || after.is_none() {
                return Ok(listing);
            }
        }
        Err(StoreError::Refused(format!("the kind {kind} has more than {MAX_PAGES} pages")))
    }

    /// Reads one object of a listing. Its value is `null` if only the value is unreadable; `None` if the
    /// object cannot even be named.
    fn read_object(
        &self,
        kind: &str,
        object: &RawValue,
        era: StoreEra,
        is_deleted: bool,
        budget: &mut ParseBudget,
    ) -> Result<Option<Object>, StoreError> {
        let wire: WireObject<'_> = match serde_json::from_str(object.get()) {
            Ok(wire) => wire,
            Err(error) => {
                self.report_unreadable(kind, &shorten(object.get()), &error.to_string());
                return Ok(None);
            }
        };
        let Metadata { name, revision, deleting } = wire.metadata;
        let value = match wire.spec {
            _ if is_deleted || deleting => None,
            None => Some(Value::Null),
            Some(spec) => match budget.parse_value(spec.get())? {
                Ok(value) => Some(value),
                Err(cause) => {
                    self.report_unreadable(kind, &name, &cause);
                    Some(Value::Null)
                }
            },
        };
        Ok(Some(Object { kind: kind.into(), name, version: revision, era, value }))
    }

    /// Logs an object that cannot be read, once for each cause.
    fn report_unreadable(&self, kind: &str, name: &str, cause: &str) {
        let cause = shorten(cause);
        let mut reported = self.reported.lock();
        if reported.len() >= MAX_REPORTED {
            reported.clear();
        }
        if reported.insert(format!("{kind}/{name}: {cause}")) {
            log::warn!(
                kind = kind, name = name, cause = cause;
                "ignored an object in the store that cannot be read; the others of its kind are used"
            );
        }
    }
}

/// Whether a read may return an earlier state of the store, which the platform charges a tenth for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    Current,
    Stale,
}

impl ObjectApi for PlatformStore {
    fn call_count(&self) -> u64 {
        self.exchange.call_counter().get()
    }

    fn connection_count(&self) -> u64 {
        self.exchange.connection_count()
    }

    fn era(&self) -> StoreEra {
        self.era.load(Ordering::Acquire)
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        let answer = self.exchange.read(&path, self.timeout).await?;
        let StoreAnswer { status, body, era } = self.record_era(answer);
        match status {
            StatusCode::OK => {
                let text = String::from_utf8_lossy(&body);
                let mut budget = ParseBudget::default();
                let object: &RawValue = budget.parse_frame(&text)?;
                let read = self.read_object(kind, object, era, false, &mut budget)?;
                let unreadable = || StoreError::NoAnswer("unreadable answer: no object".to_owned());
                read.map(Some).ok_or_else(unreadable)
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(status, &body)),
        }
    }

    async fn list(&self, kind: &str) -> Result<Listing, StoreError> {
        self.list_pages(kind, Freshness::Current).await
    }

    async fn list_stale(&self, kind: &str) -> Result<Listing, StoreError> {
        self.list_pages(kind, Freshness::Stale).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        value: Value,
        if_version: ObjectVersion,
    ) -> Result<ObjectVersion, StoreError> {
        let (method, path, metadata) = match if_version {
            0 => (Method::POST, format!("/objects/{kind}"), json!({ "name": name })),
            version => (
                Method::PUT,
                format!("/objects/{kind}/{name}"),
                json!({ "name": name, "revision": version }),
            ),
        };
        let body = json!({ "metadata": metadata, "spec": value });
        let StoreAnswer { status, body, .. } =
            self.call(method, &path, Some(body), self.timeout).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => {
                Ok(parse_json::<WireVersion>(&body)?.metadata.revision)
            }
            StatusCode::CONFLICT => Err(StoreError::Conflict {
                current: parse_json::<WireVersion>(&body)?.metadata.revision,
            }),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: 0 }),
            _ => Err(status_error(status, &body)),
        }
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
    ) -> Result<(), StoreError> {
        let path = format!("/objects/{kind}/{name}?revision={if_version}");
        let StoreAnswer { status, body, .. } =
            self.call(Method::DELETE, &path, None, self.timeout).await?;
        match status {
            StatusCode::CONFLICT => Err(StoreError::Conflict {
                current: parse_json::<WireVersion>(&body)?.metadata.revision,
            }),
            StatusCode::NOT_FOUND => Ok(()),
            _ if status.is_success() => Ok(()),
            _ => Err(status_error(status, &body)),
        }
    }

    async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Listing, StoreError> {
        let path = format!("/objects/{kind}?watch={after}&waitMs={}", wait.as_millis());
        let StoreAnswer { status, body, era } = self.get_path(&path, wait + self.timeout).await?;
        if status != StatusCode::OK {
            return Err(status_error(status, &body));
        }
        let text = String::from_utf8_lossy(&body);
        let mut budget = ParseBudget::default();
        let page: Events<'_> = budget.parse_frame(&text)?;
        let mut listing = Listing { version: page.store_revision, objects: Vec::new() };
        for event in page.events {
            match serde_json::from_str::<Event<'_>>(event.get()) {
                Ok(Event { object, deleted }) => {
                    let object = self.read_object(kind, object, era, deleted, &mut budget)?;
                    listing.objects.extend(object);
                }
                Err(error) => {
                    self.report_unreadable(kind, &shorten(event.get()), &error.to_string());
                }
            }
        }
        Ok(listing)
    }
}
