//! Tests of the decision which shared causes are held back, and of what one host reports and merges.

use super::{digest, engine};
use crate::prelude::*;
use crate::retry::crash_ledger::RETENTION_MS;
use crate::retry::interrupted_requests::InterruptedRun;
use crate::retry::message::{EvidenceChecksums, SharedEvidence};
use crate::retry::quarantine::{Hold, Quarantine};
use crate::retry::shared_evidence::HeldChange;
use crate::retry::shared_ledger::SharedLedger;
use crate::retry::{RequestCauses, SharedCause, VersionTag};

const NOW: Millis = Millis(10_000_000);
const COMMON: u64 = 1;
const CRASHING: u64 = 2;

fn cause(part: u64) -> SharedCause {
    SharedCause::part("s", part)
}

fn version(name: &str) -> VersionTag {
    VersionTag::of(Some(name))
}

/// Returns the causes of a request that differs from others in its body.
fn request(n: usize, parts: &[u64]) -> Arc<RequestCauses> {
    Arc::new(RequestCauses {
        digest: digest(&format!("request {n}")),
        shared: parts.iter().map(|part| cause(*part)).collect(),
    })
}

fn run(n: usize, parts: &[u64]) -> InterruptedRun {
    InterruptedRun {
        causes: request(n, parts),
        version: version("v1"),
        sent_at: NOW + Millis(n as u64),
        answered_ms: None,
    }
}

/// Crashes an engine while it runs these requests of a host.
fn crash(host: &mut Quarantine, n: usize, runs: &[InterruptedRun]) {
    let now = NOW + Millis(n as u64);
    for run in runs {
        host.note_connection_lost(now, &engine(n), run);
    }
    host.note_crashed(now, &engine(n));
}

/// Crashes engines, each while it runs another request with these parts.
fn crash_each(host: &mut Quarantine, engines: std::ops::Range<usize>, parts: &[u64]) {
    for n in engines {
        crash(host, n, &[run(n, parts)]);
    }
}

fn answer(host: &mut Quarantine, parts: &[u64]) {
    host.note_answered(NOW, &request(9_999, parts), version("v1"));
}

fn hold(host: &Quarantine, parts: &[u64]) -> Option<Hold> {
    host.hold(NOW + Millis(100), &request(8_888, parts), None)
}

fn is_held(host: &Quarantine, parts: &[u64]) -> bool {
    hold(host, parts).is_some()
}

fn exchange(child: &mut Quarantine, parent: &mut Quarantine) {
    let report = child.report(NOW);
    parent.merge_report(NOW, &report);
    child.apply_update(NOW, &parent.build_update(NOW, report.known));
}

#[test]
fn a_part_at_four_crashes_of_different_requests_is_held_back() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..3, &[CRASHING]);
    assert!(!is_held(&host, &[CRASHING]));
    crash_each(&mut host, 3..4, &[CRASHING]);
    let hold = hold(&host, &[CRASHING]).expect("it is held back");
    assert_eq!(hold.left_ms, RETENTION_MS - Millis(97));
    assert_eq!(hold.shared.expect("for its part").crashes.len(), 4);
    assert!(!is_held(&host, &[COMMON]));
}

#[test]
fn repeats_of_one_request_do_not_hold_its_parts_back() {
    let mut host = Quarantine::default();
    for n in 0..8 {
        let mut run = run(n, &[CRASHING]);
        run.causes = request(n % 2, &[CRASHING]);
        crash(&mut host, n, &[run]);
    }
    assert!(!is_held(&host, &[CRASHING]));
}

/// Guards against holding parts back because a data centre with all its engines is lost at once.
#[test]
fn crashes_at_one_moment_hold_nothing_back() {
    let mut host = Quarantine::default();
    for n in 0..8 {
        let run = InterruptedRun {
            sent_at: NOW,
            ..run(n, &[COMMON])
        };
        host.note_connection_lost(NOW, &engine(n), &run);
    }
    for n in 0..8 {
        host.note_crashed(NOW, &engine(n));
    }
    assert!(!is_held(&host, &[COMMON]));
}

#[test]
fn a_part_on_which_an_upstream_answered_before_or_after_is_not_held_back() {
    let mut before = Quarantine::default();
    answer(&mut before, &[COMMON]);
    crash_each(&mut before, 0..6, &[COMMON, CRASHING]);
    let mut after = Quarantine::default();
    crash_each(&mut after, 0..6, &[COMMON, CRASHING]);
    answer(&mut after, &[COMMON]);
    for host in [before, after] {
        assert!(is_held(&host, &[CRASHING]));
        assert!(!is_held(&host, &[COMMON]));
    }
}

