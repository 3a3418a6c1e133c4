//! HTTP client of a host's operator interface, and the JSON form of errors on all interfaces.

use crate::cli::exit::{CallSnafu, CliError};
use crate::cli::site::Site;
use crate::edge::http::{CallError, classify_error, client, with_timeout};
use crate::error::Ran;
use crate::prelude::*;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::path::PathBuf;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};

/// The longest answer body that is read; a table of 54,000 models takes some 20 MB.
const MAX_ANSWER_BYTES: u64 = 128 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP client of one host's operator interface; every call carries the operator's token.
pub struct OperatorClient {
    client: Client,
    site: Site,
}

/// The JSON body of an answer that reports an error, on the caller and the operator interface.
#[derive(Debug, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorFields,
}

/// The fields of an error in an answer.
#[derive(Debug, Deserialize)]
pub struct ErrorFields {
    /// The name of the error kind; a host of a newer release may send a kind that is unknown here.
    pub kind: String,
    /// What went wrong, for people.
    pub message: String,
    /// What to do about it, for people.
    pub advice: String,
    /// Whether the request certainly did not run, or may have run.
    pub ran: Ran,
    /// Whether the same request may succeed later, or at another host.
    pub retryable: bool,
    /// How long to wait before a retry; `None` if the host does not say.
    pub retry_after_ms: Option<Millis>,
    /// The caller addresses of other hosts that may take the request.
    #[serde(default)]
    pub try_hosts: Vec<Name>,
}

impl From<ErrorBody> for CliError {
    fn from(body: ErrorBody) -> Self {
        Self::Refused {
            fields: Box::new(body.error),
        }
    }
}

impl From<Refusal> for CliError {
    fn from(refusal: Refusal) -> Self {
        let defaults = refusal.kind.answer();
        Self::Refused {
            fields: Box::new(ErrorFields {
                kind: refusal.kind.name().to_string(),
                message: refusal.message,
                advice: defaults.advice.to_string(),
                ran: refusal.ran,
                retryable: defaults.retryable,
                retry_after_ms: refusal.retry_after_ms,
                try_hosts: refusal.try_hosts,
            }),
        }
    }
}

impl OperatorClient {
    /// Creates a client for the address and token that the options or the environment give, as
    /// [`Site::resolve`] finds them.
    ///
    /// # Errors
    ///
    /// Returns whether the address or the token file is missing, or why it cannot be used.
    pub fn new(site: &Option<String>, token_file: &Option<PathBuf>) -> Result<Self, CliError> {
        Ok(Self {
            client: client(),
            site: Site::resolve(site.as_deref(), token_file.as_deref())?,
        })
    }

    /// Gets a path and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, the host's refusal, or why the answer cannot be decoded.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.decode(&self.get(path).await?)
    }

    /// Decodes a JSON answer of this host.
    ///
    /// # Errors
    ///
    /// Returns the host's address and why the answer cannot be decoded.
    pub fn decode<T: DeserializeOwned>(&self, text: &str) -> Result<T, CliError> {
        let decoded = serde_json::from_str(text).map_err(|error| CallError::Malformed {
            why: error.to_string(),
        });
        decoded.context(CallSnafu {
            url: &self.site.url,
        })
    }

    /// Gets a path and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, or the host's refusal.
    pub async fn get(&self, path: &str) -> Result<String, CliError> {
        self.send(self.build_request(Method::Get, path)).await
    }

    /// Posts a JSON body to a path and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, or the host's refusal.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<String, CliError> {
        let text = serde_json::to_string(body).unwrap_or_default();
        let conn = self.build_request(Method::Post, path);
        self.send(
            conn.with_request_header("content-type", "application/json")
                .with_body(text),
        )
        .await
    }

    fn build_request(&self, method: Method, path: &str) -> Conn {
        self.client
            .build_conn(method, format!("{}{path}", self.site.url))
            .with_request_header("authorization", format!("Bearer {}", self.site.token))
    }

    async fn send(&self, conn: Conn) -> Result<String, CliError> {
        let outcome = with_timeout(CALL_TIMEOUT, read_answer(conn)).await;
        let outcome = outcome.unwrap_or(Err(CallError::TimedOut {
            limit: CALL_TIMEOUT,
        }));
        let url = &self.site.url;
        let answer = outcome.context(CallSnafu { url })?;
        // The host answers a pending edit with an error body but a status of success, so the body
        // is checked first.
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&answer.text) {
            return Err(body.into());
        }
        if (200..300).contains(&answer.status) {
            return Ok(answer.text);
        }
        let why = format!("status {}", answer.status);
        Err(CallError::Malformed { why }).context(CallSnafu { url })
    }
}

struct TextAnswer {
    status: u16,
    text: String,
}

async fn read_answer(conn: Conn) -> Result<TextAnswer, CallError> {
    let mut conn = conn.await.map_err(|error| classify_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn
        .response_body()
        .with_max_len(MAX_ANSWER_BYTES)
        .read_string()
        .await
        .map_err(|error| classify_error(&error))?;
    Ok(TextAnswer { status, text })
}
