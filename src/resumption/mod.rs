//! The software versions that began streams, so that an interrupted stream goes on only at the
//! version that sent its first event.
//!
//! Upstreams of several software versions serve one service side by side, in no order, and what two
//! versions write does not fit together. Upstreams do not check which version began a stream, and a
//! caller may take its stream up at any host. So the host that passes a stream's first event on
//! records the version at a few hosts which every host derives from the stream's key.
//!
//! - [`version`]: the version of one answer, and what proves it.
//! - [`records`]: the records that a host keeps.
//! - [`keepers`]: the hosts that keep the record of a stream.
//! - [`message`]: what hosts send each other.
//! - [`stored`]: what outlasts the loss of all hosts.

pub mod keepers;
pub mod message;
pub mod records;
pub mod stored;
pub mod version;

#[cfg(test)]
mod tests;

pub use keepers::keepers;
pub use message::{StreamKey, StreamRecord};
pub use records::StreamRecords;
pub use version::{Proof, StreamVersion};

use crate::prelude::*;

/// How long after a stream's time limit its record is kept.
pub const TAKE_UP_MS: Millis = Millis(60_000);
