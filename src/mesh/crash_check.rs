//! Detects whether an upstream has crashed after the connection of a request was closed.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use uuid::Uuid;

use crate::{
    clock::{self, Timestamp},
    once::CrashId,
};

/// Time for which the result of a check is reused, for requests with connections that close at the
/// same moment.
const CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Timeout of connecting to the upstream, which is on the same machine. The failed request waits for the
/// check before it is answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Check {
    checked_at: Timestamp,
    crash: Option<CrashId>,
}

/// Checks for crashes of an upstream, with the result of the last check.
#[derive(Debug, Default)]
pub struct CrashDetector(Mutex<Option<Check>>);

impl CrashDetector {
    /// Returns an id for the crash if the upstream's address refuses connections. A reset connection or
    /// a truncated response alone is no crash, since the listener stays open.
    pub async fn detect_crash(&self, address: SocketAddr) -> Option<CrashId> {
        let mut last = self.0.lock().await;
        let now = clock::now();
        if let Some(check) = last.as_ref().filter(|check| now < check.checked_at + CHECK_LIFETIME) {
            return check.crash;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let refused = matches!(
            connected,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused
        );
        let crash = refused.then(Uuid::now_v7);
        if let Some(crash) = crash {
            log::warn!(upstream:% = address, crash:% = crash; "the upstream has crashed");
        }
        *last = Some(Check { checked_at: clock::now(), crash });
        crash
    }
}
