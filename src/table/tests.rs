//! Tests of the table: an edit takes effect as a whole or not at all, and conflicts are detected.

use crate::prelude::*;
use crate::shared_log::tests::fake_log::check_seeds;
use crate::table::Table;
use crate::table::message::{Change, Edit, Model, RowKey, Service};
use arbtest::arbitrary::{Result, Unstructured};

fn name(u: &mut Unstructured<'_>) -> Result<Name> {
    Ok(format!("n{}", u.int_in_range(0..=4u8)?).into())
}

fn arbitrary_change(u: &mut Unstructured<'_>) -> Result<Change> {
    let name = name(u)?;
    let key = RowKey {
        brand: "north".into(),
        model: name.clone(),
    };
    let row = serde_json::from_str("{}").expect("a row");
    Ok(match u.int_in_range(0..=7u8)? {
        0 => Change::PutRow { key, row },
        1 => Change::RemoveRow { key },
        2 => Change::PutModel {
            name,
            model: Model {
                version: "1".into(),
                reserved_bytes: u.int_in_range(0..=2u64)?,
                checkpoint_bytes: 1,
                base: None,
            },
        },
        3 => Change::RemoveModel { name },
        4 => Change::PutService {
            name,
            service: Service {
                upstreams: Vec::new(),
            },
        },
        5 => Change::RemoveService { name },
        6 => Change::PutBrand {
            name: "north".into(),
            brand: serde_json::from_str("{\"key_sha256\":[]}").expect("a brand"),
        },
        _ => Change::RemoveBrand {
            name: "north".into(),
        },
    })
}

/// Returns the table's JSON without the history. It shows the order of the entries.
fn text_of(table: &Table) -> String {
    let mut table = table.clone();
    table.history.clear();
    serde_json::to_string(&table).expect("a table can be encoded")
}

#[test]
fn a_rejected_edit_leaves_the_table_unchanged() {
    check_seeds(400, 1024, |u| {
        let mut table = Table::default();
        for offset in 1..=40u64 {
            let changes: Result<Vec<Change>> = (0..u.int_in_range(1..=5usize)?)
                .map(|_| arbitrary_change(u))
                .collect();
            let edit = Edit {
                edit_id: format!("edit-{offset}").into(),
                operator: "operator".into(),
                base_version: Offset(offset - u.int_in_range(1..=3.min(offset))?),
                changes: changes?,
            };
            let before = text_of(&table);
            match table.apply_edit(Offset(offset), &edit) {
                Ok(()) => assert_eq!(table.version, Offset(offset)),
                Err(_) => assert_eq!(text_of(&table), before),
            }
        }
        Ok(())
    });
}

#[test]
fn an_edit_based_on_an_older_version_of_a_changed_entry_is_rejected() {
    let mut table = Table::default();
    let edit = |id: &str, base: u64| Edit {
        edit_id: id.into(),
        operator: "operator".into(),
        base_version: Offset(base),
        changes: vec![Change::PutService {
            name: "calls".into(),
            service: Service {
                upstreams: Vec::new(),
            },
        }],
    };
    assert_eq!(table.apply_edit(Offset(7), &edit("first", 0)), Ok(()));
    let second = table.apply_edit(Offset(8), &edit("second", 6));
    assert!(matches!(second, Err(Rejection::EditConflict { .. })));
    assert_eq!(table.apply_edit(Offset(9), &edit("third", 7)), Ok(()));
}
