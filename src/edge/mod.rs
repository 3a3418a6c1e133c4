//! The edges of a process: the only code that touches sockets.
//!
//! Each outside system has a trait here and one HTTP implementation of
//! `docs/design/platform-protocols.md`.

pub mod answer;
pub mod caller;
pub mod connections;
pub mod digest;
pub mod engine;
pub mod gate;
pub mod hosts;
pub mod http;
pub mod intake;
pub mod log_service;
pub mod operator;
pub mod peer;
pub mod pipe;
pub mod quic;
pub mod stall;
pub mod store;
pub mod stream;
pub mod upstream;

use crate::membership::message::{HostEntry, PlatformList};
use crate::placement::message::{EngineOrder, EngineReport, OrderAnswer, StoreReport};
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

/// A boxed future.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's append-only log.
pub trait LogService: Send + Sync {
    /// Reads records from an offset on.
    fn read(&self, from: Offset, wait_ms: Millis) -> BoxFuture<'_, Result<LogPage, LogCallError>>;

    /// Appends records as one batch.
    fn append(&self, records: Vec<Record>) -> BoxFuture<'_, Result<(), LogCallError>>;
}

/// The platform's list of hosts. A call that fails returns nothing.
pub trait HostDirectory: Send + Sync {
    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Option<PlatformList>>;

    /// Registers or renews an entry host.
    fn register(&self, entry: HostEntry, incarnation: Incarnation) -> BoxFuture<'_, ()>;

    /// Removes an entry host.
    fn unregister(&self, name: Name) -> BoxFuture<'_, ()>;
}

/// The orders and reports of model engines.
pub trait EngineControl: Send + Sync {
    /// Asks an engine for its report.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<EngineReport>>;

    /// Sends an order.
    fn order(&self, address: SocketAddr, order: EngineOrder) -> BoxFuture<'_, OrderAnswer>;

    /// Asks how an order stands, without sending it.
    fn order_state(&self, address: SocketAddr, order: Offset) -> BoxFuture<'_, OrderAnswer>;
}

/// The weight store, as far as predictions need it.
pub trait WeightStore: Send + Sync {
    /// Asks the store for its report.
    fn report(&self) -> BoxFuture<'_, Option<StoreReport>>;
}
