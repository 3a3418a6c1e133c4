//! Request targets (RFC 9112, section 3.2), put together from encoded parts.

use crate::http1::head::HeadError;
use crate::http1::syntax::is_target;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};
use std::fmt;

/// All bytes but the unreserved characters (RFC 3986, section 2.3). A space becomes `%20`, which a
/// decoder of URIs and one of forms both read as a space.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The target of a request: a path, and a query if there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target from a path that is known when the program is built, and is encoded.
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_string(),
            has_query: false,
        }
    }

    /// Takes the path and query of a request that is sent on as it came.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Target`] if the text is no path with or without a query.
    pub fn from_received(text: &str) -> Result<Self, HeadError> {
        match text.starts_with('/') && is_target(text.as_bytes()) {
            true => Ok(Self {
                text: text.to_string(),
                has_query: text.contains('?'),
            }),
            false => Err(HeadError::Target),
        }
    }

    /// Appends a segment to the path.
    ///
    /// # Panics
    ///
    /// In debug builds, panics if the target has a query already.
    pub fn segment(mut self, segment: &str) -> Self {
        debug_assert!(!self.has_query, "a query ends the path");
        self.text.push('/');
        self.push_encoded(segment.as_bytes());
        self
    }

    /// Appends a pair of a key and a value to the query.
    pub fn pair(mut self, key: &str, value: impl AsRef<[u8]>) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.push_encoded(key.as_bytes());
        self.text.push('=');
        self.push_encoded(value.as_ref());
        self
    }

    /// Appends a pair of a key and a number to the query.
    pub fn number(self, key: &str, value: u64) -> Self {
        self.pair(key, value.to_string())
    }

    /// Returns the target as it is written into a request line.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    fn push_encoded(&mut self, bytes: &[u8]) {
        self.text.extend(percent_encode(bytes, RESERVED));
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
