//! Several entry hosts that call each other, and upstreams that some of them do not reach.

use super::fake_platform::{FakePlatform, FakeStore};
use super::fake_upstream::{FakeUpstream, Step};
use super::host_executors::{HostExecutors, Standstill};
use super::site::{
    Answer, Caller, LIST_KNOWN_MS, as_member, bind_peers, entry, entry_of, settings,
};
use crate::clock::Clock;
use crate::desired::{
    CallerLimits, DesiredState, LimitUnit, Organisation, RateLimit, Route, Service,
};
use crate::entry::active_request::CallerContext;
use crate::entry::caller;
use crate::entry::follow::follow;
use crate::entry::handoff::Handoffs;
use crate::entry::host::Host;
use crate::entry::lease_manager;
use crate::entry::metrics::EntryMetrics;
use crate::entry::peers::{self, Peers};
use crate::entry::places;
use crate::entry::platform::Table;
use crate::entry::resumption::store::keep_in_store;
use crate::entry::resumption::streams::{Streams, send_records, send_to_writers};
use crate::group::Member;
use crate::http1::Connection;
use crate::http1::client::with_timeout;
use crate::identity::KeyDigest;
use crate::ordering::host_reports::HostReport;
use crate::prelude::*;
use crate::resumption::StreamKey;
use crate::test_support::generation;
use crate::upstreams::UpstreamEntry;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task, Timer};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// The time limit of a test, longer than any test needs.
const TEST_MS: Millis = Millis(20_000);

/// How a host is cut off from an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// New connections are refused.
    Refuses,
    /// New connections are never opened.
    Hangs,
}

/// One host of a [`Hosts`].
pub struct OneHost {
    /// The host.
    pub host: Rc<Host<FakePlatform>>,
    /// Its endpoint for calls to other hosts.
    pub peers: Rc<Peers>,
    /// Where callers connect.
    pub address: SocketAddr,
    handoffs: Rc<Handoffs>,
    /// The versions of streams that it knows.
    pub streams: Rc<Streams>,
    /// The platform's store as it reaches it.
    pub store: Rc<FakeStore>,
    executors: HostExecutors,
    tasks: Vec<Task<()>>,
}

/// Hosts that list each other, with a copy of the platform's store each.
pub struct Hosts {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The hosts.
    pub hosts: Vec<OneHost>,
    unreachable: Unreachable,
}

/// Runs a test on hosts that follow the tables, accept callers and call each other.
pub fn on_hosts<F: Future<Output = ()>>(count: usize, test: impl FnOnce(Hosts) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    let run = executor.run(async move {
        let hosts = Hosts::start(tasks, count).await;
        let done = with_timeout(TEST_MS, test(hosts)).await;
        assert!(done.is_some(), "the test did not end within its time limit");
    });
    smol::block_on(run);
}

impl Hosts {
    async fn start(executor: Rc<LocalExecutor<'static>>, count: usize) -> Self {
        let first = FakeStore::default();
        let stores = (0..count).map(|_| Rc::new(first.sharing_stored()));
        let mut hosts = Self {
            executor,
            hosts: Vec::new(),
            unreachable: Unreachable::new(),
        };
        hosts.start_on(stores.collect()).await;
        hosts
    }

    /// Starts one host for each store.
    async fn start_on(&mut self, stores: Vec<Rc<FakeStore>>) {
        let mut listeners = Vec::new();
        for store in stores {
            let (listener, address) = listen().await;
            let executors = HostExecutors::run_on(&self.executor);
            self.hosts.push(OneHost::new(address, store, executors));
            listeners.push(listener);
        }
        self.list_members();
        for (one, listener) in self.hosts.iter_mut().zip(listeners) {
            one.run(listener);
        }
    }

    /// Tells every host which hosts the group has now.
    fn list_members(&self) {
        let list: IndexSet<Member> = self.hosts.iter().map(OneHost::member).collect();
        let known = self.hosts.iter().map(|one| {
            let members = one.host.members.borrow();
            members.generation().number
        });
        let next = generation(known.max().unwrap_or(0) + 1);
        for one in &self.hosts {
            let now = one.host.now();
            let mut members = one.host.members.borrow_mut();
            members.replace(now - LIST_KNOWN_MS, next, list.clone());
            members.note_contact(now);
            drop(members);
            one.host.apply_member_list();
        }
    }

