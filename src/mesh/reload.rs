//! Reloading of the settings file while the node runs.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::Notify, time::timeout};

use crate::mesh::{Dialect, LiveSettings, MeshSettings, Node};

/// Time between two checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changed settings when `requested` is notified or the text of the file has changed.
pub async fn run<D: Dialect>(node: Arc<Node<D>>, requested: Arc<Notify>) {
    let path = PathBuf::from(&*node.settings.file);
    let mut last = read_text(&path);
    loop {
        let was_requested = timeout(CHECK_INTERVAL, requested.notified()).await.is_ok();
        let current = read_text(&path);
        if current == last && !was_requested {
            continue;
        }
        last = current;
        match MeshSettings::from_file::<D>(&path) {
            Ok(settings) => apply(&node, settings, was_requested),
            Err(findings) => {
                log::error!(
                    findings:% = findings;
                    "the settings file is invalid; the settings read before stay in force"
                );
            }
        }
    }
}

/// Text of the file; empty if it cannot be read, which the check of the settings then reports.
///
/// The file has a few kilobytes, so it is read on the current thread.
fn read_text(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}

fn apply<D: Dialect>(node: &Node<D>, settings: MeshSettings, was_requested: bool) {
    let live = LiveSettings::from_settings(&settings);
    let changed = **node.live_settings.load() != live;
    let needs_restart = !settings.has_same_identity(&node.settings);
    if needs_restart {
        log::warn!(
            "name, zone or an address in the settings has changed; these apply after a restart"
        );
    }
    if changed {
        node.apply_settings(live);
    }
    log::info!(
        changed = changed, signal = was_requested, needs_restart = needs_restart;
        "settings read again"
    );
}
