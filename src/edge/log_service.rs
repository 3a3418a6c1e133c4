//! The append-only log over HTTP.

use crate::edge::http::{CallError, JsonAnswer, call_json, client, new_connection_client};
use crate::edge::{BoxFuture, LogService};
use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::driver::{LogCallError, LogPage, MAX_READ_RECORDS};
use std::time::Duration;
use trillium_client::{Client, Method};

/// How long an append may take before its outcome counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a read may take beyond its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The log as the platform's protocol page describes it.
#[derive(Debug)]
pub struct HttpLog {
    client: Client,
    /// For appends, whose outcome would be unknown on a kept connection that the log has closed.
    fresh_client: Client,
    records_url: String,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {}

#[derive(Deserialize)]
#[serde(untagged)]
enum ReadAnswer {
    Page(LogPage),
    Trimmed { oldest_offset: Offset },
}

impl HttpLog {
    /// Makes the client of one stream.
    pub fn new(log_url: &str, stream: &str) -> Self {
        let base = log_url.trim_end_matches('/');
        Self {
            client: client(),
            fresh_client: new_connection_client(),
            records_url: format!("{base}/streams/{stream}/records"),
        }
    }

    async fn read_page(&self, from: Offset, wait_ms: Millis) -> Result<LogPage, LogCallError> {
        let url = format!(
            "{}?from={}&max={MAX_READ_RECORDS}&wait_ms={}",
            self.records_url, from.0, wait_ms.0
        );
        let limit = wait_ms.to_duration() + READ_TIMEOUT;
        let answer = match get_page(&self.client, &url, limit).await {
            // A lost answer or a closed connection is no sign that the log is out of reach.
            Err(CallError::Broken { .. }) => get_page(&self.fresh_client, &url, limit).await,
            other => other,
        };
        let answer = answer.map_err(|_| LogCallError::Refused)?;
        match (answer.status, answer.body) {
            (200, Some(ReadAnswer::Page(page))) => Ok(page),
            (410, Some(ReadAnswer::Trimmed { oldest_offset })) => {
                Err(LogCallError::Trimmed(oldest_offset))
            }
            _ => Err(LogCallError::Refused),
        }
    }

    async fn append_batch(&self, records: Vec<Record>) -> Result<(), LogCallError> {
        let encoded: Result<Vec<String>, _> = records.iter().map(encode).collect();
        let records = encoded.map_err(|_| LogCallError::Refused)?;
        let body = AppendBody { records };
        let url = &self.records_url;
        let answer: Result<JsonAnswer<AppendAnswer>, CallError> = call_json(
            &self.fresh_client,
            Method::Post,
            url,
            Some(&body),
            APPEND_TIMEOUT,
        )
        .await;
        match answer {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) if (400..500).contains(&answer.status) => Err(LogCallError::Refused),
            Err(CallError::NotConnected { .. }) => Err(LogCallError::Refused),
            Ok(_) | Err(_) => Err(LogCallError::Unknown),
        }
    }
}

async fn get_page(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<JsonAnswer<ReadAnswer>, CallError> {
    call_json(client, Method::Get, url, None::<&()>, limit).await
}

impl LogService for HttpLog {
    fn read(&self, from: Offset, wait_ms: Millis) -> BoxFuture<'_, Result<LogPage, LogCallError>> {
        Box::pin(self.read_page(from, wait_ms))
    }

    fn append(&self, records: Vec<Record>) -> BoxFuture<'_, Result<(), LogCallError>> {
        Box::pin(self.append_batch(records))
    }
}
