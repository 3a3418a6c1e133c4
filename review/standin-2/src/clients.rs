//! A client: one request on a channel of its own, with its own id.

use crate::http::{Message, call};
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

pub struct Sent {
    pub id: String,
    pub sent_ms: u64,
    /// Nothing if the channel ended without a whole answer.
    pub answer: Option<Message>,
}

impl Sent {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.answer.as_ref()?.header(name)
    }
}

/// Sends a request with these further header lines.
pub fn send(
    record: &Record,
    host: SocketAddr,
    id: &str,
    path: &str,
    time_ms: u64,
    further: &str,
) -> Sent {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {time_ms}\r\n{further}\
         Connection: close\r\nContent-Length: 2\r\n\r\n"
    );
    let sent_ms = record.now_ms();
    let answer = call(host, &head, b"{}", Duration::from_millis(time_ms + 700));
    let told = match &answer {
        Ok(answer) => format!(
            "{} {}",
            answer.status(),
            String::from_utf8_lossy(&answer.body).replace('\n', " ")
        ),
        Err(error) => format!("no whole answer: {error}"),
    };
    let leaving = answer
        .as_ref()
        .is_ok_and(|answer| answer.header("server-leaving").is_some());
    record.note(&format!(
        "client sent {id} to {host} at {sent_ms} ms and got {told}{}",
        if leaving { " [Server-Leaving: 1]" } else { "" }
    ));
    Sent {
        id: id.to_string(),
        sent_ms,
        answer: answer.ok(),
    }
}
