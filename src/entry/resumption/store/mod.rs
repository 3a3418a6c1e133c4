//! What this host reads from and writes to the platform's store about streams: which software
//! versions services have had, and, while a service has several, which of them began its streams.
//!
//! No request waits for the store. Rows are read when the host starts and after it missed changes of
//! the list of upstreams; in a large site only a few hosts read them, and the others ask these. The
//! orderer writes the rows of versions; another host does so if it misses one for long, since the
//! store may refuse the orderer alone.

mod read;
mod write;

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::outbox::Outbox;
use crate::entry::platform::{Platform, StoreCall, StoreError};
use crate::entry::resumption::streams::Streams;
use crate::group::Member;
use crate::prelude::*;
use crate::resumption::StreamKey;
use crate::resumption::message::{KnownVersions, MAX_BATCH_RECORDS};
use crate::resumption::stored::{
    self, BUCKETS, MAX_ALL_BUCKETS_HOSTS, OwnRows, RowContent, StoredRow, StoredStream, bucket,
    bucket_keepers,
};
use crate::upstreams::versions::ServiceVersion;
use event_listener::Event as Wakeup;
use read::read;
use smol::Timer;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use write::write;

/// The most streams that wait to be sent to the hosts that write them.
const MAX_QUEUED: usize = 4_096;
/// The pause between two writes, in which further streams gather.
const WRITE_PAUSE_MS: Millis = Millis(100);
/// How often a host that has not read the store yet looks whether it can.
const START_POLL_MS: Millis = Millis(50);
/// The pause after a call that failed, doubled up to the second value.
const RETRY_PAUSES_MS: [Millis; 2] = [Millis(250), Millis(4_000)];
/// The pause before the rows of versions are read again while some may be missing, doubled up to the
/// second value.
const INCOMPLETE_PAUSES_MS: [Millis; 2] = [Millis(2_000), Millis(60_000)];
/// How long a host lets the orderer write the row of a version before it looks for the row itself.
const ORDERER_WRITES_WITHIN_MS: Millis = Millis(10_000);
/// How often the orderer looks for rows whose writers are gone.
const ABANDONED_ROWS_MS: Millis = Millis(60_000);
/// The most versions that a host tells another.
const MAX_SENT_VERSIONS: usize = 256;
/// The most rows of one write.
const MAX_ROWS: usize = 64;

#[derive(Serialize)]
struct FailedLine<'a> {
    call: &'static str,
    rows: usize,
    error: &'a str,
}

/// What this host has read.
#[derive(Clone, Debug, Default)]
struct ReadState {
    /// How often the history of versions had begun anew when the rows were read; none before.
    restarts: Option<u64>,
    /// The buckets that were read, one bit for each.
    buckets: u16,
    /// The versions of which the store has a row.
    versions: IndexSet<ServiceVersion>,
    /// Whether the store states that no version is missing.
    is_complete: bool,
    /// The fencing token of this host's holding of the lease when the rows were read.
    fence: Option<u64>,
    /// Rows of other hosts, their writers, and until when their streams may be taken up.
    others: IndexMap<Name, (u64, Millis)>,
    read_at: Millis,
}

/// The rows about streams that this host writes, and what it has read of those of others.
pub struct StreamStore {
    own: RefCell<OwnRows>,
    /// Streams for other hosts, which write them.
    pub outbox: Outbox<StoredStream>,
    read: RefCell<ReadState>,
    /// When the next call may be made.
    next_call_at: Cell<Millis>,
    pause_ms: Cell<Millis>,
    incomplete_pause_ms: Cell<Millis>,
    /// Since when a listed version has no row, as far as this host knows.
    missing_since: Cell<Option<Millis>>,
    /// By how much later than other hosts this one looks for a row that is missing.
    jitter_ms: Millis,
    work: Wakeup,
}

/// What a host has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Nothing,
    Read,
    Write,
}

impl StreamStore {
    /// Creates the state of a host that has read nothing yet.
    pub fn new(incarnation: u64) -> Self {
        Self {
            own: RefCell::new(OwnRows::new(incarnation)),
            outbox: Outbox::new(MAX_QUEUED, MAX_BATCH_RECORDS),
            read: RefCell::default(),
            next_call_at: Cell::new(Millis::ZERO),
            pause_ms: Cell::new(RETRY_PAUSES_MS[0]),
            incomplete_pause_ms: Cell::new(INCOMPLETE_PAUSES_MS[0]),
            missing_since: Cell::new(None),
            jitter_ms: Millis(fastrand::u64(..ORDERER_WRITES_WITHIN_MS.0)),
            work: Wakeup::new(),
        }
    }

