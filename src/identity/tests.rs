//! Tests of the identification of callers by key, on public and other routes, and of the check of
//! organisations for shared names and keys.

use super::*;
use crate::desired::{DesiredState, RouteTable};
use crate::test_support;
use arbtest::arbtest;

fn organisation(name: &str, keys: &[&str]) -> Arc<Organisation> {
    Arc::new(Organisation {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        ..Organisation::default()
    })
}

fn route(is_public: bool) -> Route {
    Route {
        is_public,
        ..test_support::route()
    }
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

fn holder(keys: &Keys, credential: Credential) -> Option<Name> {
    let identity = keys.identify(&route(false), credential).ok()?;
    Some(identity.organisation()?.name.clone())
}

#[test]
fn only_a_valid_key_identifies_an_organisation() {
    let keys = Keys::new(&[organisation("a", &["k1", "k2"]), organisation("b", &["k3"])]);
    assert_eq!(holder(&keys, key("k1")).as_deref(), Some("a"));
    assert_eq!(holder(&keys, key("k2")).as_deref(), Some("a"));
    assert_eq!(holder(&keys, key("k3")).as_deref(), Some("b"));
    for credential in [
        key("k4"),
        key(""),
        Credential::Missing,
        Credential::Malformed,
    ] {
        let refusal = keys.identify(&route(false), credential);
        assert_eq!(
            refusal.map_err(|refusal| refusal.kind),
            Err(ErrorKind::BadCredential)
        );
    }
}

#[test]
fn a_public_route_needs_no_key_but_identifies_a_valid_one() {
    let keys = Keys::new(&[organisation("a", &["k1"])]);
    let public = route(true);
    assert_eq!(keys.identify(&public, key("k9")), Ok(Identity::Public));
    assert_eq!(
        keys.identify(&public, Credential::Missing),
        Ok(Identity::Public)
    );
    let known = keys.identify(&public, key("k1")).expect("public");
    assert_eq!(known.organisation().map(|own| &*own.name), Some("a"));
}

#[test]
fn without_a_list_of_organisations_no_key_is_needed_and_with_an_empty_list_none_is_valid() {
    let open = RouteTable::new(DesiredState::default());
    let closed = RouteTable::new(DesiredState {
        organisations: Some(Vec::new()),
        ..DesiredState::default()
    });
    let route = route(false);
    assert_eq!(
        open.identify(&route, Credential::Missing),
        Ok(Identity::Unchecked)
    );
    assert!(closed.identify(&route, key("k1")).is_err());
}

#[test]
fn a_removed_key_is_invalid_until_a_later_version_has_it_again() {
    let with = [organisation("a", &["k1", "k2"])];
    let without = [organisation("a", &["k2"])];
    assert_eq!(holder(&Keys::new(&with), key("k1")).as_deref(), Some("a"));
    assert_eq!(holder(&Keys::new(&without), key("k1")), None);
    assert_eq!(holder(&Keys::new(&with), key("k1")).as_deref(), Some("a"));
}

#[test]
fn organisations_that_share_a_name_or_a_key_are_rejected() {
    let a = organisation("a", &["k1", "k1"]);
    assert_eq!(
        check_unique(&[a.clone(), organisation("b", &["k2"])]),
        Ok(())
    );
    let same_name = check_unique(&[a.clone(), organisation("a", &["k2"])]);
    assert!(matches!(same_name, Err(KeysError::SharedName { .. })));
    let same_key = check_unique(&[a, organisation("b", &["k1"])]);
    assert!(matches!(same_key, Err(KeysError::SharedKey { .. })));
}

#[test]
fn debug_output_never_contains_a_key() {
    let credential = key("very-secret-key");
    let shown = format!(
        "{credential:?} {:?}",
        organisation("a", &["very-secret-key"])
    );
    assert!(!shown.contains("very-secret-key"));
}

#[test]
fn each_of_any_set_of_keys_identifies_its_organisation() {
    arbtest(|u| {
        let count = u.int_in_range(1..=40)?;
        let mut organisations = Vec::new();
        for n in 0..count {
            let keys: Vec<String> = (0..u.int_in_range(0..=4)?)
                .map(|k| format!("{n}-{k}"))
                .collect();
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            organisations.push((n, keys.len(), organisation(&format!("o{n}"), &keys)));
        }
        let all: Vec<_> = organisations.iter().map(|(.., own)| own.clone()).collect();
        let keys = Keys::new(&all);
        for (n, count, own) in &organisations {
            for k in 0..*count {
                let found = holder(&keys, key(&format!("{n}-{k}")));
                assert_eq!(found.as_ref(), Some(&own.name));
            }
            assert_eq!(holder(&keys, key(&format!("{n}-{count}"))), None);
        }
        Ok(())
    });
}
