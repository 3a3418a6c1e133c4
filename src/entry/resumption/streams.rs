//! The records of which software version began a stream: this host's own, and those that it keeps
//! for others.

use crate::entry::active_request::{ActiveRequest, Origin};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::outbox::Outbox;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::entry::resumption::proof::list_as_of;
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use crate::resumption::message::{MAX_BATCH_RECORDS, SentVersion};
use crate::resumption::records::Known;
use crate::resumption::{
    StreamKey, StreamRecord, StreamRecords, StreamVersion, TAKE_UP_MS, keepers,
};
use crate::retry::RequestDigest;
use smol::LocalExecutor;
use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// The most records that wait to be sent; further ones are kept here only.
const MAX_QUEUED: usize = 4_096;
/// How long other hosts may take to say what they know of a stream.
const FIND_TIMEOUT_MS: Millis = Millis(150);

/// The records of a host, and those that it has yet to send to the hosts that keep them.
pub struct Streams {
    records: RefCell<StreamRecords>,
    outbox: Outbox<StreamRecord>,
    /// The calls to other hosts and this host as the group lists it; none for a host without others.
    network: Option<(Rc<Peers>, Member)>,
}

#[derive(Serialize)]
struct UnsentLine {
    to: Option<SocketAddr>,
    records: usize,
}

impl Streams {
    /// Creates the state of a host without records.
    pub fn new(network: Option<(Rc<Peers>, Member)>) -> Self {
        Self {
            records: RefCell::default(),
            outbox: Outbox::new(MAX_QUEUED, MAX_BATCH_RECORDS),
            network,
        }
    }

    /// Records the version that begins a request's stream, here and at the hosts that keep it.
    pub fn note_begun<P: Platform>(
        &self,
        host: &Host<P>,
        request: &ActiveRequest,
        version: Option<&StreamVersion>,
    ) {
        let now = host.now();
        let by_id = request.facts.id.as_ref().map(|id| StreamKey::of(id));
        let by_content = StreamKey::of_equal_requests(&request.causes.digest);
        let lasts_ms = request.deadline_at.since(now) + TAKE_UP_MS;
        let mut version = version.cloned();
        if let Some(version) = &mut version {
            version.settle(&host.upstreams.borrow(), list_as_of(host));
        }
        for key in by_id.into_iter().chain([by_content]) {
            let mut records = self.records.borrow_mut();
            records.insert(now, key, version.clone(), lasts_ms);
            drop(records);
            let version = version.as_ref();
            let record = StreamRecord {
                key,
                version: version.map(|version| SentVersion::new(version, now)),
                lasts_ms,
            };
            self.send_to_keepers(host, &record);
        }
    }

    fn send_to_keepers<P: Platform>(&self, host: &Host<P>, record: &StreamRecord) {
        let Some((_, me)) = &self.network else { return };
        let members = host.members.borrow();
        for keeper in keepers(members.iter(), record.key) {
            if keeper.incarnation != me.incarnation {
                self.queue(keeper.peer_address, record.clone());
            }
        }
    }

    fn queue(&self, to: SocketAddr, record: StreamRecord) {
        if !self.outbox.push(to, record) {
            let line = UnsentLine {
                to: None,
                records: 1,
            };
            lines::write(LogEvent::StreamRecordsUnsent, &line);
        }
    }

    /// Returns what this host or the hosts that keep the record know of a stream.
    pub async fn find<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> Known {
        match self.records.borrow().find(host.now(), key) {
            Known::Nothing => {}
            known => return known,
        }
        self.ask_keepers(host, key).await
    }

    /// Returns the same of the streams that equal requests began. The hosts that keep their records
    /// are asked first, since this host may have begun only some of them.
    pub async fn find_equal<P: Platform>(&self, host: &Host<P>, digest: &RequestDigest) -> Known {
        let key = StreamKey::of_equal_requests(digest);
        match self.ask_keepers(host, key).await {
            Known::Nothing => self.records.borrow().find(host.now(), key),
            known => known,
        }
    }