#[test]
fn an_answer_past_its_beginning_is_no_evidence() {
    let mut host = Quarantine::default();
    for n in 0..8 {
        let run = InterruptedRun {
            answered_ms: Some(Millis(300)),
            ..run(n, &[COMMON])
        };
        crash(&mut host, n, &[run]);
    }
    assert!(!is_held(&host, &[COMMON]));
}

/// Guards against holding back each of two parts that always come together, of which one is sound.
#[test]
fn parts_that_always_come_together_are_held_back_only_together() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..6, &[COMMON, CRASHING]);
    assert!(is_held(&host, &[COMMON, CRASHING]));
    assert!(!is_held(&host, &[COMMON]) && !is_held(&host, &[CRASHING]));
    answer(&mut host, &[COMMON]);
    assert!(is_held(&host, &[CRASHING]));
    assert!(!is_held(&host, &[COMMON]));
}

/// Guards against holding back the first part of a route because several crashing parts follow it.
#[test]
fn a_part_that_others_at_the_same_crashes_explain_is_not_held_back() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..4, &[COMMON, 10]);
    crash_each(&mut host, 4..8, &[COMMON, 11]);
    assert!(is_held(&host, &[COMMON, 10]) && is_held(&host, &[COMMON, 11]));
    assert!(!is_held(&host, &[COMMON]) && !is_held(&host, &[COMMON, 12]));
}

#[test]
fn a_first_part_that_crashes_upstreams_whatever_follows_is_held_back() {
    let mut host = Quarantine::default();
    for n in 0..4 {
        crash_each(&mut host, n..n + 1, &[COMMON, 10 + n as u64]);
    }
    assert!(is_held(&host, &[COMMON]));
    assert!(!is_held(&host, &[10]));
}

#[test]
fn requests_with_a_suspected_part_are_not_sent_on() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..1, &[COMMON, CRASHING]);
    assert!(!host.is_suspected(&request(7, &[CRASHING]), None));
    crash_each(&mut host, 1..2, &[COMMON, CRASHING]);
    assert!(host.is_suspected(&request(7, &[CRASHING]), None));
    answer(&mut host, &[COMMON]);
    assert!(!host.is_suspected(&request(7, &[COMMON]), None));
}

/// Guards against crashes that each host knows alone.
#[test]
fn crashes_seen_by_different_hosts_are_merged() {
    let mut hosts: Vec<_> = (0..4).map(|_| Quarantine::default()).collect();
    let mut orderer = Quarantine::default();
    for (n, host) in hosts.iter_mut().enumerate() {
        exchange(host, &mut orderer);
        crash_each(host, n..n + 1, &[CRASHING]);
        exchange(host, &mut orderer);
    }
    for host in &mut hosts {
        exchange(host, &mut orderer);
        assert!(is_held(host, &[CRASHING]));
    }
    assert!(is_held(&orderer, &[CRASHING]));
}

#[test]
fn a_part_answered_through_another_host_is_released() {
    let (mut host, mut other) = (Quarantine::default(), Quarantine::default());
    let mut orderer = Quarantine::default();
    answer(&mut other, &[COMMON]);
    crash_each(&mut host, 0..4, &[COMMON]);
    assert!(is_held(&host, &[COMMON]));
    host.take_held_changes(NOW);
    host.note_refused(cause(COMMON));
    for _ in 0..2 {
        exchange(&mut host, &mut orderer);
        exchange(&mut other, &mut orderer);
    }
    exchange(&mut host, &mut orderer);
    assert!(!is_held(&host, &[COMMON]) && !is_held(&orderer, &[COMMON]));
    let released = HeldChange::Released {
        cause: cause(COMMON),
        refused: 1,
        is_cleared: true,
    };
    assert_eq!(host.take_held_changes(NOW), [released]);
}

#[test]
fn hosts_with_equal_evidence_send_none() {
    let (mut host, mut orderer) = (Quarantine::default(), Quarantine::default());
    crash_each(&mut host, 0..4, &[COMMON, CRASHING]);
    exchange(&mut host, &mut orderer);
    let report = host.report(NOW);
    assert!(report.shared.is_empty());
    assert!(orderer.build_update(NOW, report.known).shared.is_empty());
}

/// Guards against holding a sound part back after a restart because what was always beside it is lost.
#[test]
fn persisted_evidence_holds_back_the_same_as_before() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..6, &[COMMON, 10]);
    crash_each(&mut host, 6..12, &[COMMON, 11]);
    crash_each(&mut host, 12..18, &[12]);
    let persisted = host.persistent_shared_evidence(NOW);
    let mut next = Quarantine::default();
    next.merge_shared_evidence(NOW, &persisted);
    for host in [&host, &next] {
        assert!(is_held(host, &[COMMON, 10]) && is_held(host, &[COMMON, 11]));
        assert!(is_held(host, &[12]) && !is_held(host, &[COMMON]));
    }
}

