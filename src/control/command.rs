//! Parsing and running the commands.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
};

use http::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::{
    config::{Document, ResourceKind},
    control::{client::AdminClient, fleet, help, resource},
    findings,
    mesh::RawMeshSettings,
    settings::RawSettings,
};

const DEFAULT_NODE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7003);

const SETTINGS_PAGE: &str = "\
The settings file of `hibiscusd`, in JSON; sample/settings.json is an example for one node with an
embedded store, sample/settings-fleet.json for a node of a fleet. A node reads it once, at the
start. `hibiscusd --settings FILE --check` checks a file, and the configuration file that it names,
without starting a node.

This page is made by `hibiscusctl reference settings > docs/settings.md`; a test compares it with
the program.";

const MESH_SETTINGS_PAGE: &str = "\
The settings file of `hibiscusd mesh`, a node on the operators' platform, in JSON;
sample/settings-mesh.json is an example, deploy/settings.json the template that the platform fills
in. A node reads it at its start, on SIGHUP, and when the file changes; instance, zone and addresses
need a restart. `hibiscusd mesh --settings FILE --check` checks a file. The names under `bounds` are
the platform's; those that the node does not use are passed over.

This page is made by `hibiscusctl reference settings-mesh > docs/settings-mesh.md`; a test compares
it with the program.";

const CONFIGURATION_PAGE: &str = "\
The operators' configuration, in JSON; sample/configuration.json is an example. It is one document
at the platform that `hibiscusctl` changes, as a whole with `apply FILE` or one resource at a time.
`hibiscusctl check FILE` checks a file. The file's `revision` is the one that the edit starts from.

The importance of a class comes from its target: the larger `must_get_through` first, then the
shorter `answer_within_ms`.

This page is made by `hibiscusctl reference configuration > docs/configuration.md`; a test compares
it with the program.";

/// The command line does not say what is to be done.
#[derive(Debug, thiserror::Error)]
#[error("{0}; see --help")]
pub struct UsageError(pub String);

/// What every command is given.
#[derive(Debug)]
pub struct Session {
    /// Client of the nodes.
    pub client: AdminClient,
    /// Print JSON.
    pub json: bool,
}

/// Runs the command of the arguments and returns what it prints.
pub async fn run(mut arguments: Arguments) -> anyhow::Result<String> {
    let wants_help = arguments.contains(["-h", "--help"]);
    let json = arguments.contains("--json");
    let mut nodes: Vec<SocketAddr> = arguments.values_from_str("--node")?;
    if nodes.is_empty() {
        nodes.push(DEFAULT_NODE);
    }
    let command = arguments.subcommand()?;
    if wants_help {
        let text = match &command {
            None => Some(help::USAGE),
            Some(command) => help::of(command),
        };
        return text.map(str::to_owned).ok_or_else(|| unknown(command.as_deref()));
    }
    let session = Session { client: AdminClient::new(nodes), json };
    let command = command.ok_or_else(|| UsageError("no command was given".to_owned()))?;
    let kind = ResourceKind::ALL.into_iter().find(|kind| kind.singular() == command);
    if let Some(kind) = kind {
        return resource::run(&session, kind, arguments).await;
    }
    match command.as_str() {
        "get" => {
            finish(arguments)?;
            read_json(&session, "/v1/configuration").await
        }
        "state" => {
            finish(arguments)?;
            read_json(&session, "/state").await
        }
        "status" => {
            finish(arguments)?;
            fleet::status(&session).await
        }
        "nodes" => {
            finish(arguments)?;
            fleet::nodes(&session).await
        }
        "upstreams" => {
            finish(arguments)?;
            fleet::upstreams(&session).await
        }
        "check" => {
            let file = free(&mut arguments, "FILE")?;
            finish(arguments)?;
            check(&file)?;
            Ok(format!("{file}: no findings"))
        }
        "reference" => {
            let name = free(&mut arguments, "settings or configuration")?;
            finish(arguments)?;
            reference(&name)
        }
        "apply" => apply(&session, arguments).await,
        _ => Err(unknown(Some(&command))),
    }
}

/// Takes the next free argument.
pub fn free(arguments: &mut Arguments, what: &str) -> anyhow::Result<String> {
    let value = arguments.opt_free_from_str::<String>()?;
    Ok(value.ok_or_else(|| UsageError(format!("expected {what}, found nothing")))?)
}

/// Refuses arguments that no command took.
pub fn finish(arguments: Arguments) -> anyhow::Result<()> {
    let rest = arguments.finish();
    if rest.is_empty() {
        return Ok(());
    }
    let rest: Vec<_> = rest.iter().map(|argument| argument.to_string_lossy()).collect();
    Err(UsageError(format!("unexpected arguments: {}", rest.join(" "))).into())
}

fn unknown(command: Option<&str>) -> anyhow::Error {
    UsageError(format!("unknown command {}", command.unwrap_or_default())).into()
}

async fn read_json(session: &Session, path: &str) -> anyhow::Result<String> {
    let value: Value = session.client.read(path).await?;
    Ok(serde_json::to_string_pretty(&value)?)
}

/// Prints the page that describes the fields of a file.
fn reference(name: &str) -> anyhow::Result<String> {
    let page = match name {
        "settings" => findings::reference::<RawSettings>("Settings", SETTINGS_PAGE),
        "settings-mesh" => {
            findings::reference::<RawMeshSettings>("Settings in a mesh", MESH_SETTINGS_PAGE)
        }
        "configuration" => findings::reference::<Document>("Configuration", CONFIGURATION_PAGE),
        _ => {
            let message =
                format!("expected settings, settings-mesh or configuration, found {name}");
            return Err(UsageError(message).into());
        }
    };
    Ok(page.trim_end().to_owned())
}

fn check(file: &str) -> anyhow::Result<Document> {
    Ok(findings::check_input_file::<Document>(Path::new(file))?)
}

async fn apply(session: &Session, mut arguments: Arguments) -> anyhow::Result<String> {
    let wait = arguments.contains("--wait");
    let timeout_s = arguments.opt_value_from_str("--timeout-s")?;
    let file = free(&mut arguments, "FILE")?;
    finish(arguments)?;
    let document = check(&file)?;
    let body = serde_json::to_vec(&document)?;
    let changed = session.client.change(Method::PUT, "/v1/configuration", None, body).await;
    let revision = changed.map_err(|error| error.context(file))?;
    if wait {
        return fleet::wait_for_revision(session, revision, timeout_s).await;
    }
    Ok(accepted(session, revision))
}

/// Says which revision a change made.
pub fn accepted(session: &Session, revision: u64) -> String {
    match session.json {
        true => serde_json::json!({ "revision": revision }).to_string(),
        false => format!("revision {revision} is accepted"),
    }
}
