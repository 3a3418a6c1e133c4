//! Reads what the store keeps about streams, and applies it to what this host knows.

use super::{INCOMPLETE_PAUSES_MS, ReadState, fence, log_failure, wanted_buckets};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::pages::{NextPage, Page, PageError, PagedRead, Stall};
use crate::entry::platform::{Platform, StoreCall, StoreError};
use crate::entry::resumption::streams::Streams;
use crate::json::escape;
use crate::prelude::*;
use crate::resumption::StreamKey;
use crate::resumption::stored::{
    self, BUCKETS, RowContent, StoredRow, StoredStream, VERSIONS_PREFIX, bucket_prefix,
};
use crate::upstreams::versions::ServiceVersion;

/// The most pages of one read, each with some hundred rows.
const MAX_PAGES: usize = 256;
/// The most characters of a key that a log line quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// The log line of a read.
#[derive(Serialize)]
struct ReadLine {
    versions: usize,
    streams: usize,
    is_complete: bool,
    buckets: u32,
    took_ms: Millis,
}

/// Reads the rows that this host is to read.
pub(super) async fn read<P: Platform>(host: &Host<P>, streams: &Streams) {
    let store = &streams.store;
    let asked_at = host.now();
    let restarts = host.upstreams.borrow().versions().restarts();
    let fence = fence(host);
    let buckets = wanted_buckets(host);
    let WantedRows {
        buckets,
        rows,
        stall,
    } = match read_wanted(host, buckets).await {
        Ok(read) => read,
        Err(error) => {
            store.note_failure(host.now(), StoreCall::ReadStored, 0, &error);
            return;
        }
    };
    let is_stalled = stall.is_some();
    let mut state = ReadState {
        restarts: Some(restarts),
        buckets,
        fence,
        read_at: asked_at,
        ..ReadState::default()
    };
    let mut own_rows = IndexMap::new();
    let mut read_streams = Vec::new();
    for row in rows {
        let content = row.value.as_deref();
        match content.and_then(|value| stored::read_row(&row.key, value)) {
            Some(RowContent::Complete) => state.is_complete = !is_stalled,
            Some(RowContent::Version(version)) => drop(state.versions.insert(version)),
            Some(RowContent::Streams { writer, streams }) => {
                let lasts_ms = streams.iter().map(|stream| stream.lasts_ms).max();
                let until = host.now() + lasts_ms.unwrap_or_default();
                if writer == host.incarnation {
                    let keys: IndexSet<StreamKey> = streams.iter().map(|one| one.key).collect();
                    own_rows.insert(row.key, keys);
                } else {
                    state.others.insert(row.key, (writer, until));
                }
                read_streams.extend(streams);
            }
            None => {
                let error = StoreError::Unreadable {
                    why: format!("the row {}", escape(&row.key, MAX_QUOTED_CHARS)),
                };
                log_failure(StoreCall::ReadStored, 1, &error);
            }
        }
    }
    let line = ReadLine {
        versions: state.versions.len(),
        streams: read_streams.len(),
        is_complete: state.is_complete,
        buckets: buckets.count_ones(),
        took_ms: host.now().since(asked_at),
    };
    lines::write(LogEvent::StreamStoreRead, &line);
    apply(host, streams, state, read_streams, &own_rows);
    if let Some(Stall { after, why }) = stall {
        let why = format!("no rows after \"{after}\": {why}");
        let error = StoreError::Unreadable { why };
        store.note_failure(host.now(), StoreCall::ReadStored, 0, &error);
    }
}

/// The rows that a read gave.
struct WantedRows {
    /// The buckets of which all rows were read.
    buckets: u16,
    rows: Vec<StoredRow>,
    /// Why others were not, if not by a failed call.
    stall: Option<Stall>,
}

