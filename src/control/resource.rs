//! Commands that list, show, create, change and withdraw single resources.

use http::Method;
use pico_args::Arguments;
use serde_json::{Map, Value, json};

use crate::{
    admin::{ResourceList, ResourceRead},
    config::{ChangeError, KeySecret, ResourceKind},
    control::{
        command::{Session, UsageError, acceptance_text, positional_argument, reject_remaining},
        table::Table,
    },
    names::Revision,
};

/// Times that an edit reads its resource again and retries after a conflict, if the node no longer
/// knows what changed.
const MAX_REREADS: u32 = 8;

/// Runs the command `KIND VERB ...`.
pub async fn run(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let verb = positional_argument(&mut arguments, "list, show, create, change or withdraw")?;
    match verb.as_str() {
        "list" => {
            reject_remaining(arguments)?;
            list(session, kind).await
        }
        "show" => {
            let name = positional_argument(&mut arguments, kind.id_field())?;
            reject_remaining(arguments)?;
            let read: ResourceRead = session.client.get_json(&resource_path(kind, &name)).await?;
            Ok(serde_json::to_string_pretty(&read)?)
        }
        "create" => create(session, kind, arguments).await,
        "change" => change(session, kind, arguments).await,
        "withdraw" => {
            let stated = arguments.opt_value_from_str("--revision")?;
            let name = positional_argument(&mut arguments, kind.id_field())?;
            reject_remaining(arguments)?;
            edit(session, kind, &name, stated, Method::DELETE, |_| Ok(())).await
        }
        _ => Err(UsageError(format!("unknown verb {verb}")).into()),
    }
}

fn resource_path(kind: ResourceKind, name: &str) -> String {
    format!("/v1/{}/{}", kind.list_name(), name.trim_start_matches('/'))
}

async fn list(session: &Session, kind: ResourceKind) -> anyhow::Result<String> {
    let list: ResourceList = session.client.get_json(&format!("/v1/{}", kind.list_name())).await?;
    if session.json {
        return Ok(serde_json::to_string_pretty(&list)?);
    }
    let columns: &[&str] = match kind {
        ResourceKind::Organisation => &["name", "rate_per_s", "burst"],
        ResourceKind::Key => &["id", "organisation"],
        ResourceKind::Class => &["name", "must_get_through", "answer_within_ms"],
        ResourceKind::Service => &["name"],
        ResourceKind::Route => &["prefix", "service", "class", "open", "idempotency"],
    };
    let mut table = Table::new(columns);
    for resource in &list.resources {
        let cell = |column: &&str| {
            let value = resource.get(column).or_else(|| resource.get("target")?.get(column));
            value.map_or_else(String::new, |value| match value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            })
        };
        table.add_row(columns.iter().map(cell));
    }
    Ok(format!("{}revision {}", table, list.revision))
}

async fn create(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let mut resource = Value::Object(Map::new());
    set_options(kind, &mut arguments, &mut resource)?;
    let name = positional_argument(&mut arguments, kind.id_field())?;
    reject_remaining(arguments)?;
    resource[kind.id_field()] = json!(name);
    let secret = match kind {
        ResourceKind::Key => Some(add_secret(&mut resource)),
        _ => None,
    };
    let path = format!("/v1/{}", kind.list_name());
    let revision =
        session.client.send_change(Method::POST, &path, None, resource.to_string()).await?;
    Ok(creation_text(session, revision, secret.map(|secret| format!("{name}.{secret}"))))
}

async fn change(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let stated = arguments.opt_value_from_str("--revision")?;
    let new_secret = kind == ResourceKind::Key && arguments.contains("--new-secret");
    let mut options = Value::Object(Map::new());
    set_options(kind, &mut arguments, &mut options)?;
    let name = positional_argument(&mut arguments, kind.id_field())?;
    reject_remaining(arguments)?;
    if options.as_object().is_some_and(Map::is_empty) && !new_secret {
        return Err(UsageError("expected an option to change, found none".to_owned()).into());
    }
    let secret = new_secret.then(|| KeySecret::generate().0);
    let key = secret.as_ref().map(|secret| format!("{name}.{secret}"));
    let changed = edit(session, kind, &name, stated, Method::PUT, |resource| {
        merge_fields(resource, &options);
        if let (Some(secret), Some(fields)) = (&secret, resource.as_object_mut()) {
            fields.remove("hash");
            fields.insert("secret".to_owned(), json!(secret));
        }
        Ok(())
    });
    let text = changed.await?;
    Ok(match (key, session.json) {
        (Some(key), false) => format!("{text}\n{}", new_key_text(&key)),
        (Some(key), true) => {
            let mut value: Value = serde_json::from_str(&text)?;
            value["key"] = json!(key);
            value.to_string()
        }
        (None, _) => text,
    })
}

