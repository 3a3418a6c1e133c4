//! The HTTP interface for operators, at an address and with credentials of its own.

use crate::edge::answer::{json_answer, refuse};
use crate::edge::event_loop_handle::{EventLoopHandle, Query};
use crate::edge::request_reader::{bearer_token_sha256, read_body};
use crate::prelude::*;
use crate::table::message::{Change, Edit};
use serde_json::Value;
use smol::channel::Sender;
use trillium::{Conn, Method};

const MAX_EDIT_BYTES: u64 = 1 << 20;

/// Serves the HTTP interface for operators.
#[derive(Debug)]
pub struct OperatorServer {
    /// The handle of the event loop.
    pub event_loop: Arc<EventLoopHandle>,
    /// SHA-256 of each operator's token, as hex digits.
    pub token_sha256: Vec<Name>,
    /// The metrics that `/metrics` returns.
    pub metrics: crate::daemon::metrics::Metrics,
}

impl OperatorServer {
    /// Answers one HTTP request.
    pub async fn handle(self: Arc<Self>, conn: Conn) -> Conn {
        if let Err(refusal) = self.authorise(&conn) {
            return refuse(conn, &refusal, "");
        }
        let path = conn.path().to_string();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/dump") => self.query(conn, Query::Dump).await,
            (Method::Get, "/trace") => self.query(conn, Query::Trace).await,
            (Method::Get, "/table") => self.query(conn, Query::Table).await,
            (Method::Get, "/hosts") => self.query(conn, Query::Hosts).await,
            (Method::Get, "/placements") => self.query(conn, Query::Placements).await,
            (Method::Get, "/metrics") => {
                conn.with_status(200).with_body(self.metrics.text()).halt()
            }
            (Method::Post, "/table/edits") => self.edit(conn).await,
            _ => refuse(conn, &Refusal::new(ErrorKind::NotFound, "no such path"), ""),
        }
    }

    fn authorise(&self, conn: &Conn) -> Result<(), Refusal> {
        let token = bearer_token_sha256(conn)?;
        if self.token_sha256.contains(&token) {
            return Ok(());
        }
        Err(Refusal::new(
            ErrorKind::Forbidden,
            "this token is no operator's",
        ))
    }

    async fn query(&self, conn: Conn, make: impl FnOnce(Sender<String>) -> Query) -> Conn {
        match self.event_loop.query(make).await {
            Some(text) => conn
                .with_status(200)
                .with_response_header("content-type", "application/json")
                .with_body(text)
                .halt(),
            None => refuse(
                conn,
                &Refusal::new(ErrorKind::Stopping, "this host has stopped"),
                "",
            ),
        }
    }

    async fn edit(&self, mut conn: Conn) -> Conn {
        let body = match read_body(&mut conn, MAX_EDIT_BYTES).await {
            Ok(body) => body,
            Err(refusal) => return refuse(conn, &refusal, ""),
        };
        let edit = match parse_edit(&body) {
            Ok(edit) => edit,
            Err(refusal) => return refuse(conn, &refusal, ""),
        };
        match self.event_loop.ask_edit(edit).await {
            Ok(answer) => json_answer(conn, 200, &answer),
            Err(refusal) => refuse(conn, &refusal, ""),
        }
    }
}

fn parse_edit(body: &[u8]) -> Result<Edit, Refusal> {
    let refusal = |why: String| {
        let message = format!("the body is not an edit: {why}");
        Refusal::new(ErrorKind::BadRequest, message)
    };
    let edit: Edit = serde_json::from_slice(body).map_err(|error| refusal(error.to_string()))?;
    let raw: Value = serde_json::from_slice(body).map_err(|error| refusal(error.to_string()))?;
    match unknown_key(&raw["changes"], &edit.changes) {
        None => Ok(edit),
        Some(why) => Err(refusal(why)),
    }
}

/// Finds the first key that the kind of its change does not have, and returns an error text that
/// names the allowed keys.
///
/// The decoder ignores such keys, because the kind of a change is itself one of the keys.
pub fn unknown_key(raw_changes: &Value, changes: &[Change]) -> Option<String> {
    let raw_changes = raw_changes.as_array()?;
    let pairs = raw_changes.iter().zip(changes).enumerate();
    for (index, (raw, change)) in pairs {
        let known = serde_json::to_value(change).unwrap_or_default();
        let known: Vec<&String> = known.as_object()?.keys().collect();
        if let Some(key) = raw.as_object()?.keys().find(|key| !known.contains(key)) {
            let allowed = known.iter().map(|key| format!("`{key}`"));
            let allowed = allowed.collect::<Vec<_>>().join(", ");
            let number = index + 1;
            return Some(format!(
                "change {number}: unknown key `{key}`, expected {allowed}"
            ));
        }
    }
    None
}
