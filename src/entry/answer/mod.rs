//! Answers on their way from an upstream, or from another host, to the caller.
//!
//! - [`relay`]: passes an answer on in the form that fits it.
//! - [`caller_writer`]: writes answers, and keeps what their framing promises.

pub mod caller_writer;
pub mod relay;
