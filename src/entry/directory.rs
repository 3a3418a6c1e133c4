//! The HTTP endpoints of a host beside callers' requests: host discovery (which addresses to use),
//! readiness and metrics.

use crate::entry::host::Host;
use crate::entry::metrics::record_orderer;
use crate::entry::platform::{DirectoryQuery, Platform};
use crate::http1::client::{set_socket_options, with_timeout};
use crate::http1::{Connection, RequestHead};
use crate::prelude::*;
use futures_lite::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;

/// The most addresses in one answer; callers read no more.
const MAX_ADDRESSES: usize = 64;
/// How long callers may cache an answer. It is short, so that a stopping host soon gets no new
/// connections; an answer costs a host little.
const TTL_MS: Millis = Millis(1_000);
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// How long a connection stays open without a request.
const IDLE_MS: Millis = Millis(10_000);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Host discovery: the addresses of the hosts that callers may use.
    Directory,
    /// Whether this host is ready for callers.
    Ready,
    /// The metrics of this process.
    Metrics,
}

struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

/// Answers requests until the process ends.
pub async fn serve<P: Platform + 'static>(
    host: Rc<Host<P>>,
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    endpoint: Endpoint,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                executor
                    .spawn(async move { serve_connection(&host, stream, endpoint).await })
                    .detach();
            }
            Err(_) => {
                Timer::after(Millis(20).to_duration()).await;
            }
        }
    }
}

async fn serve_connection<P: Platform>(host: &Host<P>, stream: TcpStream, endpoint: Endpoint) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    let mut connection = Connection::new(stream);
    loop {
        let read = with_timeout(IDLE_MS, connection.read_request_head(MAX_HEAD_BYTES)).await;
        let Some(Ok(Some(head))) = read else { return };
        let reply = reply(host, &head, endpoint);
        let closes = !head.keep_alive || host.is_stopping();
        let bytes = reply_bytes(&reply, closes);
        if connection.stream().clone().write_all(&bytes).await.is_err() || closes {
            return;
        }
    }
}

fn reply<P: Platform>(host: &Host<P>, head: &RequestHead, endpoint: Endpoint) -> Reply {
    match endpoint {
        Endpoint::Directory => match host.platform.read_directory(head) {
            Some(query) => {
                let addresses = addresses(host, &query);
                let ttl_ms = TTL_MS.min(host.settings().bounds.directory_ttl_ms());
                Reply {
                    status: 200,
                    content_type: "application/json",
                    body: host.platform.write_directory(&addresses, ttl_ms),
                }
            }
            None => not_found(),
        },
        Endpoint::Ready if host.platform.is_readiness_probe(head) => Reply {
            status: if host.is_ready() { 200 } else { 503 },
            content_type: "text/plain",
            body: Vec::new(),
        },
        Endpoint::Metrics => {
            record_orderer(host, host.now());
            Reply {
                status: 200,
                content_type: "text/plain; version=0.0.4",
                body: host.metrics.text().into_bytes(),
            }
        }
        Endpoint::Ready => not_found(),
    }
}

fn not_found() -> Reply {
    Reply {
        status: 404,
        content_type: "text/plain",
        body: Vec::new(),
    }
}

/// Returns the hosts' addresses: those in the caller's data centre first, otherwise in random
/// order, so that callers who use the first ones spread over the hosts.
fn addresses<P: Platform>(host: &Host<P>, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let own = host.settings().caller_listen;
    let members = host.members.borrow();
    let mut hosts: Vec<(bool, SocketAddr)> = members
        .iter()
        .map(|member| {
            (
                member.data_centre != query.data_centre,
                member.caller_address,
            )
        })
        .filter(|(_, address)| *address != own)
        .collect();
    let is_usable = !host.is_stopping() || hosts.is_empty();
    if is_usable {
        let is_far = host.settings().data_centre != query.data_centre;
        hosts.push((is_far, own));
    }
    fastrand::shuffle(&mut hosts);
    hosts.sort_by_key(|(is_far, _)| *is_far);
    hosts.truncate(MAX_ADDRESSES);
    hosts.into_iter().map(|(_, address)| address).collect()
}

fn reply_bytes(reply: &Reply, closes: bool) -> Vec<u8> {
    let reason = match reply.status {
        200 => "OK",
        404 => "Not Found",
        _ => "Service Unavailable",
    };
    let connection = if closes { "close" } else { "keep-alive" };
    let mut bytes = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        reply.status,
        reply.content_type,
        reply.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes
}
