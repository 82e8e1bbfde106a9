//! The configuration in the form that the request path uses.

use std::{collections::HashMap, sync::Arc, time::Duration};

use http::Method;

use crate::{
    config::{Class, Document, Idempotency, KeyHasher, Organisation, Route, Target},
    names::{ClassName, KeyId, OrganisationName, Revision, ServiceName},
};

/// Steps in which importance distinguishes `must_get_through`; they fit 14 bits.
const FRACTION_STEPS: f64 = 10_000.0;
/// Steps in which importance distinguishes `answer_within_ms`.
const DELAY_STEP_MS: u64 = 10;
/// Bits of importance for `answer_within_ms`. In steps of 10 ms they hold up to 1,310 s; the schema
/// allows 600 s.
const DELAY_BITS: u32 = 17;

/// Importance of a class. Under overload, classes with a lower value are shed first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Importance(pub u32);

impl Importance {
    /// Derives the importance of a class from its target: a larger `must_get_through` is more
    /// important, and among equal ones a shorter `answer_within_ms`.
    pub fn from_target(target: &Target) -> Self {
        // The schema keeps the fraction within 0..=1, so the product fits 14 bits.
        let fraction_steps =
            (target.must_get_through.clamp(0.0, 1.0) * FRACTION_STEPS).round() as u32;
        let max_delay_steps = (1u64 << DELAY_BITS) - 1;
        let delay_steps = (target.answer_within_ms / DELAY_STEP_MS).min(max_delay_steps);
        let earliness = u32::try_from(max_delay_steps - delay_steps).unwrap_or(0);
        Self((fraction_steps << DELAY_BITS) | earliness)
    }
}

/// Result of checking a presented key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyCheck {
    /// The key belongs to this organisation.
    Organisation(OrganisationName),
    /// No key with this id and secret exists; it may have been withdrawn.
    Unknown,
    /// The key is not of the form `<id>.<secret>`.
    Malformed,
}

#[derive(Debug, Clone)]
struct KeyEntry {
    organisation: OrganisationName,
    hash: blake3::Hash,
}

/// A class with the values derived from its target.
#[derive(Debug, Clone)]
pub struct CompiledClass {
    /// Name of the class.
    pub name: ClassName,
    /// Importance derived from the target.
    pub importance: Importance,
    /// Time after the arrival of a request within which a response is useful.
    pub answer_within: Duration,
    /// Fraction of the requests that must be admitted and answered.
    pub must_get_through: f64,
}

/// One revision of the configuration, indexed for look-ups.
#[derive(Debug, Clone, Default)]
pub struct Configuration {
    /// Revision of the document.
    pub revision: Revision,
    /// The document that this configuration was compiled from.
    pub document: Arc<Document>,
    organisations: HashMap<OrganisationName, Organisation>,
    keys: HashMap<KeyId, KeyEntry>,
    classes: HashMap<ClassName, CompiledClass>,
    routes: Vec<Route>,
}

impl Configuration {
    /// Compiles a document that has been validated.
    pub fn compile(document: Document) -> Self {
        let mut routes = document.routes.clone();
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        let keys = document.keys.iter().filter_map(|key| {
            let hash = blake3::Hash::from_hex(key.hash.as_deref()?).ok()?;
            Some((key.id.clone(), KeyEntry { organisation: key.organisation.clone(), hash }))
        });
        let classes = document.classes.iter().map(compile_class);
        Self {
            revision: document.revision,
            keys: keys.collect(),
            classes: classes.map(|class| (class.name.clone(), class)).collect(),
            organisations: document
                .organisations
                .iter()
                .map(|organisation| (organisation.name.clone(), organisation.clone()))
                .collect(),
            routes,
            document: Arc::new(document),
        }
    }

    /// Checks the key that a caller presents, in the form `<id>.<secret>`.
    pub fn check_key(&self, hasher: &KeyHasher, presented: &str) -> KeyCheck {
        let Some((id, secret)) = presented.split_once('.') else {
            return KeyCheck::Malformed;
        };
        if id.is_empty() || secret.is_empty() {
            return KeyCheck::Malformed;
        }
        let hash = hasher.hash(id, secret);
        match self.keys.get(id) {
            // `blake3::Hash` compares in constant time, so that timing does not reveal the hash.
            Some(entry) if entry.hash == hash => KeyCheck::Organisation(entry.organisation.clone()),
            _ => KeyCheck::Unknown,
        }
    }

    /// Returns the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| matches_prefix(path, &route.prefix))
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<&CompiledClass> {
        self.classes.get(name)
    }

    /// Returns the organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.get(name)
    }

    /// Returns all organisations, in no particular order.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.values()
    }

    /// Returns whether the configuration contains the service.
    pub fn has_service(&self, name: &ServiceName) -> bool {
        self.document.services.iter().any(|service| service.name == *name)
    }
}

impl Route {
    /// Returns whether a request with this method may run more than once.
    pub fn is_idempotent(&self, method: &Method) -> bool {
        match self.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => false,
            Idempotency::ByMethod => method.is_idempotent(),
        }
    }
}

fn compile_class(class: &Class) -> CompiledClass {
    CompiledClass {
        name: class.name.clone(),
        importance: Importance::from_target(&class.target),
        answer_within: Duration::from_millis(class.target.answer_within_ms),
        must_get_through: class.target.must_get_through,
    }
}

/// Returns whether `prefix` matches `path` at a segment boundary.
fn matches_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
