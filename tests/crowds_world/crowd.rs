//! Crowds of callers that keep no limits.
//!
//! Each member writes its bytes until all are written, the node closes the connection, or the node has
//! read nothing for a time. It then keeps the connection open until the crowd is dropped.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinSet,
    time::timeout,
};

/// Time without progress after which a member stops writing and only keeps its connection open.
const STALL_TIME: Duration = Duration::from_secs(3);

/// What a member sends.
#[derive(Clone)]
pub struct Script {
    /// Bytes that are sent first.
    pub head: Arc<[u8]>,
    /// Bytes that are sent `repeat` times after the head.
    pub part: Arc<[u8]>,
    pub repeat: usize,
    /// Bytes that are sent last.
    pub tail: Arc<[u8]>,
    /// Whether the member reads the answers.
    pub reads: bool,
}

impl Script {
    pub fn new(head: impl AsRef<[u8]>, part: impl AsRef<[u8]>, repeat: usize) -> Self {
        Self {
            head: head.as_ref().into(),
            part: part.as_ref().into(),
            repeat,
            tail: Arc::new([]),
            reads: false,
        }
    }
}

/// The connections of a crowd, closed when this is dropped.
#[derive(Default)]
pub struct Crowd {
    open: Vec<TcpStream>,
    /// Members whose connection the node has refused or closed.
    pub closed: usize,
}

/// Sends a script on `count` connections at once.
pub async fn send(address: SocketAddr, script: &Script, count: usize) -> Crowd {
    let mut members = JoinSet::new();
    for _ in 0..count {
        members.spawn(run_member(address, script.clone()));
    }
    let mut crowd = Crowd::default();
    for stream in members.join_all().await {
        match stream {
            Some(stream) => crowd.open.push(stream),
            None => crowd.closed += 1,
        }
    }
    crowd
}

/// Returns the connection if it is still open.
async fn run_member(address: SocketAddr, script: Script) -> Option<TcpStream> {
    let connected = timeout(STALL_TIME, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    let parts = std::iter::repeat_n(&script.part, script.repeat);
    for bytes in std::iter::once(&script.head).chain(parts).chain([&script.tail]) {
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            match timeout(STALL_TIME, stream.write(rest)).await {
                Ok(Ok(written)) => rest = &rest[written..],
                Ok(Err(_)) => return None,
                Err(_) => return Some(stream),
            }
        }
        if script.reads {
            let mut answers = [0; 4096];
            while let Ok(read) = stream.try_read(&mut answers) {
                if read == 0 {
                    return None;
                }
            }
        }
    }
    if script.reads {
        let mut answers = [0; 4096];
        while let Ok(read) = timeout(STALL_TIME, stream.read(&mut answers)).await {
            if read.unwrap_or(0) == 0 {
                return None;
            }
        }
    }
    Some(stream)
}
