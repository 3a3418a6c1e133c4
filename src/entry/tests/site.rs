//! One entry host with its upstreams, and a caller.

use super::fake_platform::{FakePlatform, FakeStore};
use super::fake_upstream::{FakeUpstream, Step};
use crate::clock::Clock;
use crate::desired::{CallerLimits, DesiredState, Organisation, Repeat, Route, Service};
use crate::entry::active_request::CallerContext;
use crate::entry::caller;
use crate::entry::follow::follow;
use crate::entry::host::Host;
use crate::entry::metrics::EntryMetrics;
use crate::entry::peers::{AcceptedFingerprints, Peers};
use crate::entry::platform::Table;
use crate::entry::resumption::streams::Streams;
use crate::entry::settings::{EntrySettings, PlatformBounds};
use crate::group::{Generation, Member, Members};
use crate::http1::{BodyReader, Connection, ReadError, ResponseHead};
use crate::ordering::message::SyncRequest;
use crate::prelude::*;
use crate::rate_limit::UpstreamLimitsReport;
use crate::retry::CrashReport;
use crate::test_support;
use crate::upstreams::UpstreamEntry;
use futures_lite::AsyncWriteExt;
use rustix::net::{AddressFamily, SocketType};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;

/// The time limit of a test, longer than any test needs.
const TEST_MS: Millis = Millis(20_000);

/// For how long hosts have known the list of hosts when a test begins, so that they use their share of
/// the retry budget.
pub const LIST_KNOWN_MS: Millis = Millis(60_000);

/// A host, its platform and its upstreams.
pub struct Site {
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The platform's store.
    pub store: Rc<FakeStore>,
    /// The host.
    pub host: Rc<Host<FakePlatform>>,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// Runs a test on a site whose host follows the tables and accepts callers.
pub fn on_site<F: Future<Output = ()>>(test: impl FnOnce(Site) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = executor.clone();
    let run = executor.run(async move {
        let site = Site::start(tasks).await;
        let done = crate::http1::client::with_timeout(TEST_MS, test(site)).await;
        assert!(done.is_some(), "the test did not end within its time limit");
    });
    smol::block_on(run);
}

impl Site {
    async fn start(executor: Rc<LocalExecutor<'static>>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Rc::new(FakeStore::default());
        let metrics = EntryMetrics::new().expect("metrics");
        let platform = FakePlatform(store.clone());
        let host = Host::new(
            settings(address),
            platform,
            Clock::start(),
            metrics,
            Arc::new(AcceptedFingerprints::default()),
        );
        let now = host.now();
        let mut members = host.members.borrow_mut();
        members.replace(now - LIST_KNOWN_MS, Generation::default(), IndexSet::new());
        members.note_contact(now);
        drop(members);
        executor
            .spawn(caller::accept(
                host.clone(),
                executor.clone(),
                listener,
                CallerContext {
                    handoffs: None,
                    streams: Rc::new(Streams::new(None)),
                },
            ))
            .detach();
        executor
            .spawn(follow(host.clone(), Table::Desired, None))
            .detach();
        executor
            .spawn(follow(host.clone(), Table::Upstreams, None))
            .detach();
        Self {
            executor,
            store,
            host,
            address,
        }
    }

    /// Lets the host forget the list of hosts, as at its start.
    pub fn forget_members(&self) {
        *self.host.members.borrow_mut() = Members::default();
    }

    /// Publishes a desired state with one service and these routes.
    pub fn publish_desired(&self, version: u64, routes: Vec<Route>) {
        self.publish_desired_for(version, routes, None);
    }

    /// Publishes a desired state with one service, these routes and these organisations.
    pub fn publish_desired_for(
        &self,
        version: u64,
        routes: Vec<Route>,
        organisations: Option<Vec<Arc<Organisation>>>,
    ) {
        let service = Service {
            max_connections: 100,
            engine: None,
        };
        self.store.write_desired(DesiredState {
            version,
            routes,
            services: [(Name::from("s"), service)].into_iter().collect(),
            limits: CallerLimits::default(),
            organisations,
        });
    }

