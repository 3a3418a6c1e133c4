//! A process of a site: a stand-in or a daemon, with the faults that a process can have.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a condition is waited for before the wait counts as failed.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// How long to wait before a condition is looked at again.
pub const POLL: Duration = Duration::from_millis(10);

/// A running process with its log file.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log_path: PathBuf,
}

impl Process {
    /// Starts a binary of this workspace, its output in `log_path`.
    ///
    /// # Panics
    ///
    /// Panics when the binary is missing: build the workspace's binaries first.
    pub fn start(binary: &str, arguments: &[String], log_path: &Path) -> Self {
        let path = binary_path(binary);
        let log = File::create(log_path).expect("the log file can be made");
        let errors = log.try_clone().expect("the log file can be shared");
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", path.display()));
        Self {
            child,
            log_path: log_path.to_path_buf(),
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process wrote so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    /// Stops the process's clock and everything in it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end.
    ///
    /// # Panics
    ///
    /// Panics when it does not end in time.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the process to end", || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        });
        status.expect("the process has ended")
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _: Result<(), io::Error> = kill_process(pid, signal).map_err(Into::into);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics when it does not hold within [`WAIT_LIMIT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_LIMIT,
            "waited in vain for {what}"
        );
        sleep(POLL);
    }
}

fn binary_path(binary: &str) -> PathBuf {
    let mut directory = std::env::current_exe().expect("this program has a path");
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    directory.join(binary)
}
