//! TCP connections that are kept open between requests.
//!
//! Load pattern: open connections go silent without a reset while new ones work. Requests that are sent on
//! them have no answer until their deadlines, and an idle connection looks usable until it is used. The
//! kernel of the other machine acknowledges probes even while its process is slow or paused, so that
//! silence at this level is no sign of load.

use std::{io, net::SocketAddr, time::Duration};

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time without a packet after which the other machine is probed, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection that ends with an error once its bytes or its probes are unacknowledged for
/// `unacknowledged_timeout`.
pub async fn connect(
    address: SocketAddr,
    unacknowledged_timeout: Duration,
) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let timeout_ms = u32::try_from(unacknowledged_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(&stream, timeout_ms)?;
    sockopt::set_socket_keepalive(&stream, true)?;
    sockopt::set_tcp_keepidle(&stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(&stream, PROBE_INTERVAL)?;
    Ok(stream)
}
