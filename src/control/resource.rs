//! Commands for single resources.

use http::Method;
use pico_args::Arguments;
use serde_json::{Map, Value, json};

use crate::{
    admin::{ResourceList, ResourceRead},
    config::{ChangeError, KeySecret, ResourceKind},
    control::{
        command::{Session, UsageError, accepted, finish, free},
        table::Table,
    },
    names::Revision,
};

/// Times that an edit starts again after a conflict with edits of other resources.
const MAX_REREADS: u32 = 8;

/// Runs `KIND VERB ...`.
pub async fn run(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let verb = free(&mut arguments, "list, show, create, change or withdraw")?;
    match verb.as_str() {
        "list" => {
            finish(arguments)?;
            list(session, kind).await
        }
        "show" => {
            let name = free(&mut arguments, kind.id_field())?;
            finish(arguments)?;
            let read: ResourceRead = session.client.read(&path(kind, &name)).await?;
            Ok(serde_json::to_string_pretty(&read)?)
        }
        "create" => create(session, kind, arguments).await,
        "change" => change(session, kind, arguments).await,
        "withdraw" => {
            let stated = arguments.opt_value_from_str("--revision")?;
            let name = free(&mut arguments, kind.id_field())?;
            finish(arguments)?;
            edit(session, kind, &name, stated, Method::DELETE, |_| Ok(())).await
        }
        _ => Err(UsageError(format!("unknown verb {verb}")).into()),
    }
}

fn path(kind: ResourceKind, name: &str) -> String {
    format!("/v1/{}/{}", kind.list_name(), name.trim_start_matches('/'))
}

async fn list(session: &Session, kind: ResourceKind) -> anyhow::Result<String> {
    let list: ResourceList = session.client.read(&format!("/v1/{}", kind.list_name())).await?;
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
        table.row(columns.iter().map(cell));
    }
    Ok(format!("{}revision {}", table, list.revision))
}

async fn create(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let mut resource = Value::Object(Map::new());
    take_options(kind, &mut arguments, &mut resource)?;
    let name = free(&mut arguments, kind.id_field())?;
    finish(arguments)?;
    resource[kind.id_field()] = json!(name);
    let secret = match kind {
        ResourceKind::Key => Some(add_secret(&mut resource)),
        _ => None,
    };
    let path = format!("/v1/{}", kind.list_name());
    let revision = session.client.change(Method::POST, &path, None, resource.to_string()).await?;
    Ok(done(session, revision, secret.map(|secret| format!("{name}.{secret}"))))
}

async fn change(
    session: &Session,
    kind: ResourceKind,
    mut arguments: Arguments,
) -> anyhow::Result<String> {
    let stated = arguments.opt_value_from_str("--revision")?;
    let new_secret = kind == ResourceKind::Key && arguments.contains("--new-secret");
    let mut options = Value::Object(Map::new());
    take_options(kind, &mut arguments, &mut options)?;
    let name = free(&mut arguments, kind.id_field())?;
    finish(arguments)?;
    if options.as_object().is_some_and(Map::is_empty) && !new_secret {
        return Err(UsageError("nothing to change was given".to_owned()).into());
    }
    let secret = new_secret.then(|| KeySecret::generate().0);
    let key = secret.as_ref().map(|secret| format!("{name}.{secret}"));
    let changed = edit(session, kind, &name, stated, Method::PUT, |resource| {
        merge(resource, &options);
        if let (Some(secret), Some(fields)) = (&secret, resource.as_object_mut()) {
            fields.remove("hash");
            fields.insert("secret".to_owned(), json!(secret));
        }
        Ok(())
    });
    let text = changed.await?;
    Ok(match (key, session.json) {
        (Some(key), false) => format!("{text}\n{}", show_key(&key)),
        (Some(key), true) => {
            let mut value: Value = serde_json::from_str(&text)?;
            value["key"] = json!(key);
            value.to_string()
        }
        (None, _) => text,
    })
}

/// Reads a resource, edits it, and writes it on the condition that nobody edited it meanwhile.
///
/// The node lets edits of other resources pass. Where it does not know any more what changed,
/// the resource is read again and the edit repeated only if it is still what it was.
async fn edit(
    session: &Session,
    kind: ResourceKind,
    name: &str,
    stated: Option<Revision>,
    method: Method,
    change: impl Fn(&mut Value) -> anyhow::Result<()>,
) -> anyhow::Result<String> {
    let path = path(kind, name);
    let first: ResourceRead = session.client.read(&path).await?;
    let mut revision = stated.unwrap_or(first.revision);
    let mut resource = first.resource.clone();
    change(&mut resource)?;
    let mut rereads = 0;
    loop {
        let body = resource.to_string();
        let error = match session.client.change(method.clone(), &path, Some(revision), body).await {
            Ok(revision) => return Ok(accepted(session, revision)),
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
        let again: ResourceRead = session.client.read(&path).await?;
        if again.resource != first.resource {
            return Err(error);
        }
        revision = again.revision;
    }
}

/// Takes the options of a kind and puts them into the fields of a resource.
fn take_options(
    kind: ResourceKind,
    arguments: &mut Arguments,
    resource: &mut Value,
) -> anyhow::Result<()> {
    let mut set = |option: &'static str, place: &[&str], is_text: bool| -> anyhow::Result<()> {
        let Some(text) = arguments.opt_value_from_str::<_, String>(option)? else {
            return Ok(());
        };
        let value = match is_text {
            true => json!(text),
            // What is not JSON goes to the node as text, whose findings name the field.
            false => serde_json::from_str(&text).unwrap_or(json!(text)),
        };
        let mut at = &mut *resource;
        for field in place {
            at = &mut at[*field];
        }
        *at = value;
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

fn merge(resource: &mut Value, options: &Value) {
    match (resource, options) {
        (Value::Object(fields), Value::Object(options)) => {
            for (name, option) in options {
                merge(fields.entry(name.clone()).or_insert(Value::Null), option);
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

fn done(session: &Session, revision: Revision, key: Option<String>) -> String {
    let Some(key) = key else {
        return accepted(session, revision);
    };
    match session.json {
        true => json!({ "revision": revision, "key": key }).to_string(),
        false => format!("revision {revision} is accepted\n{}", show_key(&key)),
    }
}

fn show_key(key: &str) -> String {
    format!("key: {key}\nThe key is shown this once; the fleet keeps only a hash of it.")
}
