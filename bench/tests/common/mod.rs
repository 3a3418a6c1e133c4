//! Runs the tool against a site.
#![allow(dead_code, reason = "each test program uses a part of it")]

use mangovale_bench::site::Site;
use serde_json::Value;
use std::fs::write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// What a run of the tool gave.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub errors: String,
}

impl Run {
    /// Decodes the output.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Checks the exit code.
    #[track_caller]
    pub fn exits_with(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }

    /// Checks that the errors hold a text.
    #[track_caller]
    pub fn says(self, text: &str) -> Self {
        assert!(self.errors.contains(text), "no {text:?} in {self:?}");
        self
    }

    /// Checks that the output holds a text.
    #[track_caller]
    pub fn prints(self, text: &str) -> Self {
        assert!(self.out.contains(text), "no {text:?} in {self:?}");
        self
    }
}

/// Returns the path of a file in the site's directory after writing it.
pub fn file(site: &Site, name: &str, text: &str) -> String {
    let path = site.directory().join(name);
    write(&path, text).expect("a file can be written");
    path.display().to_string()
}

/// Runs the tool as an operator of the site at one of its hosts.
pub fn tool(site: &Site, host: usize, arguments: &[&str]) -> Run {
    let token_file = file(site, "operator.token", site.token());
    let url = format!("http://{}", site.hosts[host].operator);
    let mut command = Command::new(binary("mangovale"));
    command
        .args(arguments)
        .env("MANGOVALE_SITE", url)
        .env("MANGOVALE_TOKEN_FILE", token_file);
    run(command)
}

/// Runs a command to its end.
pub fn run(mut command: Command) -> Run {
    let output = command.output().expect("the program can be started");
    Run {
        code: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the path of a binary of this workspace.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("this program has a path");
    let deps = test.parent().expect("a directory");
    deps.parent().unwrap_or(Path::new(".")).join(name)
}
