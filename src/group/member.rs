//! The entry of one host in the group, and its text form on the platform's store.

use crate::prelude::*;
use std::net::SocketAddr;

/// One host process as the group lists it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The address where callers connect.
    pub caller_address: SocketAddr,
    /// The address where other hosts connect.
    pub peer_address: SocketAddr,
    /// The name of the host's data centre.
    pub data_centre: Name,
    /// A random number that the process draws at its start; it tells restarts of a host apart.
    pub incarnation: u64,
    /// The SHA-256 of the certificate that the host shows to other hosts, as hex digits.
    pub fingerprint: Name,
    /// The host's CPU capacity in thousandths of a core; zero if it does not state it.
    #[serde(default)]
    pub cpu_millicores: u32,
}

impl Member {
    /// Formats the member as the name under which it joins the group on the store.
    pub fn to_text(&self) -> String {
        let Self {
            caller_address,
            peer_address,
            data_centre,
            incarnation,
            fingerprint,
            cpu_millicores,
        } = self;
        format!(
            "{caller_address};{peer_address};{data_centre};{incarnation:x};{fingerprint};{cpu_millicores}"
        )
    }

    /// Parses the name of a member on the store. Returns `None` for the format of an unknown
    /// release. A name without the CPU capacity is accepted, since the previous release wrote none.
    pub fn from_text(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        Some(Self {
            caller_address: parts.next()?.parse().ok()?,
            peer_address: parts.next()?.parse().ok()?,
            data_centre: parts.next()?.into(),
            incarnation: u64::from_str_radix(parts.next()?, 16).ok()?,
            fingerprint: parts.next()?.into(),
            cpu_millicores: parts.next().and_then(|part| part.parse().ok()).unwrap_or(0),
        })
    }

    /// Returns the sort key of hosts for work on behalf of others: the highest CPU capacity first,
    /// ties by incarnation. Incarnations are random and known to every host, so all hosts get the
    /// same order.
    pub fn capacity_rank(&self) -> (std::cmp::Reverse<u32>, u64) {
        (std::cmp::Reverse(self.cpu_millicores), self.incarnation)
    }
}
