//! Calls to a host's operator interface.

use crate::cli::exit::{CallSnafu, CliError, FileSnafu};
use crate::cli::options::Site;
use crate::edge::http::{CallError, call_error, client, within};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::time::Duration;
use trillium_client::{Client, Conn, Method};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one host's operator interface.
#[derive(Debug)]
pub struct OperatorClient {
    client: Client,
    url: String,
    token: String,
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
    /// The kind.
    pub kind: String,
    /// What happened.
    pub message: String,
    /// What to do.
    #[serde(default)]
    pub advice: String,
}

impl From<ErrorBody> for CliError {
    fn from(body: ErrorBody) -> Self {
        let ErrorFields {
            kind,
            message,
            advice,
        } = body.error;
        Self::Refused {
            kind,
            message,
            advice,
        }
    }
}

impl OperatorClient {
    /// Makes a client; the token is read from its file.
    ///
    /// # Errors
    ///
    /// Returns why the token cannot be read.
    pub fn new(site: &Site) -> Result<Self, CliError> {
        let path = &site.token_file;
        let token = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let url = site.url.trim_end_matches('/').to_string();
        Ok(Self {
            client: client(),
            url,
            token: token.trim().to_string(),
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
            .build_conn(method, format!("{}{path}", self.url))
            .with_request_header("authorization", format!("Bearer {}", self.token))
    }

    async fn finish(&self, conn: Conn) -> Result<String, CliError> {
        let answered = within(CALL_TIMEOUT, read(conn)).await;
        let answered = answered.unwrap_or(Err(CallError::TimedOut {
            limit: CALL_TIMEOUT,
        }));
        let answer = answered.context(CallSnafu { url: &self.url })?;
        if (200..300).contains(&answer.status) {
            return Ok(answer.text);
        }
        match serde_json::from_str::<ErrorBody>(&answer.text) {
            Ok(body) => Err(body.into()),
            Err(_) => {
                let why = format!("status {}", answer.status);
                Err(CallError::Malformed { why }).context(CallSnafu { url: &self.url })
            }
        }
    }
}

struct TextAnswer {
    status: u16,
    text: String,
}

async fn read(conn: Conn) -> Result<TextAnswer, CallError> {
    let mut conn = conn.await.map_err(|error| call_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn
        .response_body()
        .read_string()
        .await
        .map_err(|error| call_error(&error))?;
    Ok(TextAnswer { status, text })
}