    /// Tells whether this host has read what the store keeps of streams like this one, as far as it
    /// is to read it.
    pub fn has_read<P: Platform>(&self, host: &Host<P>, key: StreamKey) -> bool {
        let read = self.read.borrow();
        let missing = wanted_buckets(host) & !read.buckets;
        missing & (1 << bucket(key)) == 0
    }

    /// Passes a stream on to the host that writes it, which may be this one. Returns false if there
    /// is no room for it.
    pub fn pass_on<P: Platform>(
        &self,
        host: &Host<P>,
        me: Option<&Member>,
        stream: StoredStream,
    ) -> bool {
        let writer = {
            let members = host.members.borrow();
            bucket_keepers(members.iter(), bucket(stream.key))
                .next()
                .cloned()
        };
        let is_other = |writer: &Member| me.is_some_and(|me| me.incarnation != writer.incarnation);
        match writer.filter(is_other) {
            Some(writer) => self.outbox.push(writer.peer_address, stream),
            None => self.add(host, vec![stream]),
        }
    }

    /// Adds streams that this host is to write. Returns false if there is no room for some.
    pub fn add<P: Platform>(&self, host: &Host<P>, streams: Vec<StoredStream>) -> bool {
        let now = host.now();
        let mut own = self.own.borrow_mut();
        let mut all_added = true;
        for stream in streams.into_iter().take(MAX_BATCH_RECORDS) {
            all_added &= own.add(now, stream);
        }
        self.work.notify(usize::MAX);
        all_added
    }

    /// Wakes the task that calls the store if there is something to do.
    pub fn check<P: Platform>(&self, host: &Host<P>) {
        if self.next_work(host) != Work::Nothing {
            self.work.notify(usize::MAX);
        }
    }

    fn next_work<P: Platform>(&self, host: &Host<P>) -> Work {
        let now = host.now();
        if now < self.next_call_at.get() {
            return Work::Nothing;
        }
        if self.is_read_due(host, now) {
            return Work::Read;
        }
        let has_rows = !self.version_changes(host, now).is_empty();
        match has_rows || self.own.borrow().has_changes(now) {
            true => Work::Write,
            false => Work::Nothing,
        }
    }

    fn is_read_due<P: Platform>(&self, host: &Host<P>, now: Millis) -> bool {
        let upstreams = host.upstreams.borrow();
        let restarts = upstreams.versions().restarts();
        if restarts == 0 || host.members.borrow().confirmed_at().is_none() {
            return false;
        }
        let wanted = wanted_buckets(host);
        if wanted == 0 && !host.is_orderer() {
            return false;
        }
        let read = self.read.borrow();
        let age_ms = now.since(read.read_at);
        let is_incomplete = !read.is_complete && !upstreams.versions().has_watched(now);
        let has_abandoned = host.is_orderer()
            && read.others.values().any(|(_, until)| *until <= now)
            && age_ms >= ABANDONED_ROWS_MS;
        let is_row_missing =
            self.is_version_missing(host, now) && age_ms >= ORDERER_WRITES_WITHIN_MS;
        read.restarts != Some(restarts)
            || wanted & !read.buckets != 0
            || (host.is_orderer() && read.fence != fence(host))
            || (is_incomplete && age_ms >= self.incomplete_pause_ms.get())
            || has_abandoned
            || is_row_missing
    }

    /// Tells whether a listed version has had no row for longer than the orderer takes to write it.
    fn is_version_missing<P: Platform>(&self, host: &Host<P>, now: Millis) -> bool {
        let is_missing = {
            let upstreams = host.upstreams.borrow();
            let read = self.read.borrow();
            let mut listed = upstreams.versions().listed();
            listed.any(|version| !read.versions.contains(&version))
        };
        if !is_missing {
            self.missing_since.set(None);
            return false;
        }
        let since = self.missing_since.get().unwrap_or(now);
        self.missing_since.set(Some(since));
        now.since(since) >= ORDERER_WRITES_WITHIN_MS + self.jitter_ms
    }

