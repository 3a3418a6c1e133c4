//! Network input and output of a process: servers for callers, operators and peers, and clients of
//! other systems.
//!
//! Each system of the platform has a trait here with one implementation over HTTP, as
//! `docs/design/platform-protocols.md` specifies it.

pub mod answer;
pub mod caller;
pub mod digest;
pub mod engine;
pub mod event_loop_handle;
pub mod exchange;
pub mod hosts;
pub mod http;
pub mod log_service;
pub mod operator;
pub mod peer;
pub mod pipe;
pub mod quic;
pub mod request_reader;
pub mod stall;
pub mod store;
pub mod stream;
pub mod upstream;

#[cfg(test)]
mod tests;

use crate::membership::message::{HostEntry, PlatformList};
use crate::placement::message::{EngineOrder, EngineReport, OrderAnswer, StoreReport};
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// A boxed future, as async methods of trait objects return it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's append-only log.
pub trait LogService: Send + Sync {
    /// Reads records from offset `from` on, and waits up to `wait_ms` while there are none.
    fn read(&self, from: Offset, wait_ms: Millis) -> BoxFuture<'_, Result<LogPage, LogCallError>>;

    /// Appends records as one batch. [`LogCallError::Unknown`] means that it may have been
    /// appended.
    fn append(&self, records: Vec<Record>) -> BoxFuture<'_, Result<(), LogCallError>>;
}

/// The platform's list of hosts and upstreams. Failed calls are not reported as errors.
pub trait HostDirectory: Send + Sync {
    /// Reads the list, or returns `None` if the call fails.
    fn list(&self) -> BoxFuture<'_, Option<PlatformList>>;

    /// Registers an entry host, or renews its registration.
    fn register(&self, entry: HostEntry, incarnation: Incarnation) -> BoxFuture<'_, ()>;

    /// Removes the registration of an entry host.
    fn unregister(&self, name: Name) -> BoxFuture<'_, ()>;
}

/// The control interface of model engines.
pub trait EngineControl: Send + Sync {
    /// Asks an engine for its report, or returns `None` if the call fails.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<EngineReport>>;

    /// Sends an order to an engine.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> BoxFuture<'_, OrderAnswer>;

    /// Asks an engine for the state of an order, without sending the order.
    fn order_state(&self, address: SocketAddr, order: Offset) -> BoxFuture<'_, OrderAnswer>;
}

/// The store of model weights, of which only the state is read, to predict fetch times.
pub trait WeightStore: Send + Sync {
    /// Asks the store for its report, or returns `None` if the call fails.
    fn report(&self) -> BoxFuture<'_, Option<StoreReport>>;
}
