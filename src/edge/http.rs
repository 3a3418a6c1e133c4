//! HTTP client for calls to other systems: connections, timeouts and errors.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};
use trillium_server_common::url::Url;
use trillium_server_common::{Connector, Destination};
use trillium_smol::ClientConfig;

/// The longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest answer of [`call_json`].
pub const MAX_CONTROL_ANSWER_BYTES: u64 = 16 << 20;

/// The reason for which a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
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

/// The answer of [`call_json`].
#[derive(Debug)]
pub struct JsonAnswer<T> {
    /// The HTTP status.
    pub status: u16,
    /// The decoded body, or `None` if it is not JSON of the expected type.
    pub body: Option<T>,
}

/// Makes a call with an optional JSON body, and decodes the answer as JSON, whatever its status.
///
/// # Errors
///
/// Returns the reason if no complete answer arrives within the timeout.
pub async fn call_json<T: DeserializeOwned>(
    client: &Client,
    method: Method,
    url: &str,
    body: Option<&impl Serialize>,
    limit: Duration,
) -> Result<JsonAnswer<T>, CallError> {
    let mut conn = client.build_conn(method, url);
    if let Some(body) = body {
        let text = serde_json::to_string(body).map_err(|error| CallError::Malformed {
            why: error.to_string(),
        })?;
        conn = conn
            .with_request_header("content-type", "application/json")
            .with_body(text);
    }
    match with_timeout(limit, send_and_decode(conn)).await {
        None => Err(CallError::TimedOut { limit }),
        Some(outcome) => outcome,
    }
}

async fn send_and_decode<T: DeserializeOwned>(conn: Conn) -> Result<JsonAnswer<T>, CallError> {
    let mut conn = conn.await.map_err(|error| classify_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().with_max_len(MAX_CONTROL_ANSWER_BYTES);
    let text = body
        .read_string()
        .await
        .map_err(|error| classify_error(&error))?;
    Ok(JsonAnswer {
        status,
        body: serde_json::from_str(&text).ok(),
    })
}
