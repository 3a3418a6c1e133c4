//! The HTTP client of the command-line and load tools; the timeouts and errors of calls. What the daemon
//! calls, it calls by [`crate::edge::exchange`].

use crate::http1::HeadError;
use snafu::Snafu;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::Client;
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::ClientConfig;

/// The longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason for which a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The head of the request would break a rule, so no byte of it was sent.
    #[snafu(display("the call is no valid request: {source}"))]
    Invalid {
        /// The rule.
        source: HeadError,
    },
    /// No connection was established, so no byte of the request was sent.
    #[snafu(display("cannot connect: {why}"))]
    NotConnected {
        /// The reason, as text.
        why: String,
    },
    /// The answer did not arrive in time; the request may have been sent.
    #[snafu(display("no answer within {} ms", limit.as_millis()))]
    TimedOut {
        /// The timeout.
        limit: Duration,
    },
    /// The connection failed after bytes of the request may have been sent.
    #[snafu(display("the connection failed: {why}"))]
    Broken {
        /// The reason, as text.
        why: String,
    },
    /// The request or the answer does not conform to the protocol.
    #[snafu(display("the answer cannot be read: {why}"))]
    Malformed {
        /// The reason, as text.
        why: String,
    },
}

/// The inner error of an I/O error, by which [`classify_error`] recognises that connecting failed.
#[derive(Debug)]
struct ConnectFailed(String);

impl fmt::Display for ConnectFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConnectFailed {}

/// A connector that applies [`CONNECT_TIMEOUT`] and marks failures to connect.
#[derive(Clone, Copy, Debug)]
pub struct BoundedConnector(ClientConfig);

impl Connector for BoundedConnector {
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Transport = <ClientConfig as Connector>::Transport;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.0.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        connect_with_timeout(self.0.connect(url)).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        connect_with_timeout(self.0.connect_to(destination)).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.0.resolve(host, port).await
    }
}

async fn connect_with_timeout<T>(connecting: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let failed = |why: String| io::Error::other(ConnectFailed(why));
    match with_timeout(CONNECT_TIMEOUT, connecting).await {
        None => Err(failed(format!(
            "no connection within {} ms",
            CONNECT_TIMEOUT.as_millis()
        ))),
        Some(Err(error)) => Err(failed(error.to_string())),
        Some(Ok(transport)) => Ok(transport),
    }
}

/// Awaits a future. Returns `None` if it is not ready within the timeout.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(limit).await;
        None
    };
    smol::future::or(async { Some(future.await) }, timeout).await
}

/// Creates a client that opens a new connection for each call. On a connection that carried an earlier
/// call, a further answer to that one could not be told from the answer to the next, and the library
/// cannot detect that the other end no longer responds.
pub fn client() -> Client {
    Client::new(BoundedConnector(ClientConfig::new().with_nodelay(true))).without_keepalive()
}

/// Converts a client error, by whether bytes of the request may have been sent.
pub fn classify_error(error: &trillium_client::Error) -> CallError {
    if let trillium_client::Error::Io(io_error) = error
        && let Some(inner) = io_error.get_ref()
        && inner.is::<ConnectFailed>()
    {
        return CallError::NotConnected {
            why: inner.to_string(),
        };
    }
    CallError::Broken {
        why: error.to_string(),
    }
}
