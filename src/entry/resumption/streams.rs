//! The records of which software version began a stream: this host's own, and those that it keeps
//! for others.

use crate::entry::active_request::{ActiveRequest, Origin};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::outbox::Outbox;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::entry::resumption::proof::list_as_of;
use crate::entry::resumption::store::StreamStore;
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use crate::resumption::message::{MAX_BATCH_RECORDS, SentVersion};
use crate::resumption::records::Known;
use crate::resumption::stored::{MAX_ALL_BUCKETS_HOSTS, StoredStream, bucket, bucket_keepers};
use crate::resumption::{
    StreamKey, StreamRecord, StreamRecords, StreamVersion, TAKE_UP_MS, keepers,
};
use smol::LocalExecutor;
use std::cell::{Cell, RefCell};
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
    /// What is kept in the platform's store.
    pub store: StreamStore,
    /// The calls to other hosts and this host as the group lists it; none for a host without others.
    network: Option<(Rc<Peers>, Member)>,
}

/// What hosts know of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The version that began the stream, as far as it is known.
    pub known: Known,
    /// Whether all hosts that may have the record said what they know.
    pub is_final: bool,
}

#[derive(Serialize)]
struct UnsentLine {
    to: Option<SocketAddr>,
    records: usize,
}

impl Streams {
    /// Creates the state of a host without records.
    pub fn new(network: Option<(Rc<Peers>, Member)>) -> Self {
        let incarnation = network.as_ref().map_or(0, |(_, me)| me.incarnation);
        Self {
            records: RefCell::default(),
            outbox: Outbox::new(MAX_QUEUED, MAX_BATCH_RECORDS),
            store: StreamStore::new(incarnation),
            network,
        }
    }

    /// Records the version that begins a request's stream, here, at the hosts that keep it, and, if
    /// the service has several versions, in the store.
    pub fn note_begun<P: Platform>(
        &self,
        host: &Host<P>,
        request: &ActiveRequest,
        version: Option<&StreamVersion>,
    ) {
        let Some(id) = &request.facts.id else { return };
        let now = host.now();
        let key = StreamKey::of(id);
        let lasts_ms = request.deadline_at.since(now) + TAKE_UP_MS;
        let mut version = version.cloned();
        if let Some(version) = &mut version {
            version.settle(&host.upstreams.borrow(), list_as_of(host));
        }
        let sent = version.as_ref();
        let record = StreamRecord {
            key,
            version: sent.map(|version| SentVersion::new(version, now)),
            lasts_ms,
        };
        let mut records = self.records.borrow_mut();
        records.insert(now, key, version, lasts_ms);
        records.note_own(key, request.service.clone());
        drop(records);
        self.send_to_keepers(host, &record);
        if host
            .upstreams
            .borrow()
            .versions()
            .has_several(now, &request.service)
        {
            let unstored = self.records.borrow_mut().take_unstored(now, key);
            self.store_streams(host, unstored);
        }
    }

