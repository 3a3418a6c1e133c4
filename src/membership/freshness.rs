//! Whether this host's state is current enough to serve.
//!
//! A host is fresh while, within the bound, it applied everything up to the end of the log as read
//! by itself or by a peer, or, with the log out of reach, everything that a majority of the counted
//! hosts has applied. A gap in its own clock makes it stale until it learns the newest offset anew.

use crate::membership::members::Members;
use crate::prelude::*;
use std::collections::VecDeque;

/// How long a reachable log gets to show what a peer has applied, before the peer is asked for it.
pub const RELAY_AFTER_MS: Millis = Millis(300);
/// How long a peer's records are waited for before they are asked for again.
pub const RELAY_TIMEOUT_MS: Millis = Millis(1_000);

/// Most answers of one peer that are kept until what they show is applied here.
pub const MAX_AHEAD: usize = 16;

/// What this host knows of its own freshness.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Freshness {
    bound_ms: Millis,
    pause_ms: Millis,
    last_event_at: Option<Millis>,
    not_before: Millis,
    log_known_at: Option<Millis>,
    peers_known_at: IndexMap<Incarnation, Millis>,
    peers_ahead: IndexMap<Incarnation, VecDeque<Ahead>>,
    was_fresh: bool,
    behind: Option<Behind>,
    relay_asked_at: Option<Millis>,
}

/// What a peer had applied when it answered, beyond what is applied here.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Ahead {
    offset: Offset,
    asked_at: Millis,
    log_known_at: Option<Millis>,
}

/// Since when an offset is known of that is not applied here.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Behind {
    offset: Offset,
    since: Millis,
}

impl Freshness {
    /// Makes the state with the freshness bound and the longest gap that is not a pause.
    pub fn new(bound_ms: Millis, pause_ms: Millis) -> Self {
        Self {
            bound_ms,
            pause_ms,
            ..Self::default()
        }
    }

    /// Returns the freshness bound.
    pub fn bound_ms(&self) -> Millis {
        self.bound_ms
    }

    /// Takes note of the time before each event, and tells whether the process was paused.
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

    /// Takes note that everything in the log as of `at` is applied.
    pub fn log_known(&mut self, at: Millis) {
        self.log_known_at = self.log_known_at.max(Some(at));
    }

    /// Takes note that everything a peer had applied as of `at` is applied here.
    pub fn peer_known(&mut self, peer: Incarnation, at: Millis) {
        let known_at = self.peers_known_at.entry(peer).or_default();
        *known_at = (*known_at).max(at);
    }

    /// Takes a peer's answer: its next offset, and since when it knew of all that is in the log.
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
        ahead.push_back(Ahead {
            offset,
            asked_at,
            log_known_at,
        });
    }

    /// Takes note of the own next offset: peers' answers up to there show nothing that is missing
    /// here.
    pub fn on_applied(&mut self, own: Offset) {
        let mut known = Vec::new();
        for (peer, ahead) in &mut self.peers_ahead {
            while let Some(entry) = ahead.pop_front_if(|entry| entry.offset <= own) {
                known.push((*peer, entry));
            }
        }
        for (peer, entry) in known {
            self.peer_known(peer, entry.asked_at);
            if let Some(at) = entry.log_known_at {
                self.log_known(at);
            }
        }
    }

    /// Takes note that a peer has applied more; tells whether it is to be asked for its records.
    pub fn is_relay_due(
        &mut self,
        now: Millis,
        own: Offset,
        peer: Offset,
        log_reachable: bool,
    ) -> bool {
        let caught_up = self.behind.is_none_or(|behind| own >= behind.offset);
        if caught_up {
            self.behind = Some(Behind {
                offset: peer,
                since: now,
            });
        }
        let waited = self
            .behind
            .is_some_and(|behind| now.since(behind.since) >= RELAY_AFTER_MS);
        let asked = self
            .relay_asked_at
            .is_some_and(|at| now.since(at) < RELAY_TIMEOUT_MS);
        if asked || (log_reachable && !waited) {
            return false;
        }
        self.relay_asked_at = Some(now);
        true
    }

    /// Takes note that a peer passed records on.
    pub fn relay_answered(&mut self) {
        self.relay_asked_at = None;
    }

    /// Returns the time of the newest event.
    pub fn now(&self) -> Millis {
        self.last_event_at.unwrap_or_default()
    }

    /// Forgets peers that are no longer members.
    pub fn retain_members(&mut self, members: &Members) {
        self.peers_known_at.retain(|peer, _| members.knows(*peer));
        self.peers_ahead.retain(|peer, _| members.knows(*peer));
    }

    /// Returns how long ago the end of the log was known.
    pub fn log_age(&self, now: Millis) -> Option<Millis> {
        self.log_known_at.map(|at| now.since(at))
    }

    /// Tells whether this host may serve.
    pub fn is_fresh(&self, now: Millis, me: Incarnation, members: &Members) -> bool {
        if !members.is_member(me) {
            return false;
        }
        self.is_current(now, self.log_known_at) || self.sees_majority(now, me, members)
    }

    /// Writes a log event when freshness changed since the last call.
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

    fn sees_majority(&self, now: Millis, me: Incarnation, members: &Members) -> bool {
        let counted = members.counted().count();
        let seen = members
            .counted()
            .filter(|host| {
                *host == me || self.is_current(now, self.peers_known_at.get(host).copied())
            })
            .count();
        seen * 2 > counted
    }
}
