//! Runs the binaries of this package as separate processes, each in a temporary directory.
#![allow(dead_code, reason = "each test program uses a part of it")]

use std::fs::write;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

/// Valid settings of a daemon. Tests replace single lines by their numbers.
pub const SETTINGS: &str = r#"name = "entry-1"
data_centre = "here"
caller_listen = "127.0.0.1:7000"
peer_listen = "127.0.0.1:7001"
operator_listen = "127.0.0.1:7002"

[platform]
log_url = "http://127.0.0.1:7100"
hosts_url = "http://127.0.0.1:7101"

[keys]
fleet_certificate = "keys/fleet.pem"
host_certificate = "keys/entry-1.pem"
host_key = "keys/entry-1.key"
operator_token_sha256 = ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]

[timing]
fresh_bound_ms = 2000
pause_ms = 1000
probe_interval_ms = 250
suspect_after_ms = 5000
probes_per_round = 8

[policy]
keep_warm = { rule = "fixed_timeout", idle_ms = 300000 }

[bounds]
body_bytes = 4194304
answer_bytes = 8388608
connections = 4096

[log]
level = "info"
format = "text"
"#;

/// The exit code and the output of a program that has ended.
#[derive(Debug)]
pub struct Run {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl Run {
    /// Checks the exit code.
    #[track_caller]
    pub fn exits_with(self, code: i32) -> Self {
        assert_eq!(self.code, Some(code), "{self:?}");
        self
    }

    /// Checks that standard error contains `text`.
    #[track_caller]
    pub fn prints_error(self, text: &str) -> Self {
        assert!(self.stderr.contains(text), "no {text:?} in {self:?}");
        self
    }

    /// Checks that standard output contains `text`.
    #[track_caller]
    pub fn prints(self, text: &str) -> Self {
        assert!(self.stdout.contains(text), "no {text:?} in {self:?}");
        self
    }
}

/// A temporary directory for a test's files, in which the programs run.
pub struct TestDirectory(TempDir);

impl TestDirectory {
    pub fn new() -> Self {
        Self(TempDir::new().expect("a temporary directory"))
    }

    pub fn path(&self) -> &Path {
        self.0.path()
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path().join(name);
        write(&path, text).expect("a file can be written");
        path
    }

    /// Runs `mangovaled` until it ends.
    pub fn daemon(&self, arguments: &[&str]) -> Run {
        self.run(env!("CARGO_BIN_EXE_mangovaled"), arguments)
    }

    /// Runs `mangovale` until it ends.
    pub fn tool(&self, arguments: &[&str]) -> Run {
        self.run(env!("CARGO_BIN_EXE_mangovale"), arguments)
    }

    fn run(&self, program: &str, arguments: &[&str]) -> Run {
        let output = Command::new(program)
            .args(arguments)
            .current_dir(self.path())
            .env_remove("MANGOVALE_SITE")
            .env_remove("MANGOVALE_TOKEN_FILE")
            .output()
            .expect("the program can be started");
        Run {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}
