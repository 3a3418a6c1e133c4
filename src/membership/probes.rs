//! Heartbeat probes between hosts, which detect failed hosts and exchange applied log offsets.
//!
//! The cost of a round does not depend on the number of hosts: each host probes a few partners, of
//! which up to half are hosts that did not answer before, and the others are picked by a hash of
//! the round. The time of silence of a host counts from its first unanswered probe, so that a host
//! is not suspected merely because it was not probed. Each probe names the hosts that the sender
//! suspects; a host is evicted when several hosts agree.

use crate::membership::members::Members;
use crate::membership::message::{PeerRequest, Probe};
use crate::prelude::*;
use rapidhash::v3::rapidhash_v3;

/// Most suspected hosts named in one probe.
pub const MAX_SUSPECTS: usize = 16;
/// Most hosts probed at once outside the regular rounds, when an edit waits for their offsets.
pub const MAX_DIRECT_PROBES: usize = 16;
/// Shortest time from the sending of the last answered probe to a host until it is probed outside
/// the regular rounds.
pub const DIRECT_PROBE_INTERVAL_MS: Millis = Millis(100);
/// Number of hosts besides the proposer that must suspect a host for its eviction. If fewer others
/// are not suspected themselves, all of those suffice.
pub const MIN_ACCUSERS: usize = 2;

/// What the probes show about one peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerView {
    /// When the outstanding probe was sent, if there is one.
    pub asked_at: Option<Millis>,
    /// When the latest answered probe was sent.
    pub answered_at: Option<Millis>,
    /// When the first unanswered probe since the peer's last sign of life was sent.
    pub failing_since: Option<Millis>,
    /// The highest next offset that the peer reported.
    pub next_offset: Offset,
    /// Whether the peer's last probe or answer said that it is shutting down.
    pub stopping: bool,
    /// Whether the peer is suspected to be down.
    pub suspected: bool,
    /// Whether another incarnation answered at the peer's address, so that the peer can no longer
    /// be reached there.
    pub replaced: bool,
    /// The hosts that suspect the peer, with the time of their last probe that said so.
    accusers: IndexMap<Incarnation, Millis>,
}

impl PeerView {
    fn note_alive(&mut self) {
        self.failing_since = None;
        self.suspected = false;
    }
}

/// The state of the probes that this host sends.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Probes {
    interval_ms: Millis,
    suspect_after_ms: Millis,
    /// Most partners in one round.
    per_round: usize,
    next_round_at: Millis,
    /// The number of rounds so far, which varies the choice of partners.
    round: u64,
    peers: IndexMap<Incarnation, PeerView>,
}

impl Probes {
    /// Creates the state. A round of probes to `per_round` partners is sent every `interval_ms`,
    /// and a peer is suspected after `suspect_after_ms` of silence.
    pub fn new(interval_ms: Millis, suspect_after_ms: Millis, per_round: usize) -> Self {
        Self {
            interval_ms,
            suspect_after_ms,
            per_round,
            ..Self::default()
        }
    }

    /// Returns what the probes show about a peer, if it was probed.
    pub fn get(&self, peer: Incarnation) -> Option<&PeerView> {
        self.peers.get(&peer)
    }

    /// Returns whether a peer is suspected to be down.
    pub fn is_suspected(&self, peer: Incarnation) -> bool {
        self.get(peer).is_some_and(|view| view.suspected)
    }

    /// Returns whether a peer answered the last completed probe to it.
    pub fn answers(&self, peer: Incarnation) -> bool {
        self.get(peer)
            .is_some_and(|view| view.answered_at.is_some() && view.failing_since.is_none())
    }

    /// Returns whether a peer failed to answer the last completed probe to it.
    pub fn is_failing(&self, peer: Incarnation) -> bool {
        self.get(peer)
            .is_some_and(|view| view.failing_since.is_some())
    }

