//! The state that the tasks of an entry host share.

use crate::clock::Clock;
use crate::desired::RouteTable;
use crate::entry::followed::Followed;
use crate::entry::metrics::EntryMetrics;
use crate::entry::orderer::Orders;
use crate::entry::peers::Known;
use crate::entry::platform::{Platform, StoreCall, StoreError};
use crate::entry::pool::Pool;
use crate::entry::settings::EntrySettings;
use crate::entry::stop::ACCEPT_ON_MS;
use crate::group::parents::{Parents, STALE_MS};
use crate::group::reading::is_begun_or_large;
use crate::group::{Member, Members, Tree};
use crate::http1::client::within;
use crate::ordering::gather::Gather;
use crate::ordering::view::View;
use crate::prelude::*;
use crate::rate_limit::{Limiter, SharedLimits, UpstreamLimits};
use crate::retry::{RetryBudget, RetryState};
use crate::routing::occupancy::Occupancy;
use crate::upstreams::Registry;
use event_listener::{Event as Wakeup, EventListener};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// An entry host. Borrows of its cells end before the next wait.
pub struct Host<P> {
    /// The settings in effect.
    pub settings: RefCell<Rc<EntrySettings>>,
    /// The platform.
    pub platform: P,
    /// The time.
    pub clock: Clock,
    /// The incarnation of this process.
    pub incarnation: u64,
    started_at: Millis,
    /// Counters and latencies.
    pub metrics: EntryMetrics,
    /// Kept connections to upstreams.
    pub pool: Pool,
    /// The desired state in force.
    pub routes: RefCell<Option<Rc<RouteTable>>>,
    /// The upstreams.
    pub upstreams: Rc<RefCell<Registry>>,
    /// How new the platform's tables are here.
    pub followed: Followed,
    /// Whether the list of upstreams was read.
    pub upstreams_known: Cell<bool>,
    /// The other hosts and this one, as the group has them.
    pub members: RefCell<Members>,
    /// Which hosts relay between the others and the orderer.
    pub tree: RefCell<Tree>,
    /// Which of them this host asks.
    pub parents: RefCell<Parents>,
    /// What hosts told this one as their relay.
    pub gather: RefCell<Gather>,
    /// What the orderer says.
    pub view: RefCell<View>,
    /// The state of ordering loads.
    pub orders: RefCell<Orders>,
    /// The certificates of hosts that are accepted.
    pub known_hosts: Arc<Known>,
    /// What callers asked of each model since the orderer was told last.
    pub demand: RefCell<crate::ordering::demand::Demand>,
    /// What is known of requests that are sent again.
    pub retries: RefCell<RetryState>,
    /// What is left of the limits that all hosts keep together.
    pub limits: RefCell<SharedLimits>,
    /// How long requests of each service keep a slot, as this host's answers show.
    pub occupancy: RefCell<IndexMap<Name, Occupancy>>,
    /// When a planned stop was asked for.
    pub stop_asked_at: Cell<Option<Millis>>,
    /// Requests that were read and are not answered.
    pub active_requests: Cell<u32>,
    /// Bytes of request bodies that are held.
    pub held_body_bytes: Cell<u64>,
    /// Connections of callers that are open.
    pub caller_connections: Cell<usize>,
    /// Whether a host was refused that the group did not list when it was read last.
    pub has_unknown_peer: Cell<bool>,
    has_news: Cell<bool>,
    changed: Wakeup,
    wanted: Wakeup,
    refused: Wakeup,
    stopping: Wakeup,
}

