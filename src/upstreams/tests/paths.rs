//! Paths from this host to upstreams, learned from connections and answers.

use super::*;
use crate::upstreams::path::PATH_MEMORY_MS;

fn registry(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    for id in ids {
        registry.put(entry(id));
    }
    registry
}

fn is_out_of_reach(registry: &Registry, id: &str, now: Millis) -> bool {
    let upstream = registry.get(id).expect("it is listed");
    registry.is_out_of_reach(now, upstream)
}

#[test]
fn a_failed_connection_counts_until_one_succeeds() {
    let mut registry = registry(&["u1", "u2"]);
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200));
    assert!(is_out_of_reach(&registry, "u1", Millis(300)));
    assert!(!is_out_of_reach(&registry, "u2", Millis(300)));
    registry.note_connected(&lifetime("u1", 0), Millis(400));
    assert!(!is_out_of_reach(&registry, "u1", Millis(400)));
}

#[test]
fn a_failed_connection_counts_for_a_bounded_time() {
    let mut registry = registry(&["u1"]);
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200));
    let last = Millis(200) + PATH_MEMORY_MS;
    assert!(is_out_of_reach(&registry, "u1", last - Millis(1)));
    assert!(!is_out_of_reach(&registry, "u1", last));
}

// Guards against marking an upstream that was reached while an older attempt was still pending.
#[test]
fn an_attempt_from_before_the_last_connection_changes_nothing() {
    let mut registry = registry(&["u1"]);
    registry.note_connected(&lifetime("u1", 0), Millis(150));
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(500));
    assert!(!is_out_of_reach(&registry, "u1", Millis(500)));
}

#[test]
fn all_paths_count_as_lost_when_two_upstreams_fail_and_none_gives_a_sign() {
    let mut registry = registry(&["u1", "u2", "u3"]);
    registry.note_contact(Millis(50));
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200));
    registry.note_connect_failed(&lifetime("u1", 0), Millis(210), Millis(300));
    assert!(!is_out_of_reach(&registry, "u3", Millis(300)));
    registry.note_connect_failed(&lifetime("u2", 0), Millis(150), Millis(310));
    assert!(is_out_of_reach(&registry, "u3", Millis(310)));
    registry.note_contact(Millis(320));
    assert!(!is_out_of_reach(&registry, "u3", Millis(320)));
}

// Guards against taking failures for a lost network while another upstream answers.
#[test]
fn failures_that_began_before_the_last_sign_do_not_count_for_all_paths() {
    let mut registry = registry(&["u1", "u2", "u3"]);
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200));
    registry.note_contact(Millis(205));
    registry.note_connect_failed(&lifetime("u2", 0), Millis(150), Millis(310));
    assert!(!is_out_of_reach(&registry, "u3", Millis(310)));
}

#[test]
fn a_service_is_lost_once_and_regained_once() {
    let mut registry = registry(&["u1", "u2"]);
    assert!(!registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200)));
    assert!(registry.note_connect_failed(&lifetime("u2", 0), Millis(100), Millis(210)));
    assert!(!registry.note_connect_failed(&lifetime("u1", 0), Millis(300), Millis(400)));
    let lost_at = registry.note_connected(&lifetime("u2", 0), Millis(500));
    assert_eq!(lost_at, Some(Millis(210)));
    assert_eq!(
        registry.note_connected(&lifetime("u1", 0), Millis(600)),
        None
    );
}

// Guards against a mark of one lifetime that holds for the next one under the name.
#[test]
fn a_restarted_upstream_is_in_reach_until_a_connection_fails() {
    let mut registry = registry(&["u1"]);
    registry.note_connect_failed(&lifetime("u1", 0), Millis(100), Millis(200));
    registry.put(UpstreamEntry {
        born_at: Millis(1),
        ..entry("u1")
    });
    assert!(!is_out_of_reach(&registry, "u1", Millis(210)));
}
