//! When a host reads the member list from the store itself.

use crate::group::read_policy::{ReadConditions, Role, min_read_interval_ms};
use crate::prelude::*;

/// Returns the conditions of a host that started a moment ago, in a large site.
fn starting() -> ReadConditions {
    ReadConditions {
        list_age_ms: Some(Millis(1_900)),
        outdated_ms: Millis(1_900),
        listed: 985,
        is_listed: true,
        started_recently: true,
        refused_unlisted_peer: false,
        role: Role::WithoutOrderer,
    }
}

/// Guards against hundreds of starting hosts that each read the names of all hosts every half
/// second.
#[test]
fn starting_hosts_read_a_large_group_less_often() {
    let intervals = [1, 100, 101, 300, 985, 2_000].map(min_read_interval_ms);
    let expected = [500, 500, 1_000, 1_500, 1_800, 1_800].map(Millis);
    assert_eq!(intervals, expected);
}

/// Guards against reads of the list by hundreds of starting hosts that no other host accepts yet.
#[test]
fn a_host_that_is_not_listed_rarely_reads_a_large_group() {
    let unlisted = ReadConditions {
        is_listed: false,
        ..starting()
    };
    assert!(starting().is_due());
    assert!(!unlisted.is_due());
    let first = ReadConditions {
        list_age_ms: None,
        ..unlisted
    };
    let later = ReadConditions {
        list_age_ms: Some(Millis(4_000)),
        ..unlisted
    };
    assert!(first.is_due() && later.is_due());
}

/// Guards against a site of a few dozen hosts that takes half a second longer to serve after all
/// its hosts were killed.
#[test]
fn in_a_small_group_a_host_that_is_not_listed_reads_as_often_as_a_listed_one() {
    let restarted = |listed| ReadConditions {
        list_age_ms: Some(Millis(1_000)),
        listed,
        is_listed: false,
        ..starting()
    };
    let due = [1, 2, 73, 146, 201, 985].map(|listed| restarted(listed).is_due());
    assert_eq!(due, [false, true, true, true, false, false]);
}

/// Guards against reads of the list by relays that refused hosts of which the orderer will inform
/// them.
#[test]
fn a_relay_in_contact_with_the_orderer_does_not_read_for_each_host_that_it_refused() {
    let relay = ReadConditions {
        list_age_ms: Some(Millis(600)),
        outdated_ms: Millis(600),
        refused_unlisted_peer: true,
        role: Role::Relay,
        ..starting()
    };
    assert!(!relay.is_due());
    let small = ReadConditions {
        listed: 30,
        ..relay
    };
    assert!(small.is_due());
    let outdated = ReadConditions {
        outdated_ms: Millis(2_500),
        refused_unlisted_peer: false,
        ..relay
    };
    assert!(outdated.is_due());
}

#[test]
fn the_orderer_reads_a_changed_list_twice_a_second() {
    let orderer = ReadConditions {
        list_age_ms: Some(Millis(500)),
        role: Role::Orderer,
        ..starting()
    };
    assert!(orderer.is_due());
}

/// Guards against processes that start and that no host knows for seconds, because the orderer cannot
/// read the list and the others wait to be told.
#[test]
fn a_collector_reads_a_changed_list_at_once_while_the_orderer_cannot() {
    let collector = ReadConditions {
        list_age_ms: Some(Millis(100)),
        outdated_ms: Millis::ZERO,
        role: Role::Collector,
        ..starting()
    };
    assert!(collector.is_due());
}
