//! Answers on their way from an upstream, or from another host, to the caller.
//!
//! - [`relay`]: passes an answer on in the form that fits it; [`event_relay`]: a stream, event by
//!   event.
//! - [`caller_writer`]: writes answers, and keeps what their framing promises.

pub mod caller_writer;
pub mod event_relay;
pub mod relay;
