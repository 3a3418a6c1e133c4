//! Client of the platform's append-only log, over HTTP.

use crate::edge::exchange::{JsonAnswer, authority_of, call_json};
use crate::edge::http::CallError;
use crate::edge::{BoxFuture, LogService};
use crate::http1::Target;
use crate::json::{RawRow, decode_row};
use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::driver::{LogCallError, LogPage, MAX_READ_RECORDS};
use crate::shared_log::record::LoggedRecord;
use std::time::Duration;
use trillium::Method;

/// The longest time for an append; after it, the outcome of the append counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time for a read, in addition to the time that the log waits for records.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One stream of the log over HTTP, as `docs/design/platform-protocols.md` specifies it.
#[derive(Debug)]
pub struct HttpLog {
    authority: String,
    records: Target,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {}

/// The fields of both answers to a read: a page, or where the log begins if the records were trimmed.
#[derive(Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    records: Vec<RawRow>,
    next_offset: Option<Offset>,
    end_offset: Option<Offset>,
    oldest_offset: Option<Offset>,
}

/// The fields of a record that place it in the log.
#[derive(Deserialize)]
struct RecordPlace {
    offset: Offset,
    #[serde(default)]
    appended_ms: Millis,
}

impl ReadAnswer {
    /// Returns the page that was read from `from` on; none if the answer is no page.
    fn into_page(self, from: Offset) -> Option<LogPage> {
        let mut records: Vec<LoggedRecord> = Vec::new();
        for row in &self.records {
            let expected = records.last().map_or(from, |before| before.offset.next());
            records.push(read_record(row, expected));
        }
        Some(LogPage {
            records,
            next_offset: self.next_offset?,
            end_offset: self.end_offset?,
            oldest_offset: self.oldest_offset.unwrap_or_default(),
        })
    }
}

/// Decodes a record as the log gives it. One that cannot be decoded keeps its place and has no
/// payload, which every host skips like any other record of no release.
fn read_record(row: &RawRow, expected: Offset) -> LoggedRecord {
    decode_row(row).unwrap_or_else(|_| {
        let place = decode_row::<RecordPlace>(row).ok();
        let place = place.filter(|place| place.offset == expected);
        LoggedRecord {
            offset: expected,
            appended_ms: place.map_or(Millis::ZERO, |place| place.appended_ms),
            payload: "".into(),
        }
    })
}

impl HttpLog {
    /// Creates a client for one stream of the log at `log_url`.
    pub fn new(log_url: &str, stream: &str) -> Self {
        Self {
            authority: authority_of(log_url).to_string(),
            records: Target::new("/streams").segment(stream).segment("records"),
        }
    }

    async fn read_page(&self, from: Offset, wait_ms: Millis) -> Result<LogPage, LogCallError> {
        let records = self.records.clone();
        let target = records
            .number("from", from.0)
            .number("max", MAX_READ_RECORDS as u64)
            .number("wait_ms", wait_ms.0);
        let timeout = wait_ms.to_duration() + READ_TIMEOUT;
        let answer = match self.get_page(&target, timeout).await {
            // Reads again once: a lost answer does not mean that the log cannot be reached.
            Err(CallError::Broken { .. }) => self.get_page(&target, timeout).await,
            other => other,
        };
        let answer = answer.map_err(|_| LogCallError::Refused)?;
        let body = answer.body.ok_or(LogCallError::Refused)?;
        match (answer.status, body.oldest_offset) {
            (200, _) => body.into_page(from).ok_or(LogCallError::Refused),
            (410, Some(oldest)) => Err(LogCallError::Trimmed(oldest)),
            _ => Err(LogCallError::Refused),
        }
    }

    async fn append_batch(&self, records: Vec<Record>) -> Result<(), LogCallError> {
        let encoded: Result<Vec<String>, _> = records.iter().map(encode).collect();
        let records = encoded.map_err(|_| LogCallError::Refused)?;
        let body = AppendBody { records };
        let (authority, target) = (&self.authority, &self.records);
        let answer: Result<JsonAnswer<AppendAnswer>, CallError> =
            call_json(Method::Post, authority, target, Some(&body), APPEND_TIMEOUT).await;
        match answer {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) if (400..500).contains(&answer.status) => Err(LogCallError::Refused),
            Err(CallError::NotConnected { .. } | CallError::Invalid { .. }) => {
                Err(LogCallError::Refused)
            }
            Ok(_) | Err(_) => Err(LogCallError::Unknown),
        }
    }

    async fn get_page(
        &self,
        target: &Target,
        timeout: Duration,
    ) -> Result<JsonAnswer<ReadAnswer>, CallError> {
        call_json(Method::Get, &self.authority, target, None::<&()>, timeout).await
    }
}

impl LogService for HttpLog {
    fn read(&self, from: Offset, wait_ms: Millis) -> BoxFuture<'_, Result<LogPage, LogCallError>> {
        Box::pin(self.read_page(from, wait_ms))
    }

    fn append(&self, records: Vec<Record>) -> BoxFuture<'_, Result<(), LogCallError>> {
        Box::pin(self.append_batch(records))
    }
}
