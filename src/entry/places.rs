//! Reservations for callers that were told to retry after a refusal for a rate limit: made where the
//! request was refused, kept there and at one more host, and claimed at any host.
//!
//! Load it addresses: callers that retry when told at another host than the one that refused them.
//!
//! Every host derives the second keeper from the request's digest and the list of hosts: the first
//! host in the rendezvous order that is not the one which refused. A host without the reservation
//! asks the first host of that order, which is one of the two as long as the list is the same. Only
//! [`KEEPING_HOSTS`] hosts are second keepers at a time: most bytes of a call are those of opening a
//! connection, and with few keepers hosts find their connections to them open.
//!
//! A second keeper that gives a reservation out does not call the host that refused, unless other
//! hosts ask that one, but tells it in the answer to that host's next call.
//!
//! # Lost messages
//!
//! - A reservation that did not reach the second keeper is found only at the host that refused.
//! - A claim whose answer is lost or late removes the reservation all the same, so the request is
//!   treated as a new one.
//! - A removal that does not reach the other keeper leaves one copy, which an equal request can claim
//!   until it ends. The same holds for claims at both keepers at the same time. One reservation
//!   therefore serves two requests at most, both with the same digest, and within [`LATE_MS`] of its
//!   time. It affects their order only: the limiter charges both.
//!
//! [`LATE_MS`]: crate::rate_limit::place::LATE_MS

use crate::entry::active_request::ActiveRequest;
use crate::entry::forward::max_retry_after_ms;
use crate::entry::host::Host;
use crate::entry::outbox::Outbox;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::group::keepers::keepers_in_order;
use crate::group::{Member, Members};
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use crate::rate_limit::claimed_keys::ClaimedKeys;
use crate::rate_limit::place::{MAX_BATCH_PLACES, place_key};
use crate::rate_limit::places::{DueTokens, Wanted};
use crate::rate_limit::schedules::Refill;
use crate::rate_limit::{Place, PlaceBook, PlaceUpdate};
use smol::LocalExecutor;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long the keeper of a reservation may take to answer.
pub const CLAIM_TIMEOUT_MS: Millis = Millis(40);
/// How many hosts are second keepers at a time.
pub const KEEPING_HOSTS: usize = 4;
/// The most updates that wait to be sent; further ones are dropped.
const MAX_QUEUED: usize = 4_096;

/// The reservations of a host, and what it has yet to tell the other keepers of them.
pub struct Places {
    book: RefCell<PlaceBook>,
    outbox: Outbox<Update>,
    claimed: RefCell<ClaimedKeys>,
    /// The calls to other hosts; none for a host without others.
    network: RefCell<Option<Rc<Peers>>>,
}

/// An update for another host. Its times become relative when it is sent.
enum Update {
    Keep { place: Place, is_repeat: bool },
    Remove(u64),
}

impl Update {
    fn at(self, now: Millis) -> PlaceUpdate {
        match self {
            Self::Keep { place, is_repeat } => PlaceUpdate::Keep(place.to_sent(now, is_repeat)),
            Self::Remove(key) => PlaceUpdate::Remove(key),
        }
    }
}

impl Places {
    /// Creates the state of a host with this incarnation, without other hosts.
    pub fn new(incarnation: u64) -> Self {
        Self {
            book: RefCell::new(PlaceBook::new(incarnation)),
            outbox: Outbox::new(MAX_QUEUED, MAX_BATCH_PLACES),
            claimed: RefCell::default(),
            network: RefCell::default(),
        }
    }

    /// Sets the calls to other hosts.
    pub fn connect(&self, peers: Rc<Peers>) {
        *self.network.borrow_mut() = Some(peers);
    }

    /// Returns the number of reservations that this host keeps.
    pub fn len(&self) -> usize {
        self.book.borrow().len()
    }

    /// Returns whether this host keeps no reservations.
    pub fn is_empty(&self) -> bool {
        self.book.borrow().is_empty()
    }
}

