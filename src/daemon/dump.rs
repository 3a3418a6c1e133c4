//! The state dump: the whole state of a host for diagnosis, without secrets.

use crate::daemon::node::Node;
use crate::daemon::run::RELEASE;
use crate::prelude::*;

/// Serialises the state of a host as JSON. API keys appear only as their hashes, and kept answers
/// of operations are left out.
///
/// # Errors
///
/// Returns the error of the JSON encoder.
pub fn dump(now: Millis, node: &Node) -> Result<String, serde_json::Error> {
    #[derive(Serialize)]
    struct Dump<'a> {
        release: &'static str,
        now_ms: Millis,
        fresh: bool,
        node: &'a Node,
    }
    serde_json::to_string(&Dump {
        release: RELEASE,
        now_ms: now,
        fresh: node.is_fresh(now),
        node,
    })
}
