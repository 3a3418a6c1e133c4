//! Counts the requests in flight at each upstream.

use crate::upstreams::{Lifetime, Registry};
use std::cell::RefCell;
use std::rc::Rc;

/// Counts a request, and until its prompt was read also the prompt's tokens, as in flight at an
/// upstream; uncounts them when it is dropped.
pub struct InFlight {
    registry: Rc<RefCell<Registry>>,
    upstream: Lifetime,
    prompt_tokens: u64,
}

impl InFlight {
    /// Counts a request with a prompt of `prompt_tokens` at this lifetime of an upstream.
    pub fn new(registry: Rc<RefCell<Registry>>, upstream: &Lifetime, prompt_tokens: u64) -> Self {
        registry.borrow_mut().begin_request(upstream, prompt_tokens);
        Self {
            registry,
            upstream: upstream.clone(),
            prompt_tokens,
        }
    }

    /// Records the first byte of the answer, which shows that the engine has read the prompt.
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
