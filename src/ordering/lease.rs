//! The lease to order loads: who may send an order, and until when.
//!
//! A record on a stream renews the lease; it is appended only if the stream ends where the holder last saw it, so
//! two hosts never renew in turns. What is proved by the tests: no two hosts may order within the engines' lease
//! time of each other, whatever is lost, late or paused.

use crate::group::Member;
use crate::prelude::*;
use crate::retry::message::Evidence;

/// How long after the sending of its last acknowledged renewal a holder may order.
pub const VALID_MS: Millis = Millis(2_000);
/// How often a holder renews: one lost renewal is borne.
pub const RENEW_MS: Millis = Millis(800);
/// How long a stream must not have moved before another host claims: the holder's validity, and the time of a call.
pub const SILENT_MS: Millis = Millis(2_300);
/// How long a stream must not have moved before it is read again: a little less than until it may be claimed.
const WORTH_READING_MS: Millis = Millis(1_900);
/// How long after its last renewal a holder gives up hope and tells the others: shortly before its validity ends.
const FAILING_MS: Millis = Millis(1_900);
/// What is added to waits between two holders: clocks of two hosts run at slightly different speeds, and a call may
/// be under way for a moment.
const MARGIN_MS: Millis = Millis(300);

/// How many members are the first to claim a lease that is free.
const CANDIDATES: usize = 3;

/// Tells whether a host is one of the first candidates for the lease among the members: those with the most processor,
/// since planning for a hundred engines keeps an eighth of a core busy. A host that is not listed yet is none, since hundreds of
/// them may start at once, unless nobody is listed.
pub fn is_candidate<'a>(own: &Member, members: impl Iterator<Item = &'a Member> + Clone) -> bool {
    let mut all = members.clone().peekable();
    let is_first = all.peek().is_none();
    let is_listed = all.any(|other| other.incarnation == own.incarnation);
    let before = members
        .filter(|other| other.capacity_rank() < own.capacity_rank())
        .count();
    is_first || (is_listed && before < CANDIDATES)
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who wrote it.
    pub holder: Member,
    /// Which of its writer's claims it belongs to; with the incarnation it names one holding.
    pub claim: u64,
    /// Whether the holder gives the lease up with it.
    pub released: bool,
    /// What holders have learned.
    #[serde(flatten)]
    pub learned: Learned,
}

/// What a holder leaves for the next one, also when all hosts restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    /// How many loads at once the weight store serves at full speed; learning it anew costs the next holder some loads'
    /// time.
    #[serde(default)]
    pub store_loads_at_once: Option<usize>,
    /// The requests that crash upstreams.
    #[serde(default)]
    pub crashes: Vec<Evidence>,
}

/// A holder's own view of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The host itself.
    pub me: Member,
    /// Which of its claims this is.
    pub claim: u64,
    /// The offset of its claim plus one: the fencing token, above every former holder's.
    pub fence: u64,
    /// The end of the stream after its newest record.
    pub end: Offset,
    /// When its newest acknowledged record was sent.
    pub renewed_at: Millis,
    /// Before this point another holder may still order.
    pub orders_from: Millis,
}

/// Names one holding: the incarnation of the holder's process, and which of its claims.
pub type HoldingName = (u64, u64);

impl LeaseRecord {
    fn holding(&self) -> HoldingName {
        (self.holder.incarnation, self.claim)
    }
}

/// A holder's word to another host that it orders no more, although its record is still the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// The holding that ended.
    pub holding: HoldingName,
    /// How long before the word it last had the right to order.
    pub ordered_ago_ms: Millis,
}

impl Holding {
    fn name(&self) -> HoldingName {
        (self.me.incarnation, self.claim)
    }

    /// Returns the record that renews or releases it.
    pub fn record(&self, released: bool, learned: Learned) -> LeaseRecord {
        LeaseRecord {
            holder: self.me.clone(),
            claim: self.claim,
            released,
            learned,
        }
    }
}

/// One host's view of the lease.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    claims: u64,
    resigned: Option<(HoldingName, Millis)>,
    own_resignation: Option<(HoldingName, Millis)>,
    is_in_doubt: bool,
    end: Option<Offset>,
    newest: Option<LeaseRecord>,
    still_since: Option<Millis>,
    holding: Option<Holding>,
}

