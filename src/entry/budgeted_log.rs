//! The log of an entry host: JSON lines on standard output, bounded in volume, never waited for.
//!
//! Each kind of event has a budget of lines a second, so that a flood of one kind leaves room for the
//! others. Lines go through a bounded queue to a thread of their own; when nobody reads standard output,
//! lines are dropped and counted, and requests go on.

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

/// The target of the lines.
pub const TARGET: &str = "mangovale::entry";
const APPENDER: &str = "entry";
/// Lines of one kind in one second: some three times the requests of a busy host.
const LINES_PER_SECOND: u32 = 120;
/// Lines that wait for the thread that writes them: about 100 KiB.
const QUEUE_LINES: usize = 256;
/// The stack of the writing thread; it only copies lines.
const WRITER_STACK_BYTES: usize = 64 << 10;

static STATE: OnceLock<LogState> = OnceLock::new();

struct LogState {
    clock: Clock,
    budgets: Mutex<HashMap<u16, (u64, u32)>>,
    dropped: AtomicU64,
}

/// Starts the log.
///
/// # Errors
///
/// Returns why it cannot be set up.
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

/// Tells whether one more line of this kind may be written now; a line that may not is counted.
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
    let admitted = *used <= LINES_PER_SECOND;
    if !admitted {
        state.dropped.fetch_add(1, Ordering::Relaxed);
    }
    admitted
}

/// Returns the present time for a line.
pub fn now() -> Millis {
    STATE.get().map_or(Millis::ZERO, |state| state.clock.now())
}

/// Returns how many lines were dropped since the start.
pub fn dropped() -> u64 {
    STATE
        .get()
        .map_or(0, |state| state.dropped.load(Ordering::Relaxed))
}

/// Starts the thread that writes lines, and returns the queue to it.
fn spawn_writer(out: impl Write + Send + 'static) -> std::io::Result<SyncSender<String>> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&queue, out))?;
    Ok(lines)
}

/// Puts a line into the queue; false when it is full and the line is dropped.
fn push(lines: &SyncSender<String>, text: String) -> bool {
    !matches!(lines.try_send(text), Err(TrySendError::Full(_)))
}

fn write_lines(queue: &Receiver<String>, mut out: impl Write) {
    while let Ok(mut text) = queue.recv() {
        text.push('\n');
        // Nobody is left to be told when standard output fails; the lines go on being drained.
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
