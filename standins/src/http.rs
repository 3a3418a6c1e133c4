//! Requests and answers as the stand-ins see them, apart from the HTTP library.

use std::pin::Pin;
use std::str::FromStr;

use futures_lite::Stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium::{Headers, Method};

use crate::error::Refusal;

/// Marks an answer after which nothing was run.
pub const RUN_HEADER: &str = "x-mangovale-run";
/// The value of [`RUN_HEADER`].
pub const NOT_RUN: &str = "not_run";
/// The answer header by which an upstream says that it is leaving, with the value `1`.
pub const LEAVING_HEADER: &str = "x-mangovale-leaving";
/// The answer header in which an upstream states its load, as [`Load`] formats it.
pub const LOAD_HEADER: &str = "x-server-load";
/// Paths below this prefix steer the stand-in itself and suffer no faults.
pub const ADMIN_PREFIX: &str = "/admin/";
/// The largest request body that is read.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// How long a caller may be told to wait before it repeats a request.
const RETRY_AFTER_S: u64 = 1;

/// The chunks of a streamed answer.
pub type Chunks = Pin<Box<dyn Stream<Item = Vec<u8>> + Send>>;

/// One request, read whole.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query string without the question mark.
    pub query: String,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Reports whether the request steers the stand-in itself.
    pub fn is_admin(&self) -> bool {
        self.path.starts_with(ADMIN_PREFIX)
    }

    /// Splits the path at its slashes.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Returns the text of a header field.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        self.headers.get_str(name)
    }

    /// Parses a header field if it is present.
    ///
    /// # Errors
    ///
    /// Refuses a value that does not parse.
    pub fn parsed_header<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, Refusal> {
        self.header(name).map(|text| parse(name, text)).transpose()
    }

    /// Parses a query parameter if it is present.
    ///
    /// # Errors
    ///
    /// Refuses a value that does not parse.
    pub fn query<T: FromStr>(&self, name: &str) -> Result<Option<T>, Refusal> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, text)| parse(name, text))
            .transpose()
    }

    /// Reads the body as a JSON object.
    ///
    /// # Errors
    ///
    /// Refuses a body that does not parse, with the parser's reason.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        // The parser would take an array for the fields of a message in their order.
        if !self.body.trim_ascii_start().starts_with(b"{") {
            return Err(Refusal::bad_request("the body must be a JSON object"));
        }
        serde_json::from_slice(&self.body).map_err(|error| Refusal::bad_request(error.to_string()))
    }
}

fn parse<T: FromStr>(name: &str, text: &str) -> Result<T, Refusal> {
    text.parse()
        .map_err(|_| Refusal::bad_request(format!("`{name}` has a bad value `{text}`")))
}

/// The body of an answer.
pub enum AnswerBody {
    /// A whole JSON text.
    Json(Vec<u8>),
    /// Server-sent events, made while they are sent.
    Events(Chunks),
}

/// One answer.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: AnswerBody,
    /// Whether the answer says that nothing was run.
    pub not_run: bool,
    /// The seconds for `Retry-After`.
    pub retry_after_s: Option<u64>,
}

impl Answer {
    /// Builds an answer with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        // The message types here have string keys only, so that serializing them cannot fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self {
            status,
            body: AnswerBody::Json(body),
            not_run: false,
            retry_after_s: (status == 429).then_some(RETRY_AFTER_S),
        }
    }

    /// Builds a `200` answer with a JSON body.
    pub fn ok(body: &impl Serialize) -> Self {
        Self::json(200, body)
    }

    /// Builds a `200` answer that streams server-sent events.
    pub fn events(chunks: Chunks) -> Self {
        Self {
            status: 200,
            body: AnswerBody::Events(chunks),
            not_run: false,
            retry_after_s: None,
        }
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        let mut answer = Self::json(refusal.status(), &refusal.body());
        answer.not_run = refusal.not_run();
        if let Refusal::Resting { retry_after_s } = refusal {
            answer.retry_after_s = Some(retry_after_s);
        }
        answer
    }
}

impl From<Result<Answer, Refusal>> for Answer {
    fn from(result: Result<Answer, Refusal>) -> Self {
        result.unwrap_or_else(Self::from)
    }
}

/// The load of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How many requests run.
    pub running: usize,
    /// How many requests wait.
    pub waiting: usize,
    /// How many requests run at once at most.
    pub slots: usize,
    /// How long work takes now, in percent of the usual time.
    pub pace_percent: u32,
}

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            running,
            waiting,
            slots,
            pace_percent,
        } = self;
        write!(f, "{running},{waiting},{slots},{pace_percent}")
    }
}

/// Part of the platform that answers requests.
pub trait StandIn: Send + Sync + 'static {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Refuses what it cannot or must not do; nothing was run then.
    fn answer(&self, request: &Request) -> impl Future<Output = Result<Answer, Refusal>> + Send;

    /// Reports whether the request is given up when its connection closes.
    fn stops_on_disconnect(&self, request: &Request) -> bool {
        request.method == Method::Get
    }

    /// Reports whether the stand-in is leaving, which every answer says then.
    fn is_leaving(&self) -> bool {
        false
    }

    /// Returns the load that every answer states; none if it is not stated.
    fn stated_load(&self) -> Option<Load> {
        None
    }
}
