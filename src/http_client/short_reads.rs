//! A stream that bounds the read buffers of a connection.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take},
    net::TcpStream,
};

/// Initial size of a read buffer of the HTTP library, which doubles the size when a read fills a buffer.
pub const READ_BUFFER_BYTES: usize = 8 << 10;
/// Most bytes of one read. A buffer that is never filled keeps its initial size.
const MAX_READ_BYTES: u64 = READ_BUFFER_BYTES as u64 - 1;

/// A TCP stream of which each read returns little.
#[derive(Debug)]
pub struct ShortReads(Take<TcpStream>);

impl ShortReads {
    pub fn new(stream: TcpStream) -> Self {
        Self(stream.take(MAX_READ_BYTES))
    }
}

impl AsyncRead for ShortReads {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.set_limit(MAX_READ_BYTES);
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for ShortReads {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.0.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.0.get_mut()).poll_shutdown(context)
    }
}
