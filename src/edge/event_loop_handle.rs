//! Connects the tasks that serve sockets with the event loop.
//!
//! A task sends events to the loop, and receives the loop's instructions or answers for its request
//! or call. The queues in both directions are bounded.

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

/// The most events and queries that wait for the event loop; beyond them, senders wait.
const MAX_QUEUED_INPUTS: usize = 8_192;
/// The most instructions that wait for the task of one request; further ones are dropped.
const MAX_QUEUED_INSTRUCTIONS: usize = 4;

/// An instruction of the event loop to the task of a request.
#[derive(Clone, Debug)]
pub enum Instruction {
    /// Start an attempt at an upstream.
    Begin(Attempt),
    /// Answer the caller with the kept answer of the request's operation.
    Answer(KeptAnswer),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
}

/// A read of the event loop's state. Each variant holds the channel for the answer as text.
#[derive(Debug)]
pub enum Query {
    /// A dump of the state, as JSON.
    Dump(Sender<String>),
    /// The recorded trace of inputs, as the text of a trace file.
    Trace(Sender<String>),
    /// The table, as JSON.
    Table(Sender<String>),
    /// The hosts and upstreams, as JSON.
    Hosts(Sender<String>),
    /// The copies of models, as JSON.
    Placements(Sender<String>),
    /// The state of the host: `serving`, `starting`, `cut_off`, `stopping` or `stopped`.
    Health(Sender<String>),
}

/// An input of the event loop.
#[derive(Debug)]
pub enum Input {
    /// An event to handle.
    Event(Event),
    /// A query to answer.
    Query(Query),
}

type WaitingTasks<K, V> = Mutex<HashMap<K, Sender<V>>>;

/// Handle of the event loop, and the register of the tasks that wait for it.
#[derive(Debug)]
pub struct EventLoopHandle {
    inputs: Sender<Input>,
    next_id: AtomicU64,
    request_tasks: WaitingTasks<RequestId, Instruction>,
    entry_calls: WaitingTasks<CallId, Result<EntryAnswer, Refusal>>,
    edit_calls: WaitingTasks<CallId, EditResult>,
    peer_calls: WaitingTasks<CallId, PeerReply>,
}

impl EventLoopHandle {
    /// Creates a handle and the receiver of its inputs, which the event loop reads.
    pub fn new() -> (Arc<Self>, Receiver<Input>) {
        let (inputs, receiver) = bounded(MAX_QUEUED_INPUTS);
        let event_loop = Self {
            inputs,
            next_id: AtomicU64::new(1),
            request_tasks: Mutex::default(),
            entry_calls: Mutex::default(),
            edit_calls: Mutex::default(),
            peer_calls: Mutex::default(),
        };
        (Arc::new(event_loop), receiver)
    }

    /// Sends an event to the event loop, and waits while the queue is full.
    pub async fn send(&self, event: Event) {
        // The send fails only if the loop has ended, which happens only when the process exits.
        let _ = self.inputs.send(Input::Event(event)).await;
    }

    /// Queries the state of the event loop. Returns `None` if the loop has ended, or the answer
    /// cannot be encoded.
    pub async fn query(&self, make: impl FnOnce(Sender<String>) -> Query) -> Option<String> {
        let (answer, receiver) = bounded(1);
        self.inputs.send(Input::Query(make(answer))).await.ok()?;
        receiver.recv().await.ok()
    }

    /// Registers a new request, with a new id and a queue of instructions.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let id = RequestId(self.allocate_id());
        let (sender, instructions) = bounded(MAX_QUEUED_INSTRUCTIONS);
        lock(&self.request_tasks).insert(id, sender);
        OpenRequest {
            id,
            instructions,
            event_loop: self.clone(),
        }
    }

    /// Asks which hosts a caller should use for the model `name`, and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns the event loop's refusal, or [`ErrorKind::Stopping`] if the loop has ended.
    pub async fn ask_entry(&self, key_sha256: Name, name: Name) -> Result<EntryAnswer, Refusal> {
        let call = CallId(self.allocate_id());
        let event = Event::EntryAsked {
            call,
            key_sha256,
            name,
        };
        self.call(&self.entry_calls, call, event)
            .await
            .unwrap_or_else(|| Err(stopped_refusal()))
    }

    /// Submits an operator's edit of the table, and waits for its result.
    ///
    /// # Errors
    ///
    /// Returns the event loop's refusal, or [`ErrorKind::Stopping`] if the loop has ended.
    pub async fn ask_edit(&self, edit: crate::table::message::Edit) -> EditResult {
        let call = CallId(self.allocate_id());
        let event = Event::EditAsked { call, edit };
        self.call(&self.edit_calls, call, event)
            .await
            .unwrap_or_else(|| Err(stopped_refusal()))
    }

    /// Submits a peer's request, and waits for the reply. Returns `None` if the event loop has
    /// ended.
    pub async fn ask_for_peer(
        &self,
        request: crate::membership::message::PeerRequest,
    ) -> Option<PeerReply> {
        let call = CallId(self.allocate_id());
        self.call(&self.peer_calls, call, Event::PeerAsked { call, request })
            .await
    }

    async fn call<V>(
        &self,
        waiting: &WaitingTasks<CallId, V>,
        call: CallId,
        event: Event,
    ) -> Option<V> {
        let (sender, receiver) = bounded(1);
        lock(waiting).insert(call, sender);
        self.send(event).await;
        let answer = receiver.recv().await.ok();
        lock(waiting).remove(&call);
        answer
    }

    /// Sends an instruction to the task of a request, if the request is still open.
    pub fn send_instruction(&self, request: RequestId, instruction: Instruction) {
        let sender = lock(&self.request_tasks).get(&request).cloned();
        if let Some(sender) = sender {
            let _ = sender.try_send(instruction);
        }
    }

    /// Answers the waiting [`Self::ask_entry`] of this call.
    pub fn answer_entry(&self, call: CallId, result: Result<EntryAnswer, Refusal>) {
        deliver(&self.entry_calls, call, result);
    }

    /// Answers the waiting [`Self::ask_edit`] of this call.
    pub fn answer_edit(&self, call: CallId, result: EditResult) {
        deliver(&self.edit_calls, call, result);
    }

    /// Answers the waiting [`Self::ask_for_peer`] of this call.
    pub fn answer_peer(&self, call: CallId, reply: PeerReply) {
        deliver(&self.peer_calls, call, reply);
    }

    fn allocate_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// A registered request. Dropping it ends the registration and sends [`Event::CallerGone`].
#[derive(Debug)]
pub struct OpenRequest {
    /// The request's id, unique within the process.
    pub id: RequestId,
    /// The event loop's instructions to the request's task.
    pub instructions: Receiver<Instruction>,
    event_loop: Arc<EventLoopHandle>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.event_loop.request_tasks).remove(&self.id);
        // The event loop ignores this event for requests that have already ended.
        let (event_loop, request) = (self.event_loop.clone(), self.id);
        smol::spawn(async move { event_loop.send(Event::CallerGone { request }).await }).detach();
    }
}

fn deliver<V>(waiting: &WaitingTasks<CallId, V>, call: CallId, value: V) {
    if let Some(sender) = lock(waiting).remove(&call) {
        let _ = sender.try_send(value);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn stopped_refusal() -> Refusal {
    Refusal::new(ErrorKind::Stopping, "this host has stopped")
}
