//! Registers a stand-in in the host list and keeps it there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};

use crate::client::{CALL_TIMEOUT, JsonClient};
use crate::clock::sleep_ms;
use crate::error::StandInError;
use crate::hosts::{Host, HostState, Role};

/// How often the entry is renewed.
const RENEW_EVERY_MS: u64 = 1000;
/// How long a failed call waits before it is repeated.
const RETRY_AFTER_MS: u64 = 200;
/// How long the removal at the end may take.
const REMOVE_WITHIN: Duration = Duration::from_secs(1);

/// What a host says of itself, apart from its state.
#[derive(Clone, Debug)]
pub struct HostDescription {
    /// The unique name.
    pub name: Arc<str>,
    /// What the host does.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: Arc<str>,
    /// The accelerator memory of an engine.
    pub memory_bytes: Option<u64>,
    /// How many requests an engine batches at once.
    pub slots: Option<u32>,
    /// Whether an engine checks fencing numbers.
    pub checks_fencing: Option<bool>,
}

impl HostDescription {
    fn entry(&self, leaving: bool) -> Host {
        Host {
            name: Arc::clone(&self.name),
            role: self.role,
            address: self.address.to_string().into(),
            data_centre: Arc::clone(&self.data_centre),
            state: match leaving {
                true => HostState::Leaving,
                false => HostState::Live,
            },
            memory_bytes: self.memory_bytes,
            slots: self.slots,
            checks_fencing: self.checks_fencing,
            incarnation: None,
        }
    }
}

/// Serves while renewing the entry, then removes it.
///
/// # Errors
///
/// Fails where the list's address is no URL.
pub async fn registered<F: Future<Output = ()>>(
    hosts_url: Option<&str>,
    description: HostDescription,
    is_leaving: impl Fn() -> bool,
    serving: F,
) -> Result<(), StandInError> {
    let Some(hosts_url) = hosts_url else {
        serving.await;
        return Ok(());
    };
    let client = JsonClient::new(hosts_url, CALL_TIMEOUT)?;
    let renewing = renew_forever(&client, &description, is_leaving);
    serving.or(renewing).await;
    let name = utf8_percent_encode(&description.name, NON_ALPHANUMERIC);
    let path = format!("/hosts/{name}");
    let removal = async {
        client.delete(&path).await;
    };
    let timeout = async {
        smol::Timer::after(REMOVE_WITHIN).await;
    };
    removal.or(timeout).await;
    Ok(())
}

async fn renew_forever(
    client: &JsonClient,
    description: &HostDescription,
    is_leaving: impl Fn() -> bool,
) {
    loop {
        let entry = description.entry(is_leaving());
        let status = client.post("/hosts", &entry).await;
        let accepted = status.is_some_and(|status| status.is_success());
        sleep_ms(if accepted {
            RENEW_EVERY_MS
        } else {
            RETRY_AFTER_MS
        })
        .await;
    }
}
