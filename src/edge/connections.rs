//! The connections to upstreams.
//!
//! The client library writes a request's head to a kept connection and takes the next one when that
//! write fails; it cannot tell a connection that went silent. So a request that must not be repeated,
//! and each retry, goes over a new connection, and one silent answer drops all that are kept.

use crate::attempt::message::ConnectionChoice;
use crate::edge::http::{client, new_connection_client};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use trillium_client::Client;

/// Most upstreams with kept connections.
const MAX_ADDRESSES: usize = 1_024;

/// One client for each upstream's kept connections, and one that keeps none.
#[derive(Debug)]
pub struct Connections {
    kept: Mutex<HashMap<SocketAddr, Client>>,
    new: Client,
}

impl Connections {
    /// Starts without any connection.
    pub fn new() -> Self {
        Self {
            kept: Mutex::default(),
            new: new_connection_client(),
        }
    }

    /// Returns the client for an attempt.
    pub fn client(&self, address: SocketAddr, choice: ConnectionChoice) -> Client {
        match choice {
            ConnectionChoice::New => self.new.clone(),
            ConnectionChoice::Kept => self.kept_client(address),
        }
    }

    /// Drops the kept connections to an upstream.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn kept_client(&self, address: SocketAddr) -> Client {
        let mut kept = self.lock();
        if kept.len() >= MAX_ADDRESSES && !kept.contains_key(&address) {
            kept.clear();
        }
        kept.entry(address).or_insert_with(client).clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Client>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self::new()
    }
}
