//! Handing a caller's request to another host, when this host reaches no upstream that could serve
//! it.
//!
//! A request is handed on once at most: the host that takes it either serves it itself or gives it
//! back. It is offered first, and sent only after the other host has accepted, so that a host that
//! does not answer the offer cannot run the request later.
//!
//! - [`message`]: what the two hosts send each other.
//! - [`peer_memory`]: which hosts are asked, from their earlier answers.

pub mod message;
pub mod peer_memory;

#[cfg(test)]
mod tests;

pub use message::{AnswerStart, DeclineReason, HandedRequest, Offer, OfferReply};
pub use peer_memory::PeerMemory;

use crate::prelude::*;

/// The most requests of other hosts that a host serves at the same time.
pub const MAX_SERVED: usize = 256;
/// The most requests that a host has handed to one other host at the same time.
pub const MAX_OPEN_PER_PEER: u32 = 64;
/// The most hosts that one request is offered to each time that it is handed on.
pub const MAX_OFFERS: usize = 4;
/// The time that the way back to the first host takes from the request's time limit.
pub const TRANSIT_MS: Millis = Millis(10);
