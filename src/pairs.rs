//! Serialises a map as a list of key-value pairs, for keys that are not strings: JSON objects allow
//! string keys only. For `#[serde(with = ...)]`.

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::hash::Hash;

/// Serialises the map as a list of pairs, in its order.
///
/// # Errors
///
/// Returns the serialiser's error.
pub fn serialize<K, V, S>(map: &IndexMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
where
    K: Serialize,
    V: Serialize,
    S: Serializer,
{
    serializer.collect_seq(map)
}

/// Deserialises the map from a list of pairs; of pairs with equal keys, the last one counts.
///
/// # Errors
///
/// Returns the deserialiser's error.
pub fn deserialize<'de, K, V, D>(deserializer: D) -> Result<IndexMap<K, V>, D::Error>
where
    K: Deserialize<'de> + Eq + Hash,
    V: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
    Ok(pairs.into_iter().collect())
}
