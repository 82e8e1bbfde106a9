//! Shutdown of the HTTP server under load.

use std::time::Duration;

use bytes::Bytes;
use hibiscusdoor::{
    http_server::{self, text},
    standin::{http_call, new_client},
};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::{net::TcpListener, task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

/// Callers that send one request after another, each on its own connection.
const CALLERS: usize = 64;
/// Upper limit of the pause of a caller between an answer and its next request.
const MAX_PAUSE_MS: u64 = 12;
const SERVICE_TIME: Duration = Duration::from_millis(4);
const TIME_BEFORE_SHUTDOWN: Duration = Duration::from_millis(200);
/// Time within which the server must finish after the start of its shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

async fn answer_after_service_time(
    _: Request<Incoming>,
) -> http::Response<http_body_util::Full<Bytes>> {
    sleep(SERVICE_TIME).await;
    text(StatusCode::OK, "done")
}

/// Sends requests until the server refuses the connection; returns the number of answers, or the
/// error that ended a request.
async fn call_until_refused(url: String, number: usize) -> Result<u64, String> {
    let client = new_client();
    let mut answers = 0;
    loop {
        match http_call(&client, Method::GET, &url, &[], "").await {
            Ok(_) => answers += 1,
            Err(error) => {
                let error = match error.downcast_ref::<hyper_util::client::legacy::Error>() {
                    Some(cause) if cause.is_connect() => return Ok(answers),
                    _ => error,
                };
                return Err(format!("caller {number}, after {answers} answers: {error:#}"));
            }
        }
        sleep(Duration::from_millis((number as u64 * 7 + answers) % MAX_PAUSE_MS)).await;
    }
}

/// Guards against a shutdown that closes connections as idle while their callers are sending the
/// next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_cuts_no_request_on_a_connection_in_use() -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let url = format!("http://{}/", listener.local_addr()?);
    let shutdown = CancellationToken::new();
    let server =
        tokio::spawn(http_server::serve(listener, shutdown.clone(), answer_after_service_time));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(call_until_refused(url.clone(), number));
    }
    sleep(TIME_BEFORE_SHUTDOWN).await;
    shutdown.cancel();
    tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await??;
    let results = callers.join_all().await;
    let errors: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    assert!(errors.is_empty(), "{} of {CALLERS} callers lost a request: {errors:?}", errors.len());
    let answers: u64 = results.iter().flatten().sum();
    assert!(answers > CALLERS as u64, "{answers} answers");
    Ok(())
}
