//! The command `send`, which sends one request to one host after another until it is answered or
//! may have run.

use crate::cli::call::ErrorBody;
use crate::cli::exit::{AnswerLostSnafu, CallSnafu, CliError, Exit};
use crate::cli::options::SendOptions;
use crate::cli::render::{print, print_line};
use crate::cli::request::{Request, RequestKind};
use crate::cli::site::http_url;
use crate::edge::http::{CallError, classify_error, client, with_timeout};
use crate::error::{ErrorKind, Ran};
use crate::membership::entry::EntryAnswer;
use crate::prelude::*;
use serde_json::{Value, json};
use smol::io::{AsyncBufReadExt, BufReader};
use smol::stream::StreamExt;
use snafu::ResultExt;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use trillium_client::{Client, Conn};

const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The most hosts that one command tries, those from refusals included.
const MAX_HOSTS: usize = 16;
const STREAM_END: &str = "[DONE]";

/// Sends the request to the first host that accepts it, and prints the answer.
///
/// # Errors
///
/// Returns which option is wrong, why no host accepted the request, or why its answer is
/// incomplete.
pub async fn send(options: &SendOptions) -> Result<Exit, CliError> {
    let request = Request::new(options)?;
    let client = client();
    let mut hosts = HostQueue::new(&options.host)?;
    if options.entry {
        let answer = query_entry_hosts(&client, &request, &hosts).await?;
        hosts = HostQueue::from_entry(&answer);
    }
    let sender = RequestSender {
        client,
        request,
        json: options.json,
        started_at: Instant::now(),
    };
    let mut last_error = missing_host_error();
    while let Some(url) = hosts.next() {
        match sender.try_host(&url).await {
            Err(error) if can_try_another_host(&error) => {
                hosts.add_suggested(&error);
                if hosts.is_empty() {
                    return Err(error);
                }
                eprintln!("mangovale: {error}; nothing was run, trying the next host");
                last_error = error;
            }
            outcome => return outcome,
        }
    }
    Err(last_error)
}

/// The hosts to try, each at most once.
struct HostQueue {
    waiting: VecDeque<String>,
    /// All hosts that were ever added.
    seen: IndexSet<String>,
}

impl HostQueue {
    fn new(given: &[String]) -> Result<Self, CliError> {
        let mut hosts = Self::empty();
        for host in given {
            hosts.add(http_url("--host", host)?);
        }
        if hosts.is_empty() {
            return Err(missing_host_error());
        }
        Ok(hosts)
    }

    fn from_entry(answer: &EntryAnswer) -> Self {
        let mut hosts = Self::empty();
        hosts.add_addresses(&answer.hosts);
        hosts
    }

    fn empty() -> Self {
        Self {
            waiting: VecDeque::new(),
            seen: IndexSet::new(),
        }
    }

    /// Adds the hosts that a refusal suggests.
    fn add_suggested(&mut self, error: &CliError) {
        if let CliError::Refused { fields } = error {
            self.add_addresses(&fields.try_hosts);
        }
    }

    /// Adds hosts that an answer names. A text that is no address is left out.
    fn add_addresses(&mut self, addresses: &[Name]) {
        for address in addresses {
            match http_url("address", &format!("http://{address}")) {
                Ok(url) => self.add(url),
                Err(error) => eprintln!("mangovale: an answer names a host, but {error}"),
            }
        }
    }

    fn add(&mut self, url: String) {
        if self.seen.len() < MAX_HOSTS && self.seen.insert(url.clone()) {
            self.waiting.push_back(url);
        }
    }

    fn next(&mut self) -> Option<String> {
        self.waiting.pop_front()
    }

    fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

fn missing_host_error() -> CliError {
    CliError::Option {
        option: "--host",
        why: "give at least one host".to_string(),
    }
}

/// Returns whether the request certainly did not run at this host and another one may accept it.
fn can_try_another_host(error: &CliError) -> bool {
    match error {
        CliError::Call { source, .. } => matches!(source, CallError::NotConnected { .. }),
        CliError::Refused { fields } => {
            let kinds = [ErrorKind::CutOff, ErrorKind::Starting, ErrorKind::Stopping];
            let this_host_only = kinds.iter().any(|kind| kind.name() == fields.kind);
            fields.ran == Ran::NotRun && (this_host_only || !fields.try_hosts.is_empty())
        }
        _ => false,
    }
}

/// Queries one host after another for the hosts to use, until one names at least one.
async fn query_entry_hosts(
    client: &Client,
    request: &Request,
    hosts: &HostQueue,
) -> Result<EntryAnswer, CliError> {
    let mut last_error = missing_host_error();
    for url in &hosts.seen {
        match query_entry_host(client, request, url).await {
            Ok(answer) if !answer.hosts.is_empty() => return Ok(answer),
            Ok(_) => {
                let message = "no host takes requests now";
                last_error = Refusal::new(ErrorKind::CutOff, message).into();
            }
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn query_entry_host(
    client: &Client,
    request: &Request,
    url: &str,
) -> Result<EntryAnswer, CliError> {
    let querying = async {
        let conn = request.build_entry(client, url).await;
        let mut conn = conn
            .map_err(|error| classify_error(&error))
            .context(CallSnafu { url })?;
        if !is_success(&conn) {
            return Err(refusal(&mut conn).await);
        }
        let text = read_text(&mut conn).await.context(CallSnafu { url })?;
        let malformed = |error: serde_json::Error| CallError::Malformed {
            why: error.to_string(),
        };
        serde_json::from_str(&text)
            .map_err(malformed)
            .context(CallSnafu { url })
    };
    let limit = ENTRY_TIMEOUT;
    let timed_out = Err(CallError::TimedOut { limit }).context(CallSnafu { url });
    with_timeout(limit, querying).await.unwrap_or(timed_out)
}

/// Sends one request to hosts and reads their answers.
struct RequestSender {
    client: Client,
    request: Request,
    json: bool,
    started_at: Instant,
}

/// A whole answer, or the part of a stream that was read so far.
struct Received {
    status: u16,
    /// The time from the start of the command until the head of the answer was read.
    first_byte_ms: u128,
    /// The number of chunks of a streamed answer; 0 for a plain service.
    tokens: u64,
    text: String,
}

impl RequestSender {
    async fn try_host(&self, url: &str) -> Result<Exit, CliError> {
        let conn = self.request.build(&self.client, url).await;
        let mut conn = match conn.map_err(|error| classify_error(&error)) {
            Ok(conn) => conn,
            Err(source @ CallError::NotConnected { .. }) => {
                return Err(source).context(CallSnafu { url });
            }
            Err(source) => return Err(source).context(AnswerLostSnafu { url }),
        };
        let first_byte_ms = self.started_at.elapsed().as_millis();
        let received = match self.request.kind {
            RequestKind::Chat if is_success(&conn) => {
                self.read_stream(conn, url, first_byte_ms).await?
            }
            RequestKind::Chat => return Err(refusal(&mut conn).await),
            RequestKind::Service => self.read_answer(conn, url, first_byte_ms).await?,
        };
        self.report(url, &received)
    }

    async fn read_answer(
        &self,
        mut conn: Conn,
        url: &str,
        first_byte_ms: u128,
    ) -> Result<Received, CliError> {
        let status = status(&conn);
        let text = read_text(&mut conn)
            .await
            .context(AnswerLostSnafu { url })?;
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&text) {
            return Err(body.into());
        }
        if !self.json {
            print_line(&text)?;
        }
        Ok(Received {
            status,
            first_byte_ms,
            tokens: 0,
            text,
        })
    }

    async fn read_stream(
        &self,
        mut conn: Conn,
        url: &str,
        first_byte_ms: u128,
    ) -> Result<Received, CliError> {
        let mut received = Received {
            status: status(&conn),
            first_byte_ms,
            tokens: 0,
            text: String::new(),
        };
        let body = conn
            .take_response_body()
            .ok_or_else(|| broken_answer("no body"));
        let mut lines = BufReader::new(body.context(AnswerLostSnafu { url })?).lines();
        while let Some(line) = lines.next().await {
            let line = line.map_err(|error| broken_answer(&error.to_string()));
            let line = line.context(AnswerLostSnafu { url })?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == STREAM_END {
                return Ok(received);
            }
            if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
                return Err(error.into());
            }
            self.add_chunk(data, &mut received)?;
        }
        Err(broken_answer("the stream ended without [DONE]")).context(AnswerLostSnafu { url })
    }

    /// Counts a chunk of the stream, and prints or keeps its text.
    fn add_chunk(&self, data: &str, received: &mut Received) -> Result<(), CliError> {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        received.tokens += 1;
        let token = chunk["choices"][0]["delta"]["content"].as_str();
        let Some(token) = token else {
            return Ok(());
        };
        received.text.push_str(token);
        if self.json { Ok(()) } else { print(token) }
    }

    fn report(&self, url: &str, received: &Received) -> Result<Exit, CliError> {
        let total_ms = self.started_at.elapsed().as_millis();
        let first_byte_ms = received.first_byte_ms;
        if self.json {
            let summary = json!({
                "host": url,
                "status": received.status,
                "first_byte_ms": first_byte_ms as u64,
                "total_ms": total_ms as u64,
                "tokens": received.tokens,
                "text": received.text,
            });
            print_line(&summary.to_string())?;
        } else if self.request.kind == RequestKind::Chat {
            print_line("")?;
            let tokens = received.tokens;
            eprintln!(
                "[{url}: first byte after {first_byte_ms} ms, {tokens} tokens in {total_ms} ms]"
            );
        } else {
            eprintln!("[{url}: status {} after {total_ms} ms]", received.status);
        }
        if (200..300).contains(&received.status) {
            return Ok(Exit::Done);
        }
        Ok(Exit::ErrorStatus)
    }
}

/// Reads the error from an answer with an error status.
async fn refusal(conn: &mut Conn) -> CliError {
    let status = status(conn);
    let text = read_text(conn).await.unwrap_or_default();
    match serde_json::from_str::<ErrorBody>(&text) {
        Ok(body) => body.into(),
        Err(_) => {
            let message = format!("an answer with status {status} that is not mangovale's: {text}");
            Refusal::new(ErrorKind::Internal, message).into()
        }
    }
}

async fn read_text(conn: &mut Conn) -> Result<String, CallError> {
    let body = conn.response_body();
    let text = body.read_string().await;
    text.map_err(|error| classify_error(&error))
}

fn status(conn: &Conn) -> u16 {
    conn.status().map_or(0, |status| status as u16)
}

fn is_success(conn: &Conn) -> bool {
    conn.status().is_some_and(|status| status.is_success())
}

fn broken_answer(why: &str) -> CallError {
    CallError::Broken {
        why: why.to_string(),
    }
}
