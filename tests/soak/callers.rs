//! Callers of a node: kept connections, new ones, and several requests at once on one of them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context as _;
use bytes::BytesMut;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    plan::{HOST, ORGANISATIONS, services},
    record::{Record, Seen, Sent},
    upstream::answer_body,
    world::Keys,
};

/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(4);
/// Longer than any answer may take, so that a caller sees late ones too.
const GIVE_UP: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean pause of one caller between two requests.
const PAUSE_MS: u64 = 60;
const MAX_HEADERS: usize = 32;

/// How a caller uses connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Habit {
    Keeps,
    Renews,
    Pipelines,
}

/// One caller of a node.
pub struct Caller {
    pub node: usize,
    pub address: SocketAddr,
    pub keys: Keys,
    pub record: Arc<Record>,
    pub seed: u64,
    pub number: usize,
}

/// Ids are unique in a run of the soak.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

struct Prepared {
    id: String,
    path: String,
    text: String,
    sent: Sent,
}

/// An answer that was read whole.
struct Answer {
    status: u16,
    id: Option<String>,
    sealed: bool,
    close: bool,
    body: Vec<u8>,
}

impl Caller {
    /// Sends requests until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let habit = match self.number % 3 {
            0 => Habit::Keeps,
            1 => Habit::Renews,
            _ => Habit::Pipelines,
        };
        let mut connection: Option<(TcpStream, BytesMut)> = None;
        while !stop.is_cancelled() {
            let count = if habit == Habit::Pipelines { 3 } else { 1 };
            let requests: Vec<Prepared> =
                (0..count).map(|_| self.prepare(&mut random, habit)).collect();
            if connection.is_none() {
                connection = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await
                {
                    Ok(Ok(stream)) => Some((stream, BytesMut::new())),
                    _ => None,
                };
            }
            if let Some(open) = connection.take() {
                connection = self.exchange(open, requests).await;
            }
            if habit == Habit::Renews {
                connection = None;
            }
            sleep(Duration::from_millis(random.random_range(PAUSE_MS / 2..PAUSE_MS * 3 / 2))).await;
        }
    }

    fn prepare(&self, random: &mut ChaCha8Rng, habit: Habit) -> Prepared {
        let organisation = ORGANISATIONS[random.random_range(0..ORGANISATIONS.len())];
        let key = self.keys.pick(organisation, random.random_range(0..usize::MAX));
        let id = format!("{organisation}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let plans = services();
        let plan = &plans[random.random_range(0..plans.len())];
        let idempotent = habit == Habit::Pipelines || random.random_range(0..3) > 0;
        let (method, path, body) = match idempotent {
            true => ("GET", format!("{}{id}", plan.prefix), ""),
            false => ("POST", format!("{}once/{id}", plan.prefix), id.as_str()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nX-Key: {key}\r\nX-Tenant: forged\r\nContent-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len(),
        );
        let now = Instant::now();
        let sent = Sent {
            node: self.node,
            at: now,
            idempotent,
            key: Some(key),
            seen: Seen::NoAnswer,
            ended_at: now,
            flaw: None,
        };
        Prepared { id, path, text, sent }
    }

    /// Sends requests at once and reads their answers; returns the connection where it stays open.
    async fn exchange(
        &self,
        (mut stream, mut input): (TcpStream, BytesMut),
        requests: Vec<Prepared>,
    ) -> Option<(TcpStream, BytesMut)> {
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let mut open = stream.write_all(text.as_bytes()).await.is_ok();
        for request in requests {
            let mut sent = request.sent;
            if open {
                match timeout(GIVE_UP, read_answer(&mut stream, &mut input)).await {
                    Ok(Ok(answer)) => {
                        sent.seen = Seen::Status(answer.status);
                        sent.flaw = flaw(&request.id, &request.path, &answer);
                        open = !answer.close;
                    }
                    Ok(Err(_)) | Err(_) => open = false,
                }
            }
            sent.ended_at = Instant::now();
            self.record.sent.lock().insert(request.id, sent);
        }
        open.then_some((stream, input))
    }
}

/// What is wrong with an answer.
fn flaw(id: &str, path: &str, answer: &Answer) -> Option<String> {
    if answer.id.as_deref().is_some_and(|other| other != id) {
        return Some(format!("it got the answer to {:?}", answer.id));
    }
    let success = (200..300).contains(&answer.status);
    if success && (!answer.sealed || answer.body != answer_body(id, path)) {
        return Some("its success is not the upstream's whole answer".to_owned());
    }
    if answer.status == 404 {
        return Some("its route is in force and was not found".to_owned());
    }
    None
}

async fn read_answer(stream: &mut TcpStream, input: &mut BytesMut) -> anyhow::Result<Answer> {
    loop {
        if let Some(answer) = parse(input)? {
            return Ok(answer);
        }
        if stream.read_buf(input).await? == 0 {
            anyhow::bail!("the connection has ended");
        }
    }
}

fn parse(input: &mut BytesMut) -> anyhow::Result<Option<Answer>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_bytes) = head.parse(input)? else { return Ok(None) };
    let header = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::to_owned)
    };
    let length: usize = header("content-length").context("an answer without a length")?.parse()?;
    if input.len() < head_bytes + length {
        return Ok(None);
    }
    let answer = Answer {
        status: head.code.context("an answer without a status")?,
        id: header("x-attempt-id"),
        sealed: header("x-response-seal").is_some(),
        close: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
        body: input[head_bytes..head_bytes + length].to_vec(),
    };
    let _ = input.split_to(head_bytes + length);
    Ok(Some(answer))
}
