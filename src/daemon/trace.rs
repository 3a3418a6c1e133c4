//! A bounded trace of the events that a process handled, for replay.
//!
//! The trace consists of two segments. When the newer one is full, the older one is dropped and the
//! next one starts with a copy of the state, so that a replay always has a state to start from. The
//! state in a trace file does not contain the kept answers of operations, as in a dump.

use crate::attempt::message::AttemptOutcome;
use crate::daemon::event::Event;
use crate::daemon::node::{Node, NodeConfig};
use crate::daemon::run::RELEASE;
use crate::edge::digest::sha256;
use crate::idempotency::message::OperationState;
use crate::membership::message::PeerReply;
use crate::prelude::*;
use std::mem::size_of;

/// Most bytes of events in both segments together, by the estimate of [`Trace::bytes`].
pub const MAX_TRACE_BYTES: usize = 16 << 20;
/// The estimated bytes of a small allocation within an event.
const SMALL_ALLOCATION_BYTES: usize = 64;
/// The estimated bytes of an entry of a list: of the platform's list, of the copies in an engine's
/// report, or of the changes in an edit.
const LIST_ENTRY_BYTES: usize = 192;

/// An event with the time at which it was handled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TracedEvent {
    /// When the event was handled.
    pub at: Millis,
    /// The event.
    pub event: Event,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    /// The state before the first event; `None` stands for the state of a new node.
    start: Option<Arc<Node>>,
    events: Vec<TracedEvent>,
    bytes: usize,
}

/// The latest events of a process.
#[derive(Clone, Debug)]
pub struct Trace {
    config: NodeConfig,
    max_bytes: usize,
    older: Option<Segment>,
    newer: Segment,
}

/// The content of a trace file, which suffices for a replay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceFile {
    /// The release of the program that wrote the file.
    pub release: Name,
    /// The configuration of the node.
    pub config: NodeConfig,
    /// The state before the first event; `None` stands for the state of a new node.
    pub start: Option<Node>,
    /// The events, oldest first.
    pub events: Vec<TracedEvent>,
    /// The SHA-256 of the state after the last event, as [`state_sha256`] returns it.
    pub end_sha256: Name,
}

impl Trace {
    /// Creates an empty trace of a new node, with at most [`MAX_TRACE_BYTES`].
    pub fn new(config: NodeConfig) -> Self {
        Self::with_max_bytes(config, MAX_TRACE_BYTES)
    }

    /// Creates an empty trace of a new node, with at most about `max_bytes` of events.
    pub fn with_max_bytes(config: NodeConfig, max_bytes: usize) -> Self {
        Self {
            config,
            max_bytes,
            older: None,
            newer: Segment::default(),
        }
    }

    /// Adds an event that `node` is about to handle at the time `at`.
    pub fn push(&mut self, at: Millis, event: &Event, node: &Node) {
        let bytes = event_bytes(event);
        if self.newer.bytes + bytes > self.max_bytes / 2 && !self.newer.events.is_empty() {
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

    /// Returns the estimated memory of the events in bytes.
    pub fn bytes(&self) -> usize {
        self.newer.bytes + self.older.as_ref().map_or(0, |segment| segment.bytes)
    }

    /// Serialises the trace as the JSON of a [`TraceFile`]; `node` is the state after the last
    /// event.
    ///
    /// # Errors
    ///
    /// Returns the error of the JSON encoder.
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

/// Returns the SHA-256 of a state as JSON, by which a replay checks that it reached the same state.
///
/// # Errors
///
/// Returns the error of the JSON encoder.
pub fn state_sha256(node: &Node) -> Result<Name, serde_json::Error> {
    Ok(sha256(&serde_json::to_string(node)?))
}

/// Returns the estimated memory of an event in bytes. Names are shared between events and count as
/// nothing.
fn event_bytes(event: &Event) -> usize {
    let held = match event {
        Event::LogRead { page, .. } => {
            let payloads = page.records.iter().map(|record| record.payload.len());
            payloads.sum::<usize>() + page.records.len() * SMALL_ALLOCATION_BYTES
        }
        Event::PeerAnswered { reply, .. } => reply_bytes(reply),
        Event::HostsListed { list } => (list.upstreams.len() + list.hosts.len()) * LIST_ENTRY_BYTES,
        Event::EngineReported { report, .. } => report
            .as_ref()
            .map_or(0, |report| report.copies.len() * LIST_ENTRY_BYTES),
        Event::AttemptEnded {
            outcome: AttemptOutcome::OperationAnswered(answer),
            ..
        } => answer.body.len(),
        Event::EditAsked { edit, .. } => edit.changes.len() * LIST_ENTRY_BYTES,
        Event::RequestArrived { head } => head.prefix_hashes.len() * 8 + 4 * SMALL_ALLOCATION_BYTES,
        _ => 0,
    };
    size_of::<TracedEvent>() + held
}

fn reply_bytes(reply: &PeerReply) -> usize {
    match reply {
        PeerReply::Records { records, .. } => {
            let payloads = records.iter().map(|record| record.payload.len());
            payloads.sum::<usize>() + records.len() * SMALL_ALLOCATION_BYTES
        }
        PeerReply::Operation {
            state: OperationState::Answered(answer),
            ..
        } => answer.body.len(),
        _ => SMALL_ALLOCATION_BYTES,
    }
}
