//! Connections to upstreams.
//!
//! The client library writes the head of a request to a kept-alive connection, and takes the next
//! connection if that write fails. It cannot detect a connection whose other end no longer
//! responds. Therefore each retry, and each request that must not be repeated, uses a new
//! connection, and an answer that does not arrive in time drops all kept-alive connections to its
//! upstream.

use crate::attempt::message::ConnectionChoice;
use crate::edge::http::{client, new_connection_client};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use trillium_client::Client;

/// The most upstreams with kept-alive connections; beyond them, all those connections are dropped.
const MAX_ADDRESSES: usize = 1_024;

/// One client with kept-alive connections for each upstream, and one client that keeps none.
#[derive(Debug)]
pub struct UpstreamConnections {
    keep_alive: Mutex<HashMap<SocketAddr, Client>>,
    new_connection: Client,
}

impl UpstreamConnections {
    /// Creates the clients, without any connection yet.
    pub fn new() -> Self {
        Self {
            keep_alive: Mutex::default(),
            new_connection: new_connection_client(),
        }
    }

    /// Returns the client for an attempt at an upstream.
    pub fn client(&self, address: SocketAddr, choice: ConnectionChoice) -> Client {
        match choice {
            ConnectionChoice::New => self.new_connection.clone(),
            ConnectionChoice::Kept => self.keep_alive_client(address),
        }
    }

    /// Drops the kept-alive connections to an upstream.
    pub fn drop_keep_alive(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn keep_alive_client(&self, address: SocketAddr) -> Client {
        let mut kept = self.lock();
        if kept.len() >= MAX_ADDRESSES && !kept.contains_key(&address) {
            kept.clear();
        }
        kept.entry(address).or_insert_with(client).clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.keep_alive
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for UpstreamConnections {
    fn default() -> Self {
        Self::new()
    }
}
