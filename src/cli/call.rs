//! Calls to a host's operator interface, and the error form of all answers.

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

/// The longest answer that is read; a table of 54,000 models takes some 20 MB.
const MAX_ANSWER_BYTES: u64 = 128 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one host's operator interface.
pub struct OperatorClient {
    client: Client,
    site: Site,
}

/// The error form of all answers.
#[derive(Debug, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorFields,
}

/// The fields of an error.
#[derive(Debug, Deserialize)]
pub struct ErrorFields {
    /// The name of the kind; a newer host may have kinds that this release does not know.
    pub kind: String,
    /// What happened.
    pub message: String,
    /// What to do.
    pub advice: String,
    /// Whether anything ran.
    pub ran: Ran,
    /// Whether the same request may succeed later or at another host.
    pub retryable: bool,
    /// When to come back.
    pub retry_after_ms: Option<Millis>,
    /// Other hosts to try.
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
        let line = refusal.kind.answer();
        Self::Refused {
            fields: Box::new(ErrorFields {
                kind: refusal.kind.name().to_string(),
                message: refusal.message,
                advice: line.advice.to_string(),
                ran: refusal.ran,
                retryable: line.retryable,
                retry_after_ms: refusal.retry_after_ms,
                try_hosts: refusal.try_hosts,
            }),
        }
    }
}

impl OperatorClient {
    /// Makes a client of the site that the options or the environment name.
    ///
    /// # Errors
    ///
    /// Returns which of the two is missing or cannot be used.
    pub fn new(site: &Option<String>, token_file: &Option<PathBuf>) -> Result<Self, CliError> {
        Ok(Self {
            client: client(),
            site: Site::resolve(site.as_deref(), token_file.as_deref())?,
        })
    }

    /// Reads a page and decodes it.
    ///
    /// # Errors
    ///
    /// Returns why no page came, the host's refusal, or why it cannot be decoded.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.decode(&self.get(path).await?)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be decoded.
    pub fn decode<T: DeserializeOwned>(&self, text: &str) -> Result<T, CliError> {
        let decoded = serde_json::from_str(text).map_err(|error| CallError::Malformed {
            why: error.to_string(),
        });
        decoded.context(CallSnafu {
            url: &self.site.url,
        })
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Returns why no page came, or the host's refusal.
    pub async fn get(&self, path: &str) -> Result<String, CliError> {
        self.finish(self.build(Method::Get, path)).await
    }

    /// Sends a body.
    ///
    /// # Errors
    ///
    /// Returns why no answer came, or the host's refusal.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<String, CliError> {
        let text = serde_json::to_string(body).unwrap_or_default();
        let conn = self.build(Method::Post, path);
        self.finish(
            conn.with_request_header("content-type", "application/json")
                .with_body(text),
        )
        .await
    }

    fn build(&self, method: Method, path: &str) -> Conn {
        self.client
            .build_conn(method, format!("{}{path}", self.site.url))
            .with_request_header("authorization", format!("Bearer {}", self.site.token))
    }

    async fn finish(&self, conn: Conn) -> Result<String, CliError> {
        let answered = with_timeout(CALL_TIMEOUT, read(conn)).await;
        let answered = answered.unwrap_or(Err(CallError::TimedOut {
            limit: CALL_TIMEOUT,
        }));
        let url = &self.site.url;
        let answer = answered.context(CallSnafu { url })?;
        // A pending edit is refused with a status of success.
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

async fn read(conn: Conn) -> Result<TextAnswer, CallError> {
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
