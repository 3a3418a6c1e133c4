//! Writes a map as a list of pairs, for keys that are no texts: JSON maps take text keys only.

use indexmap::IndexMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::hash::Hash;

/// Writes the map.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn serialize<K, V, S>(map: &IndexMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
where
    K: Serialize,
    V: Serialize,
    S: Serializer,
{
    serializer.collect_seq(map)
}

/// Reads the map.
///
/// # Errors
///
/// Returns the decoder's error.
pub fn deserialize<'de, K, V, D>(deserializer: D) -> Result<IndexMap<K, V>, D::Error>
where
    K: Deserialize<'de> + Eq + Hash,
    V: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
    Ok(pairs.into_iter().collect())
}