    /// Puts a desired state with one service and this route into force.
    pub async fn apply_route(&self, route: Route) {
        self.publish_desired(1, vec![route]);
        self.until_version(1).await;
    }

    /// Starts an upstream of the service and lists it.
    pub async fn start_upstream(&self, id: &str, scripts: Vec<Vec<Step>>) -> FakeUpstream {
        let upstream = FakeUpstream::start(&self.executor, scripts).await;
        self.store
            .write_upstream(id, Some(entry(id, upstream.address)));
        self.until(|host| host.upstreams.borrow().get(id).is_some())
            .await;
        upstream
    }

    /// Starts an upstream of the service with this software version and lists it.
    pub async fn start_upstream_of(
        &self,
        id: &str,
        version: &str,
        scripts: Vec<Vec<Step>>,
    ) -> FakeUpstream {
        let upstream = FakeUpstream::start(&self.executor, scripts).await;
        let listed = entry_of(id, version, upstream.address);
        self.store.write_upstream(id, Some(listed));
        self.until(|host| host.upstreams.borrow().get(id).is_some())
            .await;
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
            let listed = entry_of(&format!("next-{n}"), version, upstream.address);
            self.store.write_upstream(&listed.id.clone(), Some(listed));
            upstreams.push(upstream);
        }
        let last = format!("next-{}", versions.len() - 1);
        self.until(|host| host.upstreams.borrow().get(&last).is_some())
            .await;
        upstreams
    }

    /// Waits until a condition holds for the host.
    pub async fn until(&self, holds: impl Fn(&Host<FakePlatform>) -> bool) {
        while !holds(&self.host) {
            Timer::after(Millis(1).to_duration()).await;
        }
    }

    /// Waits until this version of the desired state is in force at the host.
    pub async fn until_version(&self, version: u64) {
        self.until(|host| {
            host.routes
                .borrow()
                .as_ref()
                .is_some_and(|table| table.version == version)
        })
        .await;
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address)
            .await
            .expect("the host listens");
        Caller(Connection::new(stream))
    }

    /// Connects as a caller at another address of this machine.
    pub fn connect_from(&self, address: Ipv4Addr) -> Caller {
        let SocketAddr::V4(host) = self.address else {
            panic!("the host listens at an IPv4 address");
        };
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
        let socket = socket.expect("a socket");
        rustix::net::bind(&socket, &SocketAddrV4::new(address, 0)).expect("a loopback address");
        rustix::net::connect(&socket, &host).expect("the host listens");
        let stream = smol::Async::new(std::net::TcpStream::from(socket)).expect("a stream");
        Caller(Connection::new(stream.into()))
    }

    /// Sends one request on a new connection and returns the answer.
    pub async fn call(&self, request: &str) -> Answer {
        let mut caller = self.connect().await;
        caller.send(request).await;
        caller.answer().await
    }
}

/// A caller's connection.
pub struct Caller(pub Connection<TcpStream>);

/// An answer, with as much of its body as came.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: String,
    /// Whether the complete body came.
    pub is_whole: bool,
}

impl Caller {
    /// Sends bytes.
    pub async fn send(&mut self, bytes: &str) {
        let mut stream = self.0.stream().clone();
        stream
            .write_all(bytes.as_bytes())
            .await
            .expect("the host reads");
    }

    /// Reads an answer.
    pub async fn answer(&mut self) -> Answer {
        self.try_answer().await.expect("an answer")
    }

    /// Reads an answer whose body need not be text, and returns its body as far as it came.
    pub async fn answer_bytes(&mut self) -> Vec<u8> {
        let head = self.0.read_response_head(64 << 10, false).await;
        self.read_body(&head.expect("an answer")).await.0
    }

