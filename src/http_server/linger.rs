//! Closing of connections whose last answer may still be on its way.
//!
//! Closing a socket with unread input, or receiving more of it afterwards, resets the connection, and the
//! kernel then drops what the peer has not acknowledged yet. So only the sending direction is closed at first,
//! and input is discarded until the peer closes the other one.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf},
    time::{Sleep, sleep, timeout},
};

/// Time and bytes for which input is discarded. A peer that goes on longer does not read its answer.
const LINGER_TIME: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 4 << 20;
/// Size of the buffer of one read.
const READ_BYTES: usize = 4 << 10;

/// Discards what arrives on a connection whose sending direction has been closed, until the peer closes it,
/// within [`LINGER_TIME`] and [`MAX_LINGER_BYTES`].
pub async fn discard_input(stream: &mut (impl AsyncRead + Unpin)) {
    let discard = async {
        let (mut discarded, mut rest) = ([0; READ_BYTES], MAX_LINGER_BYTES);
        while rest > 0 {
            match stream.read(&mut discarded).await {
                // The peer has closed or reset the connection.
                Ok(0) | Err(_) => return,
                Ok(read) => rest = rest.saturating_sub(read),
            }
        }
    };
    // The time is up if the peer neither closes the connection nor reads.
    let _ = timeout(LINGER_TIME, discard).await;
}

/// A stream whose shutdown ends only once the peer has closed the connection too, or the bounds of
/// [`discard_input`] are reached.
#[derive(Debug)]
pub struct LingeringStream<S> {
    stream: S,
    /// End of the time for the peer, once the sending direction has been closed.
    linger_end: Option<Pin<Box<Sleep>>>,
    rest: usize,
}

impl<S> LingeringStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream, linger_end: None, rest: MAX_LINGER_BYTES }
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger_end.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        }
        let linger_end = this.linger_end.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        let mut discarded = [0; READ_BYTES];
        while this.rest > 0 {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut this.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    this.rest = this.rest.saturating_sub(buffer.filled().len());
                }
                // The peer has closed or reset the connection.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return linger_end.as_mut().poll(context).map(Ok),
            }
        }
        Poll::Ready(Ok(()))
    }
}
