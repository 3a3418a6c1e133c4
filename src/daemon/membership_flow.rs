//! Membership of hosts: heartbeat probes, the platform's list, evictions, changes of the voters,
//! and the requests of peers.
//!
//! The platform is the system in which the hosts run. It keeps a list of the hosts and upstreams,
//! in which each host renews its entry. The voters are the hosts that count for majorities.

use crate::daemon::node::{Life, Node};
use crate::membership::entry::{entry_answer, home};
use crate::membership::members::{Member, MemberState};
use crate::membership::message::{PeerReply, PeerRequest, PlatformList, Probe, UpstreamEntry};
use crate::prelude::*;
use crate::shared_log::driver::MAX_READ_RECORDS;
use crate::shared_log::fold::Applied;
use crate::table::message::RowKey;
use crate::table::pending_edits::CallId;

/// The interval at which the platform's list is read.
pub const LIST_INTERVAL_MS: Millis = Millis(500);
/// The interval at which this host renews its entry in the platform's list.
pub const REGISTER_INTERVAL_MS: Millis = Millis(1_000);
/// How long a host waits before it proposes the same change again.
pub const PROPOSAL_RETRY_MS: Millis = Millis(2_000);
/// The greatest age at which the platform's list counts as evidence that a host is dead.
pub const LIST_MAX_AGE_MS: Millis = Millis(3_000);
/// The longest time for which a request or an order may still be in flight after its sender has
/// ended.
pub const MAX_IN_FLIGHT_MS: Millis = Millis(5_000);
/// How long a departed host that is still a voter must be missing from the list before it is
/// forgotten. Usually a majority of the voters confirms its departure earlier; this is for the case
/// that no such majority is left.
pub const VOTER_GONE_MS: Millis = Millis(30_000);

/// The state of the platform's list at this host, and recent proposals.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformState {
    /// The list as last read.
    list: Option<PlatformList>,
    /// Whether a read of the list is in flight.
    list_under_way: bool,
    next_list_at: Millis,
    next_register_at: Millis,
    /// When the list was last read.
    listed_at: Option<Millis>,
    /// When a change was last proposed, by a key of the change.
    proposed_at: IndexMap<Name, Millis>,
    /// Since when a departed host has been missing from the list.
    missing_since: IndexMap<Incarnation, Millis>,
}

impl PlatformState {
    /// Records that a read of the list failed.
    pub fn on_list_failed(&mut self) {
        self.list_under_way = false;
    }

    /// Returns the list as last read, or `None` if it was not read yet.
    pub fn list(&self) -> Option<&PlatformList> {
        self.list.as_ref()
    }

    /// Returns when the list was last read.
    pub fn listed_at(&self) -> Option<Millis> {
        self.listed_at
    }

    /// Returns whether the list has an upstream for which `matches` is true, or was not read yet.
    pub fn may_list_upstream(&self, matches: impl Fn(&UpstreamEntry) -> bool) -> bool {
        let list = self.list.as_ref();
        list.is_none_or(|list| list.upstreams.iter().any(matches))
    }

    /// Returns whether a change may be proposed now, that is, was not proposed recently. If so, the
    /// change, which `key` identifies, counts as proposed.
    pub fn may_propose(&mut self, now: Millis, key: &str) -> bool {
        self.proposed_at
            .retain(|_, at| now.since(*at) < PROPOSAL_RETRY_MS);
        if self.proposed_at.contains_key(key) {
            return false;
        }
        self.proposed_at.insert(key.into(), now);
        true
    }

    /// Returns whether the list was read recently and does not contain a host.
    fn is_host_missing(&self, now: Millis, name: &str, host: Incarnation) -> bool {
        let recent = self
            .listed_at
            .is_some_and(|at| now.since(at) <= LIST_MAX_AGE_MS);
        recent && !self.may_list_host(name, host)
    }

    /// Returns whether the list contains a host, or was not read yet.
    fn may_list_host(&self, name: &str, host: Incarnation) -> bool {
        self.list.as_ref().is_none_or(|list| {
            list.hosts
                .iter()
                .any(|listed| &*listed.name == name && listed.incarnation == Some(host))
        })
    }
}

