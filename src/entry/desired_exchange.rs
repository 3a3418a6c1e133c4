//! The exchange of versions of the desired state between hosts, so that each host has the newest one
//! that any host in contact with it has, whichever hosts the store answers.
//!
//! Hosts state their version in the reports to their relay or the orderer and in the replies, so a
//! newer version spreads up and down the relay tree. A host that no recent state of the orderer
//! reaches also exchanges versions with a few other hosts. Whoever hears of a newer version fetches
//! the state from the host that has it.

use crate::entry::desired_copy::{self, DesiredCopy};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::entry::sync;
use crate::entry::table_rows::{DesiredOrigin, activate_desired_state, active_version};
use crate::group::Member;
use crate::group::desired_versions::{NewerVersions, NextFetch};
use crate::group::neighbours::Neighbours;
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply, SyncReply, SyncRequest};
use crate::prelude::*;
use event_listener::{Event as Wakeup, EventListener};
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a host that reaches the store waits for its own read before it fetches the state from
/// another host.
const STORE_HEAD_START_MS: Millis = Millis(150);
/// The intervals between exchanges with the orderer or a relay after which a host without a newer
/// state of the orderer exchanges versions with its neighbours.
const STALE_INTERVALS: u64 = 3;
/// The most calls to neighbours at once.
const MAX_OPEN_CALLS: usize = 16;
/// How long a host is behind before it logs that.
const LOG_AFTER_MS: Millis = Millis(1_000);
/// How often a host that stays behind logs that again.
const LOG_AGAIN_MS: Millis = Millis(5_000);

#[derive(Serialize)]
struct BehindLine {
    version: Option<u64>,
    newest: u64,
    /// The host that has the newest version.
    holder: SocketAddr,
    known_behind_ms: Millis,
}

/// What a host knows about the versions of other hosts.
#[derive(Debug, Default)]
pub struct VersionExchange {
    newer: RefCell<NewerVersions>,
    neighbours: RefCell<Neighbours>,
    /// The version that the orderer or the relay last stated.
    parent_version: Cell<Option<u64>>,
    open_calls: Cell<usize>,
    logged_at: Cell<Millis>,
    heard: Wakeup,
    taken: Wakeup,
}

impl VersionExchange {
    /// Returns a listener for the next newer version that another host states, and for the next
    /// change of whether the store answers this host.
    fn next_heard(&self) -> EventListener {
        self.heard.listen()
    }

    /// Wakes the task that fetches newer states.
    pub fn note_heard(&self) {
        self.heard.notify(usize::MAX);
    }

    /// Records a changed list of hosts.
    pub fn note_members<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        self.neighbours.borrow_mut().retain_listed(members);
    }

    /// Records a version that is now in force. Returns whether the orderer or the relay is to be told
    /// of it at once.
    pub fn note_taken(&self, version: u64) -> bool {
        self.newer.borrow_mut().note_taken(version);
        self.taken.notify(usize::MAX);
        self.parent_version.get() < Some(version)
    }
}

/// Records the version that a host states in its report.
pub fn note_request<P: Platform>(host: &Host<P>, request: &SyncRequest) {
    note_version_of(host, request.incarnation, request.desired_version);
}

/// Records the version that the orderer or a relay states in its reply to a report.
pub fn note_reply<P: Platform>(host: &Host<P>, replier: &Member, reply: &SyncReply) {
    let version = match reply {
        SyncReply::News(update) => update.tables.desired_version,
        SyncReply::NoNews {
            desired_version, ..
        }
        | SyncReply::NotOrderer {
            desired_version, ..
        } => *desired_version,
    };
    host.version_exchange.parent_version.set(version);
    note_version(host, replier, version);
}

/// Answers a neighbour that states its version.
pub fn answer<P: Platform>(host: &Host<P>, from: u64, version: Option<u64>) -> Option<u64> {
    note_version_of(host, from, version);
    active_version(host)
}

fn note_version_of<P: Platform>(host: &Host<P>, incarnation: u64, version: Option<u64>) {
    if version <= active_version(host) {
        return;
    }
    let sender = host.members.borrow().find(incarnation).cloned();
    if let Some(sender) = sender {
        note_version(host, &sender, version);
    }
}

/// Records the version that a host states.
pub fn note_version<P: Platform>(host: &Host<P>, holder: &Member, version: Option<u64>) {
    let own = active_version(host);
    let exchange = &host.version_exchange;
    let mut newer = exchange.newer.borrow_mut();
    if newer.note(host.now(), own, holder, version) {
        exchange.note_heard();
    }
}

/// Fetches newer desired states from the hosts that have them, until the process ends.
pub async fn fetch_newer<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>) {
    loop {
        let heard = host.version_exchange.next_heard();
        let now = host.now();
        let patience_ms = match host.replication.is_answered(Table::Desired) {
            true => STORE_HEAD_START_MS,
            false => Millis::ZERO,
        };
        let newer = &host.version_exchange.newer;
        let next = newer.borrow().next_fetch(now, patience_ms);
        match next {
            NextFetch::Nothing => heard.await,
            NextFetch::At(due_at) => drop(with_timeout(due_at.since(now), heard).await),
            NextFetch::From(holder) => fetch_from(&host, &peers, &holder).await,
        }
    }
}

