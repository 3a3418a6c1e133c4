//! Decides whether this host's state is current enough to serve.
//!
//! A host is fresh if, within the freshness bound, it applied everything up to the end of the log
//! as read by itself or by a peer. While the log is unreachable it is fresh if it applied
//! everything that a majority of the voters had applied. After a gap in its own clock, which shows
//! that the process was paused, a host is stale until it learns the newest offset again.

use crate::membership::members::Members;
use crate::prelude::*;
use std::collections::VecDeque;

/// While the log is reachable: how long this host waits to read records that a peer has applied
/// from the log, before it requests them from the peer.
pub const RELAY_AFTER_MS: Millis = Millis(300);
/// The timeout of a request to a peer for records, after which they are requested again.
pub const RELAY_TIMEOUT_MS: Millis = Millis(1_000);

/// Most probe answers kept per peer until this host has applied what the peer had applied.
pub const MAX_AHEAD: usize = 16;

/// The evidence for the freshness of this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Freshness {
    bound_ms: Millis,
    pause_ms: Millis,
    last_event_at: Option<Millis>,
    /// The end of the last pause; older evidence does not count.
    not_before: Millis,
    /// The latest time as of which this host has applied the whole log.
    log_known_at: Option<Millis>,
    /// The latest time as of which this host has applied everything that a peer had applied.
    peers_known_at: IndexMap<Incarnation, Millis>,
    /// Answers of peers that had applied more than this host, oldest first.
    peers_ahead: IndexMap<Incarnation, VecDeque<PeerAnswer>>,
    /// Whether the host was fresh at the last call of [`Freshness::note_change`].
    was_fresh: bool,
    /// The first offset that this host was found to lack since it last caught up.
    behind: Option<Lag>,
    /// When records were requested from a peer, if the request is outstanding.
    relay_asked_at: Option<Millis>,
}

/// A peer's answer to a probe, kept until this host has applied as much as the peer had.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PeerAnswer {
    /// The peer's next offset.
    offset: Offset,
    /// When the probe was sent.
    asked_at: Millis,
    /// The time as of which the peer had applied the whole log.
    log_known_at: Option<Millis>,
}

/// An offset that this host has not reached yet, and since when it knows of it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Lag {
    offset: Offset,
    since: Millis,
}

impl Freshness {
    /// Creates the state. `bound_ms` is the freshness bound; a longer gap between two events than
    /// `pause_ms` counts as a pause of the process.
    pub fn new(bound_ms: Millis, pause_ms: Millis) -> Self {
        Self {
            bound_ms,
            pause_ms,
            ..Self::default()
        }
    }

    /// Returns the freshness bound: the greatest age of evidence that counts.
    pub fn bound_ms(&self) -> Millis {
        self.bound_ms
    }

    /// Records the time of an event, before it is handled. Returns whether the process was paused
    /// before it.
    pub fn note_time(&mut self, now: Millis) -> bool {
        let gap = self
            .last_event_at
            .map_or(Millis::ZERO, |last| now.since(last));
        self.last_event_at = Some(now);
        let paused = gap > self.pause_ms;
        if paused {
            self.not_before = now;
            LogEvent::Paused.write(&format!("gap_ms={}", gap.0));
        }
        paused
    }

    /// Records that this host has applied everything that was in the log at the time `at`.
    pub fn note_log_applied(&mut self, at: Millis) {
        self.log_known_at = self.log_known_at.max(Some(at));
    }

    /// Records that this host has applied everything that a peer had applied at the time `at`.
    pub fn note_peer_applied(&mut self, peer: Incarnation, at: Millis) {
        let known_at = self.peers_known_at.entry(peer).or_default();
        *known_at = (*known_at).max(at);
    }

