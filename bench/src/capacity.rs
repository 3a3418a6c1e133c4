//! Slopes of state, messages and processor time, measured in this process at a stated size.

use mangovale::clock::Millis;
use mangovale::daemon::event::Event;
use mangovale::daemon::node::{Node, NodeConfig};
use mangovale::membership::message::{HostEntry, UpstreamEntry, UpstreamRole};
use mangovale::placement::message::{LoadDecision, OrderOutcome};
use mangovale::placement::policy::keep_warm::KeepWarmRule;
use mangovale::shared_log::codec::encode;
use mangovale::shared_log::fold::{ApplyOutcome, SharedState};
use mangovale::shared_log::record::{Incarnation, LoggedRecord, Record, RecordBody, RecordId};
use mangovale::table::message::{Change, Edit, Model, StoreLimits};
use serde::Serialize;
use std::time::Instant;

use crate::site::{put_brand, put_row};

const WRITER: Incarnation = Incarnation(1);
const CHANGES_PER_EDIT: usize = 1_000;
const BRANDS: usize = 5;
const TICKS: u32 = 200;
const SINGLE_EDITS: usize = 50;
const START_MS: u64 = 1_000_000;

/// The size to measure at.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Size {
    /// Models and adapters.
    pub models: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Hosts.
    pub hosts: usize,
    /// Copies loaded.
    pub copies: usize,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// At which size.
    pub size: Size,
    /// Resident bytes for each model with its row.
    pub bytes_per_model: f64,
    /// Resident bytes for each upstream.
    pub bytes_per_upstream: f64,
    /// Resident bytes for each copy.
    pub bytes_per_copy: f64,
    /// Length of one record with one change.
    pub edit_record_bytes: usize,
    /// Length of one load's record.
    pub load_record_bytes: usize,
    /// Microseconds to fold an edit with one change.
    pub edit_us: f64,
    /// Microseconds to fold a load and its outcome.
    pub load_us: f64,
    /// Microseconds of one tick of the event loop without requests.
    pub tick_us: f64,
    /// Length of the whole state as text.
    pub state_bytes: usize,
    /// Milliseconds to write it.
    pub encode_ms: f64,
    /// Milliseconds to read it.
    pub decode_ms: f64,
}

struct Fold {
    shared: SharedState,
    seq: u64,
    record_bytes: usize,
    load_record_bytes: usize,
}

impl Fold {
    fn apply(&mut self, writer: Incarnation, body: RecordBody) {
        self.seq += 1;
        let id = RecordId {
            host: writer,
            seq: self.seq,
        };
        let payload = encode(&Record { id, body }).expect("a record can be encoded");
        self.record_bytes = payload.len();
        let offset = self.shared.next_offset;
        // Ten records a second, so that the weight store's limits do not refuse the loads.
        let appended_ms = Millis(START_MS + self.seq * 100);
        let logged = LoggedRecord {
            offset,
            appended_ms,
            payload: payload.into(),
        };
        let ApplyOutcome::Applied(applied) = self.shared.apply_logged(&logged) else {
            panic!("not applied: {}", logged.payload);
        };
        assert!(applied.verdict.is_accepted(), "refused: {}", logged.payload);
    }

    fn edit(&mut self, changes: Vec<Change>) {
        let edit = Edit {
            edit_id: format!("edit-{}", self.seq).into(),
            operator: "capacity".into(),
            base_version: self.shared.next_offset,
            changes,
        };
        self.apply(WRITER, RecordBody::Edit { edit });
    }
}

/// Measures the slopes at a size.
pub fn measure(size: Size) -> Slopes {
    let mut fold = Fold {
        shared: SharedState::default(),
        seq: 0,
        record_bytes: 0,
        load_record_bytes: 0,
    };
    join_hosts(&mut fold, size.hosts);
    put_table(&mut fold, size.models);
    let with_table = footprint_bytes(&fold.shared);
    put_upstreams(&mut fold, size.upstreams);
    let with_upstreams = footprint_bytes(&fold.shared);
    let started_at = Instant::now();
    load_copies(&mut fold, size);
    let load_us = micros(started_at) / size.copies.max(1) as f64;
    let load_record_bytes = fold.load_record_bytes;
    let with_copies = footprint_bytes(&fold.shared);
    let started_at = Instant::now();
    for number in 0..SINGLE_EDITS {
        fold.edit(vec![put_row(&brand(number), &model(number))]);
    }
    let edit_us = micros(started_at) / SINGLE_EDITS as f64;
    let edit_record_bytes = fold.record_bytes;
    let started_at = Instant::now();
    let state = serde_json::to_string(&fold.shared).expect("the state can be encoded");
    let encode_ms = micros(started_at) / 1_000.0;
    let started_at = Instant::now();
    let decoded: SharedState = serde_json::from_str(&state).expect("the state can be decoded");
    let decode_ms = micros(started_at) / 1_000.0;
    assert!(
        decoded == fold.shared,
        "the state changed on its way through text"
    );
    Slopes {
        size,
        bytes_per_model: with_table / size.models as f64,
        bytes_per_upstream: (with_upstreams - with_table) / size.upstreams as f64,
        bytes_per_copy: (with_copies - with_upstreams) / size.copies as f64,
        edit_record_bytes,
        load_record_bytes,
        edit_us,
        load_us,
        tick_us: tick_us(decoded),
        state_bytes: state.len(),
        encode_ms,
        decode_ms,
    }
}