impl Node {
    /// Sends probes, reads the platform's list, and proposes the changes that follow from both.
    /// Runs at each tick.
    pub fn tick_membership(&mut self, now: Millis, fx: &mut Effects) {
        self.ask_platform(now, fx);
        let probe = self.own_probe(now);
        self.probes.on_tick(now, &self.shared.members, &probe, fx);
        self.freshness.retain_members(&self.shared.members);
        self.tick_leaving();
        self.probe_voters(now, fx);
        let able = self.life == Life::Serving && self.is_fresh(now);
        // Records queued while the log is unreachable would be outdated when it accepts them.
        if !able || !self.driver.is_reachable() {
            return;
        }
        self.propose_upstreams(now);
        self.propose_voter_changes(now);
        self.propose_evictions(now);
        self.propose_gone(now);
    }

    fn ask_platform(&mut self, now: Millis, fx: &mut Effects) {
        if now >= self.platform.next_list_at && !self.platform.list_under_way {
            self.platform.next_list_at = now + LIST_INTERVAL_MS;
            self.platform.list_under_way = true;
            fx.push(Effect::ListHosts);
        }
        let registers = matches!(self.life, Life::CatchingUp | Life::Joining | Life::Serving);
        if registers && now >= self.platform.next_register_at {
            self.platform.next_register_at = now + REGISTER_INTERVAL_MS;
            let host = self.config.me;
            fx.push(Effect::RegisterHost { host });
        }
    }

    /// Returns the state that this host reports in probes and in its answers to probes.
    pub fn own_probe(&self, now: Millis) -> Probe {
        Probe {
            from: self.config.me,
            next_offset: self.shared.next_offset,
            // The time since this host was last known to have applied the whole log.
            log_age_ms: self.freshness.log_age(now),
            stopping: matches!(
                self.life,
                Life::Stopping { .. } | Life::Leaving { .. } | Life::Ended
            ),
            leaving_upstreams: self.leaving.hints(now),
            suspects: self.probes.suspects(),
        }
    }

    /// Handles the platform's list: stores it, and marks the upstreams that it lists as leaving.
    pub fn on_hosts_listed(&mut self, now: Millis, list: PlatformList) {
        self.platform.list_under_way = false;
        self.platform.listed_at = Some(now);
        for entry in &list.upstreams {
            if entry.leaving {
                self.mark_leaving(&entry.name);
            }
        }
        self.platform.list = Some(list);
    }

    /// Returns whether this host is the home of a key: the host that proposes the changes for the
    /// key, chosen by the key among the present hosts that answer probes.
    pub fn is_home(&self, key: &str) -> bool {
        let me = self.config.me;
        home(key, me, &self.shared.members, &self.probes) == Some(me)
    }

    /// Proposes changes of the set of voters, departures first. A host's join or departure does not
    /// change the set by itself: a [`RecordBody::Counted`] record does, which is proposed once a
    /// majority of the voters has applied the record of the join or departure and the last change
    /// of the set.
    ///
    /// A host that joined becomes a voter only once it has answered this host. A host that can
    /// reach the log but none of its peers joins repeatedly, each time under a new incarnation. If
    /// those incarnations became voters, each would add a voter that never confirms anything.
    fn propose_voter_changes(&mut self, now: Millis) {
        let members = &self.shared.members;
        let may_change = |host: Incarnation, member: &Member| {
            member.state == MemberState::Departed
                || host == self.config.me
                || self.probes.answers(host)
        };
        let mut changes: Vec<(MemberState, Incarnation, Offset)> = members
            .pending_changes()
            .filter(|(host, member)| may_change(**host, member))
            .map(|(host, member)| (member.state, *host, members.needed_offset(member)))
            .collect();
        changes.sort_by_key(|(state, ..)| *state != MemberState::Departed);
        for (_, host, needed) in changes {
            let key = format!("counted {host}");
            if !self.is_home(&key) || !self.majority_applied(needed) {
                continue;
            }
            if self.platform.may_propose(now, &key) {
                self.driver.queue(RecordBody::Counted {
                    host,
                    confirmed_offset: needed,
                });
            }
        }
    }

    /// Probes the voters that are not known to have applied the records that a pending change of
    /// the set of voters requires.
    fn probe_voters(&mut self, now: Millis, fx: &mut Effects) {
        let members = &self.shared.members;
        let newest = members
            .pending_changes()
            .map(|(_, member)| members.needed_offset(member))
            .max();
        let Some(needed) = newest else {
            return;
        };
        let missing: Vec<Incarnation> = members
            .voters()
            .filter(|host| self.known_next_offset(*host) < needed)
            .collect();
        let probe = self.own_probe(now);
        self.probes
            .probe_now(now, missing.into_iter(), &self.shared.members, &probe, fx);
    }

