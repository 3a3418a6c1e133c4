//! Writes answers to callers, or to the host that handed a caller's request to this one.

use crate::handoff::AnswerStart;
use crate::handoff::message::to_frame;
use crate::http1::head::has_no_length;
use crate::http1::{Headers, ResponseHead, Version};
use crate::prelude::*;
use crate::resumption::StreamVersion;
use crate::resumption::message::SentVersion;
use futures_lite::AsyncWriteExt;
use quinn::SendStream;
use smol::net::TcpStream;
use std::time::Duration;

/// How the end of an answer's body is marked for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The answer has no body.
    HeadOnly,
    /// By a `Content-Length` header with this number of bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the close of the connection, for a caller that knows no chunks.
    UntilClose,
}

/// Where the bytes of an answer go.
enum Output {
    /// To the caller.
    Caller(TcpStream),
    /// To the host that handed the request to this one, after an [`AnswerStart`].
    Host(SendStream),
}

impl Output {
    async fn write_all(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match self {
            Self::Caller(stream) => stream.write_all(bytes).await,
            Self::Host(stream) => AsyncWriteExt::write_all(stream, bytes).await,
        }
    }

    /// Returns what is sent before the head of an answer of an upstream of this software version.
    fn answer_start(&self, version: Option<SentVersion>) -> std::io::Result<Vec<u8>> {
        match self {
            Self::Caller(_) => Ok(Vec::new()),
            Self::Host(_) => {
                to_frame(&AnswerStart::Answered { version }).map_err(std::io::Error::other)
            }
        }
    }
}

/// Writes answers to a caller's connection, or to the host that handed the request to this one.
pub struct CallerWriter {
    output: Output,
    /// Whether the connection closes after the answer.
    pub closes: bool,
    /// Whether any byte of the answer may have been written.
    pub has_begun: bool,
    /// The version of the request.
    pub version: Version,
    form: BodyFraming,
    /// The bytes of the announced length that were not written yet.
    left_bytes: u64,
    /// The software version of the upstream that answers, for another host.
    software_version: Option<SentVersion>,
}

impl CallerWriter {
    /// Creates the writer for a caller's connection.
    pub fn for_caller(stream: TcpStream) -> Self {
        Self {
            output: Output::Caller(stream),
            closes: false,
            has_begun: false,
            version: Version::Http11,
            form: BodyFraming::HeadOnly,
            left_bytes: 0,
            software_version: None,
        }
    }

    /// Sets the software version of the upstream whose answer is written next.
    pub fn note_version(&mut self, now: Millis, version: Option<&StreamVersion>) {
        self.software_version = version.map(|version| SentVersion::new(version, now));
    }

