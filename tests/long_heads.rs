//! Memory of heads with very many fields that wait for memory. The only test of its process, since it measures
//! the memory of the whole process.

use std::{
    future::{Future, ready},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use hibiscusdoor::{
    clock::Timestamp,
    http_server::{
        intake::Intake,
        pipelined::{self, Handler, Limits},
    },
    memory::{MemoryBudget, ResidentMemory},
};
use http::{Request, Response, request::Parts};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which the server reads what the callers have sent.
const READ_TIME: Duration = Duration::from_millis(1_500);
const CALLERS: usize = 200;
const MAX_HEAD_BYTES: usize = 16 << 10;
const BUDGET_BYTES: usize = 16 << 20;
/// Memory that is left for the connections and for heads as they arrive, but not for a parsed one.
const FREE_BYTES: usize = 1 << 20;

#[derive(Debug, Clone, Copy)]
struct Empty;

impl Handler for Empty {
    fn limits(&self) -> Limits {
        Limits {
            max_header_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 4096,
            request_timeout: TIMEOUT,
            idle_timeout: TIMEOUT,
            close_above_connections: 2 * CALLERS,
        }
    }

    fn may_overlap(&self, _: &Parts) -> bool {
        true
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn answer(
        &self,
        _: Request<Bytes>,
        _: Timestamp,
    ) -> impl Future<Output = Response<Bytes>> + Send + 'static {
        ready(Response::new(Bytes::new()))
    }
}

fn long_head() -> String {
    let mut head = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n".to_owned();
    for number in 0.. {
        let field = format!("{number:x}:\r\n");
        if head.len() + field.len() + 2 > MAX_HEAD_BYTES {
            break;
        }
        head.push_str(&field);
    }
    head + "\r\n"
}

/// Guards against heads that are parsed before there is memory for them: each takes some hundred KB until then,
/// and a crowd of them took a node of 260 MB to 1 GB (review/6).
#[tokio::test]
async fn heads_that_wait_for_memory_are_not_parsed() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let memory = Arc::new(MemoryBudget::new(BUDGET_BYTES));
    let intake = Intake::new("callers", 2 * CALLERS, memory.clone(), Arc::default());
    let token = CancellationToken::new();
    tokio::spawn(pipelined::serve_within(listener, token.clone(), token, Empty, intake));
    let head = long_head();
    let before = ResidentMemory::read().expect("the memory of this process");
    // Heads may use seven eighths of the budget.
    let in_use = memory.reserve_always(BUDGET_BYTES / 8 * 7 - FREE_BYTES);
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(head.as_bytes()).await?;
        callers.push(stream);
    }
    sleep(READ_TIME).await;
    drop(in_use);
    let mut answers = Vec::new();
    for mut stream in callers {
        let mut answer = Vec::new();
        timeout(TIMEOUT, stream.read_to_end(&mut answer)).await??;
        answers.push(answer);
    }
    let count = |start: &[u8]| answers.iter().filter(|answer| answer.starts_with(start)).count();
    let (served, refused) = (count(b"HTTP/1.1 200 "), count(b"HTTP/1.1 503 "));
    let after = ResidentMemory::read().expect("the memory of this process");
    let growth_bytes = after.peak_bytes - before.current_bytes;
    println!("served {served}, refused {refused}, growth {} MiB", growth_bytes >> 20);
    assert!(growth_bytes < BUDGET_BYTES, "a growth by {growth_bytes} bytes exceeds the budget");
    assert!(served > 0);
    assert_eq!(served + refused, CALLERS, "the others have no answer");
    Ok(())
}
