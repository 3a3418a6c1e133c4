//! Hosts that exchange state, each with a store of its own that may turn it away. Only the stream of
//! leases is common to all stores.

use super::fake_platform::{FakePlatform, FakeStore};
use super::relay_pair::until;
use super::site::{LIST_KNOWN_MS, as_member, bind_peers, entry, settings};
use crate::clock::Clock;
use crate::desired::DesiredState;
use crate::entry::desired_exchange;
use crate::entry::follow::follow;
use crate::entry::handoff::Handoffs;
use crate::entry::host::Host;
use crate::entry::lease_manager;
use crate::entry::metrics::EntryMetrics;
use crate::entry::peers::{self, Peers};
use crate::entry::platform::Table;
use crate::entry::resumption::streams::Streams;
use crate::entry::sync;
use crate::entry::table_rows::active_version;
use crate::entry::table_sources::TableSources;
use crate::group::{Member, Members};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::test_support::{generation, member};
use smol::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;

/// The time limit of a test, longer than any test needs.
const TEST_MS: Millis = Millis(20_000);

/// One of the hosts.
pub struct ExchangingHost {
    pub host: Rc<Host<FakePlatform>>,
    pub store: Rc<FakeStore>,
    peers: Rc<Peers>,
    me: Member,
}

impl ExchangingHost {
    /// Returns the version of the desired state in force.
    pub fn version(&self) -> Option<u64> {
        active_version(&self.host)
    }

    /// Waits until this version is in force.
    pub async fn until_version(&self, version: u64) {
        until(|| self.version() == Some(version)).await;
    }

    fn replace_members(&self, list: IndexSet<Member>) {
        let now = self.host.now();
        let mut members = self.host.members.borrow_mut();
        let next = members.generation().number + 1;
        members.replace(now - LIST_KNOWN_MS, generation(next), list);
        members.note_contact(now);
        drop(members);
        self.host.apply_member_list();
    }
}

/// The hosts of a site.
pub struct ExchangingHosts {
    executor: Rc<LocalExecutor<'static>>,
    pub hosts: Vec<ExchangingHost>,
    absent: Vec<Member>,
}

/// Runs a test on hosts with these CPU capacities, of which none runs yet. The group also lists
/// `absent` hosts, which cannot be reached.
pub fn on_exchanging_hosts<F: Future<Output = ()>>(
    capacities: &[u32],
    absent: Vec<Member>,
    test: impl FnOnce(ExchangingHosts) -> F,
) {
    let executor = Rc::new(LocalExecutor::new());
    let shared = Arc::new(smol::Executor::new());
    let first = FakeStore::default();
    let hosts = capacities.iter().map(|cpu_millicores| {
        let store = Rc::new(first.as_reached_by_another_host());
        let peers = bind_peers(&shared);
        let host = Host::new(
            settings(SocketAddr::from(([127, 0, 0, 1], 9))),
            FakePlatform(store.clone()),
            Clock::start(),
            EntryMetrics::new().expect("metrics"),
            peers.accepted.clone(),
        );
        let me = as_member(&host, &peers, *cpu_millicores);
        ExchangingHost {
            host,
            store,
            peers,
            me,
        }
    });
    let site = ExchangingHosts {
        hosts: hosts.collect(),
        executor: executor.clone(),
        absent,
    };
    for one in &site.hosts {
        one.replace_members(site.members());
    }
    let run = executor.run(async move {
        let done = with_timeout(TEST_MS, test(site)).await;
        assert!(done.is_some(), "the test did not end within its time limit");
    });
    smol::block_on(shared.run(run));
}

/// Returns hosts of other data centres that cannot be reached, enough for a site to have relays.
pub fn absent_hosts() -> Vec<Member> {
    (100..164).map(|n| member(n, "there", 120)).collect()
}

impl ExchangingHosts {
    fn members(&self) -> IndexSet<Member> {
        let present = self.hosts.iter().map(|one| one.me.clone());
        present.chain(self.absent.iter().cloned()).collect()
    }