    /// Tells a caller that waits for it that it may send the body of its request.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn permit_body(&mut self) -> std::io::Result<()> {
        self.output
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
    }

    /// Creates the writer for a request that another host handed to this one.
    pub fn for_host(stream: SendStream) -> Self {
        Self {
            output: Output::Host(stream),
            closes: false,
            has_begun: false,
            version: Version::Http11,
            form: BodyFraming::HeadOnly,
            left_bytes: 0,
            software_version: None,
        }
    }

    /// Ends the answer to another host after its last byte.
    pub fn finish(self) {
        if let Output::Host(mut stream) = self.output {
            // It fails only if the stream has ended before.
            let _is_open = stream.finish();
        }
    }

    /// Gives a request back to the host that handed it to this one: no upstream is in reach.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn give_back(&mut self) -> std::io::Result<()> {
        let start = to_frame(&AnswerStart::OutOfReach).map_err(std::io::Error::other)?;
        self.output.write_all(&start).await
    }

    /// Writes the head and the body of an answer that was read to its end.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn write_complete(
        &mut self,
        head: &ResponseHead,
        form: BodyFraming,
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut bytes = self.output.answer_start(self.software_version.take())?;
        bytes.extend(self.head_bytes(head, form));
        if form != BodyFraming::HeadOnly {
            bytes.extend_from_slice(body);
        }
        self.has_begun = true;
        self.output.write_all(&bytes).await
    }

    /// Writes the head of an answer whose body follows with [`Self::piece`] and [`Self::end`].
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn begin(&mut self, head: &ResponseHead, form: BodyFraming) -> std::io::Result<()> {
        let form = match (form, self.version) {
            (BodyFraming::Chunked, Version::Http10) => BodyFraming::UntilClose,
            (form, _) => form,
        };
        self.form = form;
        self.closes |= form == BodyFraming::UntilClose;
        self.left_bytes = match form {
            BodyFraming::Length(length) => length,
            BodyFraming::HeadOnly | BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        let mut bytes = self.output.answer_start(self.software_version.take())?;
        bytes.extend(self.head_bytes(head, form));
        self.has_begun = true;
        self.output.write_all(&bytes).await
    }

    /// Writes a piece of the body, as a chunk where the answer is chunked.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke, or [`std::io::ErrorKind::InvalidData`] for more bytes than
    /// the announced length.
    pub async fn piece(&mut self, piece: &[u8]) -> std::io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        match self.form {
            BodyFraming::Chunked => {
                let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
                bytes.extend_from_slice(piece);
                bytes.extend_from_slice(b"\r\n");
                self.output.write_all(&bytes).await
            }
            BodyFraming::UntilClose => self.output.write_all(piece).await,
            BodyFraming::Length(_) | BodyFraming::HeadOnly => {
                let left_bytes = self.left_bytes.checked_sub(piece.len() as u64);
                self.left_bytes = left_bytes.ok_or_else(not_announced_length)?;
                self.output.write_all(piece).await
            }
        }
    }

    /// Ends the body: writes the last chunk where the answer is chunked.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke, or [`std::io::ErrorKind::InvalidData`] if bytes of the
    /// announced length are missing.
    pub async fn end(&mut self) -> std::io::Result<()> {
        match self.form {
            BodyFraming::Chunked => self.output.write_all(b"0\r\n\r\n").await,
            BodyFraming::Length(_) | BodyFraming::HeadOnly if self.left_bytes > 0 => {
                Err(not_announced_length())
            }
            BodyFraming::Length(_) | BodyFraming::HeadOnly | BodyFraming::UntilClose => Ok(()),
        }
    }

    /// Ends an answer that is cut, so that it does not look complete: where only the close of the connection
    /// tells the end of the body, the connection is reset when it is closed.
    pub fn cut(&self) {
        if let (Output::Caller(stream), BodyFraming::UntilClose) = (&self.output, self.form) {
            // It fails only on a connection that has ended.
            let _is_open = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
        }
    }

    /// Writes a refusal as a complete answer with a JSON body. `headers` are the platform's; the
    /// body's type and, where the refusal has one, a `Retry-After` time are added.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn write_refusal(
        &mut self,
        refusal: &Refusal,
        mut headers: Headers,
    ) -> std::io::Result<()> {
        if let Output::Host(_) = self.output {
            let start = AnswerStart::Refused(refusal.into());
            let start = to_frame(&start).map_err(std::io::Error::other)?;
            return self.output.write_all(&start).await;
        }
        let body = refusal_body(refusal);
        headers.push("Content-Type", "application/json");
        if let Some(after_ms) = refusal.retry_after_ms {
            headers.push(
                "Retry-After",
                &format!("{:.3}", after_ms.0 as f64 / 1_000.0),
            );
        }
        let head = ResponseHead {
            status: refusal.kind.answer().status,
            reason: refusal.kind.name().into(),
            headers,
            framing: crate::http1::Framing::Empty,
            keep_alive: true,
        };
        self.write_complete(&head, BodyFraming::Length(body.len() as u64), &body)
            .await
    }

    fn head_bytes(&self, head: &ResponseHead, form: BodyFraming) -> Vec<u8> {
        let mut headers = head.headers.clone();
        headers.remove_hop_by_hop();
        match form {
            BodyFraming::HeadOnly if has_no_length(head.status) => {
                headers.remove("content-length");
            }
            BodyFraming::HeadOnly => {}
            BodyFraming::Length(length) => {
                headers.remove("content-length");
                headers.push("Content-Length", &length.to_string());
            }
            BodyFraming::UntilClose => headers.remove("content-length"),
            BodyFraming::Chunked => {
                headers.remove("content-length");
                headers.push("Transfer-Encoding", "chunked");
            }
        }
        if self.closes {
            headers.push("Connection", "close");
        }
        let mut bytes = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
        headers.write(&mut bytes);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

fn not_announced_length() -> std::io::Error {
    let why = "the body does not have its announced length";
    std::io::Error::new(std::io::ErrorKind::InvalidData, why)
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    message: &'a str,
    advice: &'a str,
}

fn refusal_body(refusal: &Refusal) -> Vec<u8> {
    let body = RefusalBody {
        error: refusal.kind.name(),
        message: &refusal.message,
        advice: refusal.kind.answer().advice,
    };
    // Serialising a struct of three strings cannot fail.
    serde_json::to_vec(&body).unwrap_or_default()
}
