//! Client of the platform's host list, over HTTP.

use crate::edge::exchange::{authority_of, call_json};
use crate::edge::{BoxFuture, HostDirectory};
use crate::http1::Target;
use crate::json::{RawRow, decode_row};
use crate::membership::message::{
    HostEntry, ListedHost, PlatformList, UpstreamEntry, UpstreamRole,
};
use crate::prelude::*;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use trillium::Method;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const HOSTS_PATH: &str = "/hosts";
/// The most entries of one list that the log names.
const MAX_LOGGED_ENTRIES: usize = 16;

/// The host list over HTTP, as `docs/design/platform-protocols.md` specifies it.
#[derive(Debug)]
pub struct HttpHostList {
    authority: String,
    /// The errors about the entries of the last list that could not be decoded.
    undecodable: Mutex<Vec<String>>,
}

#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EntryRole {
    Engine,
    Service,
    Entry,
}

#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EntryState {
    Live,
    Leaving,
}

#[derive(Serialize, Deserialize)]
struct ListEntry {
    name: Name,
    role: EntryRole,
    address: SocketAddr,
    data_centre: Name,
    state: EntryState,
    #[serde(default)]
    memory_bytes: u64,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    checks_fencing: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    incarnation: Option<Incarnation>,
}

#[derive(Deserialize)]
struct ListAnswer {
    hosts: Vec<RawRow>,
}

#[derive(Deserialize)]
struct IgnoredAnswer {}

impl HttpHostList {
    /// Creates a client for the list at `hosts_url`.
    pub fn new(hosts_url: &str) -> Self {
        Self {
            authority: authority_of(hosts_url).to_string(),
            undecodable: Mutex::default(),
        }
    }

    async fn read_list(&self) -> Option<PlatformList> {
        let target = Target::new(HOSTS_PATH);
        let call = call_json(
            Method::Get,
            &self.authority,
            &target,
            None::<&()>,
            CALL_TIMEOUT,
        );
        let answer: ListAnswer = call.await.ok()?.body?;
        let mut list = PlatformList::default();
        let mut undecodable = Vec::new();
        for row in &answer.hosts {
            match decode_row(row) {
                Ok(listed) => add_entry(&mut list, listed),
                Err(why) if undecodable.len() < MAX_LOGGED_ENTRIES => undecodable.push(why),
                Err(_) => {}
            }
        }
        self.log_undecodable(undecodable);
        Some(list)
    }

    /// Writes a log line about each entry that could not be decoded, if they are others than those of
    /// the list before.
    fn log_undecodable(&self, undecodable: Vec<String>) {
        let mut logged = self
            .undecodable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *logged != undecodable {
            for why in &undecodable {
                LogEvent::RecordUndecodable.write(&format!("list=hosts error={why:?}"));
            }
            *logged = undecodable;
        }
    }

    async fn register_entry(&self, entry: HostEntry, incarnation: Incarnation) {
        let registration = ListEntry {
            name: entry.name,
            role: EntryRole::Entry,
            address: entry.caller_address,
            data_centre: entry.data_centre,
            state: EntryState::Live,
            memory_bytes: 0,
            slots: 0,
            checks_fencing: false,
            incarnation: Some(incarnation),
        };
        // A failed renewal is ignored, as the next one follows within a second.
        let _ = call_json::<IgnoredAnswer>(
            Method::Post,
            &self.authority,
            &Target::new(HOSTS_PATH),
            Some(&registration),
            CALL_TIMEOUT,
        )
        .await;
    }

    async fn unregister_entry(&self, name: Name) {
        let target = Target::new(HOSTS_PATH).segment(&name);
        let _ = call_json::<IgnoredAnswer>(
            Method::Delete,
            &self.authority,
            &target,
            None::<&()>,
            CALL_TIMEOUT,
        )
        .await;
    }
}

fn add_entry(list: &mut PlatformList, listed: ListEntry) {
    let role = match listed.role {
        EntryRole::Entry => {
            list.hosts.push(ListedHost {
                name: listed.name,
                incarnation: listed.incarnation,
            });
            return;
        }
        EntryRole::Engine => UpstreamRole::Engine,
        EntryRole::Service => UpstreamRole::Service,
    };
    list.upstreams.push(UpstreamEntry {
        name: listed.name,
        role,
        address: listed.address,
        data_centre: listed.data_centre,
        memory_bytes: listed.memory_bytes,
        slots: listed.slots,
        checks_fencing: listed.checks_fencing,
        leaving: listed.state == EntryState::Leaving,
    });
}

impl HostDirectory for HttpHostList {
    fn list(&self) -> BoxFuture<'_, Option<PlatformList>> {
        Box::pin(self.read_list())
    }

    fn register(&self, entry: HostEntry, incarnation: Incarnation) -> BoxFuture<'_, ()> {
        Box::pin(self.register_entry(entry, incarnation))
    }

    fn unregister(&self, name: Name) -> BoxFuture<'_, ()> {
        Box::pin(self.unregister_entry(name))
    }
}