fn join_hosts(fold: &mut Fold, hosts: usize) {
    for number in 0..hosts {
        let host = Incarnation(number as u64 + 1);
        let entry = HostEntry {
            name: format!("entry-{number}").into(),
            data_centre: "sapporo-a".into(),
            caller_address: ([127, 0, 0, 1], 8_080).into(),
            peer_address: ([127, 0, 0, 1], 7_080).into(),
        };
        fold.apply(host, RecordBody::Join { entry });
        let confirmed_offset = fold.shared.next_offset;
        fold.apply(
            host,
            RecordBody::Counted {
                host,
                confirmed_offset,
            },
        );
    }
}

fn put_table(fold: &mut Fold, models: usize) {
    fold.edit(
        (0..BRANDS)
            .map(|number| put_brand(&brand(number)))
            .collect(),
    );
    let limits = StoreLimits {
        parallel_loads: u32::MAX,
        loads_per_s: u32::MAX,
    };
    fold.edit(vec![Change::SetStore { limits }]);
    for first in (0..models).step_by(CHANGES_PER_EDIT) {
        let numbers = first..models.min(first + CHANGES_PER_EDIT);
        fold.edit(numbers.clone().map(put_numbered_model).collect());
        fold.edit(
            numbers
                .map(|number| put_row(&brand(number), &model(number)))
                .collect(),
        );
    }
}

fn put_numbered_model(number: usize) -> Change {
    let spec = Model {
        version: "1".into(),
        reserved_bytes: 1_000,
        checkpoint_bytes: 1_000,
        base: None,
    };
    Change::PutModel {
        name: model(number).into(),
        model: spec,
    }
}

fn put_upstreams(fold: &mut Fold, upstreams: usize) {
    for number in 0..upstreams {
        let entry = UpstreamEntry {
            name: format!("engine-{number}").into(),
            role: UpstreamRole::Engine,
            address: ([127, 0, 0, 1], 9_000).into(),
            data_centre: "sapporo-a".into(),
            memory_bytes: 80_000,
            slots: 16,
            checks_fencing: true,
            leaving: false,
        };
        fold.apply(WRITER, RecordBody::Upstream { entry });
    }
}

fn load_copies(fold: &mut Fold, size: Size) {
    for number in 0..size.copies {
        let load = LoadDecision {
            model: model(number).into(),
            version: "1".into(),
            copy_index: 0,
            upstream: format!("engine-{}", number % size.upstreams).into(),
            reserved_bytes: 1_000,
        };
        let copy = fold.shared.next_offset;
        fold.apply(WRITER, RecordBody::Load { load });
        fold.load_record_bytes = fold.record_bytes;
        let outcome = OrderOutcome::Done;
        let ready = RecordBody::Outcome {
            copy,
            fence: copy,
            outcome,
        };
        fold.apply(WRITER, ready);
    }
}

fn tick_us(shared: SharedState) -> f64 {
    let entry = HostEntry {
        name: "entry-0".into(),
        data_centre: "sapporo-a".into(),
        caller_address: ([127, 0, 0, 1], 8_080).into(),
        peer_address: ([127, 0, 0, 1], 7_080).into(),
    };
    let mut node = Node::new(NodeConfig {
        me: WRITER,
        entry,
        fresh_bound_ms: Millis(2_000),
        pause_ms: Millis(1_000),
        probe_interval_ms: Millis(250),
        suspect_after_ms: Millis(5_000),
        probes_per_round: 8,
        keep_warm: KeepWarmRule::default(),
    });
    node.shared = shared;
    node.life = mangovale::daemon::node::Life::Serving;
    let mut now = Millis(START_MS);
    node.freshness.note_log_applied(now);
    let started_at = Instant::now();
    for _ in 0..TICKS {
        now += Millis(20);
        node.freshness.note_log_applied(now);
        node.handle(now, Event::Tick);
    }
    micros(started_at) / f64::from(TICKS)
}

fn model(number: usize) -> String {
    format!("model-{number:05}")
}

fn brand(number: usize) -> String {
    format!("brand-{}", number % BRANDS)
}

fn micros(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * 1e6
}

/// Measures what one decoded state holds resident, as the mean over several kept for good, so that
/// freed memory is not counted as free twice.
fn footprint_bytes(shared: &SharedState) -> f64 {
    const KEPT: usize = 3;
    let text = serde_json::to_string(shared).expect("the state can be encoded");
    let decode =
        || -> SharedState { serde_json::from_str(&text).expect("the state can be decoded") };
    // The first one takes what earlier work left free.
    Box::leak(Box::new(decode()));
    let before = resident_bytes();
    for _ in 0..KEPT {
        Box::leak(Box::new(decode()));
    }
    resident_bytes().saturating_sub(before) as f64 / KEPT as f64
}

/// Returns this process's resident memory.
pub fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// The size that the users' letter asks for; 8.7% of models are awake.
pub fn target_size() -> Size {
    Size {
        models: 54_410,
        upstreams: 6_600,
        hosts: 860,
        copies: 4_734,
    }
}