    /// Handles a peer's answer to a probe that was sent at `asked_at`: the peer's next offset, and
    /// the time as of which the peer had applied the whole log.
    pub fn on_peer_offset(
        &mut self,
        peer: Incarnation,
        offset: Offset,
        asked_at: Millis,
        log_known_at: Option<Millis>,
    ) {
        let ahead = self.peers_ahead.entry(peer).or_default();
        if ahead.len() >= MAX_AHEAD {
            ahead.pop_front();
        }
        ahead.push_back(PeerAnswer {
            offset,
            asked_at,
            log_known_at,
        });
    }

    /// Records this host's own next offset. Answers of peers that had applied no more than that
    /// become evidence of freshness.
    pub fn on_applied(&mut self, own: Offset) {
        let mut reached = Vec::new();
        for (peer, ahead) in &mut self.peers_ahead {
            while let Some(entry) = ahead.pop_front_if(|entry| entry.offset <= own) {
                reached.push((*peer, entry));
            }
        }
        for (peer, entry) in reached {
            self.note_peer_applied(peer, entry.asked_at);
            if let Some(at) = entry.log_known_at {
                self.note_log_applied(at);
            }
        }
    }

    /// Records that a peer has applied more than this host: its next offset is `peer`, this host's
    /// is `own`. Returns whether to request the records from the peer now; the request is then
    /// assumed to be sent.
    pub fn is_relay_due(
        &mut self,
        now: Millis,
        own: Offset,
        peer: Offset,
        log_reachable: bool,
    ) -> bool {
        let caught_up = self.behind.is_none_or(|behind| own >= behind.offset);
        if caught_up {
            self.behind = Some(Lag {
                offset: peer,
                since: now,
            });
        }
        let overdue = self
            .behind
            .is_some_and(|behind| now.since(behind.since) >= RELAY_AFTER_MS);
        let outstanding = self
            .relay_asked_at
            .is_some_and(|at| now.since(at) < RELAY_TIMEOUT_MS);
        if outstanding || (log_reachable && !overdue) {
            return false;
        }
        self.relay_asked_at = Some(now);
        true
    }

    /// Records that a peer answered a request for records.
    pub fn relay_answered(&mut self) {
        self.relay_asked_at = None;
    }

    /// Returns the time of the latest event.
    pub fn now(&self) -> Millis {
        self.last_event_at.unwrap_or_default()
    }

    /// Removes the evidence from peers that are forgotten as members.
    pub fn retain_members(&mut self, members: &Members) {
        self.peers_known_at.retain(|peer, _| members.knows(*peer));
        self.peers_ahead.retain(|peer, _| members.knows(*peer));
    }

    /// Returns the age of the latest time as of which this host had applied the whole log.
    pub fn log_age(&self, now: Millis) -> Option<Millis> {
        self.log_known_at.map(|at| now.since(at))
    }

    /// Returns whether this host may serve.
    pub fn is_fresh(&self, now: Millis, me: Incarnation, members: &Members) -> bool {
        if !members.is_member(me) {
            return false;
        }
        self.is_current(now, self.log_known_at) || self.sees_majority(now, me, members)
    }

    /// Writes a log event if the freshness changed since the last call.
    pub fn note_change(&mut self, fresh: bool) {
        if fresh == self.was_fresh {
            return;
        }
        self.was_fresh = fresh;
        let event = if fresh {
            LogEvent::BecameFresh
        } else {
            LogEvent::BecameStale
        };
        event.write("");
    }

    fn is_current(&self, now: Millis, known_at: Option<Millis>) -> bool {
        known_at.is_some_and(|at| at >= self.not_before && now.since(at) <= self.bound_ms)
    }

    /// Returns whether this host has recent evidence that it applied everything that a majority of
    /// the voters had applied.
    fn sees_majority(&self, now: Millis, me: Incarnation, members: &Members) -> bool {
        let voters = members.voters().count();
        let seen = members
            .voters()
            .filter(|host| {
                *host == me || self.is_current(now, self.peers_known_at.get(host).copied())
            })
            .count();
        seen * 2 > voters
    }
}
