//! HTTP/1.1 over blocking sockets, for stand-ins of clients, servers and the platform.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first[1].split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.first[1].split_once('?')?;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then_some(value)
        })?;
        Some(String::from_utf8_lossy(&decode(pair)).into_owned())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

fn decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    decoded
}

/// A connection with a buffer of bytes that were read and not used.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> Result<usize> {
        let mut piece = [0; 16 << 10];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads a message with its whole body; nothing if the peer closed before its first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or_default().splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default().to_string();
        let mut message = Message {
            first: [word(), word(), word()],
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_string(), value.trim().to_string()));
            }
        }
        let is_answer = message.first[0].starts_with("HTTP/");
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|length| length.parse::<usize>().ok());
        if chunked {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let mut piece = self.exactly(size)?;
                message.body.append(&mut piece);
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                self.line()?;
            }
        } else if let Some(length) = length {
            message.body = self.exactly(length)?;
        } else if is_answer && !matches!(message.status(), 100..=199 | 204 | 304) {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, String)], body: &[u8]) -> Result<()> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        _ => "Other",
    }
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Sends a request on a channel of its own and reads the whole answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Result<Message> {
    let started = Instant::now();
    let mut channel = Channel::connect(address, Duration::from_secs(1).min(timeout))?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    channel.stream.set_read_timeout(Some(left))?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    channel.write(&bytes)?;
    channel
        .read()?
        .ok_or_else(|| ErrorKind::UnexpectedEof.into())
}
