//! Counts the requests in flight at each upstream, and what they may take of its KV cache.

use crate::upstreams::{Lifetime, Registry};
use std::cell::RefCell;
use std::rc::Rc;

/// Counts a request with its tokens in the KV cache, and until its prompt was read also the prompt's
/// tokens, as in flight at an upstream; uncounts them when it is dropped.
pub struct InFlight {
    registry: Rc<RefCell<Registry>>,
    upstream: Lifetime,
    prompt_tokens: u64,
    held_tokens: u64,
    is_answered: bool,
}

impl InFlight {
    /// Counts a request with a prompt of `prompt_tokens` that may take `held_tokens` of the KV cache
    /// at this lifetime of an upstream.
    pub fn new(
        registry: Rc<RefCell<Registry>>,
        upstream: &Lifetime,
        prompt_tokens: u64,
        held_tokens: u64,
    ) -> Self {
        let mut upstreams = registry.borrow_mut();
        upstreams.begin_request(upstream, prompt_tokens);
        upstreams.hold_tokens(upstream, held_tokens);
        drop(upstreams);
        Self {
            registry,
            upstream: upstream.clone(),
            prompt_tokens,
            held_tokens,
            is_answered: false,
        }
    }

    /// Records the first byte of the answer, which shows that the engine has read the prompt.
    pub fn note_first_byte(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            let mut registry = self.registry.borrow_mut();
            registry.note_first_byte(&self.upstream, self.prompt_tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_first_byte();
        let mut upstreams = self.registry.borrow_mut();
        upstreams.release_tokens(&self.upstream, self.held_tokens);
        upstreams.end_request(&self.upstream);
    }
}
