//! Probes between hosts: who is alive, and which offsets they have applied.

use crate::membership::members::Members;
use crate::membership::message::{PeerReply, PeerRequest, Probe};
use crate::prelude::*;

/// What is known of one peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerView {
    /// When the outstanding probe was sent, if one is.
    pub asked_at: Option<Millis>,
    /// When the last probe was sent that was answered.
    pub answered_at: Option<Millis>,
    /// When this peer was first probed.
    pub first_asked_at: Millis,
    /// The peer's next offset in its last answer.
    pub next_offset: Offset,
    /// Whether the peer said that it is stopping.
    pub stopping: bool,
    /// Whether it is suspected to be dead.
    pub suspected: bool,
}

/// The probes of one host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Probes {
    interval_ms: Millis,
    suspect_after_ms: Millis,
    per_round: usize,
    next_round_at: Millis,
    cursor: usize,
    peers: IndexMap<Incarnation, PeerView>,
}

impl Probes {
    /// Makes the state: a round each `interval_ms` with `per_round` partners.
    pub fn new(interval_ms: Millis, suspect_after_ms: Millis, per_round: usize) -> Self {
        Self {
            interval_ms,
            suspect_after_ms,
            per_round,
            ..Self::default()
        }
    }

    /// Returns what is known of a peer.
    pub fn get(&self, peer: Incarnation) -> Option<&PeerView> {
        self.peers.get(&peer)
    }

    /// Tells whether a peer is suspected to be dead.
    pub fn is_suspected(&self, peer: Incarnation) -> bool {
        self.get(peer).is_some_and(|view| view.suspected)
    }

    /// Sends the round that is due.
    pub fn on_tick(&mut self, now: Millis, members: &Members, probe: &Probe, fx: &mut Effects) {
        if now < self.next_round_at {
            return;
        }
        self.next_round_at = now + self.interval_ms;
        self.peers.retain(|peer, _| members.knows(*peer));
        let others: Vec<Incarnation> = members
            .iter()
            .map(|(host, _)| *host)
            .filter(|host| *host != probe.from)
            .collect();
        for _ in 0..self.per_round.min(others.len()) {
            self.cursor = (self.cursor + 1) % others.len();
            self.send(now, others[self.cursor], members, probe, fx);
        }
        self.suspect_silent(now);
    }

    fn send(
        &mut self,
        now: Millis,
        peer: Incarnation,
        members: &Members,
        probe: &Probe,
        fx: &mut Effects,
    ) {
        let Some(member) = members.get(peer) else {
            return;
        };
        let view = self.peers.entry(peer).or_default();
        if view.first_asked_at == Millis::ZERO {
            view.first_asked_at = now;
        }
        if view.asked_at.is_some() {
            return;
        }
        view.asked_at = Some(now);
        fx.push(Effect::AskPeer {
            peer,
            address: member.entry.peer_address,
            asked_at: now,
            request: PeerRequest::Probe(probe.clone()),
        });
    }

    fn suspect_silent(&mut self, now: Millis) {
        for (peer, view) in &mut self.peers {
            let heard_at = view.answered_at.unwrap_or(view.first_asked_at);
            let suspected = now.since(heard_at) > self.suspect_after_ms;
            if suspected && !view.suspected {
                LogEvent::PeerSuspected.write(&format!("peer={peer}"));
            }
            view.suspected = suspected;
        }
    }

    /// Takes a peer's answer to a probe.
    pub fn on_answer(&mut self, peer: Incarnation, asked_at: Millis, answer: &Probe) {
        let view = self.peers.entry(peer).or_default();
        view.asked_at = None;
        view.answered_at = view.answered_at.max(Some(asked_at));
        view.next_offset = view.next_offset.max(answer.next_offset);
        view.stopping = answer.stopping;
        view.suspected = false;
    }

    /// Takes a probe that a peer sent.
    pub fn on_probe(&mut self, probe: &Probe) {
        if let Some(view) = self.peers.get_mut(&probe.from) {
            view.next_offset = view.next_offset.max(probe.next_offset);
            view.stopping = probe.stopping;
        }
    }

    /// Takes the failure of a call to a peer.
    pub fn on_failed(&mut self, peer: Incarnation) {
        if let Some(view) = self.peers.get_mut(&peer) {
            view.asked_at = None;
        }
    }
}

/// Returns the answer to a probe.
pub fn answer(own: Probe) -> PeerReply {
    PeerReply::Probe(own)
}
