//! Answers that break the rules of HTTP, by the section of the RFC that they break. `{id}` stands for the
//! request's id.

/// Statuses that are no status: RFC 9110, section 15.
pub const STATUSES: &[&str] = &[
    "HTTP/1.1 000 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 099 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 600 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 999 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 20 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 2000 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
];

/// Field lines that are none: RFC 9110, sections 5.5 and 5.6.2; RFC 9112, sections 5 to 5.2.
pub const FIELD_LINES: &[&str] = &[
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX A: 1\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX\u{1}A: 1\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX\0A: 1\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length : 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n: 1\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nno colon\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX-A: 1\u{7f}\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX-A: 1\r\n 2\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\n X-A: 1\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
];

/// Lines that end otherwise than with CR LF, and an empty line first: RFC 9112, sections 2.1 and 2.2.
pub const LINE_ENDS: &[&str] = &[
    "HTTP/1.1 200 OK\nId: {id}\nSeal: s\nContent-Length: 2\n\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX-A: 1\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\nno",
    "\r\nHTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
];

/// A protocol that no request asked for: RFC 9110, sections 7.8 and 15.2.2.
pub const SWITCHES: &[&str] = &[
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno",
];

/// Framings that do not go with the version: RFC 9112, section 6.1.
pub const CODED_IN_HTTP_10: &[&str] = &[
    "HTTP/1.0 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nno",
];

/// Framings in which parsers may disagree: RFC 9112, sections 6.1 and 6.3.
pub const FRAMINGS: &[&str] = &[
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: +2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
];

/// Chunk lines and trailers: RFC 9112, sections 7.1 to 7.1.2.
pub const CHUNKS: &[&str] = &[
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n 2\r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2;\u{1}\r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b\r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX A: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX-A: \u{1}\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nnono\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nno\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\nno\n0\n\n",
];
