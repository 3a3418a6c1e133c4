//! The lease that gives one host, the holder, the right to send orders to engines.
//!
//! A lease is claimed and renewed by appending a record to a stream. The append succeeds only if
//! the stream ends where the writer last saw its end, so two hosts cannot renew in alternation. The
//! tests check that no two hosts may send orders within the engines' lease time of each other,
//! whichever messages are lost or late and whichever process is paused.

use crate::group::Member;
use crate::prelude::*;
use crate::retry::message::{Evidence, SharedEvidence};

/// How long after it sent its last acknowledged renewal a holder may send orders.
pub const VALIDITY_MS: Millis = Millis(2_000);
/// The interval of renewals. It leaves time for one renewal to be lost.
pub const RENEWAL_INTERVAL_MS: Millis = Millis(800);
/// How long the stream must be unchanged before another host reads it again and may claim the lease:
/// the holder's validity. The new holder reads the engines' reports at once, and may order an engine
/// when the engines' lease time has passed since.
pub const CLAIM_AFTER_MS: Millis = VALIDITY_MS;
/// How long after its last renewal a holder gives the lease up and informs the other hosts; shortly
/// before its validity ends.
const RENEWAL_TIMEOUT_MS: Millis = Millis(1_900);
/// Safety margin between two holders, whose clocks run at slightly different speeds. Orders that are
/// still on their way are no part of it: each engine is also watched for their effects.
const HANDOVER_MARGIN_MS: Millis = Millis(100);

/// The last era in which an empty stream shows that no host has held the lease; a new store may
/// count its eras from zero or from one.
const FIRST_ERA: Era = Era(1);

/// How many members are the first to claim a free lease.
const FIRST_CLAIMANTS: usize = 3;

/// Returns whether a host is one of the first to claim the lease. These are the members with the
/// most processor capacity, because planning for a hundred engines keeps an eighth of a core busy.
/// A host that is not listed as a member yet is not among them unless no member is listed, because
/// hundreds of hosts may start at the same time.
pub fn is_candidate<'a>(own: &Member, members: impl Iterator<Item = &'a Member> + Clone) -> bool {
    let mut all = members.clone().peekable();
    let is_list_empty = all.peek().is_none();
    let is_listed = all.any(|other| other.incarnation == own.incarnation);
    let better = members
        .filter(|other| other.capacity_rank() < own.capacity_rank())
        .count();
    is_list_empty || (is_listed && better < FIRST_CLAIMANTS)
}

/// A record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The host that wrote the record.
    pub holder: Member,
    /// The number of the claim that the record belongs to, counted by its writer. Together with the
    /// writer's incarnation it identifies the holding.
    pub claim: u64,
    /// Whether the holder gives up the lease with this record.
    pub released: bool,
    /// The era of the store for which the record was written. A record may be appended in a later
    /// one, if the store was restored from a copy meanwhile.
    #[serde(default)]
    pub era: Era,
    /// What this holder and earlier ones have learned.
    #[serde(flatten)]
    pub learned: Learned,
}

/// State that a holder passes to its successor, also across a restart of all hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    /// How many concurrent loads the weight store serves at full speed. To learn it again would
    /// cost the next holder the time of several loads.
    #[serde(default)]
    pub store_loads_at_once: Option<usize>,
    /// What is known to crash upstreams.
    #[serde(flatten)]
    pub evidence: CrashEvidence,
}

/// Evidence on crashes of upstreams in a lease record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// That on requests.
    #[serde(default)]
    pub crashes: Vec<Evidence>,
    /// That on what requests share.
    #[serde(default)]
    pub shared_crashes: Vec<SharedEvidence>,
}

/// A lease as its holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The holder itself.
    pub me: Member,
    /// The number of the claim by which it got the lease.
    pub claim: u64,
    /// The fencing token, which is higher than every earlier holder's.
    pub fence: u64,
    /// Where the next record is to be appended: the end of the stream after the holder's newest
    /// record, or, after the store was restored from a copy, the end that this holder found.
    pub end: Position,
    /// When the holder's newest acknowledged record was sent.
    pub renewed_at: Millis,
    /// The era in which that record was appended.
    pub renewed_era: Era,
    /// The time before which the previous holder may still send orders.
    pub orders_from: Millis,
    /// Whether no host held the lease before, so that the system starts for the first time.
    pub is_first: bool,
}

/// Identifies a holding: the incarnation of the holder's process, and the number of its claim.
pub type HoldingId = (u64, u64);

