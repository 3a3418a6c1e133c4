//! A log whose output is not read does not block the process.

use super::{QUEUE_LINES, push, spawn_writer};
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};

/// Stands for standard output that is not read: a write blocks until the test drops the sender.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_dropped_without_blocking_when_the_output_is_not_read() {
    let (unblock, blocked) = channel();
    let lines = spawn_writer(BlockedOutput(blocked)).expect("a thread");
    let queued = (0..10 * QUEUE_LINES)
        .filter(|n| push(&lines, format!("line {n}")))
        .count();
    // The queue is full, and the writer thread may hold one more line.
    assert!(
        (QUEUE_LINES..=QUEUE_LINES + 1).contains(&queued),
        "{queued} lines"
    );
    drop(unblock);
}
