//! Changes of the table as tests and measures make them.

use mangovale::edge::digest::sha256;
use mangovale::table::message::{Brand, Change, Model, Row, RowKey};
use serde_json::{Value, json};

/// Returns the API key of a brand in tests.
pub fn api_key(brand: &str) -> String {
    format!("{brand}-key")
}

/// Makes a change that adds a brand with its test key.
pub fn put_brand(brand: &str) -> Change {
    let brand_entry = Brand {
        key_sha256: vec![sha256(&api_key(brand))],
    };
    Change::PutBrand {
        name: brand.into(),
        brand: brand_entry,
    }
}

/// Makes a change that adds a model.
pub fn put_model(model: &str, reserved_bytes: u64) -> Change {
    let spec = Model {
        version: "1".into(),
        reserved_bytes,
        checkpoint_bytes: reserved_bytes,
        base: None,
    };
    Change::PutModel {
        name: model.into(),
        model: spec,
    }
}

/// Makes a change that adds a row with the usual values.
pub fn put_row(brand: &str, model: &str) -> Change {
    put_row_with(brand, model, json!({}))
}

/// Makes a change that adds a row with the given values.
///
/// # Panics
///
/// Panics when the values are not a row's.
pub fn put_row_with(brand: &str, model: &str, values: Value) -> Change {
    let key = RowKey {
        brand: brand.into(),
        model: model.into(),
    };
    let row: Row = serde_json::from_value(values).expect("the values of a row");
    Change::PutRow { key, row }
}
