//! Re-exports the types that most modules use.

pub use crate::clock::Millis;
pub use crate::daemon::effect::{Effect, Effects};
pub use crate::error::{ErrorKind, Refusal};
pub use crate::event_log::LogEvent;
pub use crate::position::{Era, Position};
pub use crate::shared_log::record::{Incarnation, Offset, Record, RecordBody, RecordId};
pub use crate::shared_log::verdict::{Rejection, Verdict};
pub use indexmap::{IndexMap, IndexSet};
pub use serde::{Deserialize, Serialize};
pub use std::sync::Arc;

/// An immutable string that is cheap to clone: a name, a hash or another identifier.
pub type Name = Arc<str>;
