//! A loopback TCP proxy that can delay or block bytes, in both directions or one, and reset or silence its
//! connections.

use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::record::Record;

const BUFFER_BYTES: usize = 16 << 10;
/// Interval of the check whether a blocked link forwards bytes again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    None,
    /// Bytes are delayed in both directions.
    Delay(Duration),
    /// Bytes are held back in both directions, and connections stay open.
    Silent,
    /// Requests are forwarded, responses are held back.
    NoAnswers,
}

/// A proxy in front of one target.
#[derive(Debug)]
pub struct Proxy {
    fault: Mutex<LinkFault>,
    /// Number of resets; a change makes all connections reset.
    resets: watch::Sender<u64>,
    /// Number of silences; a change makes all connections silent.
    silences: watch::Sender<u64>,
    /// Record of the requests that the proxy receives.
    record: Option<Arc<Record>>,
}

/// Why a connection is no longer forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    Silenced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy on `address` in front of `target`.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<Self>> {
        Self::start_recording(address, target, None, stop).await
    }

    /// Like [`Self::start`], and records when the proxy receives each request.
    pub async fn start_recording(
        address: SocketAddr,
        target: SocketAddr,
        record: Option<Arc<Record>>,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Arc::new(Self {
            fault: Mutex::new(LinkFault::None),
            resets: watch::Sender::new(0),
            silences: watch::Sender::new(0),
            record,
        });
        tokio::spawn(accept(proxy.clone(), listener, target, stop));
        Ok(proxy)
    }

    /// Sets the fault of the link, for open and new connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock() = fault;
    }

    /// Resets the open connections (TCP RST).
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Forwards nothing any more on the open connections, which stay open; new ones work.
    pub fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    fn record_received(&self, bytes: &[u8]) {
        if let Some(record) = &self.record {
            record.record_received(bytes);
        }
    }

    /// Waits until the present fault lets bytes in this direction pass.
    async fn wait_to_forward(&self, direction: Direction) {
        loop {
            let fault = *self.fault.lock();
            match fault {
                LinkFault::None => return,
                LinkFault::Delay(delay) => return sleep(delay).await,
                LinkFault::NoAnswers if direction == Direction::Request => return,
                LinkFault::Silent | LinkFault::NoAnswers => sleep(SILENCE_CHECK_INTERVAL).await,
            }
        }
    }
}

async fn accept(
    proxy: Arc<Proxy>,
    listener: TcpListener,
    target: SocketAddr,
    stop: CancellationToken,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            () = stop.cancelled() => return,
        };
        let (proxy, stop) = (proxy.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = forward(proxy, stream, target) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn forward(proxy: Arc<Proxy>, stream: TcpStream, target: SocketAddr) {
    let (mut resets, mut silences) = (proxy.resets.subscribe(), proxy.silences.subscribe());
    let mut recorded_bytes = 0;
    let record_first = async {
        let mut buffer = vec![0; BUFFER_BYTES];
        if let Ok(received) = stream.peek(&mut buffer).await {
            proxy.record_received(&buffer[..received]);
            recorded_bytes = received;
        }
        pending::<()>().await;
    };
    tokio::select! {
        () = proxy.wait_to_forward(Direction::Request) => {}
        () = record_first => {}
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        // Without a listener, a port resets the connection, so the proxy does the same.
        let _ = stream.set_zero_linger();
        return;
    };
    for socket in [&stream, &target_stream] {
        let _ = socket.set_nodelay(true);
    }
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (mut from_target, mut to_target) = target_stream.into_split();
    // The end of one direction closes the other: the fleet does not need half-open connections.
    let end = tokio::select! {
        () = copy(&proxy, Direction::Request, &mut from_caller, &mut to_target, recorded_bytes) => {
            End::Closed
        }
        () = copy(&proxy, Direction::Answer, &mut from_target, &mut to_caller, 0) => End::Closed,
        _ = resets.changed() => End::Reset,
        _ = silences.changed() => End::Silenced,
    };
    if end == End::Silenced {
        // Not even the end of a side is passed on.
        let _ = resets.changed().await;
    }
    if end == End::Reset {
        for socket in [from_caller.as_ref(), from_target.as_ref()] {
            let _ = socket.set_zero_linger();
        }
    }
}

async fn copy(
    proxy: &Proxy,
    direction: Direction,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut recorded_bytes: usize,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if direction == Direction::Request {
            let recorded = recorded_bytes.min(read);
            proxy.record_received(&buffer[recorded..read]);
            recorded_bytes -= recorded;
        }
        proxy.wait_to_forward(direction).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