/// Returns the retry time to name in the refusal of a request for its organisation's rate limit, and
/// keeps a reservation for that time, if the caller comes back that late. `retry_after_ms` is the time
/// until the limit has room for it.
pub fn keep<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    retry_after_ms: Millis,
) -> Millis {
    let now = host.now();
    let organisation = request.identity.organisation();
    let limit = organisation.and_then(|own| own.rate_limit.as_ref());
    let (Some(organisation), Some(limit)) = (organisation, limit) else {
        return retry_after_ms;
    };
    // Without contact to the others, this host's part of the refill is not known.
    let Some(hosts) = host.members.borrow().count_serving(now) else {
        return retry_after_ms;
    };
    let wanted = Wanted {
        key: place_key(&request.causes.digest),
        organisation: &organisation.name,
        rank: request.rank(),
        cost: limit.cost(request.facts.counted_tokens),
        arrived_at: request.arrived_at,
        retry_after_ms,
        max_retry_after_ms: max_retry_after_ms(now, request),
    };
    let refill = Refill {
        per_s: limit.per_s,
        default_part: 1.0 / hosts.max(1) as f64,
    };
    let mut book = host.places.book.borrow_mut();
    let reserved = book.reserve(now, &wanted, refill, fastrand::f64());
    drop(book);
    let is_repeat = reserved.is_repeat;
    if is_repeat {
        host.metrics.count_refused_again();
    }
    if let Some(place) = reserved.place {
        host.metrics.count_reservations("kept", 1);
        let key = place.key;
        update_other_keeper(host, key, Update::Keep { place, is_repeat });
    }
    reserved.retry_after_ms
}

/// Takes the reservation of a request that would not begin at once, if it has one that is valid now.
/// Asks one other host at most, for [`CLAIM_TIMEOUT_MS`].
pub async fn claim<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Place> {
    let organisation = request.identity.organisation()?;
    organisation.rate_limit.as_ref()?;
    let key = place_key(&request.causes.digest);
    let found = match claim_here(host, key) {
        Some(place) => Some(place),
        None => claim_at_keeper(host, key).await,
    };
    let found = found.filter(|place| place.organisation == organisation.name);
    let outcome = if found.is_some() {
        "claimed"
    } else {
        "not_found"
    };
    host.metrics.count_reservations(outcome, 1);
    found
}

/// Takes a reservation out of this host's book, and tells the other keeper.
fn claim_here<P: Platform>(host: &Host<P>, key: u64) -> Option<Place> {
    let now = host.now();
    let place = host.places.book.borrow_mut().claim(now, key)?;
    let members = host.members.borrow();
    let first = order(&members, key).next();
    let others_ask_it = first.is_some_and(|first| first.incarnation == place.refused_by);
    if place.refused_by == host.incarnation || others_ask_it {
        update_other_keeper(host, key, Update::Remove(key));
    } else {
        let mut claimed = host.places.claimed.borrow_mut();
        claimed.note(place.refused_by, key, place.until);
    }
    Some(place)
}

async fn claim_at_keeper<P: Platform>(host: &Host<P>, key: u64) -> Option<Place> {
    let (peers, keeper) = {
        let network = host.places.network.borrow();
        let peers = network.as_ref()?;
        let members = host.members.borrow();
        let keeper = order(&members, key).next()?;
        if keeper.incarnation == host.incarnation {
            return None;
        }
        (peers.clone(), keeper.peer_address)
    };
    let call = PeerCall::ClaimPlace {
        from: host.incarnation,
        key,
    };
    let call = peers.call(keeper, &call);
    let sent = match with_timeout(CLAIM_TIMEOUT_MS, call).await.flatten()? {
        PeerReply::Place { place, claimed } => {
            remove_claimed(host, &claimed);
            place?
        }
        PeerReply::Sync(_)
        | PeerReply::AppendedLease(_)
        | PeerReply::List(_)
        | PeerReply::Desired(_)
        | PeerReply::Version(_)
        | PeerReply::KeptStreams
        | PeerReply::Stream { .. }
        | PeerReply::Versions(_)
        | PeerReply::KeptPlaces(_) => return None,
    };
    let now = host.now();
    let place = Place::from_sent(now, sent).filter(|place| place.key == key)?;
    host.places.book.borrow_mut().note_claimed(&place);
    Some(place)
}