/// Reads the rows of versions and those of the wanted buckets. These are all of them if there are few
/// rows, as there are where no service has several versions.
async fn read_wanted<P: Platform>(host: &Host<P>, wanted: u16) -> Result<WantedRows, StoreError> {
    let mut all = PagedRead::new(None);
    let first = all.read_page(async |after: Option<&[u8]>| read_page(host, after).await);
    match first.await {
        Err(PageError::Failed(error)) => return Err(error),
        Err(PageError::Stalled(Stall { why, .. })) if !all.has_begun() => {
            return Err(StoreError::Unreadable { why });
        }
        // The other pages may lead on.
        Ok(()) | Err(PageError::Stalled(_)) => {}
    }
    if all.is_whole() || wanted == u16::MAX {
        let stall = finish(host, "", &mut all).await?;
        return Ok(WantedRows {
            buckets: if stall.is_none() { u16::MAX } else { 0 },
            rows: all.rows,
            stall,
        });
    }
    let mut read = WantedRows {
        buckets: 0,
        rows: Vec::new(),
        stall: None,
    };
    let buckets = (0..BUCKETS).filter(|bucket| wanted & (1 << bucket) != 0);
    let parts = buckets.map(|bucket| (1 << bucket, bucket_prefix(bucket)));
    for (bits, prefix) in parts.chain([(0, VERSIONS_PREFIX.to_string())]) {
        let mut part = PagedRead::new(Some(prefix.as_bytes()));
        match finish(host, &prefix, &mut part).await? {
            None => read.buckets |= bits,
            stall => read.stall = stall,
        }
        read.rows.extend(part.rows);
    }
    Ok(read)
}

/// Reads the remaining rows whose keys begin with a prefix. Returns why some were not reached.
async fn finish<P: Platform>(
    host: &Host<P>,
    prefix: &str,
    read: &mut PagedRead<StoredRow>,
) -> Result<Option<Stall>, StoreError> {
    let next = async |after: Option<&[u8]>| {
        let mut page = read_page(host, after).await?;
        let is_past = |row: &StoredRow| !row.key.starts_with(prefix);
        if let Some(end) = page.rows.iter().position(is_past) {
            page.rows.truncate(end);
            page.next = NextPage::None;
        }
        Ok(page)
    };
    match read.read_on(MAX_PAGES, next).await {
        Ok(()) => Ok(None),
        Err(PageError::Stalled(stall)) => Ok(Some(stall)),
        Err(PageError::Failed(error)) => Err(error),
    }
}

async fn read_page<P: Platform>(
    host: &Host<P>,
    after: Option<&[u8]>,
) -> Result<Page<StoredRow>, StoreError> {
    let read = host.platform.read_stored(after);
    host.count_call(StoreCall::ReadStored, read).await
}

fn apply<P: Platform>(
    host: &Host<P>,
    streams: &Streams,
    state: ReadState,
    read_streams: Vec<StoredStream>,
    own_rows: &IndexMap<Name, IndexSet<StreamKey>>,
) {
    let store = &streams.store;
    let now = host.now();
    // The versions of streams count too: the row of a version may have been written after they began.
    let named = read_streams.iter().map(|stream| stream.version.clone());
    let versions: IndexSet<ServiceVersion> = state.versions.iter().cloned().chain(named).collect();
    host.upstreams.borrow_mut().versions_mut().add_earlier(
        now,
        state.restarts.unwrap_or_default(),
        versions,
        state.is_complete,
    );
    streams.keep_stored(host, read_streams);
    let mut own = store.own.borrow_mut();
    own.note_read(now, state.buckets, own_rows);
    drop(own);
    match state.is_complete {
        true => store.incomplete_pause_ms.set(INCOMPLETE_PAUSES_MS[0]),
        false => {
            let doubled = Millis(store.incomplete_pause_ms.get().0 * 2);
            let pause_ms = doubled.min(INCOMPLETE_PAUSES_MS[1]);
            store.incomplete_pause_ms.set(pause_ms);
        }
    }
    *store.read.borrow_mut() = state;
    store.note_success(now);
}
