//! A TCP stream that limits the time for which a write may stall.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep},
};

use super::stream::WatchedStream;

/// A TCP stream with writes that fail once the client has accepted no bytes for `limit`.
pub(super) struct StalledWriteTimeout {
    stream: WatchedStream,
    limit: Duration,
    /// Time limit of the current stall; set while a write is pending.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StalledWriteTimeout {
    pub(super) fn new(stream: WatchedStream, limit: Duration) -> Self {
        Self { stream, limit, stall_timer: None }
    }

    fn limit_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        timer.as_mut().reset(Instant::now() + limit);
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the client accepted no bytes within the time limit",
        )))
    }
}

impl AsyncRead for StalledWriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for StalledWriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.limit_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
