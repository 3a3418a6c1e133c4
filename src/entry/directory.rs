//! The small questions that a host answers itself: which addresses to use, whether it is ready, its metrics.

use crate::entry::host::Host;
use crate::entry::platform::{DirectoryQuery, Platform};
use crate::http1::client::{set_socket_options, with_timeout};
use crate::http1::{Connection, RequestHead};
use crate::prelude::*;
use futures_lite::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;

/// Most addresses in one answer; callers read no more.
const MAX_ADDRESSES: usize = 64;
/// How long callers may keep an answer: short, so that a host that stops gets no new connections soon; a
/// question costs a host little.
const TTL_MS: Millis = Millis(1_000);
/// The longest head of a question.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// How long a connection without a question stays open.
const IDLE_MS: Millis = Millis(10_000);

/// Which questions a listener answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Questions {
    /// Which addresses to use.
    Directory,
    /// Whether this host is ready.
    Ready,
    /// The metrics.
    Metrics,
}

struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

/// Answers questions until the listener closes.
pub async fn answer<P: Platform + 'static>(
    host: Rc<Host<P>>,
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    questions: Questions,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                executor
                    .spawn(async move { serve_connection(&host, stream, questions).await })
                    .detach();
            }
            Err(_) => {
                Timer::after(Millis(20).to_duration()).await;
            }
        }
    }
}

async fn serve_connection<P: Platform>(host: &Host<P>, stream: TcpStream, questions: Questions) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    let mut connection = Connection::new(stream);
    loop {
        let read = with_timeout(IDLE_MS, connection.read_request_head(MAX_HEAD_BYTES)).await;
        let Some(Ok(Some(head))) = read else { return };
        let reply = reply(host, &head, questions);
        let closes = !head.keep_alive || host.is_stopping();
        let bytes = reply_bytes(&reply, closes);
        if connection.stream().clone().write_all(&bytes).await.is_err() || closes {
            return;
        }
    }
}

fn reply<P: Platform>(host: &Host<P>, head: &RequestHead, questions: Questions) -> Reply {
    match questions {
        Questions::Directory => match host.platform.read_directory(head) {
            Some(question) => {
                let addresses = addresses(host, &question);
                let ttl_ms = TTL_MS.min(host.settings().bounds.directory_ttl_ms());
                Reply {
                    status: 200,
                    content_type: "application/json",
                    body: host.platform.write_directory(&addresses, ttl_ms),
                }
            }
            None => not_found(),
        },
        Questions::Ready if host.platform.is_readiness_probe(head) => Reply {
            status: if host.is_ready() { 200 } else { 503 },
            content_type: "text/plain",
            body: Vec::new(),
        },
        Questions::Metrics => Reply {
            status: 200,
            content_type: "text/plain; version=0.0.4",
            body: host.metrics.text().into_bytes(),
        },
        Questions::Ready => not_found(),
    }
}

fn not_found() -> Reply {
    Reply {
        status: 404,
        content_type: "text/plain",
        body: Vec::new(),
    }
}

/// Returns the hosts' addresses, those of the caller's data centre first, in random order otherwise so that
/// callers who take the first ones spread.
fn addresses<P: Platform>(host: &Host<P>, question: &DirectoryQuery) -> Vec<SocketAddr> {
    let own = host.settings().caller_listen;
    let members = host.members.borrow();
    let mut hosts: Vec<(bool, SocketAddr)> = members
        .iter()
        .map(|member| {
            (
                member.data_centre != question.data_centre,
                member.caller_address,
            )
        })
        .filter(|(_, address)| *address != own)
        .collect();
    let is_usable = !host.is_stopping() || hosts.is_empty();
    if is_usable {
        let is_far = host.settings().data_centre != question.data_centre;
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
