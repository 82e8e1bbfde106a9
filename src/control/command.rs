//! Parsing and running the commands.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use http::{Method, StatusCode};

use crate::{
    admin::{ApplyResult, ConflictBody},
    config::Document,
    control::client::AdminClient,
    findings,
    settings::RawSettings,
};

/// Help text.
pub const USAGE: &str = "\
hibiscusctl: administers a fleet of hibiscusd nodes

Usage: hibiscusctl [--node ADDRESS] COMMAND

Commands:
  get                 print the accepted configuration
  apply FILE          replace the configuration by FILE
  check FILE          check a configuration file
  nodes               print the membership table
  state               print the state dump of the node

Options:
  --node ADDRESS      operators' address of a node [default: 127.0.0.1:7003]
  -h, --help          print this help

Exit codes: 0 done, 1 failed, 2 wrong usage or input.
";

const SETTINGS_PAGE: &str = "\
The settings file of `hibiscusd`, in JSON; sample/settings.json is an example. A node reads it once,
at the start. `hibiscusd --settings FILE --check` checks a file, and the configuration file that it
names, without starting a node.

This page is made by `hibiscusctl reference settings > docs/settings.md`; a test compares it with
the program.";

const CONFIGURATION_PAGE: &str = "\
The operators' configuration, in JSON; sample/configuration.json is an example. It is one document
at the platform that `hibiscusctl` changes, as a whole with `apply FILE` or one resource at a time.
`hibiscusctl check FILE` checks a file. The file's `revision` is the one that the edit starts from.

The importance of a class comes from its target: the larger `must_get_through` first, then the
shorter `answer_within_ms`.

This page is made by `hibiscusctl reference configuration > docs/configuration.md`; a test compares
it with the program.";

const DEFAULT_NODE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7003);

/// Runs the command of the arguments and returns what it prints.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<String> {
    let node = arguments.opt_value_from_str("--node")?.unwrap_or(DEFAULT_NODE);
    let client = AdminClient::new(node);
    let command = arguments.subcommand()?.context("no command was given; see --help")?;
    let file: Option<PathBuf> = match command.as_str() {
        "apply" | "check" | "reference" => {
            Some(arguments.free_from_str().context("a file must be named")?)
        }
        _ => None,
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unexpected arguments: {rest:?}");
    }
    match (command.as_str(), file) {
        ("get", None) => read(&client, "/v1/configuration").await,
        ("nodes", None) => read(&client, "/v1/nodes").await,
        ("state", None) => read(&client, "/state").await,
        ("check", Some(file)) => {
            check(&file)?;
            Ok(format!("{}: no findings", file.display()))
        }
        ("reference", Some(name)) => reference(&name),
        ("apply", Some(file)) => apply(&client, &file).await,
        (command, _) => bail!("unknown command {command}; see --help"),
    }
}

async fn read(client: &AdminClient, path: &str) -> anyhow::Result<String> {
    let (status, body) = client.call(Method::GET, path, Bytes::new()).await?;
    if status != StatusCode::OK {
        bail!("the node answered {status}: {}", String::from_utf8_lossy(&body));
    }
    let value: serde_json::Value = serde_json::from_slice(&body)?;
    Ok(serde_json::to_string_pretty(&value)?)
}

/// Prints the page that describes the fields of a file.
fn reference(name: &std::path::Path) -> anyhow::Result<String> {
    match name.to_str() {
        Some("settings") => Ok(findings::reference::<RawSettings>("Settings", SETTINGS_PAGE)),
        Some("configuration") => {
            Ok(findings::reference::<Document>("Configuration", CONFIGURATION_PAGE))
        }
        _ => bail!("expected settings or configuration, found {}", name.display()),
    }
}

fn check(file: &std::path::Path) -> anyhow::Result<Document> {
    Ok(findings::check_file::<Document>(file)?)
}

async fn apply(client: &AdminClient, file: &std::path::Path) -> anyhow::Result<String> {
    let document = check(file)?;
    let body = serde_json::to_vec(&document)?;
    let (status, body) = client.call(Method::PUT, "/v1/configuration", body).await?;
    match status {
        StatusCode::OK => {
            let result: ApplyResult = serde_json::from_slice(&body)?;
            Ok(format!("revision {} is accepted", result.revision))
        }
        StatusCode::CONFLICT => {
            let conflict: ConflictBody = serde_json::from_slice(&body)?;
            bail!(
                "conflict: {} starts from revision {}, but revision {} is accepted",
                file.display(),
                conflict.stated_revision,
                conflict.current_revision,
            )
        }
        _ => bail!("the node answered {status}: {}", String::from_utf8_lossy(&body)),
    }
}
