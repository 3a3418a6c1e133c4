//! When a host reads the group itself.

use crate::group::reading::{ReadCase, Role, soon_read_ms};
use crate::prelude::*;

/// A host that started a moment ago, in a group of the whole site.
fn starting() -> ReadCase {
    ReadCase {
        known_ms: Some(Millis(1_900)),
        behind_ms: Millis(1_900),
        listed: 985,
        is_listed: true,
        is_new: true,
        has_refused: false,
        role: Role::Alone,
    }
}

/// Guards against a group that hundreds of hosts which start read each half second, each the names of all.
#[test]
fn a_large_group_is_read_less_often_by_hosts_that_start() {
    let paces = [1, 100, 101, 300, 985, 2_000].map(soon_read_ms);
    let expected = [500, 500, 1_000, 1_500, 1_800, 1_800].map(Millis);
    assert_eq!(paces, expected);
}

/// Guards against reads of the whole group by hundreds of hosts that start and that no host accepts yet.
#[test]
fn a_host_that_the_group_does_not_list_seldom_reads_it() {
    let unlisted = ReadCase {
        is_listed: false,
        ..starting()
    };
    assert!(starting().is_due());
    assert!(!unlisted.is_due());
    let first = ReadCase {
        known_ms: None,
        ..unlisted
    };
    let later = ReadCase {
        known_ms: Some(Millis(4_000)),
        ..unlisted
    };
    assert!(first.is_due() && later.is_due());
}

/// Guards against a site of some dozen hosts that takes half a second longer to serve after all were killed.
#[test]
fn a_host_that_a_small_group_does_not_list_reads_it_as_soon_as_one_that_it_lists() {
    let restarted = |listed| ReadCase {
        known_ms: Some(Millis(1_000)),
        listed,
        is_listed: false,
        ..starting()
    };
    let are_due = [1, 2, 73, 146, 201, 985].map(|listed| restarted(listed).is_due());
    assert_eq!(are_due, [false, true, true, true, false, false]);
}

/// Guards against reads of the whole group by relays that refuse hosts which the orderer will tell them of.
#[test]
fn a_relay_that_is_told_of_changes_does_not_read_for_each_host_that_it_refused() {
    let relay = ReadCase {
        known_ms: Some(Millis(600)),
        behind_ms: Millis(600),
        has_refused: true,
        role: Role::Relay,
        ..starting()
    };
    assert!(!relay.is_due());
    let small = ReadCase {
        listed: 30,
        ..relay
    };
    assert!(small.is_due());
    let untold = ReadCase {
        behind_ms: Millis(2_500),
        has_refused: false,
        ..relay
    };
    assert!(untold.is_due());
}

#[test]
fn an_orderer_reads_a_group_that_changed_twice_a_second() {
    let orderer = ReadCase {
        known_ms: Some(Millis(500)),
        role: Role::Orderer,
        ..starting()
    };
    assert!(orderer.is_due());
}