    /// Returns the suspected hosts to name in a probe, at most [`MAX_SUSPECTS`].
    pub fn suspects(&self) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, view)| view.suspected)
            .take(MAX_SUSPECTS)
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// Returns whether enough hosts suspect a peer to evict it without confirmation by the
    /// platform's list.
    pub fn is_agreed_dead(&self, now: Millis, peer: Incarnation, members: &Members) -> bool {
        let Some(view) = self.get(peer).filter(|view| view.suspected) else {
            return false;
        };
        let accusers = view
            .accusers
            .iter()
            .filter(|(host, at)| {
                members.is_member(**host) && now.since(**at) <= self.suspect_after_ms
            })
            .count();
        let suspects = members.iter().filter(|(host, _)| self.is_suspected(**host));
        let (suspects, hosts) = (suspects.count(), members.iter().count());
        // A host that suspects half of all hosts is probably isolated itself.
        let cut_off = suspects * 2 >= hosts;
        let live_others = hosts.saturating_sub(suspects + 1);
        !cut_off && accusers >= live_others.min(MIN_ACCUSERS)
    }

    /// Sends a round of probes if one is due, and updates which peers are suspected.
    pub fn on_tick(&mut self, now: Millis, members: &Members, probe: &Probe, fx: &mut Effects) {
        if now < self.next_round_at {
            return;
        }
        self.next_round_at = now + self.interval_ms;
        self.round += 1;
        self.peers.retain(|peer, _| members.knows(*peer));
        for partner in self.partners(members, probe.from) {
            self.send(now, partner, members, probe, fx);
        }
        self.update_suspicions(now);
    }

    /// Chooses the partners of a round. Up to half of them are hosts that failed to answer.
    fn partners(&self, members: &Members, me: Incarnation) -> IndexSet<Incarnation> {
        let others: Vec<Incarnation> = members
            .iter()
            .map(|(host, _)| *host)
            .filter(|host| *host != me)
            .collect();
        if others.len() <= self.per_round {
            return others.into_iter().collect();
        }
        let is_failing = |host: &Incarnation| {
            self.get(*host)
                .is_some_and(|view| view.failing_since.is_some())
        };
        let failing: Vec<Incarnation> = others.iter().copied().filter(is_failing).collect();
        let mut chosen = IndexSet::new();
        for pick in 0..self.per_round / 2 {
            chosen.extend(self.pick(me, pick, &failing));
        }
        for pick in chosen.len()..self.per_round {
            chosen.extend(self.pick(me, pick, &others));
        }
        chosen
    }

    /// Draws a host by a hash of this host, the round and the number of the draw.
    fn pick(&self, me: Incarnation, pick: usize, hosts: &[Incarnation]) -> Option<Incarnation> {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&me.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.round.to_le_bytes());
        bytes[16..].copy_from_slice(&(pick as u64).to_le_bytes());
        let drawn = rapidhash_v3(&bytes);
        let index = drawn.checked_rem(hosts.len() as u64)?;
        hosts.get(index as usize).copied()
    }

    /// Probes hosts outside the regular rounds when an edit waits for their offsets.
    pub fn probe_now(
        &mut self,
        now: Millis,
        hosts: impl Iterator<Item = Incarnation>,
        members: &Members,
        probe: &Probe,
        fx: &mut Effects,
    ) {
        let due: Vec<Incarnation> = hosts
            .filter(|host| *host != probe.from && self.is_direct_probe_due(now, *host))
            .take(MAX_DIRECT_PROBES)
            .collect();
        for host in due {
            self.send(now, host, members, probe, fx);
        }
    }

    fn is_direct_probe_due(&self, now: Millis, host: Incarnation) -> bool {
        self.get(host).is_none_or(|view| {
            let interval_over =
                |at: Option<Millis>| at.is_none_or(|at| now.since(at) >= DIRECT_PROBE_INTERVAL_MS);
            view.asked_at.is_none() && interval_over(view.answered_at)
        })
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

    fn update_suspicions(&mut self, now: Millis) {
        for (peer, view) in &mut self.peers {
            let silent_ms = view.failing_since.map(|since| now.since(since));
            let suspected = silent_ms.is_some_and(|silent_ms| silent_ms > self.suspect_after_ms);
            if suspected && !view.suspected {
                LogEvent::PeerSuspected.write(&format!("peer={peer}"));
            }
            view.suspected = suspected;
        }
    }

    /// Handles a peer's answer to a probe that was sent at `asked_at`.
    pub fn on_answer(&mut self, now: Millis, peer: Incarnation, asked_at: Millis, answer: &Probe) {
        let view = self.peers.entry(peer).or_default();
        view.asked_at = None;
        view.answered_at = view.answered_at.max(Some(asked_at));
        view.note_alive();
        self.apply_content(now, answer);
    }

    /// Handles a probe from a peer.
    pub fn on_probe(&mut self, now: Millis, probe: &Probe) {
        if let Some(view) = self.peers.get_mut(&probe.from) {
            view.note_alive();
        }
        self.apply_content(now, probe);
    }

    fn apply_content(&mut self, now: Millis, probe: &Probe) {
        if let Some(view) = self.peers.get_mut(&probe.from) {
            view.next_offset = view.next_offset.max(probe.next_offset);
            view.stopping = probe.stopping;
        }
        for suspect in probe.suspects.iter().take(MAX_SUSPECTS) {
            if let Some(view) = self.peers.get_mut(suspect) {
                view.accusers
                    .retain(|_, at| now.since(*at) <= self.suspect_after_ms);
                view.accusers.insert(probe.from, now);
            }
        }
    }

    /// Records that another incarnation answered at a peer's address.
    pub fn on_replaced(&mut self, peer: Incarnation) {
        if let Some(view) = self.peers.get_mut(&peer) {
            view.replaced = true;
        }
        self.on_failed(peer);
    }

    /// Returns whether another incarnation answered at a peer's address.
    pub fn is_replaced(&self, peer: Incarnation) -> bool {
        self.get(peer).is_some_and(|view| view.replaced)
    }

    /// Records that a probe or another call to a peer failed.
    pub fn on_failed(&mut self, peer: Incarnation) {
        let Some(view) = self.peers.get_mut(&peer) else {
            return;
        };
        if let Some(asked_at) = view.asked_at.take() {
            view.failing_since.get_or_insert(asked_at);
        }
    }

    /// Discards all suspicions and outstanding probes after this process was paused, since the
    /// silence was its own.
    pub fn on_pause(&mut self) {
        for view in self.peers.values_mut() {
            view.asked_at = None;
            view.note_alive();
            view.accusers.clear();
        }
    }
}
