//! HTTP exchanges of the daemon with other systems, on a connection each. Their answers pass the same
//! rules as those that `mangovale-entry` reads.

use crate::edge::http::{CONNECT_TIMEOUT, CallError, with_timeout};
use crate::http1::client::{MAX_HEAD_BYTES, bound_send_buffer};
use crate::http1::head::write_request_head;
use crate::http1::{
    BodyReader, Connection, Headers, ReadError, ResponseHead, Target, write_while_reading,
};
use crate::json;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use std::time::Duration;
use trillium::Method;

/// The longest answer of [`call_json`].
const MAX_CONTROL_ANSWER_BYTES: usize = 16 << 20;
/// Most interim answers before the final one.
const MAX_INTERIM_ANSWERS: u32 = 4;
/// The port of a URL without one.
const DEFAULT_PORT: u16 = 80;

/// A request to another system.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The server, as `host:port` or `host`.
    pub authority: &'a str,
    /// The path and query.
    pub target: &'a Target,
    /// The header lines without `Host`, `Connection` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// The body; empty if there is none.
    pub body: &'a [u8],
}

/// An answer of which the head was read.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: ResponseHead,
    /// The body, still to be read.
    pub body: AnswerBody,
}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    connection: Connection<TcpStream>,
    reader: BodyReader,
}

impl AnswerBody {
    /// Returns the next bytes of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Returns why the body is not complete.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        self.reader.next(&mut self.connection).await
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    ///
    /// Returns why the body is not complete, or that it has more than `max_bytes`.
    pub async fn read_to_end(mut self, max_bytes: usize) -> Result<Vec<u8>, CallError> {
        let mut body = Vec::new();
        while let Some(piece) = self.next().await.map_err(broken)? {
            body.extend_from_slice(&piece);
            if body.len() > max_bytes {
                let why = format!("the answer has more than {max_bytes} bytes");
                return Err(CallError::Malformed { why });
            }
        }
        Ok(body)
    }
}

/// Sends a request on a new connection and reads the head of its answer. On a connection that carried
/// an earlier request, a further answer to that one could not be told from the answer to the next.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn exchange(request: &Request<'_>) -> Result<Answer, CallError> {
    let bytes = request_bytes(request)?;
    let stream = connect(request.authority).await?;
    let mut connection = Connection::to_upstream(stream.clone());
    let is_head_request = request.method == Method::Head;
    let read = read_final_head(&mut connection, is_head_request);
    let (head, written) = write_while_reading(&stream, &bytes, read)
        .await
        .map_err(broken)?;
    let reader = BodyReader::of_answer(head.framing, written);
    let body = AnswerBody { connection, reader };
    Ok(Answer { head, body })
}

async fn read_final_head(
    connection: &mut Connection<TcpStream>,
    is_head_request: bool,
) -> Result<ResponseHead, ReadError> {
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let head = connection
            .read_response_head(MAX_HEAD_BYTES, is_head_request)
            .await?;
        if head.status >= 200 {
            return Ok(head);
        }
    }
    Err(ReadError::NotOwn)
}

async fn connect(authority: &str) -> Result<TcpStream, CallError> {
    let failed = |why: String| CallError::NotConnected { why };
    let has_port = authority
        .rsplit_once(':')
        .is_some_and(|(_, port)| port.parse::<u16>().is_ok());
    let connecting = async {
        match has_port {
            true => TcpStream::connect(authority).await,
            false => TcpStream::connect((authority, DEFAULT_PORT)).await,
        }
    };
    let stream = match with_timeout(CONNECT_TIMEOUT, connecting).await {
        None => {
            let limit_ms = CONNECT_TIMEOUT.as_millis();
            return Err(failed(format!("no connection within {limit_ms} ms")));
        }
        Some(connected) => connected.map_err(|error| failed(error.to_string()))?,
    };
    let set = stream
        .set_nodelay(true)
        .and_then(|()| bound_send_buffer(&stream));
    set.map_err(|error| failed(error.to_string()))?;
    Ok(stream)
}

/// Returns the authority of a URL of the form `http://host:port`, as settings and options give it.
pub fn authority_of(url: &str) -> &str {
    let authority = url.strip_prefix("http://").unwrap_or(url);
    authority.trim_end_matches('/')
}

fn request_bytes(request: &Request<'_>) -> Result<Vec<u8>, CallError> {
    let mut headers = Headers::default();
    headers.push("Host", request.authority);
    headers.push("Connection", "close");
    for (name, value) in &request.headers {
        headers.push(name, value);
    }
    if !request.body.is_empty() || matches!(request.method, Method::Post | Method::Put) {
        headers.push("Content-Length", &request.body.len().to_string());
    }
    let head = write_request_head(request.method.as_str(), request.target.as_str(), &headers);
    let mut bytes = head.map_err(|source| CallError::Invalid { source })?;
    bytes.extend_from_slice(request.body);
    Ok(bytes)
}

fn broken(error: ReadError) -> CallError {
    CallError::Broken {
        why: error.to_string(),
    }
}

/// The answer of [`call_json`].
#[derive(Debug)]
pub struct JsonAnswer<T> {
    /// The HTTP status.
    pub status: u16,
    /// The decoded body, or `None` if it is not JSON of the expected type.
    pub body: Option<T>,
}

/// Makes a call with an optional JSON body, and decodes the answer as JSON, whatever its status.
///
/// # Errors
///
/// Returns the reason if no complete answer arrives within the timeout.
pub async fn call_json<T: DeserializeOwned>(
    method: Method,
    authority: &str,
    target: &Target,
    body: Option<&impl Serialize>,
    limit: Duration,
) -> Result<JsonAnswer<T>, CallError> {
    let mut request = Request {
        method,
        authority,
        target,
        headers: Vec::new(),
        body: &[],
    };
    let text = body.map(serde_json::to_vec).transpose();
    let text = text.map_err(|error| CallError::Malformed {
        why: error.to_string(),
    })?;
    if let Some(text) = &text {
        let content_type = ("Content-Type", "application/json".to_string());
        request.headers.push(content_type);
        request.body = text;
    }
    let call = async {
        let Answer { head, body } = exchange(&request).await?;
        let body = body.read_to_end(MAX_CONTROL_ANSWER_BYTES).await?;
        Ok(JsonAnswer {
            status: head.status,
            body: json::decode(&body).ok(),
        })
    };
    let called = with_timeout(limit, call).await;
    called.unwrap_or(Err(CallError::TimedOut { limit }))
}
