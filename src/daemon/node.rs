//! The state of one host and its handling of events, as a deterministic state machine.

use crate::admission::limits::ConcurrencyLimits;
use crate::admission::queue::Queues;
use crate::admission::quota::{QuotaGranter, QuotaRequester};
use crate::attempt::requests::Requests;
use crate::daemon::crash_flow::CrashState;
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
use crate::retry::Quarantine;
use crate::routing::upstreams::Routing;
use crate::shared_log::checkpoint::CheckpointScan;
use crate::shared_log::driver::Driver;
use crate::shared_log::fold::SharedState;
use crate::shared_log::record::LoggedRecord;
use crate::table::pending_edits::PendingEdits;
use std::collections::VecDeque;

/// The configuration of a [`Node`], from the settings and the start of the process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeConfig {
    /// The incarnation under which this host runs; a new one replaces it when the host rejoins.
    pub me: Incarnation,
    /// The host's name, data centre and addresses, as published to other hosts.
    pub entry: HostEntry,
    /// The freshness bound: how long a host may serve without evidence that its state is current.
    pub fresh_bound_ms: Millis,
    /// The longest time between two events that does not count as a pause of the process.
    pub pause_ms: Millis,
    /// The time between two rounds of heartbeat probes.
    pub probe_interval_ms: Millis,
    /// How long a peer may be silent before it is suspected.
    pub suspect_after_ms: Millis,
    /// The number of peers probed in one round.
    pub probes_per_round: u32,
    /// The rule by which idle copies are unloaded.
    pub keep_warm: KeepWarmRule,
}

/// The phase of a host's lifecycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Life {
    /// The host reads the shared log until it reaches its end.
    #[default]
    CatchingUp,
    /// The host queued the record of its join and waits until it is applied.
    Joining,
    /// The host serves requests while its state is fresh.
    Serving,
    /// A planned stop was requested; the host finishes its requests and orders.
    Stopping {
        /// When the stop was requested.
        since: Millis,
    },
    /// The host queued the record of its departure and waits until it is applied.
    Leaving {
        /// When the record was queued.
        since: Millis,
    },
    /// The host has stopped; the process exits with the next tick.
    Ended,
}

/// The state of a host. State dumps and traces contain it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Node {
    /// The configuration; its incarnation changes when the host rejoins.
    pub config: NodeConfig,
    /// The phase of the host's lifecycle.
    pub life: Life,
    /// The replicated state, which every host derives from the shared log.
    pub shared: SharedState,
    /// The reads of the shared log and the appends to it.
    pub driver: Driver,
    /// The search for a checkpoint, while the log no longer keeps the next record to apply.
    pub scan: Option<CheckpointScan>,
    /// The offset of the oldest record that the log kept at the last read.
    pub log_oldest: Offset,
    /// The newest applied records, which peers may request.
    pub recent: VecDeque<LoggedRecord>,
    /// The evidence that this host's state is current.
    pub freshness: Freshness,
    /// The heartbeat probes between hosts.
    pub probes: Probes,
    /// The marks of upstreams that are leaving.
    pub leaving: Leaving,
    /// The edits of the table whose operators wait until they are in force.
    pub acceptance: PendingEdits,
    /// The orders to engines that this host executes.
    pub executor: Executor,
    /// What this host observed of each upstream.
    pub routing: Routing,
    /// The limits of requests in flight, by table row.
    pub limits: ConcurrencyLimits,
    /// The requests that wait for a part of their row's rate limit.
    pub metered: QuotaRequester,
    /// The parts of rate limits that this host granted as the home of a row.
    pub granting: QuotaGranter,
    /// The queues of requests that wait for an upstream.
    pub queues: Queues,
    /// All requests without a final answer.
    pub requests: Requests,
    /// The claims of this host and their ends that are not applied yet.
    pub pending_claims: PendingClaims,
    /// The operations that this host finished, with their answers.
    pub finished: FinishedOperations,
    /// The evidence on requests that crash upstreams.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// What this host saw of crashes of services, and when evidence is exchanged next.
    #[serde(default)]
    pub crash_state: CrashState,
    /// The demand for models as known to this host.
    pub demand: crate::daemon::demand_flow::Demand,
    /// The last list of the platform, and recent proposals of this host.
    pub platform: crate::daemon::membership_flow::PlatformState,
}

impl Node {
    /// Creates the state of a host that starts.
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
            limits: ConcurrencyLimits::default(),
            metered: QuotaRequester::default(),
            granting: QuotaGranter::default(),
            queues: Queues::default(),
            requests: Requests::default(),
            pending_claims: PendingClaims::default(),
            finished: FinishedOperations::default(),
            quarantine: Quarantine::default(),
            crash_state: CrashState::default(),
            demand: Default::default(),
            platform: Default::default(),
            config,
        }
    }

    /// Handles an event and returns the effects to carry out.
    ///
    /// The same events at the same times, on the same state, give the same effects.
    pub fn handle(&mut self, now: Millis, event: Event) -> Effects {
        let mut fx = Effects::new();
        if self.freshness.note_time(now) {
            self.probes.on_pause();
        }
        self.dispatch(now, event, &mut fx);
        let fresh = self.is_fresh(now);
        self.freshness.note_change(fresh);
        self.begin_attempts(now, &mut fx);
        self.queue_claim_records();
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
            Event::HostsFailed => self.platform.on_list_failed(),
            Event::StoreReported { report } => self.demand.on_store_reported(report),
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
                self.on_caller_hosts_asked(now, call, &key_sha256, &name, fx);
            }
            Event::CallerGone { request } => self.on_caller_gone(now, request),
            Event::AttemptStarted {
                request,
                number,
                first_byte_ms,
            } => {
                self.on_attempt_started(now, request, number, first_byte_ms);
            }
            Event::UpstreamStated {
                upstream,
                address,
                notice,
            } => {
                self.on_upstream_stated(now, &upstream, address, notice);
            }
            Event::AttemptEnded {
                request,
                number,
                outcome,
            } => {
                self.on_attempt_ended(now, request, number, outcome, fx);
            }
            Event::UpstreamRefused { lifetime } => self.on_upstream_refused(now, &lifetime),
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
        self.tick_crashes(now, fx);
        self.tick_lifecycle(now, fx);
    }

    /// Returns whether this host's state is fresh, and no record of a newer release stopped the
    /// reading of the log.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let current = self
            .freshness
            .is_fresh(now, self.config.me, &self.shared.members);
        current && !self.driver.is_halted()
    }
}