#[test]
fn persisted_evidence_is_small() {
    let mut host = Quarantine::default();
    for n in 0..50 {
        let parts = [100 + n as u64, 200 + n as u64, 300 + n as u64];
        crash_each(&mut host, 8 * n..8 * n + 8, &parts);
    }
    let persisted = host.persistent_shared_evidence(NOW);
    assert!(!persisted.is_empty());
    let bytes = serde_json::to_vec(&persisted).expect("evidence serialises to JSON");
    assert!(bytes.len() < 4_096, "{}", bytes.len());
}

/// Guards against large messages when a data centre is lost.
#[test]
fn messages_stay_small_with_many_causes_and_crashes() {
    let mut host = Quarantine::default();
    for n in 0..8 {
        let runs: Vec<_> = (0..1_000)
            .map(|m| run(1_000 * n + m, &[m as u64, 5_000 + m as u64]))
            .collect();
        crash(&mut host, n, &runs);
    }
    let report = postcard::to_stdvec(&host.report(NOW).shared).expect("the message serialises");
    let update = host.build_update(NOW, EvidenceChecksums::default()).shared;
    let update = postcard::to_stdvec(&update).expect("the message serialises");
    assert!(!report.is_empty() && !update.is_empty());
    assert!(report.len() <= 8_000, "{}", report.len());
    assert!(update.len() <= 8_000, "{}", update.len());
}

#[test]
fn a_lost_data_centre_does_not_evict_what_is_held_back() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..5, &[CRASHING]);
    for n in 0..2 {
        let runs: Vec<_> = (0..1_000)
            .map(|m| run(1_000 * n + m + 100, &[100 + m as u64]))
            .collect();
        crash(&mut host, 50 + n, &runs);
    }
    assert!(is_held(&host, &[CRASHING]));
}

#[test]
fn what_answers_at_one_version_is_held_back_if_it_crashes_another() {
    let mut host = Quarantine::default();
    host.note_answered(NOW, &request(1, &[CRASHING]), version("v2"));
    crash_each(&mut host, 0..4, &[CRASHING]);
    assert!(is_held(&host, &[CRASHING]));
}

/// Guards against a part that stays held back after the engines' software was replaced, and against
/// more than one trial of it.
#[test]
fn after_a_release_one_trial_decides() {
    let mut host = Quarantine::default();
    crash_each(&mut host, 0..4, &[CRASHING]);
    assert!(!host.take_trial(NOW, cause(CRASHING), version("v1")));
    assert!(host.take_trial(NOW, cause(CRASHING), version("v2")));
    assert!(!host.take_trial(NOW, cause(CRASHING), version("v2")));
    let mut next_orderer = Quarantine::default();
    next_orderer.merge_shared_evidence(NOW, &host.persistent_shared_evidence(NOW));
    assert!(!next_orderer.take_trial(NOW, cause(CRASHING), version("v2")));
    let held_at = |host: &Quarantine, of: &str| {
        let request = request(7, &[CRASHING]);
        host.hold(NOW + Millis(100), &request, Some(version(of)))
            .is_some()
    };
    assert!(held_at(&host, "v2"));
    host.note_answered(NOW, &request(8, &[CRASHING]), version("v2"));
    assert!(!held_at(&host, "v2") && held_at(&host, "v1"));
    assert!(is_held(&host, &[CRASHING]), "while both versions serve");
}

#[test]
fn evidence_in_any_order_and_repetition_gives_the_same_result() {
    arbtest::arbtest(|u| {
        let mut evidence: Vec<SharedEvidence> = Vec::new();
        for _ in 0..u.int_in_range(0..=30u8)? {
            let mut host = Quarantine::default();
            let (engine, n) = (u.choose_index(8)?, u.choose_index(6)?);
            let part = 1 + u.choose_index(3)? as u64;
            crash(&mut host, engine, &[run(n, &[part])]);
            if u.ratio(1, 6)? {
                answer(&mut host, &[part]);
            }
            evidence.extend(host.report(NOW).shared);
        }
        let ledger = |evidence: &[SharedEvidence]| {
            let mut ledger = SharedLedger::default();
            for one in evidence {
                ledger.merge(NOW, std::slice::from_ref(one));
            }
            ledger
        };
        let one = ledger(&evidence);
        let mut shuffled = Vec::new();
        while let Some(last) = evidence.len().checked_sub(1) {
            let next = evidence.swap_remove(u.choose_index(last + 1)?);
            if u.ratio(1, 4)? {
                shuffled.push(next.clone());
            }
            shuffled.push(next);
        }
        let other = ledger(&shuffled);
        assert_eq!(one.checksum(), other.checksum());
        let causes = |ledger: &SharedLedger| -> Vec<SharedCause> {
            let published = ledger.published(NOW).into_iter();
            published.map(|evidence| evidence.cause).collect()
        };
        assert_eq!(causes(&one), causes(&other));
        Ok(())
    });
}
