//! The syntax of lines and tokens in heads and in the framing of chunks.

use crate::http1::head::HeadError;

/// Most bytes of a broken line that an error quotes.
const MAX_QUOTED_BYTES: usize = 100;

/// Returns the line of a head that breaks a rule, escaped, or as much of it as [`MAX_QUOTED_BYTES`]
/// allows. Without a line that can be told apart it is the first one.
pub fn quote_broken_line(head: &[u8], broken: HeadError) -> Box<str> {
    let lines = head.split(|byte| *byte == b'\n');
    let mut lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let first = lines.next().unwrap_or_default();
    let line = match broken {
        HeadError::FieldName | HeadError::FieldValue | HeadError::LineEnd => {
            lines.find(|line| !is_field_line(line))
        }
        HeadError::AmbiguousFraming | HeadError::CodingInHttp10 => lines.find(|line| {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            name.eq_ignore_ascii_case(b"content-length")
                || name.eq_ignore_ascii_case(b"transfer-encoding")
        }),
        _ => None,
    };
    let line = line.unwrap_or(first);
    let quoted = &line[..line.len().min(MAX_QUOTED_BYTES)];
    quoted.escape_ascii().to_string().into()
}

/// Tells whether a line without its line end is a field line (RFC 9112, section 5).
pub fn is_field_line(line: &[u8]) -> bool {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let (name, value) = line.split_at(colon);
            is_token(name) && value.iter().all(|byte| is_text_byte(*byte))
        }
        None => false,
    }
}

/// Tells whether bytes are a token (RFC 9110, section 5.6.2).
pub fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}

/// Tells whether a byte may be part of a field's value (RFC 9110, section 5.5).
pub fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

/// Tells whether bytes may be a request target: they are characters of a URI without a fragment, and
/// each percent sign begins an encoded byte (RFC 9112, section 3.2; RFC 3986, section 2).
pub fn is_target(bytes: &[u8]) -> bool {
    let is_uri_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~:/?[]@!$&'()*+,;=%".contains(byte);
    let is_encoded_byte =
        |rest: &[u8]| rest.len() >= 2 && rest[..2].iter().all(u8::is_ascii_hexdigit);
    let mut escapes = bytes.split(|byte| *byte == b'%').skip(1);
    !bytes.is_empty() && bytes.iter().all(is_uri_byte) && escapes.all(is_encoded_byte)
}
