//! Heads of requests and answers: strict parsing, and writing back.

use snafu::Snafu;

/// Most header lines of one head; a head of 16 KiB seldom has more than 60.
const MAX_HEADERS: usize = 128;

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// It breaks the grammar.
    #[snafu(display("the head is malformed"))]
    Malformed,
    /// It is longer than allowed.
    #[snafu(display("the head is longer than allowed"))]
    TooLarge,
    /// Its body's framing is ambiguous, so that two readers could see two requests.
    #[snafu(display("the body's framing is ambiguous"))]
    AmbiguousFraming,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection; answers only.
    UntilClose,
}

/// Header lines in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(Box<str>, Box<[u8]>)>);

impl Headers {
    /// Returns the first value of a header as text, or nothing when it is absent or no text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.bytes(name)?).ok().map(str::trim)
    }

    /// Returns the first value of a header.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        let mut lines = self.0.iter();
        let line = lines.find(|(own, _)| own.eq_ignore_ascii_case(name));
        line.map(|(_, value)| &**value)
    }

    /// Returns a header's value as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Adds a header line at the end.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.into(), value.as_bytes().into()));
    }

    /// Removes every line of a header.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(own, _)| !own.eq_ignore_ascii_case(name));
    }

    /// Removes the lines that concern only one connection, those that `Connection` names included.
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

    /// Appends the lines to a head that is being written.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Returns every value of a header.
    pub fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let name = name.to_owned();
        self.0
            .iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(&name))
            .map(|(_, value)| &**value)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|own| own.trim().eq_ignore_ascii_case(token))
    }
}

/// The headers that concern one connection only (RFC 9110, section 7.6.1).
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
    /// The method.
    pub method: Box<str>,
    /// The path with its query, as it came.
    pub target: Box<str>,
    /// The header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the caller keeps the connection open.
    pub keep_alive: bool,
    /// Whether the caller waits for permission to send the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Parses a head. Returns it with its length in bytes, or nothing while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
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
        let headers = copy_headers(request.headers);
        let keep_alive = keeps_alive(request.version, &headers);
        let head = Self {
            method: request.method.unwrap_or_default().into(),
            target: request.path.unwrap_or_default().into(),
            framing: request_framing(&headers)?,
            expects_continue: headers.has_token("expect", "100-continue"),
            keep_alive,
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the host that is asked, in lower case and without a port.
    pub fn host(&self) -> String {
        let host = self.headers.text("host").unwrap_or_default();
        host.split(':')
            .next()
            .unwrap_or_default()
            .to_ascii_lowercase()
    }

    /// Returns the value of a key of the query, as it came.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(own, _)| *own == key)
            .map(|(_, value)| value)
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the upstream keeps the connection open.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Parses a head. Returns it with its length in bytes, or nothing while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
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
        let headers = copy_headers(response.headers);
        let status = response.code.unwrap_or_default();
        let head = Self {
            status,
            reason: response.reason.unwrap_or_default().into(),
            framing: response_framing(status, &headers, to_head_request)?,
            keep_alive: keeps_alive(response.version, &headers),
            headers,
        };
        Ok(Some((head, length)))
    }
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
        _ => HeadError::Malformed,
    }
}

fn copy_headers(lines: &[httparse::Header<'_>]) -> Headers {
    let copy = |line: &httparse::Header<'_>| (line.name.into(), line.value.into());
    Headers(lines.iter().map(copy).collect())
}

fn keeps_alive(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

fn request_framing(headers: &Headers) -> Result<Framing, HeadError> {
    Ok(match declared_framing(headers)? {
        Some(Framing::Length(0)) | None => Framing::Empty,
        Some(framing) => framing,
    })
}

fn response_framing(
    status: u16,
    headers: &Headers,
    to_head_request: bool,
) -> Result<Framing, HeadError> {
    if to_head_request || status < 200 || status == 204 || status == 304 {
        return Ok(Framing::Empty);
    }
    Ok(declared_framing(headers)?.unwrap_or(Framing::UntilClose))
}

/// Returns the framing that the headers declare. A length beside chunks, two different lengths and an
/// unknown coding are refused: readers that disagree about them see different requests.
fn declared_framing(headers: &Headers) -> Result<Option<Framing>, HeadError> {
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
