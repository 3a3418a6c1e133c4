//! The gate between socket tasks and the event loop.
//!
//! Tasks send events in; effects come back to the task that waits for them. Both ways are bounded.

use crate::attempt::message::{Attempt, RequestId};
use crate::daemon::event::Event;
use crate::idempotency::message::KeptAnswer;
use crate::membership::entry::EntryAnswer;
use crate::membership::message::PeerReply;
use crate::prelude::*;
use crate::table::pending_edits::{CallId, EditResult};
use smol::channel::{Receiver, Sender, bounded};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Most events waiting for the loop.
const MAX_QUEUED_EVENTS: usize = 8_192;
/// Most instructions waiting for one request's task.
const MAX_INSTRUCTIONS: usize = 4;

/// What the decisions tell a request's task.
#[derive(Clone, Debug)]
pub enum Instruction {
    /// Begin an attempt.
    Begin(Attempt),
    /// Give the kept answer of the request's operation.
    Answer(KeptAnswer),
    /// Give the final answer.
    Refuse(Refusal),
}

/// A question that the loop answers from its state.
#[derive(Debug)]
pub enum Query {
    /// The state dump.
    Dump(Sender<String>),
    /// The recorded inputs.
    Trace(Sender<String>),
    /// The table.
    Table(Sender<String>),
    /// The hosts and upstreams.
    Hosts(Sender<String>),
    /// The copies.
    Placements(Sender<String>),
    /// Whether the host serves.
    Health(Sender<String>),
}

/// What reaches the loop.
#[derive(Debug)]
pub enum Input {
    /// Something happened.
    Event(Event),
    /// Something is asked.
    Query(Query),
}

type Waiters<K, V> = Mutex<HashMap<K, Sender<V>>>;

/// The gate.
#[derive(Debug)]
pub struct Gate {
    inputs: Sender<Input>,
    next_id: AtomicU64,
    requests: Waiters<RequestId, Instruction>,
    entries: Waiters<CallId, Result<EntryAnswer, Refusal>>,
    edits: Waiters<CallId, EditResult>,
    peers: Waiters<CallId, PeerReply>,
}

impl Gate {
    /// Makes a gate and the receiver of its inputs.
    pub fn new() -> (Arc<Self>, Receiver<Input>) {
        let (inputs, receiver) = bounded(MAX_QUEUED_EVENTS);
        let gate = Self {
            inputs,
            next_id: AtomicU64::new(1),
            requests: Mutex::default(),
            entries: Mutex::default(),
            edits: Mutex::default(),
            peers: Mutex::default(),
        };
        (Arc::new(gate), receiver)
    }

    /// Sends an event to the loop, waiting while the loop is behind.
    pub async fn send(&self, event: Event) {
        // The loop ends only with the process.
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Asks the loop something about its state.
    pub async fn query(&self, make: impl FnOnce(Sender<String>) -> Query) -> Option<String> {
        let (answer, receiver) = bounded(1);
        self.inputs.send(Input::Query(make(answer))).await.ok()?;
        receiver.recv().await.ok()
    }

    /// Opens a request: its number and its instructions.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let id = RequestId(self.next());
        let (sender, instructions) = bounded(MAX_INSTRUCTIONS);
        lock(&self.requests).insert(id, sender);
        OpenRequest {
            id,
            instructions,
            gate: self.clone(),
        }
    }

    /// Asks which hosts to use.
    pub async fn ask_entry(&self, key_sha256: Name, name: Name) -> Result<EntryAnswer, Refusal> {
        let call = CallId(self.next());
        let event = Event::EntryAsked {
            call,
            key_sha256,
            name,
        };
        self.call(&self.entries, call, event)
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Submits an operator's edit.
    pub async fn ask_edit(&self, edit: crate::table::message::Edit) -> EditResult {
        let call = CallId(self.next());
        let event = Event::EditAsked { call, edit };
        self.call(&self.edits, call, event)
            .await
            .unwrap_or_else(|| Err(stopped()))
    }

    /// Passes on a peer's call.
    pub async fn ask_for_peer(
        &self,
        request: crate::membership::message::PeerRequest,
    ) -> Option<PeerReply> {
        let call = CallId(self.next());
        self.call(&self.peers, call, Event::PeerAsked { call, request })
            .await
    }

    async fn call<V>(&self, waiters: &Waiters<CallId, V>, call: CallId, event: Event) -> Option<V> {
        let (sender, receiver) = bounded(1);
        lock(waiters).insert(call, sender);
        self.send(event).await;
        let answer = receiver.recv().await.ok();
        lock(waiters).remove(&call);
        answer
    }

    /// Gives a request's task its instruction.
    pub fn instruct(&self, request: RequestId, instruction: Instruction) {
        let sender = lock(&self.requests).get(&request).cloned();
        if let Some(sender) = sender {
            let _ = sender.try_send(instruction);
        }
    }

    /// Answers a caller that asked which hosts to use.
    pub fn answer_entry(&self, call: CallId, result: Result<EntryAnswer, Refusal>) {
        answer(&self.entries, call, result);
    }

    /// Answers an operator's edit.
    pub fn answer_edit(&self, call: CallId, result: EditResult) {
        answer(&self.edits, call, result);
    }

    /// Answers a peer.
    pub fn answer_peer(&self, call: CallId, reply: PeerReply) {
        answer(&self.peers, call, reply);
    }

    fn next(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// A request that a task holds open; dropping it closes it at the gate.
#[derive(Debug)]
pub struct OpenRequest {
    /// The request.
    pub id: RequestId,
    /// What the decisions tell its task.
    pub instructions: Receiver<Instruction>,
    gate: Arc<Gate>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.gate.requests).remove(&self.id);
        // The loop passes over requests that have ended already.
        let (gate, request) = (self.gate.clone(), self.id);
        smol::spawn(async move { gate.send(Event::CallerGone { request }).await }).detach();
    }
}

fn answer<V>(waiters: &Waiters<CallId, V>, call: CallId, value: V) {
    if let Some(sender) = lock(waiters).remove(&call) {
        let _ = sender.try_send(value);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn stopped() -> Refusal {
    Refusal::new(ErrorKind::Stopping, "this host has stopped")
}
