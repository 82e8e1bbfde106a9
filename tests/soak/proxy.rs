//! A loopback proxy that delays, silences, cuts one way or resets the connections through it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

const BUFFER_BYTES: usize = 16 << 10;
/// Time between two looks whether a silent link speaks again.
const SILENCE_CHECK: Duration = Duration::from_millis(20);

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    None,
    /// Bytes arrive late, both ways.
    Delay(Duration),
    /// Nothing passes, and nobody is told.
    Silent,
    /// Requests pass, answers do not.
    NoAnswers,
}

/// One proxy.
#[derive(Debug)]
pub struct Proxy {
    fault: Mutex<LinkFault>,
    /// Changes when all connections are to be reset.
    resets: watch::Sender<u64>,
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
        let listener = TcpListener::bind(address).await?;
        let proxy =
            Arc::new(Self { fault: Mutex::new(LinkFault::None), resets: watch::Sender::new(0) });
        tokio::spawn(accept(proxy.clone(), listener, target, stop));
        Ok(proxy)
    }

    /// Sets what is wrong.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock() = fault;
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Waits while a fault holds bytes of this direction back.
    async fn pass(&self, direction: Direction) {
        loop {
            let fault = *self.fault.lock();
            match fault {
                LinkFault::None => return,
                LinkFault::Delay(delay) => return sleep(delay).await,
                LinkFault::NoAnswers if direction == Direction::Request => return,
                LinkFault::Silent | LinkFault::NoAnswers => sleep(SILENCE_CHECK).await,
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
        tokio::spawn(join(proxy.clone(), stream, target));
    }
}

async fn join(proxy: Arc<Proxy>, stream: TcpStream, target: SocketAddr) {
    let mut resets = proxy.resets.subscribe();
    proxy.pass(Direction::Request).await;
    let Ok(onward) = TcpStream::connect(target).await else {
        // A port without a listener resets the connection.
        let _ = stream.set_zero_linger();
        return;
    };
    for socket in [&stream, &onward] {
        let _ = socket.set_nodelay(true);
    }
    let (mut from_caller, mut to_caller) = stream.into_split();
    let (mut from_target, mut to_target) = onward.into_split();
    // Where one direction ends, so does the other: half-open connections are not of use here.
    let reset = tokio::select! {
        () = copy(&proxy, Direction::Request, &mut from_caller, &mut to_target) => false,
        () = copy(&proxy, Direction::Answer, &mut from_target, &mut to_caller) => false,
        _ = resets.changed() => true,
    };
    if reset {
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
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        proxy.pass(direction).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
