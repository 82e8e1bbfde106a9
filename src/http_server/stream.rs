//! A TCP stream that can be examined while a server reads from it and writes to it.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use rustix::net::{RecvFlags, Shutdown};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::usage::ConnectionUsage;
use crate::clock;

/// A TCP stream that reports arriving bytes to the usage of its connection.
pub(super) struct WatchedStream {
    stream: Arc<TcpStream>,
    usage: Arc<ConnectionUsage>,
}

impl WatchedStream {
    pub(super) fn new(stream: Arc<TcpStream>, usage: Arc<ConnectionUsage>) -> Self {
        Self { stream, usage }
    }

    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether the kernel holds bytes that have not been read.
///
/// The kernel is asked directly: a process without processor time is notified of the bytes together with
/// the end of the time for which the connection stays open, and may learn of the latter first.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    rustix::net::recv(stream, &mut [0; 1], flags).is_ok_and(|(count, _)| count > 0)
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(count) => {
                    if count > 0 {
                        self.usage.record_bytes(clock::now());
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match rustix::net::shutdown(&*self.stream, Shutdown::Write) {
            // The client has closed the connection.
            Ok(()) | Err(rustix::io::Errno::NOTCONN) => Ok(()),
            Err(error) => Err(error.into()),
        })
    }
}
