//! Finds out whether an upstream has crashed, from a request whose connection broke.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, sync::Mutex, time::timeout};
use uuid::Uuid;

use crate::{
    clock::{self, Timestamp},
    once::CrashId,
};

/// Time for which one look answers for all requests whose connections break at the same moment.
const CHECK_LIFETIME: Duration = Duration::from_millis(500);
/// Time for a connection on the same machine. A request has failed by then, and its answer waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Check {
    at: Timestamp,
    crash: Option<CrashId>,
}

/// The last look at the upstream.
#[derive(Debug, Default)]
pub struct CrashCheck(Mutex<Option<Check>>);

impl CrashCheck {
    /// Names the crash, where nobody listens at the upstream's address any more. A connection that was
    /// reset, or an answer that broke off, leaves the listener in place.
    pub async fn detect_crash(&self, address: SocketAddr) -> Option<CrashId> {
        let mut last = self.0.lock().await;
        let now = clock::now();
        if let Some(check) = last.as_ref().filter(|check| now < check.at + CHECK_LIFETIME) {
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
        *last = Some(Check { at: clock::now(), crash });
        crash
    }
}
