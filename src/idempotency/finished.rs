//! The operations that finished at this host, with their answers; bounded by number, bytes and age.

use crate::idempotency::message::{KeptAnswer, OperationKey, OperationState};
use crate::prelude::*;
use std::collections::VecDeque;

/// Most finished operations that are kept.
pub const MAX_FINISHED: usize = 10_000;
/// Most bytes of answer bodies that are kept in all.
pub const MAX_FINISHED_BYTES: usize = 16 << 20;
/// The longest answer body that is kept, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 256 << 10;
/// How long a finished operation is kept.
pub const FINISHED_KEEP_MS: Millis = Millis(15 * 60_000);

#[derive(Clone, Debug)]
struct Finished {
    at: Millis,
    state: OperationState,
}

/// The operations that finished at this host. Serialising leaves the operations and their answers
/// out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FinishedOperations {
    #[serde(skip)]
    by_key: IndexMap<OperationKey, Finished>,
    /// The operations in the order of insertion. An operation that was inserted again also has an
    /// older element here, which is skipped.
    #[serde(skip)]
    order: VecDeque<(Millis, OperationKey)>,
    /// The bytes of all answer bodies in `by_key`.
    bytes: usize,
}

impl FinishedOperations {
    /// Stores the final state of an operation. If a bound is exceeded, the oldest operations are
    /// removed.
    pub fn insert(&mut self, now: Millis, operation: OperationKey, state: OperationState) {
        self.remove(&operation);
        self.bytes += body_bytes(&state);
        self.order.push_back((now, operation.clone()));
        self.by_key.insert(operation, Finished { at: now, state });
        self.expire(now);
    }

    /// Returns the final state of an operation, if it is still kept.
    pub fn get(&self, operation: &OperationKey) -> Option<&OperationState> {
        self.by_key.get(operation).map(|finished| &finished.state)
    }

    /// Returns the number of operations that are kept.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no operation is kept.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the number of bytes of answer bodies that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the operations that are too old, and the oldest ones while a bound is exceeded.
    pub fn expire(&mut self, now: Millis) {
        while let Some((at, operation)) = self.order.front() {
            let too_old = now.since(*at) > FINISHED_KEEP_MS;
            let too_many = self.order.len() > MAX_FINISHED || self.bytes > MAX_FINISHED_BYTES;
            if !too_old && !too_many {
                return;
            }
            let (at, operation) = (*at, operation.clone());
            self.order.pop_front();
            let is_current = self.by_key.get(&operation).is_some_and(|f| f.at == at);
            if is_current {
                self.remove(&operation);
            }
        }
    }

    fn remove(&mut self, operation: &OperationKey) {
        if let Some(finished) = self.by_key.swap_remove(operation) {
            self.bytes -= body_bytes(&finished.state);
        }
    }
}

/// Returns the state to store for an answer: with the answer, unless that is longer than
/// [`MAX_KEPT_ANSWER_BYTES`].
pub fn kept_state(answer: KeptAnswer) -> OperationState {
    if answer.body.len() > MAX_KEPT_ANSWER_BYTES {
        return OperationState::AnswerNotKept;
    }
    OperationState::Answered(answer)
}

fn body_bytes(state: &OperationState) -> usize {
    match state {
        OperationState::Answered(answer) => answer.body.len(),
        _ => 0,
    }
}