impl Lease {
    /// Takes the end of the stream, and its newest record where one was read, as of `asked_at`.
    pub fn note_read(&mut self, asked_at: Millis, end: Offset, newest: Option<LeaseRecord>) {
        self.is_in_doubt = false;
        if self.end != Some(end) {
            self.end = Some(end);
            self.still_since = Some(asked_at);
        }
        if newest.is_some() {
            self.newest = newest;
        }
        if !self.is_own_newest() {
            self.holding = None;
        }
    }

    /// Takes the holder's word, which arrived at `now`, that the stream ends at `end` after a record of its own. The record was
    /// sent before that, so the holder's validity counts from `now` at the latest. A host that hears the holder often
    /// has seen the stream stand still from the moment on at which the holder is lost, not from its first read after.
    pub fn note_told_end(&mut self, now: Millis, end: Offset) {
        if self.holding.is_none() && self.end.is_none_or(|known| known < end) {
            self.end = Some(end);
            self.newest = None;
            self.still_since = Some(now);
        }
    }

    /// Tells whether the newest record is one of this holder's that keeps the lease.
    fn is_own_newest(&self) -> bool {
        match (&self.holding, &self.newest) {
            (Some(holding), Some(newest)) => newest.holding() == holding.name() && !newest.released,
            _ => false,
        }
    }

    /// Returns from which offset to read the newest record.
    pub fn end(&self) -> Option<Offset> {
        self.end
    }

    /// Returns the host that holds the lease, as far as this one knows.
    pub fn holder(&self) -> Option<&Member> {
        let newest = self.newest.as_ref()?;
        (!newest.released).then_some(&newest.holder)
    }

    /// Returns the condition under which to claim the lease now, if it may be claimed.
    pub fn may_claim(&self, now: Millis) -> Option<Offset> {
        let end = self.end?;
        let still_ms = now.since(self.still_since?);
        let was_released = self.newest.as_ref().is_some_and(|record| record.released);
        let has_resigned = self.resigned_at().is_some();
        // Without its newest record a stream that has an end was written by someone who may still order.
        let is_free = end == Offset(0) || was_released || has_resigned || still_ms >= SILENT_MS;
        (is_free && self.holding.is_none()).then_some(end)
    }

    /// Tells whether a read of the stream may show that the lease is free, or by whom it is held now. While the stream is
    /// known to have moved a moment ago it may not be claimed yet.
    pub fn is_worth_reading(&self, now: Millis) -> bool {
        let is_free = self.newest.as_ref().is_some_and(|newest| newest.released);
        let still_since = self.still_since.unwrap_or(Millis::ZERO);
        let is_known = !self.is_in_doubt && !is_free && self.resigned_at().is_none();
        !is_known || now.since(still_since) >= WORTH_READING_MS
    }

    /// Takes another host's word that it orders no more.
    pub fn note_resigned(&mut self, now: Millis, resignation: Resignation) {
        let ordered_at = now - resignation.ordered_ago_ms;
        self.resigned = Some((resignation.holding, ordered_at));
    }

    /// Takes note that the host taken for the holder says it is none: it may have released the lease, which a read shows.
    pub fn note_gone(&mut self) {
        self.is_in_doubt = true;
    }

    /// Gives the lease up when it cannot be renewed, for as long as this process lives unless it claims anew.
    pub fn resign(&mut self, now: Millis) -> Option<Resignation> {
        let holding = self.holding.take()?;
        let ordered_until = now.min(holding.renewed_at + VALID_MS);
        self.own_resignation = Some((holding.name(), ordered_until));
        self.resignation(now)
    }

    /// Returns this host's own resignation, while its record is the newest that it knows.
    pub fn resignation(&self, now: Millis) -> Option<Resignation> {
        let (holding, ordered_until) = self.own_resignation?;
        let is_newest = self.newest.as_ref()?.holding() == holding;
        (is_newest && self.holding.is_none()).then_some(Resignation {
            holding,
            ordered_ago_ms: now - ordered_until,
        })
    }

