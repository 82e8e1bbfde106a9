//! Sends the requests of a load plan.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::header::RETRY_AFTER;
use parking_lot::Mutex;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::timeout};
use uuid::Uuid;

use super::{
    plan::{Plan, Stream},
    report::{Ending, Recorder, Report},
};
use crate::{
    clock,
    standin::{HttpClient, HttpReply, http_call, new_client},
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
const OUTCOME_HEADER: &str = "hibiscus-outcome";

/// State that all requests of a run share.
struct Run {
    start: Instant,
    nodes: Vec<SocketAddr>,
    client: HttpClient,
    in_flight: AtomicUsize,
    max_in_flight: usize,
}

/// One request of a stream.
struct Request {
    stream: Arc<Stream>,
    recorder: Arc<Mutex<Recorder>>,
    /// Position in the stream, from 0; selects the first node.
    number: u64,
    /// Time after the start of the run at which the request is to be sent.
    due: Duration,
}

/// Runs a plan and reports the results; calls `progress` with a line of text every second.
pub async fn run_plan(plan: &Plan, progress: impl Fn(&str) + Send + Sync) -> Report {
    let run = Arc::new(Run {
        start: Instant::now(),
        nodes: plan.nodes.clone(),
        client: new_client(),
        in_flight: AtomicUsize::new(0),
        max_in_flight: plan.max_in_flight,
    });
    let mut generators = JoinSet::new();
    let mut recorders = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let recorder = Arc::new(Mutex::new(Recorder::new()));
        recorders.push((stream.name.clone(), recorder.clone()));
        let rng = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_add(index as u64));
        let stream = Arc::new(stream.clone());
        generators.spawn(generate_arrivals(run.clone(), stream, recorder, rng, plan.duration));
    }
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        tokio::select! {
            joined = generators.join_next() => {
                if joined.is_none() {
                    break;
                }
            }
            _ = ticks.tick() => {
                let in_flight = run.in_flight.load(Ordering::Relaxed);
                let elapsed_s = run.start.elapsed().as_secs();
                progress(&format!("{elapsed_s} s, {in_flight} requests in flight"));
            }
        }
    }
    let recorders = recorders.iter();
    let streams =
        recorders.map(|(name, recorder)| recorder.lock().to_report(name, plan.duration)).collect();
    let duration_ms = clock::to_millis(plan.duration);
    Report { duration_ms, streams }
}

/// Sends each request of a stream when it is due, whether or not earlier ones have ended.
async fn generate_arrivals(
    run: Arc<Run>,
    stream: Arc<Stream>,
    recorder: Arc<Mutex<Recorder>>,
    mut rng: ChaCha8Rng,
    duration: Duration,
) {
    let mut requests = JoinSet::new();
    let mut due = Duration::ZERO;
    for number in 0.. {
        // Exponential gaps make the arrivals a Poisson process.
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / stream.rate_per_s);
        if due > duration {
            break;
        }
        tokio::time::sleep_until((run.start + due).into()).await;
        while requests.try_join_next().is_some() {}
        if run.in_flight.load(Ordering::Relaxed) >= run.max_in_flight {
            recorder.lock().record_not_sent();
            continue;
        }
        run.in_flight.fetch_add(1, Ordering::Relaxed);
        let request = Request { stream: stream.clone(), recorder: recorder.clone(), number, due };
        requests.spawn(request.send(run.clone()));
    }
    while requests.join_next().await.is_some() {}
}

impl Request {
    /// Sends the request, with retries, and records its result.
    async fn send(self, run: Arc<Run>) {
        let body = self.unique_body();
        let idempotency_key = self.stream.idempotency_key.then(|| Uuid::now_v7().to_string());
        let mut attempts = 0;
        let ending = loop {
            let node = run.nodes[(self.number as usize + attempts as usize) % run.nodes.len()];
            attempts += 1;
            let (ending, retry_delay) =
                self.send_once(&run, node, &body, idempotency_key.as_deref()).await;
            if ending == Ending::Whole || attempts > self.stream.retry.retries {
                break ending;
            }
            tokio::time::sleep(retry_delay).await;
        };
        run.in_flight.fetch_sub(1, Ordering::Relaxed);
        let since_start = run.start.elapsed();
        let since_due = since_start.saturating_sub(self.due);
        self.recorder.lock().record_finished(ending, attempts, since_due, since_start);
    }

    /// Makes a unique body, so that an answer to another request is detected.
    fn unique_body(&self) -> String {
        let mut body = Uuid::new_v4().to_string();
        while body.len() < self.stream.body_bytes {
            body.push('.');
        }
        body
    }

    /// Makes one attempt; returns its result and the delay before a retry.
    async fn send_once(
        &self,
        run: &Run,
        node: SocketAddr,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> (Ending, Duration) {
        let stream = &self.stream;
        let authorization = stream.key.as_ref().map(|key| format!("Bearer {key}"));
        let mut headers = Vec::new();
        headers.extend(authorization.as_deref().map(|value| ("authorization", value)));
        headers.extend(idempotency_key.map(|value| ("idempotency-key", value)));
        let url = format!("http://{node}{}", stream.path);
        let call = http_call(&run.client, stream.method.clone(), &url, &headers, body.to_owned());
        let delay = Duration::from_millis(stream.retry.delay_ms);
        let Ok(Ok(reply)) = timeout(stream.timeout, call).await else {
            return (Ending::NoAnswer, delay);
        };
        let ending = self.classify_reply(&reply, body);
        if matches!(ending, Ending::NotRun | Ending::Unknown) {
            let reason = reply.json()["reason"].as_str().unwrap_or("none").to_owned();
            self.recorder.lock().record_reason(reason);
        }
        (ending, self.retry_delay(&reply, delay))
    }

    fn classify_reply(&self, reply: &HttpReply, body: &str) -> Ending {
        match reply.header(OUTCOME_HEADER) {
            "whole" if !reply.status.is_success() => Ending::Unknown,
            "whole" => match &self.stream.echo {
                Some(pointer) if reply.json().pointer(pointer) != Some(&body.into()) => {
                    Ending::WrongAnswer
                }
                _ => Ending::Whole,
            },
            "not-run" => Ending::NotRun,
            _ => Ending::Unknown,
        }
    }

    fn retry_delay(&self, reply: &HttpReply, delay: Duration) -> Duration {
        if !self.stream.retry.honour_retry_after {
            return delay;
        }
        let exact_ms = reply.json()["retry_after_ms"].as_u64();
        let seconds = reply.header(RETRY_AFTER.as_str()).parse().ok();
        let stated = exact_ms
            .map(Duration::from_millis)
            .or_else(|| seconds.map(Duration::from_secs))
            .unwrap_or_default();
        delay.max(stated)
    }
}