impl LeaseRecord {
    fn holding(&self) -> HoldingId {
        (self.holder.incarnation, self.claim)
    }
}

/// A former holder's statement that it sends no more orders, although its record is still the
/// newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// The holding that ended.
    pub holding: HoldingId,
    /// How long ago the former holder last had the right to send orders.
    pub ordered_ago_ms: Millis,
}

impl Holding {
    fn id(&self) -> HoldingId {
        (self.me.incarnation, self.claim)
    }

    fn valid_until(&self) -> Millis {
        self.renewed_at + VALIDITY_MS
    }

    /// Returns the record that renews the lease, or releases it.
    pub fn record(&self, released: bool, learned: Learned) -> LeaseRecord {
        LeaseRecord {
            holder: self.me.clone(),
            claim: self.claim,
            released,
            era: self.end.era,
            learned,
        }
    }
}

/// The state of the lease as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The number of this process's last claim; zero before the first.
    claims: u64,
    /// The last resignation of another host, and when that host last had the right to send orders.
    other_resignation: Option<(HoldingId, Millis)>,
    /// The same for this host's own last resignation.
    own_resignation: Option<(HoldingId, Millis)>,
    /// Whether the presumed holder has denied being the holder since the last read.
    holder_denied: bool,
    end: Option<Position>,
    /// Whether the store was restored from a copy while this host knew the stream.
    saw_restoration: bool,
    /// The record before `end`, if it was read or written by this host.
    newest: Option<LeaseRecord>,
    /// Since when the stream is known to end at `end`.
    unchanged_since: Option<Millis>,
    /// This host's own lease, if it holds one.
    holding: Option<Holding>,
}

impl Lease {
    /// Records a read of the stream, sent at `asked_at` and answered at `answered_at`: its end, and its
    /// newest record if one was read. A read of an earlier era than the known one changes nothing.
    ///
    /// A record that the read shows for the first time may have been sent until the read was answered.
    pub fn note_read(
        &mut self,
        asked_at: Millis,
        answered_at: Millis,
        end: Position,
        newest: Option<LeaseRecord>,
    ) {
        if self.end.is_some_and(|known| end.era < known.era) {
            return;
        }
        self.holder_denied = false;
        self.note_era(end.era);
        if self.end != Some(end) {
            self.end = Some(end);
            self.unchanged_since = Some(answered_at);
        }
        if newest.is_some() {
            self.newest = newest;
        }
        if !self.keeps_holding(asked_at) {
            self.holding = None;
        }
    }

    /// Tells whether a read of the stream leaves this holder its lease.
    ///
    /// After the store was restored from a copy, it does while the holder's last acknowledged record is
    /// valid and no host has written to the restored stream: no other host claims the lease within that
    /// time, neither in the part of the stream that was lost nor in the restored one.
    fn keeps_holding(&self, now: Millis) -> bool {
        let (Some(holding), Some(end)) = (&self.holding, self.end) else {
            return false;
        };
        match holding.renewed_era < end.era {
            true => {
                let is_unwritten = !self.is_newest_of_era() || self.is_own_newest();
                now < holding.valid_until() && is_unwritten
            }
            false => self.is_own_newest(),
        }
    }

    /// Forgets the newest record if the store was restored from a copy since it was read.
    fn note_era(&mut self, era: Era) {
        if self.end.is_some_and(|known| known.era < era) {
            self.saw_restoration = true;
            self.newest = None;
        }
    }

    /// Tells whether the newest record was written in the era of the stream's end. Otherwise later
    /// records may have been lost when the store was restored from a copy, so the newest one does
    /// not show that the lease is free.
    fn is_newest_of_era(&self) -> bool {
        let newest = self.newest.as_ref();
        self.end
            .is_some_and(|end| newest.is_some_and(|newest| newest.era == end.era))
    }

    /// Records the holder's statement, received at `now`, that the stream ends at `end` after its
    /// own record. The record was sent before the statement, so the holder's validity counts from
    /// `now` at the latest. A host that the holder answers regularly therefore knows the stream
    /// as unchanged since the holder's last statement, and not only since its own next read.
    pub fn note_reported_end(&mut self, now: Millis, end: Position) {
        if self.holding.is_none() && self.end.is_none_or(|known| known < end) {
            self.note_era(end.era);
            self.end = Some(end);
            self.newest = None;
            self.unchanged_since = Some(now);
        }
    }

    /// Returns whether the newest record is this host's own and keeps the lease.
    fn is_own_newest(&self) -> bool {
        match (&self.holding, &self.newest) {
            (Some(holding), Some(newest)) => newest.holding() == holding.id() && !newest.released,
            _ => false,
        }
    }