    /// Returns whether a majority of the voters is known to have applied all records before the
    /// offset `needed`. True without voters.
    fn majority_applied(&self, needed: Offset) -> bool {
        let voters = self.shared.members.voters().count();
        let confirming = self
            .shared
            .members
            .voters()
            .filter(|host| self.known_next_offset(*host) >= needed)
            .count();
        voters == 0 || confirming * 2 > voters
    }

    /// Returns the highest offset before which a host is known to have applied all records, that
    /// is, the offset of the next record that it applies; zero if unknown.
    pub fn known_next_offset(&self, host: Incarnation) -> Offset {
        if host == self.config.me {
            return self.shared.next_offset;
        }
        self.probes
            .get(host)
            .map_or(Offset(0), |view| view.next_offset)
    }

    fn propose_evictions(&mut self, now: Millis) {
        let dead: Vec<Incarnation> = self
            .shared
            .members
            .iter()
            .filter(|(host, member)| self.is_dead(now, **host, &member.entry.name))
            .map(|(host, _)| *host)
            .collect();
        for host in dead {
            let key = format!("evict {host}");
            if self.is_home(&key) && self.platform.may_propose(now, &key) {
                self.driver.queue(RecordBody::Evict { host });
            }
        }
    }

    /// Returns whether another host is dead. It is not enough that this host suspects it, since
    /// only the link between the two hosts may be broken. The other host is dead if enough hosts
    /// suspect it, if this host suspects it and the platform's list lacks it, or if another
    /// incarnation answers at its address.
    fn is_dead(&self, now: Millis, host: Incarnation, name: &str) -> bool {
        let agreed = self.probes.is_agreed_dead(now, host, &self.shared.members);
        let missing =
            self.probes.is_suspected(host) && self.platform.is_host_missing(now, name, host);
        agreed || missing || self.probes.is_replaced(host)
    }

    /// Proposes to forget departed hosts. A host that is not a voter must have been missing from
    /// the platform's list for longer than `MAX_IN_FLIGHT_MS`, so that nothing that it sent can
    /// still be in flight; a voter for longer than `VOTER_GONE_MS`.
    fn propose_gone(&mut self, now: Millis) {
        let departed: Vec<(Incarnation, Name, bool)> = self
            .shared
            .members
            .departed()
            .map(|(host, member)| (*host, member.entry.name.clone(), member.counted))
            .collect();
        for (host, name, is_voter) in departed {
            if self.platform.may_list_host(&name, host) {
                self.platform.missing_since.shift_remove(&host);
                continue;
            }
            let since = *self.platform.missing_since.entry(host).or_insert(now);
            let key = format!("gone {host}");
            let wait_ms = if is_voter {
                VOTER_GONE_MS
            } else {
                MAX_IN_FLIGHT_MS
            };
            let is_gone = now.since(since) > wait_ms;
            if is_gone && self.is_home(&key) && self.platform.may_propose(now, &key) {
                self.driver.queue(RecordBody::Gone { host });
            }
        }
    }

    /// Updates the lifecycle and the upstreams after a record was applied to the replicated state.
    pub fn membership_applied(&mut self, now: Millis, applied: &Applied) {
        let own = applied.record.id.host == self.config.me;
        if own && applied.record.body == RecordBody::Leave {
            self.life = Life::Ended;
        }
        if !applied.verdict.is_accepted() {
            return;
        }
        match &applied.record.body {
            RecordBody::Join { .. } if applied.record.id.host == self.config.me => {
                if self.life == Life::Joining {
                    self.life = Life::Serving;
                }
                LogEvent::Joined.write(&format!("offset={}", applied.offset));
            }
            RecordBody::Evict { host } => LogEvent::HostEvicted.write(&format!("host={host}")),
            RecordBody::Upstream { entry } => {
                LogEvent::UpstreamRegistered.write(&format!("upstream={}", entry.name));
                if !entry.leaving {
                    self.leaving.clear(&entry.name, now);
                }
                self.note_upstream_entry(entry);
            }
            _ => {}
        }
    }

