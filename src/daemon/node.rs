//! All decisions of one host as one pure state machine.

use crate::admission::limits::Limits;
use crate::admission::queue::Queues;
use crate::admission::slices::{Granting, Metered};
use crate::attempt::requests::Requests;
use crate::daemon::event::Event;
use crate::idempotency::finished::FinishedOperations;
use crate::idempotency::pending::PendingClaims;
use crate::membership::freshness::Freshness;
use crate::membership::leaving::Leaving;
use crate::membership::message::HostEntry;
use crate::membership::probes::Probes;
use crate::placement::executor::Executor;
use crate::placement::policy::keep_warm::KeepWarmRule;
use crate::prelude::*;
use crate::routing::upstreams::Routing;
use crate::shared_log::checkpoint::CheckpointScan;
use crate::shared_log::driver::Driver;
use crate::shared_log::fold::SharedState;
use crate::shared_log::record::LoggedRecord;
use crate::table::pending_edits::PendingEdits;
use std::collections::VecDeque;

/// What a node is made from.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeConfig {
    /// This process.
    pub me: Incarnation,
    /// Its addresses and place.
    pub entry: HostEntry,
    /// How long a host may serve without learning the newest offset.
    pub fresh_bound_ms: Millis,
    /// The longest gap in the clock that is not a pause.
    pub pause_ms: Millis,
    /// The time between rounds of probes.
    pub probe_interval_ms: Millis,
    /// How long a silent peer is not suspected.
    pub suspect_after_ms: Millis,
    /// Partners in a round of probes.
    pub probes_per_round: u32,
    /// When idle copies are unloaded.
    pub keep_warm: KeepWarmRule,
}

/// Where a host is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// It reads the log for the first time.
    #[default]
    CatchingUp,
    /// It appended its join.
    Joining,
    /// It serves when fresh.
    Serving,
    /// It finishes what it has.
    Stopping {
        /// Since when.
        since: Millis,
    },
    /// It appended its leave.
    Leaving {
        /// Since when.
        since: Millis,
    },
    /// It is done.
    Ended,
}

/// The state of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Node {
    /// What it was made from.
    pub config: NodeConfig,
    /// Where it is in its life.
    pub life: Life,
    /// What all hosts agree on.
    pub shared: SharedState,
    /// The log's driver.
    pub driver: Driver,
    /// The search for a checkpoint, while the next record is no longer kept.
    pub scan: Option<CheckpointScan>,
    /// The oldest record that the log kept at the last read.
    pub log_oldest: Offset,
    /// The newest applied records, for peers.
    pub recent: VecDeque<LoggedRecord>,
    /// Whether this host's state is current.
    pub freshness: Freshness,
    /// Probes between hosts.
    pub probes: Probes,
    /// Upstreams that are leaving.
    pub leaving: Leaving,
    /// Edits that operators wait for.
    pub acceptance: PendingEdits,
    /// Orders that this host executes.
    pub executor: Executor,
    /// What is known of upstreams.
    pub routing: Routing,
    /// The rows' limits.
    pub limits: Limits,
    /// Requests that wait for a slice of their row's limit.
    pub metered: Metered,
    /// Slices that this host granted as a row's home.
    pub granting: Granting,
    /// Waiting requests.
    pub queues: Queues,
    /// Requests held.
    pub requests: Requests,
    /// Claims on their way to the log.
    pub pending_claims: PendingClaims,
    /// Finished operations with their answers.
    pub finished: FinishedOperations,
    /// Placement's own state at this host.
    pub demand: crate::daemon::demand_flow::Demand,
    /// Membership's own state at this host.
    pub platform: crate::daemon::membership_flow::Platform,
}

impl Node {
    /// Makes the state of a host that starts.
    pub fn new(config: NodeConfig) -> Self {
        Self {
            life: Life::default(),
            shared: SharedState::default(),
            driver: Driver::new(config.me),
            scan: None,
            log_oldest: Offset(0),
            recent: VecDeque::new(),
            freshness: Freshness::new(config.fresh_bound_ms, config.pause_ms),
            probes: Probes::new(
                config.probe_interval_ms,
                config.suspect_after_ms,
                config.probes_per_round as usize,
            ),
            leaving: Leaving::default(),
            acceptance: PendingEdits::default(),
            executor: Executor::default(),
            routing: Routing::default(),
            limits: Limits::default(),
            metered: Metered::default(),
            granting: Granting::default(),
            queues: Queues::default(),
            requests: Requests::default(),
            pending_claims: PendingClaims::default(),
            finished: FinishedOperations::default(),
            demand: Default::default(),
            platform: Default::default(),
            config,
        }
    }

    /// Takes an event and returns what to do about it.
    ///
    /// The same events at the same times give the same effects.
    pub fn handle(&mut self, now: Millis, event: Event) -> Effects {
        let mut fx = Effects::new();
        if self.freshness.note_time(now) {
            self.probes.on_pause();
        }
        self.dispatch(now, event, &mut fx);
        let fresh = self.is_fresh(now);
        self.freshness.note_change(fresh);
        self.pump(now, &mut fx);
        self.send_claims();
        self.driver.drive(now, self.next_read_offset(), &mut fx);
        fx
    }

    fn dispatch(&mut self, now: Millis, event: Event, fx: &mut Effects) {
        match event {
            Event::Tick => self.on_tick(now, fx),
            Event::LogRead { asked_at, page } => self.on_log_read(now, asked_at, page, fx),
            Event::LogReadFailed { error } => self.on_log_read_failed(now, &error),
            Event::Appended => self.driver.on_appended(),
            Event::AppendFailed { error } => self.driver.on_append_failed(now, &error),
            Event::HostsListed { list } => self.on_hosts_listed(now, list),
            Event::HostsFailed => self.platform.on_failed(),
            Event::StoreReported { report } => self.demand.on_store(report),
            Event::EngineReported {
                upstream,
                asked_at,
                report,
            } => {
                self.on_engine_reported(now, &upstream, asked_at, report);
            }
            Event::OrderAnswered {
                copy,
                fence,
                answer,
            } => {
                self.on_order_answered(now, copy, fence, &answer);
            }
            Event::PeerAnswered {
                peer,
                asked_at,
                reply,
            } => {
                self.on_peer_answered(now, peer, asked_at, reply, fx);
            }
            Event::PeerFailed { peer } => self.probes.on_failed(peer),
            Event::PeerAsked { call, request } => self.on_peer_asked(now, call, request, fx),
            Event::RequestArrived { head } => self.on_request(now, head, fx),
            Event::EntryAsked {
                call,
                key_sha256,
                name,
            } => {
                self.on_entry_asked(now, call, &key_sha256, &name, fx);
            }
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::AttemptStarted {
                request,
                number,
                first_byte_ms,
            } => {
                self.on_attempt_started(request, number, first_byte_ms);
            }
            Event::AttemptEnded {
                request,
                number,
                outcome,
            } => {
                self.on_attempt_ended(now, request, number, outcome, fx);
            }
            Event::EditAsked { call, edit } => self.on_edit_asked(now, call, edit, fx),
            Event::StopAsked => self.on_stop_asked(now),
        }
    }

    fn on_tick(&mut self, now: Millis, fx: &mut Effects) {
        self.tick_membership(now, fx);
        self.tick_edits(now, fx);
        self.tick_checkpoint(now);
        self.tick_placement(now, fx);
        self.tick_requests(now, fx);
        self.tick_life(now, fx);
    }

    /// Tells whether this host's state is current.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let current = self
            .freshness
            .is_fresh(now, self.config.me, &self.shared.members);
        current && !self.driver.is_halted()
    }
}