    /// Returns the position from which to read the newest record.
    pub fn end(&self) -> Option<Position> {
        self.end
    }

    /// Returns the host that holds the lease, as far as this host knows.
    pub fn holder(&self) -> Option<&Member> {
        let newest = self.newest.as_ref()?;
        (!newest.released).then_some(&newest.holder)
    }

    /// Returns the end of the stream at which a claim must be appended, if the lease may be claimed
    /// now.
    pub fn may_claim(&self, now: Millis) -> Option<Position> {
        let end = self.end?;
        let unchanged_ms = now.since(self.unchanged_since?);
        let has_resigned = self.resigned_at().is_some();
        // A stream that has an end but whose newest record is unknown was written by a host that
        // may still send orders.
        let is_free = self.was_never_held()
            || self.was_released()
            || has_resigned
            || unchanged_ms >= CLAIM_AFTER_MS;
        (is_free && self.holding.is_none()).then_some(end)
    }

    /// Tells whether no host has held the lease before. An empty stream does not show it after the
    /// store was restored from a copy.
    fn was_never_held(&self) -> bool {
        let is_empty = |end: Position| end.offset == Offset(0) && end.era <= FIRST_ERA;
        self.end.is_some_and(is_empty) && !self.saw_restoration
    }

    /// Tells whether the last holder released the lease.
    fn was_released(&self) -> bool {
        let newest = self.newest.as_ref();
        newest.is_some_and(|newest| newest.released) && self.is_newest_of_era()
    }

    /// Returns whether a read of the stream may show that the lease is free, or who holds it now. A
    /// stream that changed a moment ago is not read, because the lease cannot be claimed yet.
    pub fn should_read(&self, now: Millis) -> bool {
        let is_free = self.was_released();
        let unchanged_since = self.unchanged_since.unwrap_or(Millis::ZERO);
        let is_known = !self.holder_denied && !is_free && self.resigned_at().is_none();
        !is_known || now.since(unchanged_since) >= CLAIM_AFTER_MS
    }

    /// Records another host's statement that it sends no more orders.
    pub fn note_resigned(&mut self, now: Millis, resignation: Resignation) {
        let ordered_at = now - resignation.ordered_ago_ms;
        self.other_resignation = Some((resignation.holding, ordered_at));
    }

    /// Records that the presumed holder denies being the holder. It may have released the lease,
    /// which a read of the stream shows.
    pub fn note_gone(&mut self) {
        self.holder_denied = true;
    }

    /// Gives up the lease because it cannot be renewed. This process holds it again only after a
    /// new claim.
    pub fn resign(&mut self, now: Millis) -> Option<Resignation> {
        let holding = self.holding.take()?;
        let ordered_until = now.min(holding.renewed_at + VALIDITY_MS);
        self.own_resignation = Some((holding.id(), ordered_until));
        self.resignation(now)
    }

    /// Returns this host's own resignation if its record is still the newest that it knows.
    pub fn resignation(&self, now: Millis) -> Option<Resignation> {
        let (holding, ordered_until) = self.own_resignation?;
        let is_newest = self.newest.as_ref()?.holding() == holding;
        (is_newest && self.holding.is_none()).then_some(Resignation {
            holding,
            ordered_ago_ms: now - ordered_until,
        })
    }

    /// Returns when the writer of the newest record last had the right to send orders, if it has
    /// resigned.
    fn resigned_at(&self) -> Option<Millis> {
        let newest = self.newest.as_ref().filter(|_| self.is_newest_of_era())?;
        let newest = newest.holding();
        let known = [self.other_resignation, self.own_resignation];
        let resignation = known
            .into_iter()
            .flatten()
            .find(|(holding, _)| *holding == newest);
        resignation.map(|(_, ordered_at)| ordered_at)
    }

    /// Returns the record for a new claim.
    pub fn claim_record(&mut self, me: Member, evidence: CrashEvidence) -> LeaseRecord {
        self.claims += 1;
        LeaseRecord {
            holder: me,
            claim: self.claims,
            released: false,
            era: self.end.map_or(Era::default(), |end| end.era),
            learned: Learned {
                store_loads_at_once: self.store_loads_at_once(),
                evidence,
            },
        }
    }

    /// Returns how many concurrent loads the weight store serves at full speed, as learned by
    /// earlier holders.
    pub fn store_loads_at_once(&self) -> Option<usize> {
        self.newest.as_ref()?.learned.store_loads_at_once
    }

