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
/// Number of lost probes after which a connection ends.
const MAX_LOST_PROBES: u32 = 2;

/// Opens a connection that the kernel probes while it is idle.
///
/// There is no limit for unacknowledged bytes: it would also end the connections of a process that does not
/// read for a time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(&stream, true)?;
    sockopt::set_tcp_keepidle(&stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(&stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(&stream, MAX_LOST_PROBES)?;
    Ok(stream)
}
