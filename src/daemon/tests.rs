//! Tests of the refusal of requests for models that are not loaded.

mod crashes;
mod statements;

use crate::membership::message::{PlatformList, UpstreamEntry, UpstreamRole};
use crate::membership::tests::cluster::Cluster;
use crate::prelude::*;
use crate::table::message::{Brand, Change, Edit, Model, Row, RowKey};

const MODEL: &str = "review";
const BYTES: u64 = 1_000;
const DEADLINE_MS: Millis = Millis(30_000);

fn table_with_a_row() -> Edit {
    let key = RowKey {
        brand: "north".into(),
        model: MODEL.into(),
    };
    let model = Model {
        version: "1".into(),
        reserved_bytes: BYTES,
        checkpoint_bytes: BYTES,
        base: None,
    };
    let row: Row = serde_json::from_str("{}").unwrap();
    let brand = Brand {
        key_sha256: Vec::new(),
    };
    Edit {
        edit_id: "first".into(),
        operator: "test".into(),
        base_version: Offset(0),
        changes: vec![
            Change::PutBrand {
                name: "north".into(),
                brand,
            },
            Change::PutModel {
                name: MODEL.into(),
                model,
            },
            Change::PutRow { key, row },
        ],
    }
}

fn engine(memory_bytes: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: "engine-1".into(),
        role: UpstreamRole::Engine,
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "otaru".into(),
        memory_bytes,
        slots: 1,
        checks_fencing: true,
        leaving: false,
    }
}

fn check_cold_start_with_list(upstreams: Vec<UpstreamEntry>) -> Result<(), Refusal> {
    let mut cluster = Cluster::new(1);
    cluster.edit(0, table_with_a_row());
    cluster.run_for(Millis(500));
    let now = cluster.now;
    let node = &mut cluster.hosts[0].node;
    let hosts = Vec::new();
    node.on_hosts_listed(now, PlatformList { upstreams, hosts });
    node.check_cold_start(now, &MODEL.into(), DEADLINE_MS)
}

/// Guards against a refusal for lack of capacity while a listed engine is not registered on the
/// log.
#[test]
fn a_request_for_an_unloaded_model_waits_for_a_listed_engine_that_is_not_on_the_log_yet() {
    assert_eq!(check_cold_start_with_list(vec![engine(BYTES)]), Ok(()));
}

#[test]
fn a_request_for_a_model_that_no_engine_can_hold_is_refused_immediately() {
    let refused = |outcome: Result<(), Refusal>| outcome.map_err(|refusal| refusal.kind);
    let too_small = check_cold_start_with_list(vec![engine(BYTES - 1)]);
    assert_eq!(refused(too_small), Err(ErrorKind::NoCapacity));
    let none = check_cold_start_with_list(Vec::new());
    assert_eq!(refused(none), Err(ErrorKind::NoCapacity));
}
