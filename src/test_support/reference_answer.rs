//! A reader of complete answers that shares no code with the product: what RFC 9110 and RFC 9112 say of
//! the bytes of a connection from its first to its last one. It is as strict as they allow.

/// An answer as a recipient has to understand it.
#[derive(Debug, PartialEq, Eq)]
pub struct ReferenceAnswer {
    /// The status.
    pub status: u16,
    /// The fields in their order, with names in lower case.
    pub fields: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Takes the bytes before the first `end` off the front, and `end` with them.
fn take_until<'a>(rest: &mut &'a [u8], end: &[u8]) -> Option<&'a [u8]> {
    let at = rest.windows(end.len()).position(|window| window == end)?;
    let (taken, after) = rest.split_at(at);
    *rest = &after[end.len()..];
    Some(taken)
}

fn is_tchar(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'!' | b'#'..=b'\'' | b'*' | b'+'
        | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~')
}

fn is_text(bytes: &[u8]) -> bool {
    bytes
        .iter()
        .all(|byte| matches!(byte, b'\t' | 0x20..=0x7e | 0x80..=0xff))
}

fn trim(mut bytes: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = bytes {
        bytes = rest;
    }
    bytes
}

fn parse_field(line: &[u8]) -> Option<(String, Vec<u8>)> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&line[..colon], trim(&line[colon + 1..]));
    let is_valid = !name.is_empty() && name.iter().all(|byte| is_tchar(*byte)) && is_text(value);
    let name = String::from_utf8(name.to_ascii_lowercase()).ok()?;
    is_valid.then(|| (name, value.to_vec()))
}

/// Reads the first final answer; none if it is no complete answer.
pub fn read(mut rest: &[u8]) -> Option<ReferenceAnswer> {
    loop {
        let mut head = take_until(&mut rest, b"\r\n\r\n")?;
        let mut lines = Vec::new();
        while let Some(line) = take_until(&mut head, b"\r\n") {
            lines.push(line);
        }
        lines.push(head);
        if lines
            .concat()
            .iter()
            .any(|byte| matches!(byte, b'\r' | b'\n'))
        {
            return None;
        }
        let (start, lines) = lines.split_first()?;
        let is_11 = match start.get(..9)? {
            b"HTTP/1.1 " => true,
            b"HTTP/1.0 " => false,
            _ => return None,
        };
        let digits = std::str::from_utf8(start.get(9..12)?).ok()?;
        let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
        let reason = &start[12..];
        // A recipient may do without the blank before an empty reason.
        if !is_number || !is_text(reason) || !(reason.is_empty() || reason[0] == b' ') {
            return None;
        }
        let status: u16 = digits.parse().ok()?;
        let fields: Option<Vec<_>> = lines.iter().map(|line| parse_field(line)).collect();
        let fields = fields?;
        match status {
            100 | 102..=199 => {}
            200..=599 => {
                let body = read_body(status, is_11, &fields, rest)?;
                return Some(ReferenceAnswer {
                    status,
                    fields,
                    body,
                });
            }
            _ => return None,
        }
    }
}

fn read_body(
    status: u16,
    is_11: bool,
    fields: &[(String, Vec<u8>)],
    rest: &[u8],
) -> Option<Vec<u8>> {
    let values = |wanted: &'static str| {
        let named = fields.iter().filter(move |(name, _)| name == wanted);
        named.map(|(_, value)| &**value)
    };
    let codings: Vec<&[u8]> = values("transfer-encoding").collect();
    let mut lengths: Vec<&[u8]> = values("content-length").collect();
    lengths.dedup();
    let length = match lengths[..] {
        [] => None,
        [length] if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
            let text = std::str::from_utf8(length).ok()?;
            Some(text.parse::<usize>().ok()?)
        }
        _ => return None,
    };
    let is_chunked = match codings[..] {
        [] => false,
        [coding] if coding.eq_ignore_ascii_case(b"chunked") && is_11 && length.is_none() => true,
        _ => return None,
    };
    match (status, is_chunked, length) {
        (204 | 304, ..) => Some(Vec::new()),
        (_, true, _) => read_chunks(rest),
        (_, false, Some(length)) => rest.get(..length).map(<[u8]>::to_vec),
        (_, false, None) => Some(rest.to_vec()),
    }
}

fn read_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = take_until(&mut rest, b"\r\n")?;
        // The answers of the tests have no extensions.
        let text = std::str::from_utf8(line).ok()?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let length = usize::from_str_radix(text, 16).ok()?;
        if length == 0 {
            break;
        }
        body.extend_from_slice(rest.get(..length)?);
        rest = rest.get(length..)?.strip_prefix(b"\r\n")?;
    }
    loop {
        match take_until(&mut rest, b"\r\n")? {
            b"" => return Some(body),
            line => _ = parse_field(line)?,
        }
    }
}