    /// Passes streams on to the hosts that write them to the store.
    fn store_streams<P: Platform>(
        &self,
        host: &Host<P>,
        streams: impl IntoIterator<Item = StoredStream>,
    ) {
        let me = self.network.as_ref().map(|(_, me)| me);
        for stream in streams {
            let key = stream.key;
            if !self.store.pass_on(host, me, stream) {
                let mut records = self.records.borrow_mut();
                records.note_unstored([key].into_iter());
            }
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
    pub async fn find<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> Found {
        match self.records.borrow().find(host.now(), key) {
            Known::Nothing => {}
            known => {
                return Found {
                    known,
                    is_final: true,
                };
            }
        }
        let has_read = self.store.has_read(host, key);
        let mut found = self.ask_keepers(host, key).await;
        found.is_final &= has_read;
        found
    }

    /// Returns the other hosts that may have the record of a stream.
    fn other_keepers<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> IndexSet<SocketAddr> {
        let Some((_, me)) = &self.network else {
            return IndexSet::new();
        };
        let members = host.members.borrow();
        let of_bucket = bucket_keepers(members.iter(), bucket(key));
        let reads_all = members.count() <= MAX_ALL_BUCKETS_HOSTS;
        let of_bucket = of_bucket.filter(|_| !reads_all);
        keepers(members.iter(), key)
            .chain(of_bucket)
            .filter(|keeper| keeper.incarnation != me.incarnation)
            .map(|keeper| keeper.peer_address)
            .collect()
    }

    /// Asks hosts that read the store which versions of services there were, if this host does not
    /// know them all.
    pub async fn learn_versions<P: Platform>(&self, host: &Host<P>) {
        let Some((peers, me)) = &self.network else {
            return;
        };
        let restarts = {
            let upstreams = host.upstreams.borrow();
            let versions = upstreams.versions();
            if versions.is_complete(host.now()) {
                return;
            }
            versions.restarts()
        };
        let asked: Vec<SocketAddr> = {
            let members = host.members.borrow();
            let keepers = bucket_keepers(members.iter(), 0);
            let others = keepers.filter(|keeper| keeper.incarnation != me.incarnation);
            others.map(|keeper| keeper.peer_address).collect()
        };
        let ask = |address| async move {
            match peers.call(address, &PeerCall::Versions).await? {
                PeerReply::Versions(known) => Some(known).filter(|known| known.is_complete),
                _ => None,
            }
        };
        let known = first_some(asked.into_iter().map(ask));
        if let Some(known) = with_timeout(FIND_TIMEOUT_MS, known).await.flatten() {
            let mut upstreams = host.upstreams.borrow_mut();
            let versions = upstreams.versions_mut();
            versions.add_earlier(host.now(), restarts, known.versions, known.is_complete);
        }
    }

    async fn ask_keepers<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> Found {
        let Some((peers, _)) = &self.network else {
            return Found {
                known: Known::Nothing,
                is_final: true,
            };
        };
        let asked = self.other_keepers(host, key);
        let finals = Cell::new(0);
        let ask = |address| {
            let finals = &finals;
            async move {
                match peers.call(address, &PeerCall::FindStream(key)).await? {
                    PeerReply::Stream {
                        record,
                        has_read_store,
                    } => {
                        finals.set(finals.get() + usize::from(has_read_store));
                        record
                    }
                    PeerReply::Sync(_)
                    | PeerReply::AppendedLease(_)
                    | PeerReply::List(_)
                    | PeerReply::Desired(_)
                    | PeerReply::Version(_)
                    | PeerReply::KeptStreams
                    | PeerReply::Versions(_)
                    | PeerReply::KeptPlaces(_)
                    | PeerReply::Place { .. } => None,
                }
            }
        };
        let found = first_some(asked.iter().copied().map(ask));
        match with_timeout(FIND_TIMEOUT_MS, found).await.flatten() {
            Some(record) => {
                self.keep(host, vec![record]);
                Found {
                    known: self.records.borrow().find(host.now(), key),
                    is_final: true,
                }
            }
            None => Found {
                known: Known::Nothing,
                is_final: finals.get() == asked.len(),
            },
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

    /// Keeps the versions of streams that were read from the store.
    pub fn keep_stored<P: Platform>(&self, host: &Host<P>, streams: Vec<StoredStream>) {
        let now = host.now();
        let mut records = self.records.borrow_mut();
        for stream in streams {
            let start = stream.start;
            let version = stream.version.version.map(|version| {
                let sent = SentVersion { version, start };
                sent.received(now)
            });
            records.insert(now, stream.key, version, stream.lasts_ms);
        }
    }

    /// Settles the versions of records by this host's copy of the list, and drops records whose time
    /// is over. Streams of a service that has several versions by now are passed on to the store.
    pub fn sweep<P: Platform>(&self, host: &Host<P>) {
        let mut records = self.records.borrow_mut();
        records.settle(&host.upstreams.borrow(), list_as_of(host));
        records.expire(host.now());
        let now = host.now();
        let unstored = {
            let upstreams = host.upstreams.borrow();
            let has_several = |service: &str| upstreams.versions().has_several(now, service);
            records.take_all_unstored(now, has_several)
        };
        drop(records);
        self.store_streams(host, unstored);
        self.store.check(host);
    }

    /// Returns whether this host has no records.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    async fn send_to_writer(&self, to: SocketAddr, batch: Vec<StoredStream>) -> bool {
        let Some((peers, _)) = &self.network else {
            return false;
        };
        let reply = peers.call(to, &PeerCall::StoreStreams(batch)).await;
        matches!(reply, Some(PeerReply::KeptStreams))
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

/// Sends streams to the hosts that write them to the store, until the process ends. What does not
/// arrive is passed on anew.
pub async fn send_to_writers(streams: Rc<Streams>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let (to, batch) = streams.store.outbox.next_batch().await;
        let streams = streams.clone();
        let send = async move {
            let keys: Vec<StreamKey> = batch.iter().map(|stream| stream.key).collect();
            if !streams.send_to_writer(to, batch).await {
                let mut records = streams.records.borrow_mut();
                records.note_unstored(keys.into_iter());
            }
            streams.store.outbox.note_sent(to);
        };
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