/// Takes a reservation for a request at another host.
pub fn claim_for_peer<P: Platform>(host: &Host<P>, from: u64, key: u64) -> PeerReply {
    let place = claim_here(host, key);
    let now = host.now();
    PeerReply::Place {
        place: place.map(|place| place.to_sent(now, false)),
        claimed: host.places.claimed.borrow_mut().take(now, from),
    }
}

/// Applies the updates of one message of another host. Returns the answer: the keys of reservations
/// of requests that it refused which were claimed.
pub fn receive<P: Platform>(host: &Host<P>, from: u64, updates: Vec<PlaceUpdate>) -> Vec<u64> {
    let now = host.now();
    let mut book = host.places.book.borrow_mut();
    for update in updates.into_iter().take(MAX_BATCH_PLACES) {
        match update {
            PlaceUpdate::Keep(sent) => {
                if book.receive(now, sent) {
                    host.metrics.count_refused_again();
                }
            }
            // It may have been claimed here too, or have ended.
            PlaceUpdate::Remove(key) => drop(book.remove(key)),
        }
    }
    host.places.claimed.borrow_mut().take(now, from)
}

fn remove_claimed<P: Platform>(host: &Host<P>, claimed: &[u64]) {
    let mut book = host.places.book.borrow_mut();
    for key in claimed.iter().take(MAX_BATCH_PLACES) {
        book.remove(*key);
    }
}

/// Queues an update for the first host in the order of a key that is not this one: the second keeper
/// of a request that this host refused, or the host that refused if the others ask that one.
fn update_other_keeper<P: Platform>(host: &Host<P>, key: u64, update: Update) {
    if host.places.network.borrow().is_none() {
        return;
    }
    let members = host.members.borrow();
    let other = order(&members, key).find(|keeper| keeper.incarnation != host.incarnation);
    if let Some(other) = other
        && !host.places.outbox.push(other.peer_address, update)
    {
        host.metrics.count_reservations("unsent", 1);
    }
}

/// Returns the hosts that may be second keepers, in the order in which they are chosen for a key.
fn order(members: &Members, key: u64) -> impl Iterator<Item = &Member> {
    keepers_in_order(members.iter(), |_| KEEPING_HOSTS, key)
}

/// Removes what has ended.
pub fn sweep<P: Platform>(host: &Host<P>) {
    let now = host.now();
    host.places.claimed.borrow_mut().expire(now);
    let expired = host.places.book.borrow_mut().expire(now);
    host.metrics.count_reservations("expired", expired as u64);
}

/// Returns the tokens of reservations that are due within the next second, by organisation and rank,
/// for this host's report of waiting tokens.
pub fn due_tokens<P: Platform>(host: &Host<P>) -> Vec<DueTokens> {
    host.places.book.borrow().due_tokens(host.now())
}

/// Sets this host's part, from 0 to 1, of the tokens that wait for an organisation's limit over all
/// hosts. Reservations are spread over that part of the refill; without it over an even part.
pub fn set_part<P: Platform>(host: &Host<P>, organisation: &Name, part: f64) {
    let mut book = host.places.book.borrow_mut();
    book.set_part(host.now(), organisation, part);
}

/// Sends updates to other hosts, to each one message at a time, until the process ends.
pub async fn send_updates<P: Platform + 'static>(
    host: Rc<Host<P>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let (to, batch) = host.places.outbox.next_batch().await;
        let host = host.clone();
        let send = async move { send(&host, to, batch).await };
        executor.spawn(send).detach();
    }
}

async fn send<P: Platform>(host: &Host<P>, to: SocketAddr, batch: Vec<Update>) {
    let network = host.places.network.borrow().clone();
    let count = batch.len() as u64;
    if let Some(peers) = network {
        let now = host.now();
        let updates = batch.into_iter().map(|update| update.at(now)).collect();
        let from = host.incarnation;
        let call = PeerCall::KeepPlaces { from, updates };
        match peers.call(to, &call).await {
            Some(PeerReply::KeptPlaces(claimed)) => remove_claimed(host, &claimed),
            _ => host.metrics.count_reservations("unsent", count),
        }
    }
    host.places.outbox.note_sent(to);
}
