//! A bounded record of a process's inputs, for replay.
//!
//! The record is kept in two segments. When the newer one is full, the older one goes, and a copy of
//! the state is taken where the next one starts; so a replay always has a state to start from. A state
//! in a file leaves the kept answers of operations out, as a dump does.

use crate::attempt::message::AttemptOutcome;
use crate::daemon::event::Event;
use crate::daemon::node::{Node, NodeConfig};
use crate::daemon::run::RELEASE;
use crate::edge::digest::sha256;
use crate::idempotency::message::OperationState;
use crate::membership::message::PeerReply;
use crate::prelude::*;
use std::mem::size_of;

/// Most bytes of events kept, in both segments together.
pub const MAX_TRACE_BYTES: usize = 16 << 20;
/// About what a small allocation of an event takes.
const SMALL_BYTES: usize = 64;
/// About what a line of the host list, or a copy in an engine's report, takes.
const LINE_BYTES: usize = 192;

/// An event with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TracedEvent {
    /// When it was handled.
    pub at: Millis,
    /// The event.
    pub event: Event,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    start: Option<Arc<Node>>,
    events: Vec<TracedEvent>,
    bytes: usize,
}

/// The last events of a process.
#[derive(Clone, Debug)]
pub struct Trace {
    config: NodeConfig,
    most_bytes: usize,
    older: Option<Segment>,
    newer: Segment,
}

/// A trace as a file: all that a replay needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceFile {
    /// The release that wrote it.
    pub release: Name,
    /// What the node was made from.
    pub config: NodeConfig,
    /// The state before the first event; a new one when absent.
    pub start: Option<Node>,
    /// The events, oldest first.
    pub events: Vec<TracedEvent>,
    /// SHA-256 of the state after the last event.
    pub end_sha256: Name,
}

impl Trace {
    /// Makes an empty trace of a node that starts.
    pub fn new(config: NodeConfig) -> Self {
        Self::with_bound(config, MAX_TRACE_BYTES)
    }

    /// Makes an empty trace with its own bound.
    pub fn with_bound(config: NodeConfig, most_bytes: usize) -> Self {
        Self {
            config,
            most_bytes,
            older: None,
            newer: Segment::default(),
        }
    }

    /// Adds an event that `node` is about to handle.
    pub fn push(&mut self, at: Millis, event: &Event, node: &Node) {
        let bytes = event_bytes(event);
        if self.newer.bytes + bytes > self.most_bytes / 2 && !self.newer.events.is_empty() {
            let next = Segment {
                start: Some(Arc::new(node.clone())),
                ..Segment::default()
            };
            self.older = Some(std::mem::replace(&mut self.newer, next));
        }
        self.newer.bytes += bytes;
        self.newer.events.push(TracedEvent {
            at,
            event: event.clone(),
        });
    }

    /// Returns about how many bytes the events take.
    pub fn bytes(&self) -> usize {
        self.newer.bytes + self.older.as_ref().map_or(0, |segment| segment.bytes)
    }

    /// Writes the trace as a file; `node` is the state after the last event.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn to_file(&self, node: &Node) -> Result<String, serde_json::Error> {
        let first = self.older.as_ref().unwrap_or(&self.newer);
        let rest = self.older.as_ref().map(|_| &self.newer);
        let events = first.events.iter();
        let file = TraceFile {
            release: RELEASE.into(),
            config: self.config.clone(),
            start: first.start.as_deref().cloned(),
            events: events
                .chain(rest.into_iter().flat_map(|segment| &segment.events))
                .cloned()
                .collect(),
            end_sha256: state_sha256(node)?,
        };
        serde_json::to_string(&file)
    }
}

/// Returns SHA-256 of a state, to tell whether a replay came to the same one.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn state_sha256(node: &Node) -> Result<Name, serde_json::Error> {
    Ok(sha256(&serde_json::to_string(node)?))
}

/// Returns about how many bytes an event takes. Names are shared and hardly count.
fn event_bytes(event: &Event) -> usize {
    let held = match event {
        Event::LogRead { page, .. } => {
            let payloads = page.records.iter().map(|record| record.payload.len());
            payloads.sum::<usize>() + page.records.len() * SMALL_BYTES
        }
        Event::PeerAnswered { reply, .. } => reply_bytes(reply),
        Event::HostsListed { list } => (list.upstreams.len() + list.hosts.len()) * LINE_BYTES,
        Event::EngineReported { report, .. } => report
            .as_ref()
            .map_or(0, |report| report.copies.len() * LINE_BYTES),
        Event::AttemptEnded {
            outcome: AttemptOutcome::OperationAnswered(answer),
            ..
        } => answer.body.len(),
        Event::EditAsked { edit, .. } => edit.changes.len() * LINE_BYTES,
        Event::RequestArrived { head } => head.prefix_hashes.len() * 8 + 4 * SMALL_BYTES,
        _ => 0,
    };
    size_of::<TracedEvent>() + held
}

fn reply_bytes(reply: &PeerReply) -> usize {
    match reply {
        PeerReply::Records { records, .. } => {
            let payloads = records.iter().map(|record| record.payload.len());
            payloads.sum::<usize>() + records.len() * SMALL_BYTES
        }
        PeerReply::Operation {
            state: OperationState::Answered(answer),
            ..
        } => answer.body.len(),
        _ => SMALL_BYTES,
    }
}
