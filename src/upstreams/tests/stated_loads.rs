//! Tests of the loads that upstreams state, and of what hosts tell each other of them.

use super::*;
use crate::upstreams::stated_load::{MAX_TOLD, ToldLoad};

fn load(running: u32) -> StatedLoad {
    StatedLoad {
        running,
        waiting: 0,
        slots: 4,
        pace_percent: Some(100),
    }
}

fn told(id: &str, running: u32, age_ms: u64) -> ToldLoad {
    ToldLoad {
        upstream: lifetime(id, 0),
        load: load(running),
        age_ms: Millis(age_ms),
    }
}

/// Returns a registry of the upstreams `u0`, `u1` and so on.
fn registry(count: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..count {
        registry.put(entry(&format!("u{number}")));
    }
    registry
}

fn running(registry: &Registry, id: &str) -> Option<u32> {
    let known = registry.get(id).and_then(|upstream| upstream.known_load);
    known.map(|known| known.load.running)
}

/// Guards against a statement of a former process that steers requests to its successor.
#[test]
fn a_new_lifetime_has_stated_nothing() {
    let mut registry = registry(1);
    registry.note_stated_load(Millis(10), &lifetime("u0", 0), load(3));
    assert_eq!(running(&registry, "u0"), Some(3));
    registry.note_restarted(&lifetime("u0", 5));
    assert_eq!(running(&registry, "u0"), None);
    registry.note_stated_load(Millis(20), &lifetime("u0", 0), load(3));
    assert_eq!(running(&registry, "u0"), None);
}

/// Guards against a statement of another host that replaces a newer one, and against absurd values
/// in a message.
#[test]
fn only_newer_and_plausible_statements_are_taken_from_others() {
    let mut registry = registry(1);
    registry.note_stated_load(Millis(1_000), &lifetime("u0", 0), load(1));
    registry.merge_told_loads(Millis(1_200), &[told("u0", 2, 300)], true);
    assert_eq!(running(&registry, "u0"), Some(1));
    let absurd = ToldLoad {
        load: StatedLoad {
            slots: 0,
            ..load(9)
        },
        ..told("u0", 9, 10)
    };
    registry.merge_told_loads(Millis(1_200), &[absurd, told("u1", 2, 0)], true);
    assert_eq!(running(&registry, "u0"), Some(1));
    registry.merge_told_loads(Millis(1_200), &[told("u0", 2, 100)], true);
    assert_eq!(running(&registry, "u0"), Some(2));
    registry.merge_told_loads(Millis(9_000), &[told("u0", 3, 1_000)], true);
    assert_eq!(running(&registry, "u0"), Some(2));
}

/// Guards against messages that grow with the number of upstreams, repeat statements, or carry
/// those of engines and old ones.
#[test]
fn messages_have_the_newest_statements_once() {
    let mut registry = registry(40);
    for number in 0..40 {
        let upstream = lifetime(&format!("u{number}"), 0);
        registry.note_stated_load(Millis(number), &upstream, load(1));
    }
    let now = Millis(100);
    assert!(registry.loads_to_report(now, |_| false).is_empty());
    let reported = registry.loads_to_report(now, |_| true);
    assert_eq!(reported.len(), MAX_TOLD);
    assert_eq!(
        reported[0],
        ToldLoad {
            age_ms: Millis(61),
            ..told("u39", 1, 0)
        }
    );
    let next = registry.loads_to_report(now, |_| true);
    assert!(next.iter().all(|load| !reported.contains(load)));
    assert_eq!(registry.loads_to_tell(now, &[], |_| true), reported);
    let others = registry.loads_to_tell(now, &reported[..4], |_| true);
    assert!(others.iter().all(|load| !reported[..4].contains(load)));
    registry.merge_told_loads(now, &[told("u0", 2, 0)], true);
    let next = registry.loads_to_report(now, |_| true);
    assert!(next.iter().all(|load| &*load.upstream.id != "u0"));
    assert!(
        registry
            .loads_to_tell(Millis(1_100), &[], |_| true)
            .is_empty()
    );
}

/// Guards against messages that take more than the 2 KB a second that a host may send and get more.
#[test]
fn a_full_message_stays_small() {
    let loads: Vec<ToldLoad> = (0..MAX_TOLD)
        .map(|number| ToldLoad {
            upstream: lifetime(&format!("i-db72d263{number:02}"), 1_790_000_000_000),
            ..told("", 1_000, 999)
        })
        .collect();
    let bytes = postcard::to_stdvec(&loads).expect("loads are encoded");
    assert!(bytes.len() <= 500, "{}", bytes.len());
}