impl<P: Platform> Host<P> {
    /// Makes the state of a host that starts.
    pub fn new(
        settings: EntrySettings,
        platform: P,
        clock: Clock,
        metrics: EntryMetrics,
        known_hosts: Arc<Known>,
    ) -> Rc<Self> {
        let limits = SharedLimits {
            organisations: Limiter::new(clock.now(), settings.bounds.limit_tolerance),
            upstreams: UpstreamLimits::new(clock.now()),
        };
        Rc::new(Self {
            limits: RefCell::new(limits),
            settings: RefCell::new(Rc::new(settings)),
            platform,
            started_at: clock.now(),
            clock,
            incarnation: fastrand::u64(..),
            metrics,
            pool: Pool::default(),
            routes: RefCell::default(),
            upstreams: Rc::default(),
            followed: Followed::default(),
            upstreams_known: Cell::new(false),
            members: RefCell::default(),
            tree: RefCell::default(),
            parents: RefCell::default(),
            gather: RefCell::default(),
            view: RefCell::default(),
            orders: RefCell::default(),
            known_hosts,
            demand: RefCell::default(),
            retries: RefCell::default(),
            occupancy: RefCell::default(),
            stop_asked_at: Cell::new(None),
            active_requests: Cell::new(0),
            held_body_bytes: Cell::new(0),
            caller_connections: Cell::new(0),
            has_unknown_peer: Cell::new(false),
            has_news: Cell::new(false),
            changed: Wakeup::new(),
            wanted: Wakeup::new(),
            refused: Wakeup::new(),
            stopping: Wakeup::new(),
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns how long ago this process started.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }

    /// Returns the settings in effect.
    pub fn settings(&self) -> Rc<EntrySettings> {
        self.settings.borrow().clone()
    }

    /// Tells whether a planned stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stop_asked_at.get().is_some()
    }

    /// Tells whether a request that arrives now is served. A stopping host takes requests for a while; one that came
    /// later might not be done before the process is killed.
    pub fn takes_requests(&self) -> bool {
        let asked_at = self.stop_asked_at.get();
        asked_at.is_none_or(|at| self.now() < at + ACCEPT_ON_MS)
    }

    /// Makes a call of the platform's store and counts it.
    ///
    /// # Errors
    ///
    /// Returns the call's error.
    pub async fn count_call<T>(
        &self,
        kind: StoreCall,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let result = call.await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::Trimmed) => "trimmed",
            Err(_) => "no_answer",
        };
        self.metrics.count_store_call(kind, outcome);
        result
    }

    /// Tells whether this host orders loads.
    pub fn is_orderer(&self) -> bool {
        self.orders.borrow().lease.holding().is_some()
    }

    /// Tells whether this host relays between others and the orderer.
    pub fn is_relay(&self) -> bool {
        self.tree.borrow().is_relay(self.incarnation)
    }

    /// Tells whether what this host knows of the orderer is new.
    pub fn hears_orderer(&self, now: Millis) -> bool {
        let answered_at = self.view.borrow().answered_at;
        answered_at.is_some_and(|at| now.since(at) < STALE_MS)
    }

    /// Tells whether the others would refuse this host's calls, and those of hundreds like it: the group does not list it yet. A
    /// host that was listed once is heard on the connections that it has, also after the group dropped it.
    pub fn is_unknown_to_others(&self, me: &Member) -> bool {
        let members = self.members.borrow();
        let was_heard = self.view.borrow().answered_at.is_some();
        let may_be_many = is_begun_or_large(members.count());
        members.known_at().is_some() && may_be_many && !members.lists(me) && !was_heard
    }

    /// Tells whether callers do well to come here.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && self.upstreams_known.get() && !self.is_stopping()
    }

    /// Wakes requests that wait for a change of what this host knows.
    pub fn note_change(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Returns what wakes at the next change. Listen first, then look at the state.
    pub fn next_change(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes the task that speaks with the orderer: there is something that cannot wait for the next turn.
    pub fn note_want(&self) {
        self.has_news.set(true);
        self.wanted.notify(usize::MAX);
    }

    /// Waits until something is to be told to the orderer, or for a while. Returns whether there is something.
    pub async fn wait_for_news(&self, at_most_ms: Millis) -> bool {
        let wanted = self.wanted.listen();
        if !self.has_news.get() {
            within(at_most_ms, wanted).await;
        }
        self.has_news.replace(false)
    }

    /// Returns what wakes when a request begins to wait for a model.
    pub fn next_want(&self) -> EventListener {
        self.wanted.listen()
    }

    /// Takes note that a host was refused: it may have joined since the group was read.
    pub fn note_unknown_peer(&self) {
        self.has_unknown_peer.set(true);
        self.refused.notify(usize::MAX);
    }

    /// Returns what wakes when a host is refused.
    pub fn next_unknown_peer(&self) -> EventListener {
        self.refused.listen()
    }

    /// Accepts connections of the members, and of the orderer also before it is listed.
    pub fn accept_members(&self, orderer: Option<&Member>) {
        let members = self.members.borrow();
        let listed = members.iter().chain(orderer);
        self.known_hosts
            .replace(listed.map(|member| member.fingerprint.clone()).collect());
    }

    /// Takes that the list of members changed: accepts their connections and that of the orderer, and works out the relays.
    pub fn accept_listed(&self) {
        *self.tree.borrow_mut() = Tree::new(self.members.borrow().iter());
        let orderer = self.orders.borrow().holder().cloned();
        self.accept_members(orderer.as_ref());
    }

    /// Begins a planned stop.
    pub fn ask_stop(&self) {
        if !self.is_stopping() {
            self.stop_asked_at.set(Some(self.now()));
            self.stopping.notify(usize::MAX);
            self.note_change();
        }
    }

    /// Returns what wakes when a planned stop begins.
    pub fn next_stop(&self) -> EventListener {
        self.stopping.listen()
    }

    /// Returns how long requests of a service keep a slot.
    pub fn occupancy(&self, service: &Name) -> Occupancy {
        self.occupancy
            .borrow()
            .get(service)
            .copied()
            .unwrap_or_default()
    }

    /// Takes note of how long an answer kept its slot.
    pub fn note_occupied(&self, service: &Name, took_ms: Millis) {
        let mut occupancy = self.occupancy.borrow_mut();
        occupancy.entry(service.clone()).or_default().note(took_ms);
    }

    /// Counts a request for a service in the retry budget.
    pub fn note_request(&self, service: &Name) {
        let now = self.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Takes one repeated send from the retry budget of a service.
    pub fn take_repeat(&self, service: &Name) -> bool {
        let now = self.now();
        let members = self.members.borrow().count();
        self.with_budget(service, |budget| budget.try_take(now, members))
    }

    fn with_budget<T>(&self, service: &Name, with: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let rule = self.settings().budget_rule();
        let mut retries = self.retries.borrow_mut();
        let budget = retries
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(rule, self.started_at, fastrand::f64()));
        with(budget)
    }
}
