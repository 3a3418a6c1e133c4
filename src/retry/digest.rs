//! Digest by which a repeated request is recognised on any host, whatever request id it has.

use crate::prelude::*;
use crate::rendezvous;
use ring::digest::{Context, SHA256};
use serde::de::Error;
use std::fmt;

/// Length of a digest: the chance that two requests of a site collide is lower than that of a
/// hardware fault.
const DIGEST_BYTES: usize = 16;

/// Digest of a request's organisation, method, host, path with query, and body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Returns a hash of the digest and `number`.
    pub fn hash_with(&self, number: u64) -> u64 {
        rendezvous::score(&self.0, number)
    }

    /// Computes the digest of a request. `organisation` is `None` where callers present no key; the
    /// address of the caller does not count, because callers repeat a request from any address.
    /// `target` is the path with the query.
    pub fn of(
        organisation: Option<&str>,
        method: &str,
        host: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let organisation = organisation.unwrap_or_default();
        let mut context = Context::new(&SHA256);
        for part in [organisation, method, host] {
            add_part(&mut context, part.as_bytes());
        }
        add_part(&mut context, target.as_bytes());
        add_part(&mut context, body);
        let whole = context.finish();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole.as_ref()[..DIGEST_BYTES]);
        Self(bytes)
    }
}

/// Adds a part preceded by its length, so that different lists of parts never yield the same input.
fn add_part(context: &mut Context, part: &[u8]) {
    context.update(&(part.len() as u64).to_le_bytes());
    context.update(part);
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

impl Serialize for RequestDigest {
    /// Writes hexadecimal digits in human-readable formats, else the bytes.
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Deserialize::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&text, 16).map_err(D::Error::custom)?;
        match text.len() == 2 * DIGEST_BYTES {
            true => Ok(Self(number.to_be_bytes())),
            false => Err(D::Error::custom("a request digest has 32 digits")),
        }
    }
}
