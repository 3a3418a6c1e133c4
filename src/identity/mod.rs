//! Who a caller is: the organisation that holds the API key of a request.
//!
//! Keys are kept, compared and passed between modules as digests only, so that none shows in a log, a dump or a
//! message, and the time of a look-up says nothing about the key.

#[cfg(test)]
mod tests;

use crate::desired::{Organisation, Route};
use crate::prelude::*;
use ring::digest::{SHA256, digest};
use snafu::Snafu;
use std::fmt;

/// The SHA-256 of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key.
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; 32];
        bytes.copy_from_slice(digest(&SHA256, key).as_ref());
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows the first bytes, enough to tell keys apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, ..] = self.0;
        write!(f, "KeyDigest({first:02x}{second:02x}{third:02x}..)")
    }
}

/// The key that came with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// None came.
    #[default]
    Missing,
    /// Something came that is no key, or more than one.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// Who sent a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Identity {
    /// Not checked: the site has no organisations.
    Unchecked,
    /// Nobody in particular, on a public route.
    Public,
    /// An organisation.
    Organisation(Arc<Organisation>),
}

impl Identity {
    /// Returns the organisation.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Unchecked | Self::Public => None,
        }
    }
}

/// Why the keys of a desired state cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeysError {
    /// Two organisations have the same key.
    #[snafu(display("{first} and {second} have the same key"))]
    SharedKey {
        /// One of them.
        first: Name,
        /// The other one.
        second: Name,
    },
    /// Two organisations have the same name.
    #[snafu(display("two organisations are named {name}"))]
    SharedName {
        /// The name.
        name: Name,
    },
}

/// The organisations of a site by their keys.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    by_digest: IndexMap<KeyDigest, Arc<Organisation>>,
}

impl Keys {
    /// Indexes organisations by their keys. Of two that have the same key the first one counts; [`check`] finds those.
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

    /// Returns who sent a request on a route.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request without a valid key, unless the route is public.
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

/// Checks that names and keys belong to one organisation each.
///
/// # Errors
///
/// Returns the first name or key that does not.
pub fn check(organisations: &[Arc<Organisation>]) -> Result<(), KeysError> {
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