/// Reads a resource, edits it, and writes it on the condition that nobody else has edited it since.
///
/// The node accepts the edit if only other resources have changed since the stated revision. If it
/// no longer knows what has changed, the resource is read again and the edit is retried only if the
/// resource is unchanged.
async fn edit(
    session: &Session,
    kind: ResourceKind,
    name: &str,
    stated: Option<Revision>,
    method: Method,
    change: impl Fn(&mut Value) -> anyhow::Result<()>,
) -> anyhow::Result<String> {
    let path = resource_path(kind, name);
    let first: ResourceRead = session.client.get_json(&path).await?;
    let mut revision = stated.unwrap_or(first.revision);
    let mut resource = first.resource.clone();
    change(&mut resource)?;
    let mut rereads = 0;
    loop {
        let body = resource.to_string();
        let error =
            match session.client.send_change(method.clone(), &path, Some(revision), body).await {
                Ok(revision) => return Ok(acceptance_text(session, revision)),
                Err(error) => error,
            };
        let history_is_gone = matches!(
            error.downcast_ref::<ChangeError>(),
            Some(ChangeError::Conflict { changed: None, .. })
        );
        if !history_is_gone || stated.is_some() || rereads == MAX_REREADS {
            return Err(error);
        }
        rereads += 1;
        let reread: ResourceRead = session.client.get_json(&path).await?;
        if reread.resource != first.resource {
            return Err(error);
        }
        revision = reread.revision;
    }
}

/// Sets the fields of a resource from the options of its kind on the command line.
fn set_options(
    kind: ResourceKind,
    arguments: &mut Arguments,
    resource: &mut Value,
) -> anyhow::Result<()> {
    let mut set =
        |option: &'static str, field_path: &[&str], is_text: bool| -> anyhow::Result<()> {
            let Some(text) = arguments.opt_value_from_str::<_, String>(option)? else {
                return Ok(());
            };
            let value = match is_text {
                true => json!(text),
                // Sent as text if it is not JSON: the node's findings then name the field.
                false => serde_json::from_str(&text).unwrap_or(json!(text)),
            };
            let mut target = &mut *resource;
            for field in field_path {
                target = &mut target[*field];
            }
            *target = value;
            Ok(())
        };
    match kind {
        ResourceKind::Organisation => {
            set("--rate-per-s", &["rate_per_s"], false)?;
            set("--burst", &["burst"], false)
        }
        ResourceKind::Key => set("--organisation", &["organisation"], true),
        ResourceKind::Class => {
            set("--must-get-through", &["target", "must_get_through"], false)?;
            set("--answer-within-ms", &["target", "answer_within_ms"], false)
        }
        ResourceKind::Service => Ok(()),
        ResourceKind::Route => {
            set("--service", &["service"], true)?;
            set("--class", &["class"], true)?;
            set("--open", &["open"], false)?;
            set("--idempotency", &["idempotency"], true)
        }
    }
}

fn merge_fields(resource: &mut Value, options: &Value) {
    match (resource, options) {
        (Value::Object(fields), Value::Object(options)) => {
            for (name, option) in options {
                merge_fields(fields.entry(name.clone()).or_insert(Value::Null), option);
            }
        }
        (resource, option) => *resource = option.clone(),
    }
}

fn add_secret(resource: &mut Value) -> String {
    let secret = KeySecret::generate().0;
    resource["secret"] = json!(secret);
    secret
}

fn creation_text(session: &Session, revision: Revision, key: Option<String>) -> String {
    let Some(key) = key else {
        return acceptance_text(session, revision);
    };
    match session.json {
        true => json!({ "revision": revision, "key": key }).to_string(),
        false => format!("revision {revision} is accepted\n{}", new_key_text(&key)),
    }
}

fn new_key_text(key: &str) -> String {
    format!("key: {key}\nThe key is shown this once; the fleet keeps only a hash of it.")
}
