//! The permit to write the bytes of a call, which is asked for before each write.

use crate::prelude::*;
use std::cell::Cell;

/// The right to write, as it was just before a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteRight {
    /// When it was looked at.
    pub at: Millis,
    /// How much longer it lasts.
    pub left_ms: Millis,
}

/// The permit to write the bytes of one call. It outlives the call, so that a caller that drops the
/// call still learns whether any of its bytes were written.
pub struct WritePermit<'a> {
    /// Returns the right to write at present, or none.
    right: Box<dyn Fn() -> Option<WriteRight> + 'a>,
    first_write: Cell<Option<WriteRight>>,
}

impl<'a> WritePermit<'a> {
    /// Creates the permit for a call. `right` returns the right to write at present, or none; it is
    /// called before each write.
    pub fn new(right: impl Fn() -> Option<WriteRight> + 'a) -> Self {
        Self {
            right: Box::new(right),
            first_write: Cell::default(),
        }
    }

    /// Returns the right to write at present, or none.
    pub fn right(&self) -> Option<WriteRight> {
        (self.right)()
    }

    /// Returns the right under which the first bytes were written; none if no byte was.
    pub fn first_write(&self) -> Option<WriteRight> {
        self.first_write.get()
    }

    /// Records that bytes were written under this right.
    pub(super) fn note_write(&self, right: WriteRight) {
        if self.first_write.get().is_none() {
            self.first_write.set(Some(right));
        }
    }
}