    /// Returns when the writer of the newest record last had the right to order, if it has resigned.
    fn resigned_at(&self) -> Option<Millis> {
        let newest = self.newest.as_ref()?.holding();
        let known = [self.resigned, self.own_resignation];
        let own = known
            .into_iter()
            .flatten()
            .find(|(holding, _)| *holding == newest);
        own.map(|(_, ordered_at)| ordered_at)
    }

    /// Returns the record of a new claim.
    pub fn claim_record(&mut self, me: Member, crashes: Vec<Evidence>) -> LeaseRecord {
        self.claims += 1;
        LeaseRecord {
            holder: me,
            claim: self.claims,
            released: false,
            learned: Learned {
                store_loads_at_once: self.store_loads_at_once(),
                crashes,
            },
        }
    }

    /// Returns what former holders learned of the weight store.
    pub fn store_loads_at_once(&self) -> Option<usize> {
        self.newest.as_ref()?.learned.store_loads_at_once
    }

    /// Takes an acknowledged claim, sent at `sent_at` under the condition `end`, now at `offset`.
    ///
    /// The former holder's last record was on the stream when its end was first read, at `still_since`, so it
    /// orders until then plus its validity at the latest.
    pub fn note_claimed(
        &mut self,
        sent_at: Millis,
        offset: Offset,
        record: LeaseRecord,
        engine_lease_ms: Millis,
    ) {
        let still_since = self.still_since.unwrap_or(sent_at);
        let was_released = self.newest.as_ref().is_some_and(|record| record.released);
        let former_ends = match (offset, was_released, self.resigned_at()) {
            (Offset(0), ..) => None,
            (_, true, _) => Some(still_since),
            (_, false, Some(ordered_at)) => Some(ordered_at),
            (_, false, None) => Some(still_since + VALID_MS),
        };
        let orders_from = former_ends.map_or(sent_at, |ends| ends + engine_lease_ms + MARGIN_MS);
        let end = Offset(offset.0 + 1);
        self.holding = Some(Holding {
            me: record.holder.clone(),
            claim: record.claim,
            fence: end.0,
            end,
            renewed_at: sent_at,
            orders_from,
        });
        self.newest = Some(record);
        self.end = Some(end);
        self.still_since = Some(sent_at);
    }

    /// Takes an acknowledged renewal.
    pub fn note_renewed(&mut self, sent_at: Millis, offset: Offset) {
        let end = Offset(offset.0 + 1);
        if let Some(holding) = &mut self.holding {
            holding.end = end;
            holding.renewed_at = holding.renewed_at.max(sent_at);
        }
        self.end = Some(end);
        self.still_since = Some(sent_at);
    }

    /// Takes that the stream ends elsewhere than this holder thinks. `newest` is the record before its end. When it is
    /// this host's own, an earlier renewal took effect without an answer, and the lease is kept; the
    /// validity still counts from renewals that were acknowledged.
    pub fn note_moved(&mut self, asked_at: Millis, end: Offset, newest: LeaseRecord) {
        self.note_read(asked_at, end, Some(newest));
        if let Some(holding) = &mut self.holding {
            holding.end = end;
        }
    }

    /// Gives the lease up in this host's own view.
    pub fn drop_holding(&mut self) {
        self.holding = None;
    }

    /// Returns this host's lease, if it has one.
    pub fn holding(&self) -> Option<&Holding> {
        self.holding.as_ref()
    }

    /// Tells whether this host may send an order now.
    pub fn may_order(&self, now: Millis) -> bool {
        self.holding.as_ref().is_some_and(|holding| {
            now >= holding.orders_from && now < holding.renewed_at + VALID_MS
        })
    }

    /// Tells whether the lease cannot be renewed: a renewal is overdue by as long as two calls take.
    pub fn is_failing(&self, now: Millis) -> bool {
        self.holding
            .as_ref()
            .is_some_and(|holding| now.since(holding.renewed_at) >= FAILING_MS)
    }

    /// Tells whether a renewal is due.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        self.holding
            .as_ref()
            .is_some_and(|holding| now.since(holding.renewed_at) >= RENEW_MS)
    }
}
