//! An upstream in trouble, which sends bytes that are no answer, or more of them than a node can hold.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Path whose requests get the answer of the trouble.
pub const TROUBLED_PATH: &str = "/orders/troubled";
/// Slots that the upstream announces.
pub const SLOTS: u32 = 400;
/// Time for which a connection stays open after the last byte of a troubled answer.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Answer to the requests for [`TROUBLED_PATH`].
#[derive(Debug, Clone)]
pub struct TroubledAnswer {
    /// Lines of the head after those that each answer has.
    pub fields: String,
    /// Bytes that are sent `repeat` times after the head.
    pub part: Arc<[u8]>,
    /// Number of parts.
    pub repeat: usize,
}

impl TroubledAnswer {
    /// An answer whose parts do not end.
    pub fn endless(fields: &str, part: impl AsRef<[u8]>) -> Self {
        Self { fields: fields.to_owned(), part: part.as_ref().into(), repeat: usize::MAX }
    }
}

/// Serves the upstream `id` until `stop`.
pub async fn serve(
    listener: TcpListener,
    stop: CancellationToken,
    id: &'static str,
    answer: TroubledAnswer,
) {
    let answer = Arc::new(answer);
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            let (stop, answer) = (stop.clone(), answer.clone());
            tokio::spawn(async move {
                tokio::select! {
                    // Fails when the node closes the connection.
                    _ = serve_connection(stream, id, &answer) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    };
    tokio::select! {
        () = accept => {}
        () = stop.cancelled() => {}
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    id: &str,
    answer: &TroubledAnswer,
) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream).await? {
        let request_id = field(&head, "x-attempt-id").unwrap_or_default();
        let common = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {request_id}\r\nx-response-seal: {request_id}\r\n\
             x-instance-id: {id}\r\nx-instance-load: 0,0,{SLOTS}\r\n"
        );
        if !head.contains(&format!(" {TROUBLED_PATH} ")) {
            stream.write_all(format!("{common}content-length: 2\r\n\r\nok").as_bytes()).await?;
            continue;
        }
        stream.write_all(format!("{common}{}", answer.fields).as_bytes()).await?;
        for _ in 0..answer.repeat {
            stream.write_all(&answer.part).await?;
        }
        // The node closes the connection once it has given up the answer.
        let _ = timeout(HOLD_TIME, stream.read(&mut [0; 1])).await;
        return Ok(());
    }
    Ok(())
}

/// Reads the head of a request; `None` at the end of the stream. Requests have no bodies.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.filter(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, text)| text.trim()).next()
}
