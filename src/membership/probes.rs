//! Probes between hosts: who is alive, and which offsets they have applied.
//!
//! A round costs the same however many hosts there are: a few partners, those that fail first, the
//! rest picked by a hash of the round. Silence counts from a host's first unanswered probe, so a
//! host that was merely not asked is not suspected. Each probe names the sender's suspects; a host
//! is evicted on the agreement of several.

use crate::membership::members::Members;
use crate::membership::message::{PeerRequest, Probe};
use crate::prelude::*;
use rapidhash::v3::rapidhash_v3;

/// Most suspects named in one probe.
pub const MAX_SUSPECTS: usize = 16;
/// Most hosts asked beside the round at once, for an edit that waits for them.
pub const MAX_DIRECT_ASKS: usize = 16;
/// How long a host's offset is not asked for again beside the round.
pub const DIRECT_ASK_REST_MS: Millis = Millis(100);
/// How many hosts beside the proposer must suspect a host that is to be evicted, where there are as
/// many.
pub const MIN_ACCUSERS: usize = 2;

/// What is known of one peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerView {
    /// When the outstanding probe was sent, if one is.
    pub asked_at: Option<Millis>,
    /// When the last probe was sent that was answered.
    pub answered_at: Option<Millis>,
    /// When the first probe since then was sent that was not answered.
    pub failing_since: Option<Millis>,
    /// The peer's next offset in its last answer.
    pub next_offset: Offset,
    /// Whether the peer said that it is stopping.
    pub stopping: bool,
    /// Whether it is suspected to be dead.
    pub suspected: bool,
    /// Whether another incarnation answered at its address, so that it takes no calls any more.
    pub replaced: bool,
    /// Which hosts suspect it, and when each last said so.
    accusers: IndexMap<Incarnation, Millis>,
}

impl PeerView {
    fn note_alive(&mut self) {
        self.failing_since = None;
        self.suspected = false;
    }
}

/// The probes of one host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Probes {
    interval_ms: Millis,
    suspect_after_ms: Millis,
    per_round: usize,
    next_round_at: Millis,
    round: u64,
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

    /// Tells whether a peer answered the last probe to it that ended.
    pub fn answers(&self, peer: Incarnation) -> bool {
        self.get(peer)
            .is_some_and(|view| view.answered_at.is_some() && view.failing_since.is_none())
    }

    /// Tells whether a peer left the last probe to it unanswered.
    pub fn is_failing(&self, peer: Incarnation) -> bool {
        self.get(peer)
            .is_some_and(|view| view.failing_since.is_some())
    }

    /// Returns the suspects to name in a probe.
    pub fn suspects(&self) -> Vec<Incarnation> {
        self.peers
            .iter()
            .filter(|(_, view)| view.suspected)
            .take(MAX_SUSPECTS)
            .map(|(peer, _)| *peer)
            .collect()
    }

    /// Tells whether enough hosts suspect a peer to evict it without the platform's word.
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
        // A host that suspects half of all is likely the one that is cut off.
        let cut_off = suspects * 2 >= hosts;
        let live_others = hosts.saturating_sub(suspects + 1);
        !cut_off && accusers >= live_others.min(MIN_ACCUSERS)
    }

    /// Sends the round that is due.
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
        self.suspect_silent(now);
    }

    fn partners(&self, members: &Members, me: Incarnation) -> IndexSet<Incarnation> {
        let others: Vec<Incarnation> = members
            .iter()
            .map(|(host, _)| *host)
            .filter(|host| *host != me)
            .collect();
        if others.len() <= self.per_round {
            return others.into_iter().collect();
        }
        let failing = |host: &Incarnation| {
            self.get(*host)
                .is_some_and(|view| view.failing_since.is_some())
        };
        let failing: Vec<Incarnation> = others.iter().copied().filter(failing).collect();
        let mut chosen = IndexSet::new();
        for pick in 0..self.per_round / 2 {
            chosen.extend(self.pick(me, pick, &failing));
        }
        for pick in chosen.len()..self.per_round {
            chosen.extend(self.pick(me, pick, &others));
        }
        chosen
    }

    fn pick(&self, me: Incarnation, pick: usize, hosts: &[Incarnation]) -> Option<Incarnation> {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&me.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.round.to_le_bytes());
        bytes[16..].copy_from_slice(&(pick as u64).to_le_bytes());
        let drawn = rapidhash_v3(&bytes);
        let index = drawn.checked_rem(hosts.len() as u64)?;
        hosts.get(index as usize).copied()
    }

    /// Asks hosts at once whose offsets an edit waits for, beside the rounds.
    pub fn ask_now(
        &mut self,
        now: Millis,
        hosts: impl Iterator<Item = Incarnation>,
        members: &Members,
        probe: &Probe,
        fx: &mut Effects,
    ) {
        let due: Vec<Incarnation> = hosts
            .filter(|host| *host != probe.from && self.is_direct_ask_due(now, *host))
            .take(MAX_DIRECT_ASKS)
            .collect();
        for host in due {
            self.send(now, host, members, probe, fx);
        }
    }

    fn is_direct_ask_due(&self, now: Millis, host: Incarnation) -> bool {
        self.get(host).is_none_or(|view| {
            let rested =
                |at: Option<Millis>| at.is_none_or(|at| now.since(at) >= DIRECT_ASK_REST_MS);
            view.asked_at.is_none() && rested(view.answered_at)
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

    fn suspect_silent(&mut self, now: Millis) {
        for (peer, view) in &mut self.peers {
            let silent_ms = view.failing_since.map(|since| now.since(since));
            let suspected = silent_ms.is_some_and(|silent_ms| silent_ms > self.suspect_after_ms);
            if suspected && !view.suspected {
                LogEvent::PeerSuspected.write(&format!("peer={peer}"));
            }
            view.suspected = suspected;
        }
    }

    /// Takes a peer's answer to a probe.
    pub fn on_answer(&mut self, now: Millis, peer: Incarnation, asked_at: Millis, answer: &Probe) {
        let view = self.peers.entry(peer).or_default();
        view.asked_at = None;
        view.answered_at = view.answered_at.max(Some(asked_at));
        view.note_alive();
        self.take_content(now, answer);
    }

    /// Takes a probe that a peer sent.
    pub fn on_probe(&mut self, now: Millis, probe: &Probe) {
        if let Some(view) = self.peers.get_mut(&probe.from) {
            view.note_alive();
        }
        self.take_content(now, probe);
    }

    fn take_content(&mut self, now: Millis, probe: &Probe) {
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

    /// Takes note that another incarnation answers at a peer's address.
    pub fn on_replaced(&mut self, peer: Incarnation) {
        if let Some(view) = self.peers.get_mut(&peer) {
            view.replaced = true;
        }
        self.on_failed(peer);
    }

    /// Tells whether another incarnation answered at a peer's address.
    pub fn is_replaced(&self, peer: Incarnation) -> bool {
        self.get(peer).is_some_and(|view| view.replaced)
    }

    /// Takes the failure of a call to a peer.
    pub fn on_failed(&mut self, peer: Incarnation) {
        let Some(view) = self.peers.get_mut(&peer) else {
            return;
        };
        if let Some(asked_at) = view.asked_at.take() {
            view.failing_since.get_or_insert(asked_at);
        }
    }

    /// Forgets all silence: this process was paused, so the silence was its own.
    pub fn on_pause(&mut self) {
        for view in self.peers.values_mut() {
            view.asked_at = None;
            view.note_alive();
            view.accusers.clear();
        }
    }
}
