//! Closes connections of callers who do not read: a write that makes no progress fails after a
//! timeout.

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use trillium_server_common::{Acceptor, Transport};

/// The time without progress after which a write fails.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Wraps each accepted connection in a [`StallGuard`].
#[derive(Clone, Copy, Debug)]
pub struct StallAcceptor;

impl<Input: Transport> Acceptor<Input> for StallAcceptor {
    type Output = StallGuard<Input>;
    type Error = Infallible;

    async fn accept(&self, input: Input) -> Result<StallGuard<Input>, Infallible> {
        Ok(StallGuard {
            inner: input,
            stall_timer: None,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// A connection whose writes fail after no progress for [`STALL_TIMEOUT`].
#[derive(Debug)]
pub struct StallGuard<T> {
    inner: T,
    stall_timer: Option<Timer>,
}

impl<T> StallGuard<T> {
    fn fail_if_stalled<V>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<V>>,
    ) -> Poll<io::Result<V>> {
        if polled.is_ready() {
            self.stall_timer = None;
            return polled;
        }
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Timer::after(STALL_TIMEOUT));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: Transport> AsyncRead for StallGuard<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl<T: Transport> AsyncWrite for StallGuard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.fail_if_stalled(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(cx);
        self.fail_if_stalled(cx, polled)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: Transport> Transport for StallGuard<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}
