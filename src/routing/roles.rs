//! Which copies of a model serve long prompts and which serve short ones.
//!
//! Handles a busy model that gets both. An engine reads prompts in chunks between the steps of its
//! running streams. Two long prompts that arrive together lengthen the gap between the events of
//! every stream on that engine beyond the allowed time: an event has five tokens, each of which
//! waits for a chunk of 4,096 tokens, about 0.7 s in all for a large model. A model with several
//! copies therefore reserves some of them for short prompts.

use crate::prelude::*;
use crate::routing::pick::affinity;

/// Prompts of at least this many tokens are long. A large model reads one in some 65 ms, the time
/// of several steps.
const LONG_PROMPT_TOKENS: u64 = 2_500;
/// Returns whether a prompt of this many tokens is long.
pub fn is_long(prompt_tokens: u64) -> bool {
    prompt_tokens >= LONG_PROMPT_TOKENS
}

/// Rates of long and of short prompts, in requests per second, from which a model's copies are
/// separated. At lower rates streams are seldom late, and a copy reserved for one kind leaves slots
/// of the other copies unused.
const MIN_LONG_PER_S: f64 = 0.5;
const MIN_SHORT_PER_S: f64 = 0.7;

/// Returns whether the rates of long and of short prompts are high enough to separate a model's
/// copies.
pub fn needs_separate_copies(long_per_s: f64, short_per_s: f64) -> bool {
    long_per_s >= MIN_LONG_PER_S && short_per_s >= MIN_SHORT_PER_S
}

/// One of this many copies is reserved for short prompts, which make up about a tenth of the
/// tokens.
const COPIES_PER_SHORT_COPY: usize = 3;

/// Chooses the copies reserved for short prompts among the engines that hold a model. Every host
/// chooses the same ones. A single copy serves both kinds, so the result is empty.
pub fn short_prompt_copies<'a>(
    model: &str,
    holders: impl Iterator<Item = &'a Name>,
) -> Vec<&'a Name> {
    let digest = rapidhash::v3::rapidhash_v3(model.as_bytes());
    let mut ranked: Vec<&Name> = holders.collect();
    if ranked.len() < 2 {
        return Vec::new();
    }
    ranked.sort_by_key(|id| affinity(id, digest));
    ranked.truncate((ranked.len() / COPIES_PER_SHORT_COPY).max(1));
    ranked
}
