//! Tests on simulated sites in which parts of prompts crash engine after engine, in requests of which
//! no two are alike, or in which engines crash for other reasons.

use super::shared_model::{SharedModel, Traffic};
use crate::prelude::*;

/// Maximum number of late sends of one crashing part by hosts in touch, by the users' rule.
const MAX_LATE_SENDS: usize = 3;
/// The least share of sound requests with the same first part that begin at the first attempt, by the
/// users' rule, as the calm share is close to one.
const MIN_BEGUN_SHARE: f64 = 0.5;
/// Hosts, relays and number of seeds, for a small site and a large one.
const SITES: [(usize, usize, u64); 2] = [(9, 0, 12), (68, 8, 2)];

const ONE_PART: Traffic = Traffic {
    crashing_parts: 1,
    crashing_with_rare: false,
    sound_with_rare: false,
    other_crashes: false,
    resend_suspected: false,
};

/// What came of all seeds of a test.
#[derive(Debug, Default)]
struct Totals {
    most_crashes: usize,
    most_late_sends: usize,
    least_begun_share: f64,
    refused: usize,
    longest_bytes: usize,
}

fn check(name: &str, traffic: Traffic, simulate: impl Fn(&mut SharedModel, &mut fastrand::Rng)) {
    for (hosts, relays, seeds) in SITES {
        let mut totals = Totals {
            least_begun_share: 1.0,
            ..Totals::default()
        };
        for seed in 0..seeds {
            let mut model = SharedModel::new(hosts, relays, traffic, seed);
            simulate(&mut model, &mut fastrand::Rng::with_seed(1_000 + seed));
            check_bounds(&mut model, &format!("{name}: {hosts} hosts, seed {seed}"));
            add(&mut totals, &model);
        }
        println!("{name}: {hosts} hosts, {seeds} seeds: {totals:?}");
    }
}

fn check_bounds(model: &mut SharedModel, case: &str) {
    for late_sends in &model.late_sends {
        assert!(
            *late_sends <= MAX_LATE_SENDS,
            "{case}: {late_sends} late sends"
        );
    }
    assert_eq!(model.held_sound_parts(), IndexSet::new(), "{case}");
    let share = begun_share(model);
    assert!(share >= MIN_BEGUN_SHARE, "{case}: {share} of sound ones");
}

fn begun_share(model: &SharedModel) -> f64 {
    model.sound.begun as f64 / model.sound.offered.max(1) as f64
}

fn add(totals: &mut Totals, model: &SharedModel) {
    let most = |counts: &[usize]| counts.iter().copied().max().unwrap_or(0);
    totals.most_crashes = totals.most_crashes.max(most(&model.crashes));
    totals.most_late_sends = totals.most_late_sends.max(most(&model.late_sends));
    totals.least_begun_share = totals.least_begun_share.min(begun_share(model));
    totals.refused += model.sound.refused;
    let bytes = model.network.longest_shared_bytes;
    totals.longest_bytes = totals.longest_bytes.max(bytes);
}

/// Guards against requests that are never alike crashing engines for as long as callers send them.
#[test]
fn crashing_part_is_held_back_on_every_host() {
    check("one part", ONE_PART, |model, _| model.run(15_000));
}

#[test]
fn several_crashing_parts_are_held_back() {
    let traffic = Traffic {
        crashing_parts: 3,
        ..ONE_PART
    };
    check("three parts", traffic, |model, _| model.run(20_000));
}

/// Guards against holding back a sound first part that at first only comes with crashing parts.
#[test]
fn parts_that_come_together_do_not_hold_sound_requests_back() {
    for crashing_parts in [1, 2] {
        let traffic = Traffic {
            crashing_parts,
            crashing_with_rare: true,
            ..ONE_PART
        };
        let name = format!("{crashing_parts} together with a first part");
        check(&name, traffic, |model, _| {
            model.run(10_000);
            model.traffic.sound_with_rare = true;
            model.run(10_000);
        });
    }
}

#[test]
fn crashing_part_is_held_back_amid_crashes_for_other_reasons() {
    let traffic = Traffic {
        other_crashes: true,
        ..ONE_PART
    };
    check("other crashes too", traffic, |model, _| model.run(20_000));
}

/// Guards against holding back parts that many requests share because many engines crash.
#[test]
fn crashes_for_other_reasons_hold_no_part_back() {
    let traffic = Traffic {
        crashing_parts: 0,
        other_crashes: true,
        ..ONE_PART
    };
    check("other crashes", traffic, |model, random| {
        for _ in 0..8 {
            model.run(random.u64(500..2_500));
            // A third of the engines at once, as if their data centre were lost.
            for engine in 0..4 {
                model.crash_engine(engine);
            }
            assert_eq!(model.held_count(), 0);
        }
        // All hosts forget what was answered, and more engines crash at once.
        model.kill_all();
        for engine in 4..8 {
            model.crash_engine(engine);
        }
        model.run(3_000);
        assert_eq!(model.held_count(), 0);
        assert_eq!(model.sound.refused, 0);
    });
}

#[test]
fn crashing_part_is_held_back_without_an_orderer() {
    check("no orderer", ONE_PART, |model, _| {
        model.network.orderer = None;
        model.run(8_000);
        model.network.orderer = Some(1);
        model.run(8_000);
    });
}

#[test]
fn crashing_part_is_held_back_when_orderers_are_lost_one_after_the_other() {
    check("orderers lost", ONE_PART, |model, _| {
        for host in 0..8 {
            model.run(1_000);
            model.kill(model.network.orderer.unwrap_or(host));
            model.run(500);
            model.network.orderer = Some(host);
        }
    });
}

#[test]
fn crashing_part_stays_held_back_after_all_hosts_restart() {
    check("all restart", ONE_PART, |model, random| {
        model.run(random.u64(4_000..9_000));
        model.kill_all();
        model.run(4_000);
        model.network.orderer = Some(2);
        model.run(8_000);
    });
}

#[test]
fn late_sends_stay_bounded_under_any_sequence_of_faults() {
    let traffic = Traffic {
        crashing_parts: 2,
        ..ONE_PART
    };
    check("any faults", traffic, |model, random| {
        let hosts = model.network.len();
        for _ in 0..10 {
            let host = random.usize(0..hosts);
            match random.u32(0..8) {
                0 => model.network.disconnect(host),
                1 => model.network.reconnect(),
                2 => model.network.orderer = None,
                3 => model.kill(host),
                4 => model.network.freeze(host, random.u64(500..5_000)),
                5 => model.crash_engine(random.usize(0..5)),
                _ => model.network.orderer = Some(host),
            }
            model.run(random.u64(300..3_000));
        }
    });
}