    /// Handles the reply of a peer to a request of this host that was made at `asked_at`.
    pub fn on_peer_answered(
        &mut self,
        now: Millis,
        peer: Incarnation,
        asked_at: Millis,
        reply: PeerReply,
        fx: &mut Effects,
    ) {
        match reply {
            PeerReply::Probe(probe) => self.on_probe_answer(now, peer, asked_at, &probe, fx),
            PeerReply::Noted => {}
            PeerReply::Crashes(update) => self.on_crash_update(now, &update),
            PeerReply::Records { records, .. } => {
                self.freshness.relay_answered();
                self.apply_relayed(now, &records, fx);
            }
            // A slice is the part of a row's rate limit that the home of the row grants to a host.
            PeerReply::Slice { row, slice, wanted } => {
                self.on_quota_grant(now, &row, asked_at, slice, wanted, fx);
            }
            PeerReply::Operation { operation, state } => {
                self.on_operation_state(now, peer, &operation, &state, fx);
            }
        }
    }

    fn on_probe_answer(
        &mut self,
        now: Millis,
        peer: Incarnation,
        asked_at: Millis,
        probe: &Probe,
        fx: &mut Effects,
    ) {
        if probe.from != peer {
            self.probes.on_replaced(peer);
            return;
        }
        self.probes.on_answer(now, peer, asked_at, probe);
        self.merge_leaving_hints(now, probe);
        let own_offset = self.shared.next_offset;
        let peer_applied_log_at = probe.log_age_ms.map(|age_ms| asked_at - age_ms);
        self.freshness
            .on_peer_offset(peer, probe.next_offset, asked_at, peer_applied_log_at);
        self.freshness.on_applied(own_offset);
        if own_offset >= probe.next_offset {
            return;
        }
        let reachable = self.driver.is_reachable();
        if !self
            .freshness
            .is_relay_due(now, own_offset, probe.next_offset, reachable)
        {
            return;
        }
        let Some(member) = self.shared.members.get(peer) else {
            return;
        };
        fx.push(Effect::AskPeer {
            peer,
            address: member.entry.peer_address,
            asked_at,
            request: PeerRequest::Records {
                from: self.shared.next_offset,
            },
        });
    }

    /// Handles the request of a peer and replies to it.
    pub fn on_peer_asked(
        &mut self,
        now: Millis,
        call: CallId,
        request: PeerRequest,
        fx: &mut Effects,
    ) {
        let reply = match request {
            PeerRequest::Probe(probe) => {
                self.probes.on_probe(now, &probe);
                self.merge_leaving_hints(now, &probe);
                PeerReply::Probe(self.own_probe(now))
            }
            PeerRequest::Crashes(report) => PeerReply::Crashes(self.on_crash_report(now, &report)),
            PeerRequest::Demand(hints) => {
                self.on_demand(now, &hints);
                PeerReply::Noted
            }
            PeerRequest::Records { from } => PeerReply::Records {
                records: self.records_from(from, MAX_READ_RECORDS),
                next_offset: self.shared.next_offset,
            },
            PeerRequest::Slice { row, wanted } => PeerReply::Slice {
                slice: self.grant_quota(now, &row, wanted),
                row,
                wanted,
            },
            PeerRequest::Operation { operation } => PeerReply::Operation {
                state: self.operation_state(&operation),
                operation,
            },
        };
        fx.push(Effect::AnswerPeer { call, reply });
    }

    /// Answers a caller that asked which hosts it may connect to.
    pub fn on_caller_hosts_asked(
        &mut self,
        now: Millis,
        call: CallId,
        key_sha256: &Name,
        name: &Name,
        fx: &mut Effects,
    ) {
        let result = self.hosts_for_caller(now, key_sha256, name);
        fx.push(Effect::AnswerEntry { call, result });
    }

    fn hosts_for_caller(
        &self,
        now: Millis,
        key_sha256: &str,
        name: &Name,
    ) -> Result<crate::membership::entry::EntryAnswer, Refusal> {
        let brand = self.brand_of(key_sha256)?;
        let key = RowKey {
            brand,
            model: name.clone(),
        };
        if self.shared.table.row(&key).is_none() {
            let message = format!("no row for brand {} and {}", key.brand, key.model);
            return Err(Refusal::new(ErrorKind::UnknownModel, message));
        }
        let serving = self.life == Life::Serving && self.is_fresh(now);
        let members = &self.shared.members;
        Ok(entry_answer(
            &key.model,
            self.config.me,
            serving,
            members,
            &self.probes,
        ))
    }
}
