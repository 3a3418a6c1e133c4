//! A relay, and a host that may fetch the store's tables from it.

use super::fake_platform::{FakePlatform, FakeStore};
use super::site::{Site, another_host, as_member, bind_peers, entry};
use crate::entry::host::Host;
use crate::entry::peers::{self, Peers};
use crate::entry::resumption::streams::Streams;
use crate::entry::table_sources::TableSources;
use crate::group::Member;
use crate::prelude::*;
use crate::test_support::{generation, member};
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;

/// How many upstreams the relay's list has.
pub const UPSTREAMS: usize = 2_500;

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// A relay that has the list of upstreams (the host of a [`Site`]), and a host behind it whose
/// store refuses every call.
pub struct Pair {
    /// Runs the tasks that QUIC spawns.
    pub shared: Arc<smol::Executor<'static>>,
    /// The host behind the relay.
    pub asking: Rc<Host<FakePlatform>>,
    /// The endpoint of that host for calls to other hosts.
    pub peers: Rc<Peers>,
    /// That host as the group lists it.
    pub me: Member,
    /// The relay as the group lists it.
    pub relay: Member,
}

impl Pair {
    pub async fn new(site: &Site) -> Self {
        Self::with_nearby_hosts(site, Vec::new()).await
    }

    /// Makes the pair in a data centre that also has the hosts `near`.
    pub async fn with_nearby_hosts(site: &Site, near: Vec<Member>) -> Self {
        for n in 0..UPSTREAMS {
            let id = format!("u{n}");
            site.store
                .write_upstream(&id, Some(entry(&id, unused_address())));
        }
        site.until(|host| host.upstreams.borrow().iter().count() == UPSTREAMS)
            .await;
        let shared = Arc::new(smol::Executor::new());
        let (own, other) = (bind_peers(&shared), bind_peers(&shared));
        let store = Rc::new(FakeStore::default());
        store.is_down.set(true);
        let asking = another_host(site.address, store, &other);
        let (relay, me) = (
            as_member(&site.host, &own, 500),
            as_member(&asking, &other, 120),
        );
        let far = (100..164).map(|n| member(n, "there", 120));
        let list: IndexSet<Member> = far.chain(near).chain([relay.clone(), me.clone()]).collect();
        for host in [&site.host, &asking] {
            let now = host.now();
            host.members
                .borrow_mut()
                .replace(now, generation(1), list.clone());
            host.apply_member_list();
        }
        own.accepted.replace([me.fingerprint.clone()].into());
        let serve = peers::serve(
            site.host.clone(),
            own,
            Rc::new(Streams::new(None)),
            site.executor.clone(),
        );
        site.executor.spawn(serve).detach();
        Self {
            shared,
            asking,
            peers: other,
            me,
            relay,
        }
    }

    pub fn sources(&self) -> TableSources {
        TableSources {
            peers: self.peers.clone(),
            me: self.me.clone(),
        }
    }
}

/// Waits until a condition holds.
pub async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        Timer::after(Millis(5).to_duration()).await;
    }
}