    /// Kills these hosts at once, and starts them again without anything that they knew. They may not
    /// have read the store yet.
    pub async fn begin_restart(&mut self, lost: &[usize]) {
        for number in lost {
            self.hosts[*number].tasks.clear();
            self.hosts[*number].peers.close();
        }
        let mut listeners = Vec::new();
        for number in lost {
            let (listener, address) = listen().await;
            let store = self.hosts[*number].store.clone();
            let executors = HostExecutors::run_on(&self.executor);
            self.hosts[*number] = OneHost::new(address, store, executors);
            listeners.push(listener);
        }
        self.list_members();
        for (number, listener) in lost.iter().zip(listeners) {
            self.hosts[*number].run(listener);
        }
    }

    /// Kills these hosts at once, and starts them again without anything that they knew.
    pub async fn restart(&mut self, lost: &[usize]) {
        self.begin_restart(lost).await;
        for number in lost {
            self.hosts[*number].has_read_tables().await;
        }
    }

    /// Kills all hosts, and starts them again without anything that they knew.
    pub async fn restart_all(&mut self) {
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.restart(&all).await;
    }

    /// Lets the last host leave the group; it goes on to run.
    pub fn take_out_last(&mut self) -> OneHost {
        let left = self.hosts.pop().expect("a host");
        self.list_members();
        left
    }

    /// Returns how many rows about streams the store keeps, and how many writes it took.
    pub fn stored(&self) -> (usize, usize) {
        let store = &self.hosts[0].store;
        let stored = store.stored.borrow();
        let streams = stored.keys().filter(|key| key.starts_with("streams/"));
        (streams.count(), store.stored_writes.get())
    }

    /// Puts a desired state with one service and this route into force at every host.
    pub async fn apply_route(&self, route: Route) {
        for one in &self.hosts {
            one.apply_route(1, route.clone()).await;
        }
    }

    /// Puts a desired state with one service, this route and an organisation that has the key
    /// `key-1` and a limit into force at every host.
    pub async fn apply_limited_route(&self, route: Route) {
        let limit = RateLimit {
            unit: LimitUnit::Requests,
            per_s: 1_000.0,
            burst: 1_000.0,
        };
        let organisation = Arc::new(Organisation {
            name: "o".into(),
            keys: [KeyDigest::of(b"key-1")].into_iter().collect(),
            rank: None,
            rate_limit: Some(limit),
        });
        for one in &self.hosts {
            let organisations = Some(vec![organisation.clone()]);
            one.apply(1, route.clone(), organisations).await;
        }
    }

    /// Lets a host claim and keep the lease. The other hosts report to it.
    pub fn manage_lease(&self, host: usize) {
        let one = &self.hosts[host];
        let manage = lease_manager::manage_lease(
            one.host.clone(),
            one.peers.clone(),
            one.member(),
            one.handoffs.clone(),
        );
        self.executor.spawn(manage).detach();
        let incarnations = self.hosts.iter().map(|one| one.host.incarnation).collect();
        let report = report_hosts(one.host.clone(), incarnations);
        self.executor.spawn(report).detach();
    }

    /// Starts an upstream of the service and lists it at every host.
    pub async fn start_upstream(&self, id: &str, scripts: Vec<Vec<Step>>) -> FakeUpstream {
        self.start_upstream_of(id, "v1", scripts).await
    }

    /// Starts an upstream with this software version and lists it at every host.
    pub async fn start_upstream_of(
        &self,
        id: &str,
        version: &str,
        scripts: Vec<Vec<Step>>,
    ) -> FakeUpstream {
        let upstream = FakeUpstream::start(&self.executor, scripts).await;
        for one in &self.hosts {
            one.list(entry_of(id, version, upstream.address)).await;
        }
        upstream
    }

