//! Counting requests at their upstreams while they are under way.

use crate::upstreams::{Lifetime, Registry};
use std::cell::RefCell;
use std::rc::Rc;

/// Counts a request at its upstream while it is under way.
pub struct InFlight {
    registry: Rc<RefCell<Registry>>,
    upstream: Lifetime,
    prompt_tokens: u64,
}

impl InFlight {
    /// Counts a request at a start of an upstream.
    pub fn new(registry: Rc<RefCell<Registry>>, upstream: &Lifetime, prompt_tokens: u64) -> Self {
        registry.borrow_mut().begin_request(upstream, prompt_tokens);
        Self {
            registry,
            upstream: upstream.clone(),
            prompt_tokens,
        }
    }

    /// Takes note of the first byte of the answer: the prompt was read.
    pub fn note_first_byte(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.prompt_tokens);
        self.registry
            .borrow_mut()
            .note_prefill_done(&self.upstream, prompt_tokens);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_first_byte();
        self.registry.borrow_mut().end_request(&self.upstream);
    }
}
