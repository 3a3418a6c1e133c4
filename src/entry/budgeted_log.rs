//! The log of an entry host: JSON lines on standard output, rate-limited and non-blocking.
//!
//! Each kind of event has a budget of lines a second, so that a flood of one kind leaves room for
//! the others. Lines go through a bounded queue to a writer thread. When standard output is not
//! read, lines are dropped and counted, and requests are not delayed.

use crate::clock::Clock;
use crate::prelude::*;
use log::{LevelFilter, Record as LogRecord};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Logger, Root};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock};

/// The `log` target of the lines.
pub const TARGET: &str = "mangovale::entry";
const APPENDER: &str = "entry";
/// Most lines of one kind in one second: some three times the requests of a busy host.
const MAX_LINES_PER_SECOND: u32 = 120;
/// Most lines that wait for the writer thread: about 100 KiB.
const QUEUE_LINES: usize = 256;
/// The stack of the writer thread, which only copies lines.
const WRITER_STACK_BYTES: usize = 64 << 10;

static STATE: OnceLock<LogState> = OnceLock::new();

struct LogState {
    clock: Clock,
    /// By event number, the present second and how many lines were requested in it so far.
    budgets: Mutex<HashMap<u16, (u64, u32)>>,
    dropped: AtomicU64,
}

/// Starts the writer thread and installs the logger; called once, when the process starts.
///
/// # Errors
///
/// Returns why the thread or the logger cannot be set up.
pub fn start(clock: Clock) -> Result<(), String> {
    let lines = spawn_writer(std::io::stdout()).map_err(|error| error.to_string())?;
    let _ = STATE.set(LogState {
        clock,
        budgets: Mutex::default(),
        dropped: AtomicU64::new(0),
    });
    let appender = Appender::builder().build(APPENDER, Box::new(QueueAppender { lines }));
    let config = Config::builder()
        .appender(appender)
        .logger(Logger::builder().build(TARGET, LevelFilter::Debug))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Error))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config).map_err(|error| error.to_string())?;
    Ok(())
}

/// Tells whether one more line of this kind may be written in the present second, and counts it as
/// written or as dropped.
pub fn admit(event: LogEvent) -> bool {
    let Some(state) = STATE.get() else {
        return true;
    };
    let second = state.clock.now().0 / 1_000;
    let mut budgets = state
        .budgets
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let (budget_second, used) = budgets.entry(event.number()).or_default();
    if *budget_second != second {
        (*budget_second, *used) = (second, 0);
    }
    *used += 1;
    let admitted = *used <= MAX_LINES_PER_SECOND;
    if !admitted {
        state.dropped.fetch_add(1, Ordering::Relaxed);
    }
    admitted
}

/// Returns the present time for a line; zero before the log was started.
pub fn now() -> Millis {
    STATE.get().map_or(Millis::ZERO, |state| state.clock.now())
}

/// Returns how many lines were dropped since the process started, for the metrics.
pub fn dropped() -> u64 {
    STATE
        .get()
        .map_or(0, |state| state.dropped.load(Ordering::Relaxed))
}

/// Starts the writer thread and returns the sending end of its queue.
fn spawn_writer(out: impl Write + Send + 'static) -> std::io::Result<SyncSender<String>> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&queue, out))?;
    Ok(lines)
}

/// Puts a line into the queue. Returns false when the queue is full and the line is dropped.
fn push(lines: &SyncSender<String>, text: String) -> bool {
    !matches!(lines.try_send(text), Err(TrySendError::Full(_)))
}

fn write_lines(queue: &Receiver<String>, mut out: impl Write) {
    while let Ok(mut text) = queue.recv() {
        text.push('\n');
        // A failure of standard output cannot be reported anywhere, and the queue must still be
        // drained.
        let _ = out.write_all(text.as_bytes());
    }
}

#[derive(Debug)]
struct QueueAppender {
    lines: SyncSender<String>,
}

impl Append for QueueAppender {
    fn append(&self, record: &LogRecord<'_>) -> anyhow::Result<()> {
        if !push(&self.lines, record.args().to_string())
            && let Some(state) = STATE.get()
        {
            state.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

#[cfg(test)]
#[path = "tests/budgeted_log.rs"]
mod tests;