async fn fetch_from<P: Platform>(host: &Host<P>, peers: &Peers, holder: &Member) {
    let asked_at = host.now();
    let copy = desired_copy::fetch_from(peers, holder).await;
    let outcome = match copy {
        Some(copy) if Some(copy.state.version) > active_version(host) => {
            apply_copy(host, asked_at, holder.peer_address, copy);
            "taken"
        }
        Some(copy) => {
            note_version(host, holder, Some(copy.state.version));
            "not_newer"
        }
        None => {
            let mut newer = host.version_exchange.newer.borrow_mut();
            newer.note_failed(host.now(), holder);
            "no_answer"
        }
    };
    host.metrics.count_desired_fetch(outcome);
}

/// Puts a desired state that another host passed on in force, and records how far the table was read
/// there.
pub fn apply_copy<P: Platform>(
    host: &Host<P>,
    asked_at: Millis,
    from: SocketAddr,
    copy: DesiredCopy,
) {
    let DesiredCopy { state, end, age_ms } = copy;
    let origin = DesiredOrigin {
        from: Some(from),
        position: end,
    };
    activate_desired_state(host, state, origin);
    let known = host.replication.position(Table::Desired);
    if known.is_none_or(|known| known < end) {
        let as_of = asked_at - age_ms;
        host.replication.note_read(Table::Desired, as_of, end);
    }
}

/// Exchanges versions with the neighbours of this host while no recent state of the orderer reaches
/// it, until the process ends: with one after another at intervals, and with all of them at once
/// when a version was put in force.
pub async fn exchange_with_neighbours<P: Platform + 'static>(
    host: Rc<Host<P>>,
    peers: Rc<Peers>,
    me: Member,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let taken = host.version_exchange.taken.listen();
        let has_taken = with_timeout(pause_ms(&host), taken).await.is_some();
        let now = host.now();
        if stale_in_ms(&host, now) > Millis::ZERO {
            continue;
        }
        let asked = {
            let members = host.members.borrow();
            let mut neighbours = host.version_exchange.neighbours.borrow_mut();
            match has_taken {
                true => neighbours.all(now, members.iter(), &me),
                false => neighbours.next(now, members.iter(), &me),
            }
        };
        for neighbour in asked {
            let open_calls = &host.version_exchange.open_calls;
            if open_calls.get() >= MAX_OPEN_CALLS {
                break;
            }
            open_calls.set(open_calls.get() + 1);
            let mut neighbours = host.version_exchange.neighbours.borrow_mut();
            neighbours.note_asked(&neighbour);
            drop(neighbours);
            let (host, peers, from) = (host.clone(), peers.clone(), me.incarnation);
            let call = async move { call_neighbour(&host, &peers, from, &neighbour).await };
            executor.spawn(call).detach();
        }
    }
}

async fn call_neighbour<P: Platform>(host: &Host<P>, peers: &Peers, from: u64, neighbour: &Member) {
    let version = active_version(host);
    let call = PeerCall::Version { from, version };
    let reply = peers.call(neighbour.peer_address, &call).await;
    let exchange = &host.version_exchange;
    exchange.open_calls.set(exchange.open_calls.get() - 1);
    let has_answered = matches!(reply, Some(PeerReply::Version(_)));
    let mut neighbours = exchange.neighbours.borrow_mut();
    neighbours.note_answer(host.now(), neighbour, has_answered);
    drop(neighbours);
    if let Some(PeerReply::Version(version)) = reply {
        note_version(host, neighbour, version);
    }
}

fn pause_ms<P: Platform>(host: &Host<P>) -> Millis {
    stale_in_ms(host, host.now()).max(sync::interval_ms(host, false))
}

/// Returns in which time the state of the orderer that this host has becomes stale; zero if it is.
fn stale_in_ms<P: Platform>(host: &Host<P>, now: Millis) -> Millis {
    let interval_ms = sync::interval_ms(host, false);
    let answered_at = host.orderer_state.borrow().answered_at;
    let stale_at = answered_at.map(|at| at + Millis(interval_ms.0 * STALE_INTERVALS));
    stale_at.map_or(Millis::ZERO, |at| at.since(now))
}

/// Updates the metric of how long this host has been behind, and logs it if that is long.
pub fn report_behind<P: Platform>(host: &Host<P>) {
    let now = host.now();
    let exchange = &host.version_exchange;
    let behind = exchange.newer.borrow().behind(now);
    let known_ms = behind.as_ref().map(|behind| behind.known_ms);
    host.metrics.set_behind_ms(known_ms.unwrap_or_default());
    let Some(behind) = behind.filter(|behind| behind.known_ms >= LOG_AFTER_MS) else {
        return;
    };
    if now.since(exchange.logged_at.get()) < LOG_AGAIN_MS {
        return;
    }
    exchange.logged_at.set(now);
    let line = BehindLine {
        version: active_version(host),
        newest: behind.newest,
        holder: behind.holder.peer_address,
        known_behind_ms: behind.known_ms,
    };
    lines::write(LogEvent::DesiredBehind, &line);
}
