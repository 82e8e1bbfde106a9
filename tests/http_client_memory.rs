//! Memory of the client of upstreams while responses do not end. The test is alone in its program, since
//! it reads the memory of the whole process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hibiscusdoor::{
    http_client::{ConnectRequest, ConnectionPool, PoolLimits, Reuse},
    memory::MemoryBudget,
};
use http::{HeaderValue, Request};
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::timeout,
};

const MIB: usize = 1 << 20;
/// Concurrent endless responses, and rounds of them.
const ENDLESS: usize = 60;
const ROUNDS: usize = 3;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1500);
const IDLE_TIME: Duration = Duration::from_secs(5);
const BUDGET_BYTES: usize = 32 * MIB;
/// Growth of the process that is permitted: the budget, two read buffers for each connection in both
/// directions, and the parts of the allocator.
const MAX_GROWTH_MB: usize = 56;

fn pool() -> ConnectionPool {
    let limits =
        PoolLimits { max_idle: 8, max_idle_time: IDLE_TIME, max_body_bytes: BUDGET_BYTES / 2 };
    ConnectionPool::new(limits, Arc::new(MemoryBudget::new(BUDGET_BYTES)))
}

/// Peak of the resident memory of this process, in megabytes.
fn peak_mb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the state of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    let kilobytes = line.split_whitespace().nth(1).expect("a number");
    kilobytes.parse::<usize>().expect("a number") / 1024
}

async fn endless_upstream() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 1024];
                let _ = stream.read(&mut head).await;
                let mut sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
                while sent.is_ok() {
                    sent = stream.write_all(&[b'z'; 65536]).await;
                }
            });
        }
    });
    Ok(address)
}

/// Guards against a node that exceeds the memory of its machine while its upstream sends bodies without
/// end: the sum of the bodies was limited, but not the copies made while a body grew, and each
/// connection had a read buffer of about 400 KiB.
#[tokio::test]
async fn endless_responses_stay_within_the_budget() -> anyhow::Result<()> {
    let address = endless_upstream().await?;
    let pool = pool();
    let connect = ConnectRequest {
        address,
        max_idle_time: IDLE_TIME,
        refusal_pause: Duration::ZERO,
        request_id: None,
    };
    let before_mb = peak_mb();
    for _ in 0..ROUNDS {
        let requests = (0..ENDLESS).map(|_| async {
            let connection = pool.connect(connect).await;
            let connection = connection.expect("a connection");
            let mut request = Request::new(Full::<Bytes>::default());
            request.headers_mut().insert("host", HeaderValue::from_static("a"));
            let send = pool.send(connection, request, |_, _| Ok(Reuse::Keep));
            let ended = timeout(DEADLINE, send).await;
            assert!(!matches!(ended, Ok(Ok(_))), "an endless response is complete");
        });
        futures::future::join_all(requests).await;
    }
    let growth_mb = peak_mb() - before_mb;
    assert!(growth_mb <= MAX_GROWTH_MB, "the process has grown by {growth_mb} MB");
    Ok(())
}