    /// Starts upstreams with these software versions and lists them at the same moment.
    pub async fn start_upstreams_of(
        &self,
        versions: &[&str],
        scripts: Vec<Vec<Step>>,
    ) -> Vec<FakeUpstream> {
        let mut upstreams = Vec::new();
        for (n, version) in versions.iter().enumerate() {
            let upstream = FakeUpstream::start(&self.executor, scripts.clone()).await;
            for one in &self.hosts {
                let listed = entry_of(&format!("next-{n}"), version, upstream.address);
                one.store.write_upstream(&listed.id.clone(), Some(listed));
            }
            upstreams.push(upstream);
        }
        let last = format!("next-{}", versions.len() - 1);
        for one in &self.hosts {
            until(|| one.host.upstreams.borrow().get(&last).is_some()).await;
        }
        upstreams
    }

    /// Cuts the path of a host to an upstream. Its open connections stay.
    pub async fn cut(&self, host: usize, id: &str, cut: Cut) {
        let address = match cut {
            Cut::Refuses => self.unreachable.refuses,
            Cut::Hangs => self.unreachable.hangs,
        };
        self.hosts[host].list(entry(id, address)).await;
    }

    /// Gives a host the path to an upstream again.
    pub async fn heal(&self, host: usize, id: &str, upstream: &FakeUpstream) {
        self.hosts[host].list(entry(id, upstream.address)).await;
    }

    /// Sends one request to a host on a new connection and returns the answer.
    pub async fn call(&self, host: usize, request: &str) -> Answer {
        let mut caller = self.connect(host).await;
        caller.send(request).await;
        caller.answer().await
    }

    /// Connects to a host as a caller.
    pub async fn connect(&self, host: usize) -> Caller {
        let stream = TcpStream::connect(self.hosts[host].address).await;
        Caller(Connection::new(stream.expect("the host listens")))
    }
}

impl OneHost {
    fn new(address: SocketAddr, store: Rc<FakeStore>, executors: HostExecutors) -> Self {
        let peers = bind_peers(&executors.quic);
        let host = Host::new(
            settings(address),
            FakePlatform(store.clone()),
            Clock::start(),
            EntryMetrics::new().expect("metrics"),
            peers.accepted.clone(),
        );
        let me = Member {
            caller_address: address,
            ..as_member(&host, &peers, 0)
        };
        host.places.connect(peers.clone());
        Self {
            host,
            handoffs: Rc::new(Handoffs::new(peers.clone(), me.clone())),
            streams: Rc::new(Streams::new(Some((peers.clone(), me)))),
            peers,
            address,
            store,
            executors,
            tasks: Vec::new(),
        }
    }

    /// Lets the host, or its links to the others, stand still or go on.
    pub fn set_standing_still(&self, what: Standstill, stands_still: bool) {
        self.executors.set_standing_still(what, stands_still);
    }

    fn run(&mut self, listener: TcpListener) {
        let executor = self.executors.own.clone();
        let (host, streams) = (self.host.clone(), self.streams.clone());
        let context = CallerContext {
            handoffs: Some(self.handoffs.clone()),
            streams: streams.clone(),
        };
        let accept = caller::accept(host.clone(), executor.clone(), listener, context);
        let serve = peers::serve(
            host.clone(),
            self.peers.clone(),
            streams.clone(),
            executor.clone(),
        );
        self.tasks = vec![
            executor.spawn(accept),
            executor.spawn(serve),
            executor.spawn(follow(host.clone(), Table::Desired, None)),
            executor.spawn(follow(host.clone(), Table::Upstreams, None)),
            executor.spawn(send_records(streams.clone(), executor.clone())),
            executor.spawn(send_to_writers(streams.clone(), executor.clone())),
            executor.spawn(keep_in_store(host.clone(), streams.clone())),
            executor.spawn(sweep(host.clone(), streams)),
            executor.spawn(places::send_updates(host, executor.clone())),
        ];
    }

    /// Waits until the host has read the desired state and the list of upstreams.
    pub async fn has_read_tables(&self) {
        until(|| self.host.routes.borrow().is_some()).await;
        until(|| self.host.upstreams.borrow().versions().restarts() > 0).await;
    }

    /// Waits until the host has read what the store keeps about streams.
    pub async fn has_read_store(&self) {
        let key = StreamKey::of("any");
        until(|| self.streams.store.has_read(&self.host, key)).await;
    }

