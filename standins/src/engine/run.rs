//! One chat request that the engine runs, apart from the connections that read it.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use serde::Serialize;

use crate::clock::sleep_ms;
use crate::engine::args::Pace;
use crate::engine::batch::BatchPlace;
use crate::engine::chat::Prompt;
use crate::engine::copies::CopyInUse;
use crate::engine::{Engine, lock};
use crate::error::Refusal;
use crate::notifier::Notifier;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// All tokens were produced.
    Complete,
    /// A caller cancelled it, or nobody read it any more.
    Stopped,
}

/// How far a run has come.
#[derive(Debug)]
struct Progress {
    produced_tokens: u32,
    cached_chars: usize,
    end: Option<RunEnd>,
    readers: u32,
    unread_since: Instant,
}

/// What a request used, told with its last token.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Usage {
    prompt_chars: usize,
    cached_chars: usize,
    completion_tokens: u32,
}

/// One request under way or just ended.
#[derive(Debug)]
pub struct Run {
    /// The identity that the caller gave it.
    pub request_id: Arc<str>,
    /// The model as the caller named it.
    pub model: Arc<str>,
    /// The digest of the last message.
    pub digest: Digest,
    max_tokens: u32,
    prompt_chars: usize,
    progress: Mutex<Progress>,
    changed: Notifier,
}

/// The FNV-1a hash of a message, which also selects the answer's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub u64);

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl Digest {
    /// Returns the text of one token; it depends on the message and the position alone.
    fn token(self, index: u32) -> String {
        let word = self
            .0
            .rotate_left(index % u64::BITS)
            .wrapping_add(u64::from(index));
        format!("{:04x} ", word & 0xffff)
    }
}

/// What a reader of a run meets next.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// One token.
    Token(Token),
    /// The run was stopped before its end.
    Stopped,
    /// The run ended before this position.
    End,
}

/// One token of an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Token {
    /// Its position, counted from 0.
    pub index: u32,
    /// Its text.
    pub text: String,
    /// Whether it is the last one.
    pub is_last: bool,
}

impl Run {
    /// Builds a run that has not started.
    pub fn new(request_id: Arc<str>, model: Arc<str>, prompt: &Prompt, max_tokens: u32) -> Self {
        let progress = Progress {
            produced_tokens: 0,
            cached_chars: 0,
            end: None,
            readers: 0,
            unread_since: Instant::now(),
        };
        Self {
            request_id,
            model,
            digest: prompt.digest,
            max_tokens,
            prompt_chars: prompt.text.len(),
            progress: Mutex::new(progress),
            changed: Notifier::default(),
        }
    }

    /// Returns what the request used so far.
    pub fn usage(&self) -> Usage {
        let progress = self.progress();
        Usage {
            prompt_chars: self.prompt_chars,
            cached_chars: progress.cached_chars,
            completion_tokens: progress.produced_tokens,
        }
    }

    /// Stops the run and reports whether it was still going on.
    pub fn stop(&self) -> bool {
        let stopped = self.end(RunEnd::Stopped);
        self.changed.notify_all();
        stopped
    }

    /// Opens a reader that starts at a token.
    ///
    /// # Errors
    ///
    /// Refuses a position past the end.
    pub fn reader(self: &Arc<Self>, from: u32) -> Result<RunReader, Refusal> {
        if from > self.max_tokens {
            return Err(Refusal::bad_request("the position lies past the end"));
        }
        self.progress().readers += 1;
        self.changed.notify_all();
        Ok(RunReader {
            run: Arc::clone(self),
            next_index: from,
        })
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    fn end(&self, end: RunEnd) -> bool {
        let mut progress = self.progress();
        let was_going_on = progress.end.is_none();
        progress.end.get_or_insert(end);
        was_going_on
    }

    fn add_token(&self) {
        self.progress().produced_tokens += 1;
        self.changed.notify_all();
    }

    /// Waits until the run was stopped or has had no reader for the hold time.
    async fn until_given_up(&self, hold: Duration) {
        loop {
            let changed = self.changed.waiter();
            match self.time_to_give_up(hold) {
                None => changed.wait().await,
                Some(left) if left.is_zero() => return,
                Some(left) => changed.wait_at_most(left).await,
            }
        }
    }

    fn time_to_give_up(&self, hold: Duration) -> Option<Duration> {
        let progress = self.progress();
        if progress.end.is_some() {
            return Some(Duration::ZERO);
        }
        (progress.readers == 0).then(|| hold.saturating_sub(progress.unread_since.elapsed()))
    }
}

/// Reads a run from some token on.
#[derive(Debug)]
pub struct RunReader {
    run: Arc<Run>,
    next_index: u32,
}

impl RunReader {
    /// Returns the run.
    pub fn run(&self) -> &Run {
        &self.run
    }

