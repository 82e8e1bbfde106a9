//! Kept connections that go silent without an error, as they do behind a device that has forgotten them, are
//! detected by the kernel while no request uses them.

use std::{future::Future, net::SocketAddr, time::Duration};

use hibiscusdoor::{http_client, tcp};
use rustix::net::sockopt;
use tokio::net::{TcpListener, TcpStream};

/// Longest time after which a silent connection has to be found.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Opens a connection and checks that the kernel probes it while it is idle, and when it gives it up.
async fn check_probes<F>(open: impl FnOnce(SocketAddr) -> F) -> anyhow::Result<()>
where
    F: Future<Output = anyhow::Result<TcpStream>>,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = open(listener.local_addr()?).await?;
    assert!(stream.nodelay()?);
    assert!(sockopt::socket_keepalive(&stream)?, "an idle connection is not probed");
    let probes = sockopt::tcp_keepcnt(&stream)?;
    assert!(probes >= 2, "one lost packet ends a connection");
    let silence = sockopt::tcp_keepidle(&stream)? + sockopt::tcp_keepintvl(&stream)? * probes;
    assert!(silence <= MAX_SILENCE, "given up after {silence:?}");
    Ok(())
}

macro_rules! probed {
    ($($name:ident($open:expr)),+ $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() -> anyhow::Result<()> {
                check_probes($open).await
            }
        )+
    };
}

// Guard against requests that are sent on a connection which went silent while it was idle: they have no answer
// until their deadlines, and those that must not run twice are lost.
probed! {
    idle_connection_to_an_upstream(|address| async move { Ok(http_client::open(address).await?) }),
    idle_link_to_another_node(|address| async move { Ok(tcp::connect(address).await?) }),
}