    fn member(&self) -> Member {
        Member {
            caller_address: self.address,
            ..as_member(&self.host, &self.peers, 0)
        }
    }

    /// Puts a desired state with one service and this route into force.
    pub async fn apply_route(&self, version: u64, route: Route) {
        self.apply(version, route, None).await;
    }

    async fn apply(
        &self,
        version: u64,
        route: Route,
        organisations: Option<Vec<Arc<Organisation>>>,
    ) {
        let service = Service {
            max_connections: 100,
            engine: None,
        };
        self.store.write_desired(DesiredState {
            version,
            routes: vec![route],
            services: [(Name::from("s"), service)].into_iter().collect(),
            limits: CallerLimits::default(),
            organisations,
        });
        let is_in_force = || {
            let table = self.host.routes.borrow();
            table.as_ref().is_some_and(|table| table.version == version)
        };
        until(is_in_force).await;
    }

    /// Removes an upstream from the host's list.
    pub async fn unlist(&self, id: &str) {
        self.store.write_upstream(id, None);
        until(|| self.host.upstreams.borrow().get(id).is_none()).await;
    }

    /// Lists an upstream at the host.
    pub async fn list(&self, entry: UpstreamEntry) {
        self.store.write_upstream(&entry.id, Some(entry.clone()));
        let is_listed = || {
            let upstreams = self.host.upstreams.borrow();
            let known = upstreams.get(&entry.id);
            known.is_some_and(|known| known.address() == entry.address)
        };
        until(is_listed).await;
    }
}

/// Settles the records of streams from time to time.
async fn sweep(host: Rc<Host<FakePlatform>>, streams: Rc<Streams>) {
    loop {
        streams.sweep(&host);
        Timer::after(Millis(20).to_duration()).await;
    }
}

/// Listens for callers.
async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Waits until a condition holds.
pub async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        Timer::after(Millis(1).to_duration()).await;
    }
}

/// Addresses at which no connection can be opened.
struct Unreachable {
    refuses: SocketAddr,
    hangs: SocketAddr,
    /// Keeps the port of `refuses`.
    _bound: OwnedFd,
    /// Keeps the listener of `hangs`, and the connections that fill its queue.
    _queue: (std::net::TcpListener, Vec<smol::Async<std::net::TcpStream>>),
}

impl Unreachable {
    fn new() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let (bound, refuses) = bound_socket();
        let full = std::net::TcpListener::bind(any).expect("a free port");
        rustix::net::listen(&full, 0).expect("a shorter queue");
        let hangs = full.local_addr().expect("an address");
        // The kernel drops the first packet of a connection while the queue is full.
        let waiting = (0..4).map(|_| begin_connection(hangs)).collect();
        Self {
            refuses,
            hangs,
            _bound: bound,
            _queue: (full, waiting),
        }
    }
}

/// Binds a socket that does not listen, so that nothing else listens at its address.
fn bound_socket() -> (OwnedFd, SocketAddr) {
    use rustix::net::{AddressFamily, SocketType};
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    rustix::net::bind(&socket, &any).expect("a free port");
    let address = rustix::net::getsockname(&socket).expect("an address");
    let address = SocketAddr::try_from(address).expect("an IP address");
    (socket, address)
}

fn begin_connection(address: SocketAddr) -> smol::Async<std::net::TcpStream> {
    use rustix::net::{AddressFamily, SocketType};
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let stream = std::net::TcpStream::from(socket.expect("a socket"));
    let stream = smol::Async::new(stream).expect("a stream");
    // It does not block, so it is pending.
    let _is_pending = rustix::net::connect(&stream, &address);
    stream
}

/// Reports these hosts to the orderer, for as long as the future is polled.
pub async fn report_hosts(orderer: Rc<Host<FakePlatform>>, incarnations: Vec<u64>) {
    loop {
        for incarnation in &incarnations {
            let mut orders = orderer.orders.borrow_mut();
            let report = HostReport::default();
            orders.demand.record(orderer.now(), *incarnation, report);
        }
        Timer::after(Millis(50).to_duration()).await;
    }
}
