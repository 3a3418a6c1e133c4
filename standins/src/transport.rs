//! Server connections that can be made silent or cut.

use std::any::Any;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use trillium_server_common::{Acceptor, Transport};

/// Counts how often the open connections were made silent.
#[derive(Debug, Default)]
pub struct SilenceEpoch(AtomicU64);

impl SilenceEpoch {
    /// Makes every connection opened so far silent for good.
    pub fn silence_open(&self) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }

    fn current(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// The switches of one connection.
#[derive(Debug)]
pub struct ConnectionSwitch {
    epoch: Arc<SilenceEpoch>,
    opened_epoch: u64,
    admin: AtomicBool,
    cut: AtomicBool,
}

impl ConnectionSwitch {
    fn new(epoch: &Arc<SilenceEpoch>) -> Self {
        Self {
            opened_epoch: epoch.current(),
            epoch: Arc::clone(epoch),
            admin: AtomicBool::new(false),
            cut: AtomicBool::new(false),
        }
    }

    /// Notes whether the latest request is an admin request, whose answer is never silenced.
    pub fn set_admin(&self, admin: bool) {
        self.admin.store(admin, Ordering::SeqCst);
    }

    /// Makes the next write fail, which closes the connection.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Reports whether the connection is silent.
    pub fn is_silent(&self) -> bool {
        !self.admin.load(Ordering::SeqCst) && self.opened_epoch < self.epoch.current()
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

/// Wraps each accepted connection in a [`SwitchedTransport`].
#[derive(Clone, Debug, Default)]
pub struct SwitchAcceptor {
    epoch: Arc<SilenceEpoch>,
}

impl SwitchAcceptor {
    /// Builds an acceptor whose connections follow the epoch.
    pub fn new(epoch: Arc<SilenceEpoch>) -> Self {
        Self { epoch }
    }
}

impl<Input: Transport> Acceptor<Input> for SwitchAcceptor {
    type Output = SwitchedTransport;
    type Error = Infallible;

    async fn accept(&self, input: Input) -> Result<SwitchedTransport, Infallible> {
        Ok(SwitchedTransport {
            inner: Box::new(input),
            switch: Arc::new(ConnectionSwitch::new(&self.epoch)),
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// A connection with switches.
pub struct SwitchedTransport {
    inner: Box<dyn Transport>,
    switch: Arc<ConnectionSwitch>,
}

impl SwitchedTransport {
    /// Finds the switches of the connection that carries a request.
    pub fn switch_of(conn: &trillium::Conn) -> Option<Arc<ConnectionSwitch>> {
        let http_conn: &trillium_http::Conn<Box<dyn Transport>> = conn.as_ref();
        find_switch(http_conn.transport().as_ref())
    }
}

/// Looks through the boxes that the server puts around a transport.
fn find_switch(transport: &dyn Transport) -> Option<Arc<ConnectionSwitch>> {
    let any: &dyn Any = transport;
    if let Some(switched) = any.downcast_ref::<SwitchedTransport>() {
        return Some(Arc::clone(&switched.switch));
    }
    any.downcast_ref::<Box<dyn Transport>>()
        .and_then(|inner| find_switch(inner.as_ref()))
}

impl AsyncRead for SwitchedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let read = Pin::new(&mut self.inner).poll_read(cx, buf);
            match read {
                // What arrives on a silent connection is lost.
                Poll::Ready(Ok(len)) if len > 0 && self.switch.is_silent() => {}
                other => return other,
            }
        }
    }
}

impl AsyncWrite for SwitchedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.switch.is_cut() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.switch.is_silent() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl Transport for SwitchedTransport {
    fn peer_addr(&self) -> io::Result<Option<std::net::SocketAddr>> {
        self.inner.peer_addr()
    }
}
