//! Heads of requests and answers: strict parsing, and serialisation of requests and header lines.

use crate::http1::syntax::{is_target, is_text_byte, is_token};
use snafu::Snafu;
use std::borrow::Cow;

/// Most header lines in one head; a head of 16 KiB rarely has more than 60.
const MAX_HEADERS: usize = 128;

/// The statuses that RFC 9110, section 15, defines; all others are invalid.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// The status by which a server leaves HTTP/1.1 for a protocol that the request named.
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// The rule of RFC 9110 or RFC 9112 that a head breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The head has too many bytes or more than 128 header lines.
    #[snafu(display("the head is longer than allowed"))]
    TooLarge,
    /// The first line is no request line or status line (RFC 9112, sections 3 and 4).
    #[snafu(display("the first line is malformed"))]
    StartLine,
    /// The target of a request has a character that is no part of a URI, or a percent sign that begins
    /// no encoded byte (RFC 9112, section 3.2).
    #[snafu(display("the target has a character that must be percent-encoded"))]
    Target,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[snafu(display("the version is neither HTTP/1.0 nor HTTP/1.1"))]
    Version,
    /// The status is not between 100 and 599 (RFC 9110, section 15).
    #[snafu(display("the status is not between 100 and 599"))]
    Status,
    /// The status says that the connection leaves HTTP/1.1, which no request asked for (RFC 9110,
    /// section 7.8).
    #[snafu(display("the protocol is switched without a request for it"))]
    UnrequestedSwitch,
    /// The name of a field is not a token that a colon follows (RFC 9112, section 5).
    #[snafu(display("the name of a field is malformed"))]
    FieldName,
    /// The value of a field has a control byte (RFC 9110, section 5.5).
    #[snafu(display("the value of a field has a control byte"))]
    FieldValue,
    /// A line does not end with CR LF, or has another CR (RFC 9112, section 2.2).
    #[snafu(display("a line does not end with CR LF"))]
    LineEnd,
    /// The framing of the body is ambiguous: two parsers could disagree about where the message
    /// ends, which allows request smuggling (RFC 9112, section 6.3).
    #[snafu(display("the body's framing is ambiguous"))]
    AmbiguousFraming,
    /// A message of HTTP/1.0 has a transfer coding (RFC 9112, section 6.1).
    #[snafu(display("a message of HTTP/1.0 has a transfer coding"))]
    CodingInHttp10,
    /// The `Host` field is missing, repeated or invalid (RFC 9112, section 3.2).
    #[snafu(display("the Host field is missing, repeated or invalid"))]
    Host,
    /// The request asks for a tunnel (RFC 9110, section 9.3.6).
    #[snafu(display("the method CONNECT is not served"))]
    Tunnel,
}

/// The version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0, which has neither chunks nor interim answers.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends when the connection is closed; only in answers.
    UntilClose,
}

impl Framing {
    /// Tells whether there are no bytes of a body.
    fn is_empty(self) -> bool {
        matches!(self, Self::Empty | Self::Length(0))
    }
}

/// Header lines in the order of the head, with names as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(Box<str>, Box<[u8]>)>);

impl Headers {
    /// Returns the first value of a header without surrounding white space, or `None` if the header
    /// is absent or not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.bytes(name)?).ok().map(str::trim)
    }

    /// Returns the first value of a header, or `None` if it is absent.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        let mut lines = self.0.iter();
        let line = lines.find(|(header, _)| header.eq_ignore_ascii_case(name));
        line.map(|(_, value)| &**value)
    }

    /// Returns the first value of a header as a number, or `None` if it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Appends a header line.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.into(), value.as_bytes().into()));
    }

    /// Removes all lines of a header but the first one.
    fn remove_repeated(&mut self, name: &str) {
        let mut is_repeated = false;
        self.0.retain(|(header, _)| {
            !header.eq_ignore_ascii_case(name) || !std::mem::replace(&mut is_repeated, true)
        });
    }

    /// Removes all lines of a header.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|(header, _)| !header.eq_ignore_ascii_case(name));
    }

    /// Removes the hop-by-hop headers, which apply to a single connection, including those that a
    /// `Connection` header names.
    pub fn remove_hop_by_hop(&mut self) {
        let named: Vec<String> = self
            .values("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_string())
            .collect();
        for name in named.iter().map(String::as_str).chain(HOP_BY_HOP) {
            self.remove(name);
        }
    }

    /// Serialises the header lines and appends them to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Iterates over the values of all lines of a header.
    pub fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let name = name.to_owned();
        self.0
            .iter()
            .filter(move |(header, _)| header.eq_ignore_ascii_case(&name))
            .map(|(_, value)| &**value)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|listed| listed.trim().eq_ignore_ascii_case(token))
    }
}

