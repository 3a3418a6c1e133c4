//! Authentication of callers: the organisation that owns the API key of a request.
//!
//! Keys are stored, compared and passed between modules as digests only, so that no key appears in
//! a log, a dump or a message, and the duration of a lookup reveals nothing about a key.

#[cfg(test)]
mod tests;

use crate::desired::{Organisation, Route};
use crate::prelude::*;
use ring::digest::{SHA256, digest};
use snafu::Snafu;
use std::fmt;

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as callers send it.
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest(&SHA256, key).as_ref());
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows only the first three bytes, which suffice to tell keys apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, ..] = self.0;
        write!(f, "KeyDigest({first:02x}{second:02x}{third:02x}..)")
    }
}

/// The API key of a request, as far as it could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Missing,
    /// The request has something that is not a key, or more than one key.
    Malformed,
    /// The digest of the request's key.
    Key(KeyDigest),
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// Not checked, since the desired state defines no organisations.
    Unchecked,
    /// A caller without a valid key, on a public route.
    Public,
    /// The organisation that owns the request's key.
    Organisation(Arc<Organisation>),
}

impl Identity {
    /// Returns the organisation, if the sender was identified as one.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Unchecked | Self::Public => None,
        }
    }
}

/// The reasons for which the organisations of a desired state are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeysError {
    /// Two organisations have an API key in common.
    #[snafu(display("{first} and {second} have the same key"))]
    SharedKey {
        /// The name of the organisation that comes first in the desired state.
        first: Name,
        /// The name of the other organisation.
        second: Name,
    },
    /// Two organisations have the same name.
    #[snafu(display("two organisations are named {name}"))]
    SharedName {
        /// The name that they share.
        name: Name,
    },
}

/// The organisations of a desired state by the digests of their keys.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    by_digest: IndexMap<KeyDigest, Arc<Organisation>>,
}

impl Keys {
    /// Indexes organisations by their keys. If two have the same key, it identifies the first one;
    /// [`check_unique`] finds such duplicates.
    pub fn new(organisations: &[Arc<Organisation>]) -> Self {
        let mut by_digest = IndexMap::new();
        for organisation in organisations {
            for key in &organisation.keys {
                by_digest
                    .entry(*key)
                    .or_insert_with(|| organisation.clone());
            }
        }
        Self { by_digest }
    }

    /// Identifies the sender of a request on a route.
    ///
    /// # Errors
    ///
    /// Refuses a request without a valid key, unless the route is public.
    pub fn identify(&self, route: &Route, credential: Credential) -> Result<Identity, Refusal> {
        let holder = match credential {
            Credential::Key(digest) => self.by_digest.get(&digest),
            Credential::Missing | Credential::Malformed => None,
        };
        match (holder, route.is_public) {
            (Some(organisation), _) => Ok(Identity::Organisation(organisation.clone())),
            (None, true) => Ok(Identity::Public),
            (None, false) => Err(Refusal::new(
                ErrorKind::BadCredential,
                match credential {
                    Credential::Missing => "the request has no API key",
                    Credential::Malformed => "the request's API key cannot be read",
                    Credential::Key(_) => "no organisation has this API key",
                },
            )),
        }
    }
}

/// Checks that no two organisations have the same name or a key in common.
///
/// # Errors
///
/// Returns the first shared name or key.
pub fn check_unique(organisations: &[Arc<Organisation>]) -> Result<(), KeysError> {
    let mut names: IndexSet<&Name> = IndexSet::new();
    let mut holders: IndexMap<KeyDigest, &Name> = IndexMap::new();
    for organisation in organisations {
        let name = &organisation.name;
        if !names.insert(name) {
            return Err(KeysError::SharedName { name: name.clone() });
        }
        for key in &organisation.keys {
            let holder = holders.entry(*key).or_insert(name);
            if *holder != name {
                return Err(KeysError::SharedKey {
                    first: (*holder).clone(),
                    second: name.clone(),
                });
            }
        }
    }
    Ok(())
}
