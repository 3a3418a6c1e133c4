//! A pool of idle connections to upstreams.

use crate::clock::Clock;
use crate::http1::Connection;
use crate::http1::client::connect;
use crate::prelude::*;
use rapidhash::v3::rapidhash_v3;
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;

/// How long an idle connection is kept if the upstream announces no timeout: most servers close
/// idle connections after 5 s.
const DEFAULT_IDLE_TIMEOUT_MS: Millis = Millis(3_000);
/// How long before the upstream's announced timeout a connection is discarded, so that no request
/// is sent while the upstream closes it.
const CLOSE_MARGIN_MS: Millis = Millis(500);
/// Most idle connections that are kept to each upstream.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Most requests that one connection carries, so that the record of their ids stays small.
const MAX_CARRIED: usize = 256;

/// The requests that a connection has carried. An id tells the answers of a connection apart only as
/// long as the connection carries no two sends with the same id: a request is sent again with the id
/// that its caller gave it, and an upstream may repeat an answer at any time.
#[derive(Debug, Default)]
pub struct CarriedRequests {
    id_hashes: Vec<u64>,
}

impl CarriedRequests {
    /// Records that a request with this id is sent.
    pub fn note(&mut self, id: &str) {
        self.id_hashes.push(rapidhash_v3(id.as_bytes()));
    }

    /// Tells whether a request with this id was sent.
    pub fn contains(&self, id: &str) -> bool {
        self.id_hashes.contains(&rapidhash_v3(id.as_bytes()))
    }

    /// Tells whether a single request was sent, so that no answer can be meant for another one.
    pub fn is_single(&self) -> bool {
        self.id_hashes.len() == 1
    }

    fn is_full(&self) -> bool {
        self.id_hashes.len() >= MAX_CARRIED
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Reads and writes HTTP/1.1 messages.
    pub io: Connection<TcpStream>,
    /// The requests that were sent on it.
    pub carried: CarriedRequests,
    /// Whether an earlier request used it.
    pub is_reused: bool,
    /// Whether it must not be reused, because a request on it is incomplete or further answers may
    /// arrive on it.
    pub ends_after_answer: bool,
    /// When it was open.
    pub opened_at: Millis,
}

#[derive(Debug)]
struct Idle {
    io: Connection<TcpStream>,
    carried: CarriedRequests,
    opened_at: Millis,
    since: Millis,
    until: Millis,
}

/// The idle connections, by the id of the upstream's lifetime.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<IndexMap<Name, Vec<Idle>>>,
}

impl Pool {
    /// Takes an open connection that has been idle for no longer than `max_idle_ms` and has carried no
    /// request with the id `request_id`, if there is one. Expired and closed connections that are met
    /// on the way are discarded.
    pub async fn take(
        &self,
        now: Millis,
        id: &str,
        request_id: &str,
        max_idle_ms: Millis,
    ) -> Option<UpstreamConnection> {
        loop {
            let mut idle = self.pop(id, request_id)?;
            let is_fresh = now < idle.until && now.since(idle.since) <= max_idle_ms;
            // Bytes that arrive while no request is under way belong to no answer, and an end means
            // that the upstream closed: the connection is discarded in both cases.
            let is_quiet = is_fresh && idle.io.is_quiet().await;
            if is_quiet {
                return Some(UpstreamConnection {
                    io: idle.io,
                    carried: idle.carried,
                    is_reused: true,
                    ends_after_answer: false,
                    opened_at: idle.opened_at,
                });
            }
        }
    }

    /// Opens a new connection to an upstream's address.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be opened.
    pub async fn open(
        &self,
        clock: Clock,
        address: SocketAddr,
    ) -> std::io::Result<UpstreamConnection> {
        Ok(UpstreamConnection {
            io: connect(address).await?,
            carried: CarriedRequests::default(),
            is_reused: false,
            ends_after_answer: false,
            opened_at: clock.now(),
        })
    }

    /// Adds a connection to the pool after a complete answer. `keep_ms` is the idle timeout that
    /// the upstream announced. Beyond `MAX_IDLE_CONNECTIONS` the connection is closed.
    pub fn keep(
        &self,
        now: Millis,
        id: &Name,
        connection: UpstreamConnection,
        keep_ms: Option<Millis>,
    ) {
        if connection.io.has_buffered_bytes() || connection.carried.is_full() {
            return;
        }
        let keep_ms = keep_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |keep_ms| keep_ms - CLOSE_MARGIN_MS);
        let mut pool = self.idle.borrow_mut();
        let idle = pool.entry(id.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle {
                io: connection.io,
                carried: connection.carried,
                opened_at: connection.opened_at,
                since: now,
                until: now + keep_ms,
            });
        }
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, id: &str) {
        self.idle.borrow_mut().shift_remove(id);
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn expire(&self, now: Millis) {
        let mut pool = self.idle.borrow_mut();
        for idle in pool.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        pool.retain(|_, idle| !idle.is_empty());
    }

    fn pop(&self, id: &str, request_id: &str) -> Option<Idle> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(id)?;
        let may_carry = |idle: &Idle| !idle.carried.contains(request_id);
        let newest = idle.iter().rposition(may_carry)?;
        Some(idle.remove(newest))
    }
}