/// The headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The HTTP method as received.
    pub method: Box<str>,
    /// The path and query as received.
    pub target: Box<str>,
    /// The version of the request.
    pub version: Version,
    /// The header lines, including hop-by-hop headers.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the caller keeps the connection open after the answer.
    pub keep_alive: bool,
    /// Whether the caller waits for a `100 Continue` answer before it sends the body.
    pub expects_continue: bool,
}

/// Serialises the head of a request, with the blank line after it.
///
/// # Errors
///
/// Returns the rule that a part breaks. A peer would refuse such a head, or take a part of it for
/// another line or another request.
pub fn write_request_head(
    method: &str,
    target: &str,
    headers: &Headers,
) -> Result<Vec<u8>, HeadError> {
    if !is_token(method.as_bytes()) {
        return Err(HeadError::StartLine);
    }
    if !is_target(target.as_bytes()) {
        return Err(HeadError::Target);
    }
    for (name, value) in &headers.0 {
        if !is_token(name.as_bytes()) {
            return Err(HeadError::FieldName);
        }
        if !value.iter().all(|byte| is_text_byte(*byte)) {
            return Err(HeadError::FieldValue);
        }
    }
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    headers.write(&mut bytes);
    bytes.extend_from_slice(b"\r\n");
    Ok(bytes)
}

impl RequestHead {
    /// Serialises the head as it was received, with the blank line after it.
    ///
    /// # Errors
    ///
    /// Returns the rule that a part breaks.
    pub fn to_bytes(&self) -> Result<Vec<u8>, HeadError> {
        write_request_head(&self.method, &self.target, &self.headers)
    }

    /// Parses a head. Returns it with its length in bytes, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::TooLarge`] for a head of more than `max_bytes` or too many header
    /// lines, and the other errors for an invalid one.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let length = match request.parse(bytes).map_err(head_error)? {
            httparse::Status::Partial => return incomplete(bytes, max_bytes),
            httparse::Status::Complete(length) if length > max_bytes => {
                return Err(HeadError::TooLarge);
            }
            httparse::Status::Complete(length) => length,
        };
        check_line_ends(&bytes[..length])?;
        let version = version(request.version);
        let mut headers = copy_headers(request.headers);
        check_host(version, &headers)?;
        let method = request.method.unwrap_or_default();
        if method == "CONNECT" {
            return Err(HeadError::Tunnel);
        }
        let target = request.path.unwrap_or_default();
        if !is_target(target.as_bytes()) {
            return Err(HeadError::Target);
        }
        let keep_alive = keeps_alive(version, &headers);
        let framing = request_framing(version, &headers)?;
        headers.remove_repeated("content-length");
        let head = Self {
            method: method.into(),
            target: target.into(),
            version,
            framing,
            expects_continue: version == Version::Http11
                && headers.has_token("expect", "100-continue"),
            keep_alive,
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the host name of the `Host` header in lower case, without its port.
    pub fn host(&self) -> String {
        let host = self.headers.text("host").unwrap_or_default();
        host.split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase()
    }

    /// Returns the decoded value of a key of the query.
    pub fn query(&self, key: &str) -> Option<Cow<'_, str>> {
        let (_, query) = self.target.split_once('?')?;
        query_value(query, key)
    }
}