    /// Reads an answer and drops its body; tells whether the body was complete.
    pub async fn skip_answer(&mut self) -> bool {
        let head = self.0.read_response_head(64 << 10, false).await;
        let mut reader = BodyReader::new(head.expect("an answer").framing);
        loop {
            match reader.next(&mut self.0).await {
                // Leaves the host a turn, as another process would.
                Ok(Some(_)) => futures_lite::future::yield_now().await,
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    /// Reads an answer, or returns why there is none.
    pub async fn try_answer(&mut self) -> Result<Answer, ReadError> {
        let head = self.0.read_response_head(64 << 10, false).await?;
        let (body, is_whole) = self.read_body(&head).await;
        Ok(Answer {
            head,
            body: String::from_utf8(body).expect("text"),
            is_whole,
        })
    }

    async fn read_body(&mut self, head: &ResponseHead) -> (Vec<u8>, bool) {
        let mut reader = BodyReader::new(head.framing);
        let mut body = Vec::new();
        let is_whole = loop {
            match reader.next(&mut self.0).await {
                Ok(Some(piece)) => body.extend(piece),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        (body, is_whole)
    }
}

/// Returns a route `/a/` of the host `x`; a test changes what it needs.
pub fn route(repeat: Repeat) -> Route {
    Route {
        host: "x".into(),
        path_prefix: "/a/".into(),
        repeat,
        time_limit_ms: Millis(10_000),
        attempts: 2,
        ..test_support::route()
    }
}

/// Returns the entry of a ready upstream of the service.
pub fn entry(id: &str, address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        born_at: Millis::ZERO,
        service: "s".into(),
        address,
        data_centre: "here".into(),
        software_version: Some("v1".into()),
        slots: 4,
        leaving: false,
        order_count: 0,
        models: Vec::new(),
    }
}

/// Returns the entry of a ready upstream of the service with this software version.
pub fn entry_of(id: &str, version: &str, address: SocketAddr) -> UpstreamEntry {
    UpstreamEntry {
        software_version: Some(version.into()),
        ..entry(id, address)
    }
}

/// Returns the settings of a host that uses this one address for everything.
pub fn settings(address: SocketAddr) -> EntrySettings {
    EntrySettings {
        name: "entry-1".into(),
        data_centre: "here".into(),
        caller_listen: address,
        directory_listen: address,
        ready_listen: address,
        peer_listen: address,
        metrics_listen: address,
        store: address,
        max_descriptors: 1_000,
        cpu_share: 0.25,
        cpu_speed: 1.0,
        bounds: PlatformBounds {
            stop_s: 8.0,
            contact_ms: Millis(3_000),
            apply_ms: Millis(2_000),
            drain_ms: Millis(2_000),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
            order_lease_ms: Millis(3_000),
            directory_ttl_s: 5.0,
            member_lapse_ms: Millis(1_000),
            limit_tolerance: 0.0,
        },
    }
}

/// Returns the message of a host that has nothing to report and knows nothing.
pub fn sync_request_from(incarnation: u64) -> SyncRequest {
    SyncRequest {
        incarnation,
        is_for_orderer: false,
        is_urgent: false,
        view_version: (0, 0),
        members_generation: Generation::default(),
        demand: Vec::new(),
        event_gaps: Vec::new(),
        work: Vec::new(),
        desired_version: None,
        upstreams_from: None,
        upstream_rows: Vec::new(),
        members: None,
        through: 0,
        usage: Vec::new(),
        lines: Vec::new(),
        crashes: CrashReport::default(),
        upstream_limits: UpstreamLimitsReport::default(),
        loads: Vec::new(),
    }
}

/// Binds an endpoint for calls between hosts to a free port.
pub fn bind_peers(executor: &Arc<smol::Executor<'static>>) -> Rc<Peers> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Peers::bind(any, executor.clone()).expect("a free port")
}

/// Returns a host as the group lists it.
pub fn as_member(host: &Host<FakePlatform>, peers: &Peers, cpu_millicores: u32) -> Member {
    let address = peers.address().expect("an address");
    Member {
        caller_address: address,
        peer_address: address,
        data_centre: "here".into(),
        incarnation: host.incarnation,
        fingerprint: peers.fingerprint.clone(),
        cpu_millicores,
    }
}

/// Makes another host, with a store of its own.
pub fn another_host(
    address: SocketAddr,
    store: Rc<FakeStore>,
    peers: &Peers,
) -> Rc<Host<FakePlatform>> {
    let metrics = EntryMetrics::new().expect("metrics");
    Host::new(
        settings(address),
        FakePlatform(store),
        Clock::start(),
        metrics,
        peers.accepted.clone(),
    )
}