    /// Returns the rows of versions that this host is to write or to remove.
    fn version_changes<P: Platform>(&self, host: &Host<P>, now: Millis) -> Vec<StoredRow> {
        let upstreams = host.upstreams.borrow();
        let versions = upstreams.versions();
        let read = self.read.borrow();
        if read.restarts != Some(versions.restarts()) {
            return Vec::new();
        }
        if !host.is_orderer() {
            if !self.is_version_missing(host, now) {
                return Vec::new();
            }
            let missing = versions.listed();
            let missing = missing.filter(|version| !read.versions.contains(version));
            return missing
                .map(|version| stored::version_row(&version))
                .collect();
        }
        let current: IndexSet<ServiceVersion> = versions.current(now).collect();
        let missing = current.difference(&read.versions);
        let mut changes: Vec<StoredRow> = missing.map(stored::version_row).collect();
        let over = read.versions.difference(&current);
        changes.extend(over.map(|version| StoredRow {
            key: stored::version_key(version),
            value: None,
        }));
        let is_first = host
            .orders
            .borrow()
            .lease
            .holding()
            .is_some_and(|holding| holding.is_first);
        if !read.is_complete && (is_first || versions.has_watched(now)) {
            changes.push(stored::complete_row());
        }
        let members = host.members.borrow();
        let abandoned = read
            .others
            .iter()
            .filter(|(_, (writer, until))| *until <= now && members.find(*writer).is_none());
        changes.extend(abandoned.map(|(key, _)| StoredRow {
            key: key.clone(),
            value: None,
        }));
        changes.truncate(MAX_ROWS);
        changes
    }

    /// Records that the store has taken these rows.
    fn note_written<P: Platform>(&self, host: &Host<P>, changes: &[StoredRow]) {
        let now = host.now();
        let mut read = self.read.borrow_mut();
        for change in changes {
            let content = change.value.as_deref();
            match content.and_then(|value| stored::read_row(&change.key, value)) {
                Some(RowContent::Complete) => {
                    read.is_complete = true;
                    let mut upstreams = host.upstreams.borrow_mut();
                    let restarts = read.restarts.unwrap_or_default();
                    upstreams
                        .versions_mut()
                        .add_earlier(now, restarts, [], true);
                }
                Some(RowContent::Version(version)) => drop(read.versions.insert(version)),
                Some(RowContent::Streams { .. }) => {}
                None => {
                    read.others.swap_remove(&change.key);
                    read.versions
                        .retain(|version| stored::version_key(version) != change.key);
                }
            }
        }
    }

    fn note_success(&self, now: Millis) {
        self.pause_ms.set(RETRY_PAUSES_MS[0]);
        self.next_call_at.set(now + WRITE_PAUSE_MS);
    }

    fn note_failure(&self, now: Millis, call: StoreCall, rows: usize, error: &StoreError) {
        let pause_ms = self.pause_ms.get();
        self.next_call_at
            .set(now + Millis(pause_ms.0 / 2 + fastrand::u64(..=pause_ms.0 / 2)));
        self.pause_ms
            .set(Millis(pause_ms.0 * 2).min(RETRY_PAUSES_MS[1]));
        log_failure(call, rows, error);
    }
}

fn log_failure(call: StoreCall, rows: usize, error: &StoreError) {
    let line = FailedLine {
        call: call.name(),
        rows,
        error: &error.to_string(),
    };
    lines::write(LogEvent::StreamStoreFailed, &line);
}

/// Returns the fencing token of this host's holding of the lease.
fn fence<P: Platform>(host: &Host<P>) -> Option<u64> {
    let orders = host.orders.borrow();
    orders.lease.holding().map(|holding| holding.fence)
}

/// Returns the buckets that this host is to read, one bit for each.
fn wanted_buckets<P: Platform>(host: &Host<P>) -> u16 {
    let members = host.members.borrow();
    if members.count() <= MAX_ALL_BUCKETS_HOSTS {
        return u16::MAX;
    }
    let reads = |bucket: &u8| {
        let mut keepers = bucket_keepers(members.iter(), *bucket);
        keepers.any(|keeper| keeper.incarnation == host.incarnation)
    };
    let wanted = (0..BUCKETS).filter(reads);
    wanted.fold(0, |wanted, bucket| wanted | 1 << bucket)
}

/// Reads from and writes to the store what is due, until the process ends.
pub async fn keep_in_store<P: Platform>(host: Rc<Host<P>>, streams: Rc<Streams>) {
    let store = &streams.store;
    loop {
        let work = store.work.listen();
        match store.next_work(&host) {
            Work::Read => read(&host, &streams).await,
            Work::Write => write(&host, store).await,
            Work::Nothing if store.read.borrow().restarts.is_none() => {
                Timer::after(START_POLL_MS.to_duration()).await;
            }
            Work::Nothing => {
                let pause_ms = store.next_call_at.get().since(host.now());
                match pause_ms > Millis::ZERO {
                    true => drop(Timer::after(pause_ms.to_duration()).await),
                    false => work.await,
                }
            }
        }
    }
}

/// Returns what this host knows of the versions of services, for a host that does not read the store.
pub fn known_versions<P: Platform>(host: &Host<P>) -> KnownVersions {
    let upstreams = host.upstreams.borrow();
    let versions = upstreams.versions();
    let now = host.now();
    KnownVersions {
        versions: versions.current(now).take(MAX_SENT_VERSIONS).collect(),
        is_complete: versions.is_complete(now),
    }
}
