//! A log with a table, hosts and engines, and the state derived from it, for the placement tests.

use crate::membership::message::{HostEntry, UpstreamEntry, UpstreamRole};
use crate::placement::copies::{Copy, Placement};
use crate::placement::message::{LoadDecision, OrderOutcome};
use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::fold::{ApplyOutcome, SharedState};
use crate::shared_log::record::LoggedRecord;
use crate::table::message::{Change, Edit, Model, Row, RowKey, StoreLimits};

/// The accelerator memory of each engine.
pub const MEMORY_BYTES: u64 = 100;
pub const A: Incarnation = Incarnation(1);
pub const B: Incarnation = Incarnation(2);
pub const C: Incarnation = Incarnation(3);

/// A log, the state derived from it, and the log's clock.
#[derive(Clone, Debug, Default)]
pub struct TestLog {
    pub shared: SharedState,
    pub records: Vec<LoggedRecord>,
    pub now: Millis,
    last_seq: IndexMap<Incarnation, u64>,
    edits: u64,
}

impl TestLog {
    /// Creates a log with the hosts A, B and C, and two engines: "checks" refuses orders with an
    /// old fencing number, "ignores" does not look at it.
    pub fn new() -> Self {
        let mut log = Self {
            now: Millis(10_000),
            ..Self::default()
        };
        for host in [A, B, C] {
            log.accept(host, RecordBody::Join { entry: entry(host) });
        }
        log.put_engine("checks", true, false);
        log.put_engine("ignores", false, false);
        let limits = StoreLimits {
            parallel_loads: 4,
            loads_per_s: 100,
        };
        log.edit(vec![Change::SetStore { limits }]);
        log
    }

    /// Appends and applies a record.
    pub fn append(&mut self, host: Incarnation, body: RecordBody) -> Verdict {
        let seq = self.last_seq.entry(host).or_default();
        *seq += 1;
        let id = RecordId { host, seq: *seq };
        let record = Record { id, body };
        let logged = LoggedRecord {
            offset: self.shared.next_offset,
            appended_ms: self.now,
            payload: encode(&record).unwrap().into(),
        };
        self.records.push(logged.clone());
        match self.shared.apply_logged(&logged) {
            ApplyOutcome::Applied(applied) => applied.verdict,
            other => panic!("{other:?}"),
        }
    }

    /// Appends a record that must be accepted, and returns its offset.
    pub fn accept(&mut self, host: Incarnation, body: RecordBody) -> Offset {
        let offset = self.shared.next_offset;
        assert_eq!(self.append(host, body), Verdict::Accepted);
        offset
    }

    /// Appends a record that must be rejected.
    pub fn reject(&mut self, host: Incarnation, body: RecordBody) -> Rejection {
        match self.append(host, body) {
            Verdict::Rejected(rejection) => rejection,
            other => panic!("{other:?}"),
        }
    }

    pub fn put_engine(&mut self, name: &str, checks_fencing: bool, leaving: bool) {
        let entry = UpstreamEntry {
            name: name.into(),
            role: UpstreamRole::Engine,
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "here".into(),
            memory_bytes: MEMORY_BYTES,
            slots: 4,
            checks_fencing,
            leaving,
        };
        self.accept(A, RecordBody::Upstream { entry });
    }

    pub fn edit(&mut self, changes: Vec<Change>) {
        self.edits += 1;
        let edit = Edit {
            edit_id: format!("edit-{}", self.edits).into(),
            operator: "test".into(),
            base_version: self.shared.table.version,
            changes,
        };
        self.accept(A, RecordBody::Edit { edit });
    }

    /// Adds or replaces a model, with a row that configures this number of copies.
    pub fn put_model(&mut self, name: &str, version: &str, base: Option<&str>, copies: u32) {
        let model = Model {
            version: version.into(),
            reserved_bytes: 40,
            checkpoint_bytes: 40,
            base: base.map(Into::into),
        };
        let key = RowKey {
            brand: "north".into(),
            model: name.into(),
        };
        let mut row: Row = serde_json::from_str("{}").unwrap();
        row.copies = copies;
        let name: Name = name.into();
        let brand = crate::table::message::Brand {
            key_sha256: Vec::new(),
        };
        self.edit(vec![
            Change::PutBrand {
                name: "north".into(),
                brand,
            },
            Change::PutModel { name, model },
            Change::PutRow { key, row },
        ]);
    }

    pub fn load_body(&self, model: &str, copy_index: u32, upstream: &str) -> RecordBody {
        let spec = self.shared.table.model(model);
        let version = spec.map_or("1".into(), |spec| spec.version.clone());
        RecordBody::Load {
            load: LoadDecision {
                model: model.into(),
                version,
                copy_index,
                upstream: upstream.into(),
                reserved_bytes: 40,
            },
        }
    }

    pub fn load(&mut self, host: Incarnation, model: &str, upstream: &str) -> Offset {
        let body = self.load_body(model, 0, upstream);
        self.accept(host, body)
    }

    /// Records the outcome of a copy's order, under its current fencing number.
    pub fn end(&mut self, host: Incarnation, copy: Offset, outcome: OrderOutcome) -> Verdict {
        let fence = self.copy(copy).fence;
        self.append(
            host,
            RecordBody::Outcome {
                copy,
                fence,
                outcome,
            },
        )
    }

    /// Evicts a host and makes another one take over an order.
    pub fn take_over(&mut self, from: Incarnation, to: Incarnation, copy: Offset) {
        self.accept(to, RecordBody::Evict { host: from });
        self.accept(to, RecordBody::Takeover { copy });
    }

    /// Records that the process of a departed host has ended.
    pub fn process_ended(&mut self, host: Incarnation) {
        let writer = if host == C { B } else { C };
        self.append(
            writer,
            RecordBody::Counted {
                host,
                confirmed_offset: self.shared.next_offset,
            },
        );
        self.accept(writer, RecordBody::Gone { host });
    }

    pub fn placement(&self) -> &Placement {
        &self.shared.placement
    }

    pub fn copy(&self, id: Offset) -> &Copy {
        &self.shared.placement.copies[&id]
    }
}

fn entry(host: Incarnation) -> HostEntry {
    HostEntry {
        name: format!("host-{host}").into(),
        data_centre: "here".into(),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
    }
}
