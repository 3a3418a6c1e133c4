//! The HTTP servers of a process: one for callers, one for operators.

use crate::clock::Clock;
use crate::daemon::metrics::Metrics;
use crate::daemon::run::{ListenSnafu, RunError};
use crate::edge::caller::CallerServer;
use crate::edge::event_loop_handle::EventLoopHandle;
use crate::edge::http::with_timeout;
use crate::edge::operator::OperatorServer;
use crate::edge::stall::StallAcceptor;
use crate::prelude::*;
use crate::settings::Settings;
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use trillium_server_common::ServerHandle;

/// How long a server waits at the end of the process until its open connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most open connections to the operators' interface.
const MAX_OPERATOR_CONNECTIONS: usize = 256;

/// Starts the HTTP server for callers.
///
/// # Errors
///
/// Returns an error if its address cannot be bound.
pub fn listen_callers(
    settings: &Settings,
    me: Incarnation,
    clock: Clock,
    gate: &Arc<EventLoopHandle>,
    metrics: &Metrics,
) -> Result<ServerHandle, RunError> {
    let listener = bind("caller_listen", settings.caller_listen)?;
    let edge = Arc::new(CallerServer {
        event_loop: gate.clone(),
        clock,
        incarnation: me,
        bounds: settings.bounds.clone(),
        metrics: metrics.clone(),
    });
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(settings.bounds.connections))
        .with_acceptor(StallAcceptor)
        .with_prebound_server(listener)
        .spawn(move |conn: trillium::Conn| {
            let edge = edge.clone();
            async move { edge.handle(conn).await }
        });
    Ok(server)
}

/// Starts the HTTP server for operators.
///
/// # Errors
///
/// Returns an error if its address cannot be bound.
pub fn listen_operators(
    settings: &Settings,
    gate: &Arc<EventLoopHandle>,
    metrics: &Metrics,
) -> Result<ServerHandle, RunError> {
    let listener = bind("operator_listen", settings.operator_listen)?;
    let edge = Arc::new(OperatorServer {
        event_loop: gate.clone(),
        token_sha256: settings.keys.operator_token_sha256.clone(),
        metrics: metrics.clone(),
    });
    let server = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(MAX_OPERATOR_CONNECTIONS))
        .with_prebound_server(listener)
        .spawn(move |conn: trillium::Conn| {
            let edge = edge.clone();
            async move { edge.handle(conn).await }
        });
    Ok(server)
}

/// Shuts a server down, and waits for its open connections for at most `CLOSE_TIMEOUT`.
pub async fn close(server: ServerHandle) {
    let closing = async move { server.shut_down().await };
    with_timeout(CLOSE_TIMEOUT, closing).await;
}

fn bind(key: &'static str, address: SocketAddr) -> Result<smol::net::TcpListener, RunError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { key, address })?;
    let listener = smol::Async::new(listener).context(ListenSnafu { key, address })?;
    Ok(listener.into())
}
