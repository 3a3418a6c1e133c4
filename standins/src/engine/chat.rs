//! Chat requests and their answers, streamed or whole.

use std::sync::Arc;

use futures_lite::stream;
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::engine::batch::BatchPlace;
use crate::engine::prefix_cache::fnv_1a;
use crate::engine::run::{Digest, HeldCopy, ReadStep, Run, RunReader, RunTask, Token, Usage};
use crate::error::Refusal;
use crate::http::{Answer, Request};

const REQUEST_HEADER: &str = "x-request-id";
const RESUME_REQUEST_HEADER: &str = "x-resume-request";
const RESUME_FROM_HEADER: &str = "x-resume-from";
/// How many tokens an answer has unless the request says so.
const DEFAULT_TOKENS: u32 = 16;
/// How many tokens an answer has at most.
const MAX_TOKENS: u32 = 8192;
/// The longest request identity.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// The exit code of an engine that a prompt ends, as of a process that aborted.
const CRASH_CODE: i32 = 134;
/// Ends a whole event stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The body of a chat request; fields of the form that play no role here are left out.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: Arc<str>,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    /// A lower value leaves the queue earlier.
    #[serde(default)]
    priority: i64,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

impl Content {
    fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        }
    }
}

/// The prompt of a request.
#[derive(Debug)]
pub struct Prompt {
    /// All messages, one after the other.
    pub text: String,
    /// The digest of the last message.
    pub digest: Digest,
}

impl Prompt {
    fn new(messages: Vec<Message>) -> Result<Self, Refusal> {
        let mut text = String::new();
        let mut digest = None;
        for message in messages {
            let content = message.content.into_text();
            digest = Some(Digest(fnv_1a(content.as_bytes())));
            text.extend([message.role.as_str(), "\n", content.as_str(), "\n"]);
        }
        let digest = digest.ok_or_else(|| Refusal::bad_request("`messages` is empty"))?;
        Ok(Self { text, digest })
    }
}

/// The reason that ends each whole answer.
const FINISH_REASON: &str = "stop";

/// One streamed chunk; the last one has the reason, the digest and the usage.
#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    index: u32,
    choices: [ChunkChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    finish_reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<Digest>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

/// A whole answer.
#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice; 1],
    finish_reason: &'static str,
    digest: Digest,
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    message: AnswerMessage,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct AnswerMessage {
    role: &'static str,
    content: String,
}

/// The last event of a stream that was stopped.
#[derive(Serialize)]
struct StreamError<'a> {
    id: &'a str,
    error: &'static str,
}

/// Runs or resumes a chat request.
///
/// # Errors
///
/// Refuses malformed requests and those that cannot be run; nothing was run then.
pub async fn complete(engine: &Arc<Engine>, request: &Request) -> Result<Answer, Refusal> {
    let chat: ChatRequest = request.json()?;
    let is_streamed = chat.stream;
    let reader = match request.header(RESUME_REQUEST_HEADER) {
        Some(request_id) => resume(engine, request, request_id)?,
        None => start(engine, request, chat)?.reader(0)?,
    };
    match is_streamed {
        true => Ok(stream_answer(reader)),
        false => whole_answer(reader).await,
    }
}

fn resume(engine: &Engine, request: &Request, request_id: &str) -> Result<RunReader, Refusal> {
    let from = request.parsed_header(RESUME_FROM_HEADER)?.unwrap_or(0);
    let run = engine.held_runs().find(request_id).ok_or(Refusal::Gone)?;
    run.reader(from)
}

fn start(engine: &Arc<Engine>, request: &Request, chat: ChatRequest) -> Result<Arc<Run>, Refusal> {
    engine.refuse_if_leaving()?;
    let max_tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        let detail = format!("`max_tokens` must lie in 1..={MAX_TOKENS}");
        return Err(Refusal::bad_request(detail));
    }
    let request_id = request_id(engine, request)?;
    let prompt = Prompt::new(chat.messages)?;
    let copy = HeldCopy::take(engine, &chat.model)?;
    let place = BatchPlace::enter(engine, chat.priority)?;
    if let Some(text) = engine.crash_on()
        && prompt.text.contains(text)
    {
        std::process::exit(CRASH_CODE);
    }
    let run = Arc::new(Run::new(request_id, chat.model, &prompt, max_tokens));
    engine.held_runs().hold(&run)?;
    let task = RunTask {
        run: Arc::clone(&run),
        place,
        copy,
        prompt,
    };
    task.start(engine);
    Ok(run)
}

fn request_id(engine: &Engine, request: &Request) -> Result<Arc<str>, Refusal> {
    match request.header(REQUEST_HEADER) {
        None => Ok(engine.held_runs().local_id()),
        Some(id) if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES => {
            Err(Refusal::bad_request("bad request identity"))
        }
        Some(id) => Ok(id.into()),
    }
}

async fn whole_answer(mut reader: RunReader) -> Result<Answer, Refusal> {
    let mut content = String::new();
    loop {
        match reader.next().await {
            ReadStep::Token(token) => content += &token.text,
            ReadStep::Stopped => return Err(Refusal::Cancelled),
            ReadStep::End => return Ok(completion(reader.run(), content)),
        }
    }
}

fn completion(run: &Run, content: String) -> Answer {
    let message = AnswerMessage {
        role: "assistant",
        content,
    };
    Answer::ok(&Completion {
        id: &run.request_id,
        object: "chat.completion",
        model: &run.model,
        choices: [CompletionChoice {
            index: 0,
            message,
            finish_reason: FINISH_REASON,
        }],
        finish_reason: FINISH_REASON,
        digest: run.digest,
        usage: run.usage(),
    })
}

fn stream_answer(reader: RunReader) -> Answer {
    let events = stream::unfold(Some(reader), |reader| async {
        let mut reader = reader?;
        match reader.next().await {
            ReadStep::Token(token) => {
                let event = token_event(reader.run(), &token);
                Some((event, Some(reader)))
            }
            ReadStep::Stopped => Some((stopped_event(reader.run()), None)),
            ReadStep::End => Some((DONE_EVENT.to_vec(), None)),
        }
    });
    Answer::events(Box::pin(events))
}

fn token_event(run: &Run, token: &Token) -> Vec<u8> {
    let finish_reason = token.is_last.then_some(FINISH_REASON);
    event(&Chunk {
        id: &run.request_id,
        object: "chat.completion.chunk",
        model: &run.model,
        index: token.index,
        choices: [ChunkChoice {
            index: 0,
            delta: Delta {
                content: &token.text,
            },
            finish_reason,
        }],
        finish_reason,
        digest: token.is_last.then_some(run.digest),
        usage: token.is_last.then(|| run.usage()),
    })
}

fn stopped_event(run: &Run) -> Vec<u8> {
    event(&StreamError {
        id: &run.request_id,
        error: "cancelled",
    })
}

fn event(message: &impl Serialize) -> Vec<u8> {
    // The messages have string keys only, so that serializing them cannot fail.
    let text = serde_json::to_string(message).unwrap_or_default();
    format!("data: {text}\n\n").into_bytes()
}
