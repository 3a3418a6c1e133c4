//! The platform's host list over HTTP.

use crate::edge::http::{call_json, client};
use crate::edge::{BoxFuture, HostDirectory};
use crate::membership::message::{
    HostEntry, ListedHost, PlatformList, UpstreamEntry, UpstreamRole,
};
use crate::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Client, Method};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The host list as the platform's protocol page describes it.
#[derive(Debug)]
pub struct HttpHostList {
    client: Client,
    hosts_url: String,
}

#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LineRole {
    Engine,
    Service,
    Entry,
}

#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LineState {
    Live,
    Leaving,
}

#[derive(Serialize, Deserialize)]
struct Line {
    name: Name,
    role: LineRole,
    address: SocketAddr,
    data_centre: Name,
    state: LineState,
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
    hosts: Vec<Line>,
}

#[derive(Deserialize)]
struct Anything {}

impl HttpHostList {
    /// Makes the client of a list.
    pub fn new(hosts_url: &str) -> Self {
        let base = hosts_url.trim_end_matches('/');
        Self {
            client: client(),
            hosts_url: format!("{base}/hosts"),
        }
    }

    async fn read_list(&self) -> Option<PlatformList> {
        let answer = call_json(
            &self.client,
            Method::Get,
            &self.hosts_url,
            None::<&()>,
            CALL_TIMEOUT,
        )
        .await;
        let answer: ListAnswer = answer.ok()?.body?;
        let mut list = PlatformList::default();
        for line in answer.hosts {
            add_line(&mut list, line);
        }
        Some(list)
    }

    async fn put_line(&self, entry: HostEntry, incarnation: Incarnation) {
        let line = Line {
            name: entry.name,
            role: LineRole::Entry,
            address: entry.caller_address,
            data_centre: entry.data_centre,
            state: LineState::Live,
            memory_bytes: 0,
            slots: 0,
            checks_fencing: false,
            incarnation: Some(incarnation),
        };
        // A failed renewal needs no answer: the next one is due within a second.
        let _ = call_json::<Anything>(
            &self.client,
            Method::Post,
            &self.hosts_url,
            Some(&line),
            CALL_TIMEOUT,
        )
        .await;
    }

    async fn delete_line(&self, name: Name) {
        let url = format!("{}/{name}", self.hosts_url);
        let _ = call_json::<Anything>(
            &self.client,
            Method::Delete,
            &url,
            None::<&()>,
            CALL_TIMEOUT,
        )
        .await;
    }
}

fn add_line(list: &mut PlatformList, line: Line) {
    let role = match line.role {
        LineRole::Entry => {
            list.hosts.push(ListedHost {
                name: line.name,
                incarnation: line.incarnation,
            });
            return;
        }
        LineRole::Engine => UpstreamRole::Engine,
        LineRole::Service => UpstreamRole::Service,
    };
    list.upstreams.push(UpstreamEntry {
        name: line.name,
        role,
        address: line.address,
        data_centre: line.data_centre,
        memory_bytes: line.memory_bytes,
        slots: line.slots,
        checks_fencing: line.checks_fencing,
        leaving: line.state == LineState::Leaving,
    });
}

impl HostDirectory for HttpHostList {
    fn list(&self) -> BoxFuture<'_, Option<PlatformList>> {
        Box::pin(self.read_list())
    }

    fn register(&self, entry: HostEntry, incarnation: Incarnation) -> BoxFuture<'_, ()> {
        Box::pin(self.put_line(entry, incarnation))
    }

    fn unregister(&self, name: Name) -> BoxFuture<'_, ()> {
        Box::pin(self.delete_line(name))
    }
}
