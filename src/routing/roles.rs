//! Which copies of a model take long prompts and which take short ones.
//!
//! Answers the pattern of one busy model asked with both: an engine reads prompts in pieces between the steps of
//! running streams, so two long prompts that arrive together stretch the gap between the events of every
//! stream there beyond what is on time (five tokens an event, each waiting for a piece of 4,096 tokens: about
//! 0.7 s for a large model). A model with several copies keeps some of them for short prompts.

use crate::prelude::*;
use crate::routing::pick::affinity;

/// A prompt of at least so many tokens is long: a large model reads it in some 65 ms, the time of several steps.
const LONG_PROMPT_TOKENS: u64 = 2_500;
/// Tells whether a prompt of so many tokens is long.
pub fn is_long(prompt_tokens: u64) -> bool {
    prompt_tokens >= LONG_PROMPT_TOKENS
}

/// The rates of long and of short prompts from which the copies of a model are kept apart: below them streams are
/// seldom late, and a copy kept for one kind only leaves the slots of the others unused.
const LONG_PER_S: f64 = 0.5;
const SHORT_PER_S: f64 = 0.7;

/// Tells whether a model is asked with both kinds of prompts so often that its copies are kept apart.
pub fn has_both_kinds(long_per_s: f64, short_per_s: f64) -> bool {
    long_per_s >= LONG_PER_S && short_per_s >= SHORT_PER_S
}

/// Of so many copies one is kept for short prompts: these are about a tenth of the tokens.
const COPIES_FOR_EACH_SHORT: usize = 3;

/// Chooses the copies for short prompts among the engines that hold a model: the same ones at every host. A single
/// copy takes both.
pub fn short_copies<'a>(model: &str, holders: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let digest = rapidhash::v3::rapidhash_v3(model.as_bytes());
    let mut ranked: Vec<&Name> = holders.collect();
    if ranked.len() < 2 {
        return Vec::new();
    }
    ranked.sort_by_key(|id| affinity(id, digest));
    ranked.truncate((ranked.len() / COPIES_FOR_EACH_SHORT).max(1));
    ranked
}