/// Returns the first value of a key in a query, decoded as that of a form.
pub fn query_value<'a>(query: &'a str, key: &str) -> Option<Cow<'a, str>> {
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs.find(|(name, _)| name == key).map(|(_, value)| value)
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The header lines, including hop-by-hop headers.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the upstream keeps the connection open after the answer.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses a head. Returns it with its length in bytes, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::TooLarge`] for an incomplete head of more than `max_bytes` or too many
    /// header lines, and the other errors for an invalid one.
    pub fn parse(
        bytes: &[u8],
        max_bytes: usize,
        to_head_request: bool,
    ) -> Result<Option<(Self, usize)>, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let length = match response.parse(bytes).map_err(head_error)? {
            httparse::Status::Partial => return incomplete(bytes, max_bytes),
            httparse::Status::Complete(length) => length,
        };
        check_line_ends(&bytes[..length])?;
        // The tokenizer skips empty lines, which may come before a request only.
        if !bytes.starts_with(b"HTTP/") {
            return Err(HeadError::StartLine);
        }
        let status = response.code.unwrap_or_default();
        if !VALID_STATUSES.contains(&status) {
            return Err(HeadError::Status);
        }
        if status == SWITCHING_PROTOCOLS {
            return Err(HeadError::UnrequestedSwitch);
        }
        let version = version(response.version);
        let mut headers = copy_headers(response.headers);
        let declared = declared_framing(version, &headers)?;
        headers.remove_repeated("content-length");
        // The bytes of a body that must not be there belong to no answer.
        let has_false_body = status == NO_CONTENT && declared.is_some_and(|body| !body.is_empty());
        let framing = match to_head_request || has_no_body(status) {
            true => Framing::Empty,
            false => declared.unwrap_or(Framing::UntilClose),
        };
        let head = Self {
            status,
            reason: response.reason.unwrap_or_default().into(),
            framing,
            keep_alive: keeps_alive(version, &headers) && !has_false_body,
            headers,
        };
        Ok(Some((head, length)))
    }
}

/// Tells whether an answer with this status has no body, whatever its header lines say (RFC 9112,
/// section 6.3).
pub fn has_no_body(status: u16) -> bool {
    has_no_length(status) || status == NOT_MODIFIED
}

/// Tells whether an answer with this status must not state the length of a body (RFC 9110, section
/// 8.6).
pub fn has_no_length(status: u16) -> bool {
    status < 200 || status == NO_CONTENT
}

fn incomplete<T>(bytes: &[u8], max_bytes: usize) -> Result<Option<T>, HeadError> {
    match bytes.len() > max_bytes {
        true => Err(HeadError::TooLarge),
        false => Ok(None),
    }
}

fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLarge,
        httparse::Error::HeaderName => HeadError::FieldName,
        httparse::Error::HeaderValue => HeadError::FieldValue,
        httparse::Error::NewLine => HeadError::LineEnd,
        httparse::Error::Version => HeadError::Version,
        httparse::Error::Status | httparse::Error::Token => HeadError::StartLine,
    }
}

/// Checks that each line of a head ends with CR LF. A lone LF or CR could be part of a line for one
/// parser and the end of it for another.
fn check_line_ends(head: &[u8]) -> Result<(), HeadError> {
    let mut rest = head;
    while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
        rest = rest[end..]
            .strip_prefix(b"\r\n")
            .ok_or(HeadError::LineEnd)?;
    }
    Ok(())
}

fn copy_headers(lines: &[httparse::Header<'_>]) -> Headers {
    let copy = |line: &httparse::Header<'_>| (line.name.into(), line.value.into());
    Headers(lines.iter().map(copy).collect())
}

/// Checks that a request names its host once.
fn check_host(version: Version, headers: &Headers) -> Result<(), HeadError> {
    let mut hosts = headers.values("host");
    let is_valid = match (hosts.next(), version) {
        (Some(host), _) => host.iter().all(|byte| is_host_byte(*byte)),
        (None, Version::Http10) => true,
        (None, Version::Http11) => false,
    };
    match is_valid && hosts.next().is_none() {
        true => Ok(()),
        false => Err(HeadError::Host),
    }
}

/// Tells whether a byte may be part of a host name or address with a port (RFC 3986, section 3.2.2).
fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~%!$&'()*+,;=:[]".contains(&byte)
}

fn version(minor: Option<u8>) -> Version {
    match minor {
        Some(1) => Version::Http11,
        _ => Version::Http10,
    }
}

fn keeps_alive(version: Version, headers: &Headers) -> bool {
    let closes = headers.has_token("connection", "close");
    match version {
        Version::Http11 => !closes,
        Version::Http10 => !closes && headers.has_token("connection", "keep-alive"),
    }
}

fn request_framing(version: Version, headers: &Headers) -> Result<Framing, HeadError> {
    Ok(match declared_framing(version, headers)? {
        Some(Framing::Length(0)) | None => Framing::Empty,
        Some(framing) => framing,
    })
}

/// Returns the framing that the headers declare. A length together with a transfer coding, two
/// different lengths, more than one coding line and an unknown coding are refused: parsers that
/// interpret them differently would see different messages.
fn declared_framing(version: Version, headers: &Headers) -> Result<Option<Framing>, HeadError> {
    let mut codings = headers.values("transfer-encoding");
    let mut lengths = headers.values("content-length");
    let length = lengths.next().map(parse_length).transpose()?;
    for other in lengths {
        if Some(parse_length(other)?) != length {
            return Err(HeadError::AmbiguousFraming);
        }
    }
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    if version == Version::Http10 {
        return Err(HeadError::CodingInHttp10);
    }
    let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if !chunked || codings.next().is_some() || length.is_some() {
        return Err(HeadError::AmbiguousFraming);
    }
    Ok(Some(Framing::Chunked))
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::AmbiguousFraming);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HeadError::AmbiguousFraming)?;
    text.parse().map_err(|_| HeadError::AmbiguousFraming)
}