    /// Starts all tasks of a host that have to do with tables.
    pub fn start(&self, number: usize) {
        let one = &self.hosts[number];
        let sources = TableSources {
            peers: one.peers.clone(),
            me: one.me.clone(),
        };
        let (host, tasks) = (one.host.clone(), &self.executor);
        for table in [Table::Desired, Table::Upstreams] {
            let follow = follow(host.clone(), table, Some(sources.clone()));
            tasks.spawn(follow).detach();
        }
        let sync = sync::sync(host.clone(), one.peers.clone(), one.me.clone());
        tasks.spawn(sync).detach();
        let fetch = desired_exchange::fetch_newer(host.clone(), one.peers.clone());
        tasks.spawn(fetch).detach();
        let exchange = desired_exchange::exchange_with_neighbours(
            host.clone(),
            one.peers.clone(),
            one.me.clone(),
            tasks.clone(),
        );
        tasks.spawn(exchange).detach();
        let streams = Rc::new(Streams::new(None));
        let serve = peers::serve(host, one.peers.clone(), streams, tasks.clone());
        tasks.spawn(serve).detach();
    }

    pub fn start_all(&self) {
        (0..self.hosts.len()).for_each(|number| self.start(number));
    }

    /// Starts all hosts with this orderer, and puts version 1 in force everywhere.
    pub async fn start_with_orderer(&self, number: usize) {
        self.start_all();
        self.make_orderer(number).await;
        self.publish(1);
        self.until_version_everywhere(1).await;
    }

    /// Lets a host become the orderer, and the others know it.
    pub async fn make_orderer(&self, number: usize) {
        self.claim_lease(number).await;
        let one = &self.hosts[number];
        for other in self.hosts.iter().filter(|other| other.me != one.me) {
            let mut orders = other.host.orders.borrow_mut();
            orders.note_named_orderer(one.me.clone());
        }
    }

    /// Lets a host become the orderer once the lease is free.
    pub async fn claim_lease(&self, number: usize) {
        let one = &self.hosts[number];
        let handoffs = Rc::new(Handoffs::new(one.peers.clone(), one.me.clone()));
        let (host, peers) = (one.host.clone(), one.peers.clone());
        let manage = lease_manager::manage_lease(host, peers, one.me.clone(), handoffs);
        self.executor.spawn(manage).detach();
        until(|| one.host.is_orderer()).await;
    }

    /// Publishes a desired state in the stores of all hosts.
    pub fn publish(&self, version: u64) {
        for one in &self.hosts {
            let state = DesiredState {
                version,
                ..DesiredState::default()
            };
            one.store.write_desired(state);
        }
    }

    /// Lists an upstream in the stores of all hosts, or removes it from there.
    pub fn list_upstream(&self, id: &str, is_listed: bool) {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let entry = is_listed.then(|| entry(id, address));
        for one in &self.hosts {
            one.store.write_upstream(id, entry.clone());
        }
    }

    /// Waits until every host lists an upstream, or none does.
    pub async fn until_listed_everywhere(&self, id: &str, is_listed: bool) {
        for one in &self.hosts {
            until(|| one.host.upstreams.borrow().get(id).is_some() == is_listed).await;
        }
    }

    /// Waits until a version is in force at every host.
    pub async fn until_version_everywhere(&self, version: u64) {
        for one in &self.hosts {
            one.until_version(version).await;
        }
    }

    /// Lets the store turn these hosts away, and ends the reads that wait there.
    pub fn turn_away(&self, numbers: &[usize]) {
        for number in numbers {
            self.hosts[*number].store.turn_away();
        }
    }

    /// Lets all other hosts know a list without this host, as before its process joined the group.
    pub fn forget(&self, number: usize) {
        let mut list = self.members();
        list.shift_remove(&self.hosts[number].me);
        for one in self
            .hosts
            .iter()
            .filter(|one| one.me != self.hosts[number].me)
        {
            *one.host.members.borrow_mut() = Members::default();
            one.replace_members(list.clone());
        }
    }

    /// Lets a host read the list of all hosts.
    pub fn read_members(&self, number: usize) {
        self.hosts[number].replace_members(self.members());
    }

    /// Lets the store turn these hosts away while the orderer among them keeps the lease, whichever
    /// hosts it asks to renew it.
    pub fn turn_away_but_renew(&self, numbers: &[usize]) {
        for number in numbers {
            self.hosts[*number].store.appends_leases.set(true);
        }
        self.turn_away(numbers);
    }

    /// Removes a host from the lists of all hosts, as when its membership has lapsed.
    pub fn drop_from_lists(&self, number: usize) {
        let lapsed = &self.hosts[number].me;
        let mut list = self.members();
        list.shift_remove(lapsed);
        for one in &self.hosts {
            one.replace_members(list.clone());
        }
    }

    /// Closes the connections between hosts.
    pub fn close_connections(&self) {
        for one in &self.hosts {
            one.peers.close_connections();
        }
    }
}
