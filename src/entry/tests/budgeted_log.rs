//! A log that nobody reads holds nothing up.

use super::{QUEUE_LINES, push, spawn_writer};
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};

/// Stands for standard output that nobody reads: a write waits until the test lets it go.
struct Unread(Receiver<()>);

impl Write for Unread {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_nobody_reads_are_dropped_and_never_waited_for() {
    let (let_go, unread) = channel();
    let lines = spawn_writer(Unread(unread)).expect("a thread");
    let taken = (0..10 * QUEUE_LINES)
        .filter(|n| push(&lines, format!("line {n}")))
        .count();
    // The queue is full, and the writer may hold one line more.
    assert!(
        (QUEUE_LINES..=QUEUE_LINES + 1).contains(&taken),
        "{taken} lines"
    );
    drop(let_go);
}