    /// Waits for the next token or the end.
    pub async fn next(&mut self) -> ReadStep {
        loop {
            let changed = self.run.changed.waiter();
            if let Some(step) = self.step_now() {
                return step;
            }
            changed.wait().await;
        }
    }

    fn step_now(&mut self) -> Option<ReadStep> {
        let progress = self.run.progress();
        if self.next_index < progress.produced_tokens {
            let index = self.next_index;
            self.next_index += 1;
            return Some(ReadStep::Token(Token {
                index,
                text: self.run.digest.token(index),
                is_last: self.next_index == self.run.max_tokens,
            }));
        }
        match progress.end? {
            RunEnd::Complete => Some(ReadStep::End),
            RunEnd::Stopped => Some(ReadStep::Stopped),
        }
    }
}

impl Drop for RunReader {
    fn drop(&mut self) {
        let mut progress = self.run.progress();
        progress.readers -= 1;
        progress.unread_since = Instant::now();
        drop(progress);
        self.run.changed.notify_all();
    }
}

/// A copy that a run keeps from being freed, given back when dropped.
pub struct HeldCopy {
    engine: Arc<Engine>,
    copy: CopyInUse,
}

impl HeldCopy {
    /// Takes the latest ready copy of a model.
    ///
    /// # Errors
    ///
    /// Refuses where the model is not ready.
    pub fn take(engine: &Arc<Engine>, model: &str) -> Result<Self, Refusal> {
        let copy = engine.copies().start_run(model)?;
        Ok(Self {
            engine: Arc::clone(engine),
            copy,
        })
    }
}

impl Drop for HeldCopy {
    fn drop(&mut self) {
        self.engine.copies().finish_run(self.copy.copy_id);
        self.engine.changed.notify_all();
    }
}

/// What a run needs until it ends.
pub struct RunTask {
    /// The run.
    pub run: Arc<Run>,
    /// Its place in the queue or the batch.
    pub place: BatchPlace,
    /// The copy it runs on.
    pub copy: HeldCopy,
    /// Its prompt.
    pub prompt: Prompt,
}

impl RunTask {
    /// Runs to the end, gives everything back and forgets the run after the hold time.
    pub fn start(self, engine: &Arc<Engine>) {
        let engine = Arc::clone(engine);
        let running = async move {
            let hold_ms = engine.settings.hold_ms;
            let run = Arc::clone(&self.run);
            let given_up = run.until_given_up(Duration::from_millis(hold_ms));
            self.generate(&engine).or(given_up).await;
            run.stop();
            sleep_ms(hold_ms).await;
            engine.held_runs().forget(&run);
        };
        smol::spawn(running).detach();
    }

    async fn generate(mut self, engine: &Engine) {
        self.place.wait_for_slot().await;
        engine.runs_started.fetch_add(1, Ordering::SeqCst);
        self.prefill(engine).await;
        for _ in 0..self.run.max_tokens {
            sleep_ms(token_ms(engine)).await;
            self.run.add_token();
        }
        self.run.end(RunEnd::Complete);
    }

    async fn prefill(&self, engine: &Engine) {
        let model_version = &self.copy.copy.model_version;
        let cached_chars = engine
            .prefix_cache()
            .use_prefix(model_version, &self.prompt.text);
        self.run.progress().cached_chars = cached_chars;
        let uncached_chars = self.prompt.text.len() - cached_chars;
        sleep_ms(prefill_ms(engine.settings.pace, uncached_chars)).await;
    }
}

fn prefill_ms(pace: Pace, uncached_chars: usize) -> u64 {
    let prompt_ms = uncached_chars as u64 * pace.prompt_ms_per_1000_chars / 1000;
    pace.first_token_ms + prompt_ms
}

fn token_ms(engine: &Engine) -> u64 {
    let pace = engine.settings.pace;
    let others = u64::from(engine.batch().running().saturating_sub(1));
    let percent = 100 + others * u64::from(pace.batch_slowdown_percent);
    pace.token_ms * percent / 100
}
