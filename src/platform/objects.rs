//! Client of the platform's object store.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::store::{
    HttpExchange, Listing, Object, ObjectApi, ObjectVersion, ParseBudget, StoreEra, StoreError,
    parse_json, status_error,
};

/// Era of the store in all its answers; it rises by one when the store comes back from a copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Maximum number of pages that one call of `list` reads.
const MAX_PAGES: usize = 64;

/// The platform's object store.
#[derive(Debug, Clone)]
pub struct PlatformStore {
    exchange: HttpExchange,
    timeout: Duration,
    /// Highest era that an answer has named.
    era: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct WireObject {
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
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
struct Page {
    items: Vec<WireObject>,
    /// Whether further pages follow.
    #[serde(default)]
    more: bool,
    /// Version of the store.
    store_revision: ObjectVersion,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events {
    #[serde(default)]
    events: Vec<Event>,
    /// Version of the store.
    store_revision: ObjectVersion,
}

#[derive(Deserialize)]
struct Event {
    object: WireObject,
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

impl WireObject {
    fn into_object(self, kind: &str, era: StoreEra, deleted: bool) -> Object {
        Object {
            kind: kind.into(),
            name: self.metadata.name,
            version: self.metadata.revision,
            era,
            value: (!deleted && !self.metadata.deleting).then_some(self.spec),
        }
    }
}

impl PlatformStore {
    /// Makes a client; it connects when it is first used.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { exchange: HttpExchange::new(address, timeout), timeout, era: Arc::default() }
    }

    /// The underlying HTTP exchange, which counts the calls.
    pub fn exchange(&self) -> &HttpExchange {
        &self.exchange
    }

    /// Makes a call; an answer without an era belongs to the last known one.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        limit: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let (parts, body) = self.exchange.call(method, path, body, limit).await?.into_parts();
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
        Ok(StoreAnswer { status: parts.status, body, era })
    }

    async fn get_path(&self, path: &str, limit: Duration) -> Result<StoreAnswer, StoreError> {
        self.call(Method::GET, path, None, limit).await
    }

    async fn fetch_page(
        &self,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
        budget: &mut ParseBudget,
    ) -> Result<(Page, StoreEra), StoreError> {
        let path = match (freshness, after) {
            (Freshness::Current, None) => format!("/objects/{kind}"),
            (Freshness::Current, Some(name)) => format!("/objects/{kind}?after={name}"),
            (Freshness::Stale, None) => format!("/objects/{kind}?staleOk=1"),
            (Freshness::Stale, Some(name)) => format!("/objects/{kind}?staleOk=1&after={name}"),
        };
        let StoreAnswer { status, body, era } = self.get_path(&path, self.timeout).await?;
        match status {
            StatusCode::OK => Ok((budget.parse_json(&body)?, era)),
            _ => Err(status_error(status, &body)),
        }
    }

    async fn list_pages(&self, kind: &str, freshness: Freshness) -> Result<Listing, StoreError> {
        let mut listing = Listing::default();
        let mut after: Option<Arc<str>> = None;
        let mut budget = ParseBudget::default();
        for _ in 0..MAX_PAGES {
            let (page, era) =
                self.fetch_page(kind, after.as_deref(), freshness, &mut budget).await?;
            // A watch from the first page's version also reports changes made between the pages.
            if after.is_none() {
                listing.version = page.store_revision;
            }
            after = page.items.last().map(|item| item.metadata.name.clone());
            listing
                .objects
                .extend(page.items.into_iter().map(|it| it.into_object(kind, era, false)));
            if !page.more || after.is_none() {
                return Ok(listing);
            }
        }
        Err(StoreError::Refused(format!("the kind {kind} has more than {MAX_PAGES} pages")))
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

    fn era(&self) -> StoreEra {
        self.era.load(Ordering::Acquire)
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let StoreAnswer { status, body, era } =
            self.get_path(&format!("/objects/{kind}/{name}"), self.timeout).await?;
        match status {
            StatusCode::OK => {
                Ok(Some(parse_json::<WireObject>(&body)?.into_object(kind, era, false)))
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
                Ok(parse_json::<WireObject>(&body)?.metadata.revision)
            }
            StatusCode::CONFLICT => Err(StoreError::Conflict {
                current: parse_json::<WireObject>(&body)?.metadata.revision,
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
                current: parse_json::<WireObject>(&body)?.metadata.revision,
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
        let events: Events = parse_json(&body)?;
        let object = |event: Event| event.object.into_object(kind, era, event.deleted);
        Ok(Listing {
            version: events.store_revision,
            objects: events.events.into_iter().map(object).collect(),
        })
    }
}