    async fn ask_keepers<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> Known {
        let Some((peers, me)) = &self.network else {
            return Known::Nothing;
        };
        let asked: Vec<SocketAddr> = {
            let members = host.members.borrow();
            keepers(members.iter(), key)
                .filter(|keeper| keeper.incarnation != me.incarnation)
                .map(|keeper| keeper.peer_address)
                .collect()
        };
        let ask = |address| async move {
            match peers.call(address, &PeerCall::FindStream(key)).await? {
                PeerReply::Stream(record) => record,
                PeerReply::Sync(_)
                | PeerReply::AppendedLease(_)
                | PeerReply::List(_)
                | PeerReply::Desired(_)
                | PeerReply::Version(_)
                | PeerReply::KeptStreams
                | PeerReply::KeptPlaces(_)
                | PeerReply::Place { .. } => None,
            }
        };
        let found = first_some(asked.into_iter().map(ask));
        match with_timeout(FIND_TIMEOUT_MS, found).await.flatten() {
            Some(record) => {
                self.keep(host, vec![record]);
                self.records.borrow().find(host.now(), key)
            }
            None => Known::Nothing,
        }
    }

    /// Keeps records that another host sent, of one message at most.
    pub fn keep<P: Platform>(&self, host: &Host<P>, received: Vec<StreamRecord>) {
        let now = host.now();
        let mut records = self.records.borrow_mut();
        for StreamRecord {
            key,
            version,
            lasts_ms,
        } in received.into_iter().take(MAX_BATCH_RECORDS)
        {
            let version = version.map(|version| version.received(now));
            records.insert(now, key, version, lasts_ms);
        }
    }

    /// Returns the record of a stream for another host.
    pub fn record<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> Option<StreamRecord> {
        self.records.borrow().record(host.now(), key)
    }

    /// Settles the versions of records by this host's copy of the list, and drops records whose time
    /// is over.
    pub fn sweep<P: Platform>(&self, host: &Host<P>) {
        let mut records = self.records.borrow_mut();
        records.settle(&host.upstreams.borrow(), list_as_of(host));
        records.expire(host.now());
    }

    /// Returns whether this host has no records.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    async fn send(&self, to: SocketAddr, batch: Vec<StreamRecord>) {
        let Some((peers, _)) = &self.network else {
            return;
        };
        let records = batch.len();
        let reply = peers.call(to, &PeerCall::KeepStreams(batch)).await;
        if !matches!(reply, Some(PeerReply::KeptStreams)) {
            let to = Some(to);
            lines::write(LogEvent::StreamRecordsUnsent, &UnsentLine { to, records });
        }
        self.outbox.note_sent(to);
    }
}

/// Records the version of a stream whose first event is passed on, unless its caller took it up or
/// cannot take it up.
pub fn note_begun<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    version: Option<&StreamVersion>,
) {
    if let Origin::Caller(caller) = &request.origin
        && request.may_be_taken_up()
        && request.facts.taken_up.is_none()
    {
        caller.streams.note_begun(host, request, version);
    }
}

/// Sends records to the hosts that keep them, to each one message at a time, until the process ends.
pub async fn send_records(streams: Rc<Streams>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let (to, batch) = streams.outbox.next_batch().await;
        let streams = streams.clone();
        let send = async move { streams.send(to, batch).await };
        executor.spawn(send).detach();
    }
}

/// Runs futures together until one returns something; nothing if none does.
async fn first_some<T>(
    futures: impl Iterator<Item = impl Future<Output = Option<T>>>,
) -> Option<T> {
    let mut pending: Vec<Pin<Box<_>>> = futures.map(Box::pin).collect();
    poll_fn(|context| {
        let mut found = None;
        pending.retain_mut(|future| match future.as_mut().poll(context) {
            Poll::Pending => true,
            Poll::Ready(output) => {
                found = found.take().or(output);
                false
            }
        });
        match found.is_some() || pending.is_empty() {
            true => Poll::Ready(found.take()),
            false => Poll::Pending,
        }
    })
    .await
}
