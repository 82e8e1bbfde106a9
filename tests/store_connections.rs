//! Calls to the object store while connections that were kept open go silent without an error, as they do
//! behind a device that has forgotten them. New connections work.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use hibiscusdoor::{
    platform::PlatformStore,
    store::{HttpStore, ObjectApi, StoreError},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::{Barrier, watch},
};
use tokio_util::task::AbortOnDropHandle;

/// Limit of a call; the default of the settings.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A store with one object. Its first answers wait until `kept` calls are there, so that the client has as
/// many connections.
struct Standin {
    address: SocketAddr,
    /// Number of times that the open connections have gone silent.
    silences: watch::Sender<u64>,
    _task: AbortOnDropHandle<()>,
}

impl Standin {
    async fn start(object: &'static str, kept: usize) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let silences = watch::Sender::new(0);
        let subscriber = silences.subscribe();
        let task = tokio::spawn(async move {
            let barrier = Arc::new(Barrier::new(kept));
            let mut connections = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                let mut silences = subscriber.clone();
                silences.mark_unchanged();
                let first = (connections.len() < kept).then(|| barrier.clone());
                connections.push(AbortOnDropHandle::new(tokio::spawn(async move {
                    let _ = serve(stream, object, first, silences).await;
                })));
            }
        });
        Ok(Self { address, silences, _task: AbortOnDropHandle::new(task) })
    }

    /// Lets the open connections go silent; they stay open.
    fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn serve(
    mut stream: TcpStream,
    object: &str,
    mut first: Option<Arc<Barrier>>,
    mut silences: watch::Receiver<u64>,
) -> std::io::Result<()> {
    loop {
        read_head(&mut stream).await?;
        if let Some(barrier) = first.take() {
            barrier.wait().await;
        }
        if silences.has_changed().unwrap_or(true) {
            // Nothing further is read or sent, and the connection stays open.
            silences.mark_unchanged();
            return std::future::pending().await;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{object}", object.len());
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Reads a request whose body, if it has one, comes with its head or is left in the buffer of the kernel.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut part = [0; 4096];
    while !head.windows(4).any(|it| it == b"\r\n\r\n") {
        match stream.read(&mut part).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => head.extend_from_slice(&part[..count]),
        }
    }
    Ok(())
}

/// Starts a stand-in, and makes the client keep this number of connections to it.
async fn keep_connections(
    object: &'static str,
    kept: usize,
    client: impl FnOnce(SocketAddr) -> Client,
) -> anyhow::Result<(Standin, Client)> {
    let standin = Standin::start(object, kept).await?;
    let store = client(standin.address);
    for read in join_all((0..kept).map(|_| store.get())).await {
        read?;
    }
    Ok((standin, store))
}

enum Client {
    Platform(PlatformStore),
    Own(HttpStore),
}

impl Client {
    fn platform(address: SocketAddr) -> Self {
        Self::Platform(PlatformStore::new(address, CALL_TIMEOUT))
    }

    fn own(address: SocketAddr) -> Self {
        Self::Own(HttpStore::new(address, CALL_TIMEOUT))
    }

    async fn get(&self) -> Result<(), StoreError> {
        let object = match self {
            Self::Platform(store) => store.get("config", "main").await?,
            Self::Own(store) => store.get("config", "main").await?,
        };
        assert!(object.is_some(), "the object is missing");
        Ok(())
    }

    async fn put(&self) -> Result<u64, StoreError> {
        match self {
            Self::Platform(store) => store.put("config", "main", json!({}), 3).await,
            Self::Own(store) => store.put("config", "main", json!({}), 3).await,
        }
    }
}

const PLATFORM_OBJECT: &str = r#"{"metadata":{"name":"main","revision":3},"spec":{}}"#;
const OWN_OBJECT: &str = r#"{"kind":"config","name":"main","version":3,"value":{}}"#;

/// One read after the kept connections have gone silent, and another one.
async fn check_read(
    object: &'static str,
    kept: usize,
    client: impl FnOnce(SocketAddr) -> Client,
) -> anyhow::Result<()> {
    let (standin, store) = keep_connections(object, kept, client).await?;
    standin.silence_connections();
    for attempt in 0..2 {
        let read = store.get().await;
        assert_eq!(read, Ok(()), "read {attempt} after the silence");
    }
    Ok(())
}

/// One write after the kept connections have gone silent, which may have taken effect, and another one.
async fn check_write(
    object: &'static str,
    kept: usize,
    client: impl FnOnce(SocketAddr) -> Client,
) -> anyhow::Result<()> {
    let (standin, store) = keep_connections(object, kept, client).await?;
    standin.silence_connections();
    let first = store.put().await;
    assert!(matches!(first, Err(StoreError::NoAnswer(_))), "{first:?}");
    let second = store.put().await;
    assert_eq!(second, Ok(3), "the write after a failed one");
    Ok(())
}

macro_rules! silent_connections {
    ($($name:ident($check:ident, $object:expr, $kept:expr, $client:expr)),+ $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() -> anyhow::Result<()> {
                $check($object, $kept, $client).await
            }
        )+
    };
}

// Guard against configurations that come late since each read of the store waits for its limit on another
// silent connection, and against writes that fail as often.
silent_connections! {
    a_read_does_not_fail_on_a_silent_connection(check_read, PLATFORM_OBJECT, 1, Client::platform),
    a_read_does_not_fail_on_several_silent_connections(check_read, PLATFORM_OBJECT, 4, Client::platform),
    a_read_of_the_own_api_does_not_fail_on_silent_connections(check_read, OWN_OBJECT, 4, Client::own),
    a_write_fails_once_on_several_silent_connections(check_write, PLATFORM_OBJECT, 4, Client::platform),
    a_write_of_the_own_api_fails_once_on_silent_connections(check_write, OWN_OBJECT, 4, Client::own),
}
