//! Starts stand-ins and calls them.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use futures_lite::AsyncReadExt;
use serde_json::Value;
use trillium::Method;
use trillium_client::Client;

/// How long a condition may take to come true.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long a condition that is not yet true waits to be looked at again.
const POLL_EVERY: Duration = Duration::from_millis(5);

/// What an engine is started with unless a test says otherwise.
const ENGINE_DEFAULTS: [(&str, &str); 7] = [
    ("--name", "engine-1"),
    ("--data-centre", "otaru"),
    ("--memory-bytes", "1000"),
    ("--first-token-ms", "1"),
    ("--token-ms", "1"),
    ("--load-ms", "1"),
    ("--unload-ms", "1"),
];

/// A running stand-in, killed when dropped.
pub struct Process {
    child: Child,
    pub address: String,
}

impl Process {
    /// Starts a stand-in on a free port; `args` are separated by blanks.
    pub fn start(role: &str, args: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mangovale-standins"))
            .args([role, "--listen", "127.0.0.1:0"])
            .args(args.split_whitespace())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the program prints its address");
        let address = line.trim().strip_prefix("listening on ");
        let address = address.expect("the line names the address").to_owned();
        Self { child, address }
    }

    /// Starts an engine with defaults for what the arguments leave out.
    pub fn start_engine(args: &str) -> Self {
        let is_left_out = |(option, _): &&(&str, &str)| !args.split(' ').any(|arg| arg == *option);
        let defaults = ENGINE_DEFAULTS.iter().filter(is_left_out);
        let defaults: String = defaults
            .map(|(option, value)| format!("{option} {value} "))
            .collect();
        Self::start("engine", &(defaults + args))
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns a caller with connections of its own.
    pub fn caller(&self) -> Caller {
        let config = trillium_smol::ClientConfig::default().with_nodelay(true);
        Caller {
            client: Client::new(config).with_timeout(PATIENCE),
            base_url: self.url(),
            headers: Vec::new(),
        }
    }

    /// Gets a path over a new connection.
    pub fn get(&self, path: &str) -> Reply {
        self.caller().get(path)
    }

    /// Posts a body over a new connection.
    pub fn post(&self, path: &str, body: &Value) -> Reply {
        self.caller().post(path, body)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: &Value) {
        let reply = self.post("/admin/faults", faults);
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Asks the process to stop and waits for its end.
    pub fn terminate(mut self) -> ExitStatus {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
        self.child.wait().expect("the process ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The answer to a call.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub not_run: bool,
    pub retry_after: Option<String>,
    pub load: Option<String>,
    pub body: String,
}

impl Reply {
    /// Reads the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Reads the messages of an event stream; `[DONE]` is a text.
    pub fn events(&self) -> Vec<Value> {
        let lines = self.body.lines();
        let events = lines.filter_map(|line| line.strip_prefix("data: "));
        let parse = |event| serde_json::from_str(event).unwrap_or(Value::from(event));
        events.map(parse).collect()
    }

    /// Checks for a refusal that says that nothing was run.
    pub fn assert_refused(&self, status: u16, error: &str) {
        assert_eq!(self.status, status, "{}", self.body);
        assert_eq!(self.json()["error"], error);
        assert!(self.not_run);
    }
}

/// Calls one stand-in over connections that it keeps open.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base_url: String,
    headers: Vec<(&'static str, String)>,
}

impl Caller {
    /// Adds a header field to all calls.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Gives up calls after this time.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.client.set_timeout(timeout);
        self
    }

    /// Gets a path.
    pub fn get(&self, path: &str) -> Reply {
        self.try_call(Method::Get, path, "").expect("an answer")
    }

    /// Deletes a path.
    pub fn delete(&self, path: &str) -> Reply {
        self.try_call(Method::Delete, path, "").expect("an answer")
    }

    /// Posts a body.
    pub fn post(&self, path: &str, body: &Value) -> Reply {
        self.try_post(path, body).expect("an answer")
    }

    /// Posts a body and returns the answer if it came whole.
    pub fn try_post(&self, path: &str, body: &Value) -> Option<Reply> {
        self.try_call(Method::Post, path, &body.to_string())
    }

    /// Calls and returns the answer if it came whole.
    pub fn try_call(&self, method: Method, path: &str, body: &str) -> Option<Reply> {
        let reply = self.call(method, path, body)?;
        reply.whole.then_some(reply.reply)
    }

    /// Posts a body and returns what came of the answer, whole or not.
    pub fn post_partly(&self, path: &str, body: &Value) -> Option<Reply> {
        let received = self.call(Method::Post, path, &body.to_string())?;
        Some(received.reply)
    }

    fn call(&self, method: Method, path: &str, body: &str) -> Option<Received> {
        let url = format!("{}{path}", self.base_url);
        let mut conn = self
            .client
            .build_conn(method, url)
            .with_body(body.to_owned());
        for (name, value) in &self.headers {
            conn = conn.with_request_header(*name, value.clone());
        }
        smol::block_on(async {
            (&mut conn).await.ok()?;
            let headers = conn.response_headers();
            let not_run = headers.get_str("x-mangovale-run") == Some("not_run");
            let retry_after = headers.get_str("retry-after").map(str::to_owned);
            let load = headers.get_str("x-server-load").map(str::to_owned);
            let status = conn.status()? as u16;
            let mut received = Vec::new();
            let read = conn.response_body().read_to_end(&mut received).await;
            let reply = Reply {
                status,
                not_run,
                retry_after,
                load,
                body: String::from_utf8(received).ok()?,
            };
            conn.recycle().await;
            let whole = read.is_ok();
            Some(Received { reply, whole })
        })
    }
}

struct Received {
    reply: Reply,
    whole: bool,
}

/// Waits until a condition is true.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "never came true: {what}");
        std::thread::sleep(POLL_EVERY);
    }
}
