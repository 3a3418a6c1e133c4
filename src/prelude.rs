//! The types that nearly every module uses.

pub use crate::clock::Millis;
pub use crate::daemon::effect::{Effect, Effects};
pub use crate::error::{ErrorKind, Refusal};
pub use crate::event_log::LogEvent;
pub use crate::shared_log::record::{Incarnation, Offset, Record, RecordBody, RecordId};
pub use crate::shared_log::verdict::{Rejection, Verdict};
pub use indexmap::{IndexMap, IndexSet};
pub use serde::{Deserialize, Serialize};
pub use std::sync::Arc;

/// A shared immutable name.
pub type Name = Arc<str>;
