//! Kept connections to upstreams.

use crate::http1::Connection;
use crate::http1::client::open;
use crate::prelude::*;
use futures_lite::future::poll_once;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;

/// How long a connection is kept when the upstream does not say: servers close idle ones after 5 s as a rule.
const DEFAULT_KEEP_MS: Millis = Millis(3_000);
/// How much sooner than the upstream says a connection is given up, so that a request does not cross its close.
const CLOSE_MARGIN_MS: Millis = Millis(500);
/// Idle connections kept for each upstream.
const MAX_IDLE: usize = 8;

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// The connection.
    pub io: Connection<TcpStream>,
    /// Whether an earlier request used it.
    pub is_reused: bool,
    /// Whether it must not be used again, because more than one answer may still come on it.
    pub ends_after_answer: bool,
}

#[derive(Debug)]
struct Idle {
    io: Connection<TcpStream>,
    since: Millis,
    until: Millis,
}

/// The kept connections by the upstream's lifetime.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<IndexMap<Name, Vec<Idle>>>,
}

impl Pool {
    /// Takes a kept connection that has been idle for no longer than `max_idle_ms`, if there is a sound one.
    pub async fn take(
        &self,
        now: Millis,
        id: &str,
        max_idle_ms: Millis,
    ) -> Option<UpstreamConnection> {
        loop {
            let mut idle = self.pop(id)?;
            let is_fresh = now < idle.until && now.since(idle.since) <= max_idle_ms;
            // Bytes or an end before the next request belong to no answer: the connection is given up.
            let is_quiet = is_fresh && poll_once(idle.io.read_more()).await.is_none();
            if is_quiet {
                return Some(UpstreamConnection {
                    io: idle.io,
                    is_reused: true,
                    ends_after_answer: false,
                });
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be opened.
    pub async fn open(&self, address: SocketAddr) -> std::io::Result<UpstreamConnection> {
        Ok(UpstreamConnection {
            io: open(address).await?,
            is_reused: false,
            ends_after_answer: false,
        })
    }

    /// Keeps a connection after a whole answer. `keep_ms` is how long the upstream says that it stays open.
    pub fn keep(
        &self,
        now: Millis,
        id: &Name,
        connection: UpstreamConnection,
        keep_ms: Option<Millis>,
    ) {
        if connection.io.has_unused_bytes() {
            return;
        }
        let keep_ms = keep_ms.map_or(DEFAULT_KEEP_MS, |keep_ms| keep_ms - CLOSE_MARGIN_MS);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(id.clone()).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                io: connection.io,
                since: now,
                until: now + keep_ms,
            });
        }
    }

    /// Closes the connections of an upstream.
    pub fn forget(&self, id: &str) {
        self.idle.borrow_mut().shift_remove(id);
    }

    /// Closes the connections that are kept no longer.
    pub fn expire(&self, now: Millis) {
        let mut pool = self.idle.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }

    fn pop(&self, id: &str) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(id)?.pop()
    }
}