    /// Records a claim that was sent at `sent_at`, and acknowledged at `position` at `answered_at`. `engine_lease_ms`
    /// is the time that engines require between one host's last order and another host's first. A
    /// claim that was appended after the store was restored from a copy gives no lease: what showed
    /// that the lease was free may have been lost, as may later claims.
    ///
    /// The previous holder's last record was sent before the read that first showed it was answered, at
    /// `unchanged_since`. So the previous holder sends orders until then plus its validity at the
    /// latest.
    pub fn note_claimed(
        &mut self,
        sent_at: Millis,
        answered_at: Millis,
        position: Position,
        record: LeaseRecord,
        engine_lease_ms: Millis,
    ) {
        if position.era != record.era {
            self.note_read(sent_at, answered_at, position.next(), Some(record));
            return;
        }
        let unchanged_since = self.unchanged_since.unwrap_or(sent_at);
        let former_ends = match (
            self.was_never_held(),
            self.was_released(),
            self.resigned_at(),
        ) {
            (true, ..) => None,
            (_, true, _) => Some(unchanged_since),
            (_, false, Some(ordered_at)) => Some(ordered_at),
            (_, false, None) => Some(unchanged_since + VALIDITY_MS),
        };
        let orders_from =
            former_ends.map_or(sent_at, |ends| ends + engine_lease_ms + HANDOVER_MARGIN_MS);
        let end = position.next();
        let is_first = self.was_never_held();
        self.holding = Some(Holding {
            is_first,
            me: record.holder.clone(),
            claim: record.claim,
            fence: position.fencing_token(),
            end,
            renewed_at: sent_at,
            renewed_era: position.era,
            orders_from,
        });
        self.newest = Some(record);
        self.end = Some(end);
        self.unchanged_since = Some(sent_at);
    }

    /// Records a renewal that was sent at `sent_at`, appended at `position` and acknowledged at
    /// `answered_at`. The first one after the store was restored from a copy counts only if the
    /// lease was still valid when it was acknowledged.
    pub fn note_renewed(&mut self, sent_at: Millis, answered_at: Millis, position: Position) {
        let end = position.next();
        let is_first_of_era = |holding: &Holding| holding.renewed_era < position.era;
        let has_ended = |holding: &Holding| answered_at >= holding.valid_until();
        self.holding
            .take_if(|holding| is_first_of_era(holding) && has_ended(holding));
        self.saw_restoration |= self.end.is_some_and(|known| known.era < end.era);
        if let Some(holding) = &mut self.holding {
            holding.end = end;
            holding.renewed_at = holding.renewed_at.max(sent_at);
            holding.renewed_era = position.era;
        }
        self.end = Some(end);
        self.unchanged_since = Some(sent_at);
    }

    /// Records that the stream ends at another position than this holder assumed. `newest` is the
    /// record before the end. If it is this host's own, an earlier renewal took effect without an
    /// answer, and the lease is kept; its validity still counts from the acknowledged renewals. The
    /// lease is also kept if the store was restored from a copy and no host claimed it since.
    pub fn note_moved(
        &mut self,
        asked_at: Millis,
        answered_at: Millis,
        end: Position,
        newest: Option<LeaseRecord>,
    ) {
        let is_restored = self.end.is_some_and(|known| known.era < end.era);
        if newest.is_none() && !is_restored {
            self.holding = None;
        }
        self.note_read(asked_at, answered_at, end, newest);
        if let Some(holding) = &mut self.holding {
            holding.end = end;
        }
    }

    /// Stops holding the lease locally, without a record on the stream.
    pub fn drop_holding(&mut self) {
        self.holding = None;
    }

    /// Returns this host's own lease if it holds one.
    pub fn holding(&self) -> Option<&Holding> {
        self.holding.as_ref()
    }

    /// Returns whether this host may send an order now.
    pub fn may_order(&self, now: Millis) -> bool {
        self.holding.as_ref().is_some_and(|holding| {
            now >= holding.orders_from && now < holding.renewed_at + VALIDITY_MS
        })
    }

    /// Returns whether renewals of the lease fail: the next one is overdue by the time of two
    /// calls.
    pub fn is_failing(&self, now: Millis) -> bool {
        self.holding
            .as_ref()
            .is_some_and(|holding| now.since(holding.renewed_at) >= RENEWAL_TIMEOUT_MS)
    }

    /// Returns whether a renewal is due.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        self.holding
            .as_ref()
            .is_some_and(|holding| now.since(holding.renewed_at) >= RENEWAL_INTERVAL_MS)
    }
}
