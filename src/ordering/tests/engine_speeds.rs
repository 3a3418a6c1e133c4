//! Slowness of engines is learned from gaps that depend on the model, the load and other work as well.

use crate::ordering::engine_speeds::{EngineSpeeds, ListedEngine};
use crate::ordering::event_gaps::{EventGaps, GapSample, GapSamples};
use crate::ordering::slowness::Slowness;
use crate::prelude::*;
use crate::upstreams::Lifetime;

const ENGINES: usize = 140;
const MODELS: usize = 45;
const COPIES: usize = 5;
const START: Millis = Millis(1_000_000);
const SECOND: Millis = Millis(1_000);

fn lifetime(n: usize, born_at: u64) -> Lifetime {
    Lifetime {
        id: format!("e{n}").into(),
        born_at: Millis(born_at),
    }
}

fn listed(n: usize, born_at: u64) -> ListedEngine {
    ListedEngine {
        lifetime: lifetime(n, born_at),
        service: "s".into(),
    }
}

fn model(n: usize) -> Name {
    format!("m{n}").into()
}

fn speeds_of(engines: usize, known: Vec<(Lifetime, Slowness)>) -> EngineSpeeds {
    let mut speeds = EngineSpeeds::continued_from(known);
    speeds.set_engines(START, (0..engines).map(|n| listed(n, 1)));
    let models = (0..MODELS).map(model).collect();
    speeds.set_models([("s".into(), models)].into_iter().collect());
    speeds
}

fn sample(engine: usize, of: Name, gap_us: u32) -> GapSample {
    GapSample {
        engine: lifetime(engine, 1),
        model: of,
        gap_us,
    }
}

/// A site of engines that hold some models, in which work takes 2.5 times as long in spells of some
/// seconds for 15% of the time.
struct Site {
    speeds: EngineSpeeds,
    random: fastrand::Rng,
    now: Millis,
    true_slowness: fn(usize) -> f64,
    holding: Vec<Vec<usize>>,
    spell_until: Vec<Millis>,
    samples: Vec<u32>,
    published: Vec<Slowness>,
}

impl Site {
    fn new(seed: u64, true_slowness: fn(usize) -> f64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut holding = vec![Vec::new(); ENGINES];
        for model in 0..MODELS {
            (0..COPIES).for_each(|_| holding[random.usize(0..ENGINES)].push(model));
        }
        Self {
            speeds: speeds_of(ENGINES, Vec::new()),
            random,
            now: START,
            true_slowness,
            holding,
            spell_until: vec![START; ENGINES],
            samples: vec![0; ENGINES],
            published: vec![Slowness::MEAN; ENGINES],
        }
    }

    /// Returns the factors by which the gaps of an engine are longer than its speed shows.
    fn disturbance(&mut self, engine: usize) -> f64 {
        // Spells of 3 s, whose starts are 17 s apart on average.
        if self.now >= self.spell_until[engine] && self.random.f64() < 1.0 / 17.0 {
            self.spell_until[engine] = self.now + Millis(3_000);
        }
        let spell = if self.now < self.spell_until[engine] {
            2.5
        } else {
            1.0
        };
        let of_stream: f64 = (0..6).map(|_| self.random.f64() - 0.5).sum();
        spell * (1.0 + of_stream * 0.1)
    }

    /// Lets streams end on each engine with models for some seconds, about one in a second.
    /// `overload` is the factor by which an overloaded engine is slower, and whether it is known.
    fn run(&mut self, seconds: u64, overload: impl Fn(usize, f64) -> (f64, bool)) {
        for _ in 0..seconds {
            self.now += SECOND;
            for engine in 0..ENGINES {
                let disturbance = self.disturbance(engine);
                if self.holding[engine].is_empty() || self.random.f64() < 0.3 {
                    continue;
                }
                let model_number = *self.random.choice(&self.holding[engine]).expect("some");
                let reference_us = 6_000.0 * (1.0 + model_number as f64 / 10.0);
                let (factor, is_full) = overload(engine, self.random.f64());
                let gap_us = reference_us * (self.true_slowness)(engine) * disturbance * factor;
                let sample = sample(engine, model(model_number), gap_us as u32);
                self.speeds.record(self.now, &sample, is_full);
                self.samples[engine] += 1;
            }
            for (lifetime, slowness) in self.speeds.refresh(self.now) {
                let engine = (0..ENGINES).find(|n| *lifetime.id == format!("e{n}"));
                self.published[engine.expect("a known engine")] = slowness;
            }
        }
    }

    /// Returns the learned slowness of the chosen engines that have at least ten samples.
    fn learned(&self, is_chosen: impl Fn(usize) -> bool) -> Vec<f64> {
        let chosen = (0..ENGINES).filter(|n| is_chosen(*n) && self.samples[*n] >= 10);
        chosen.map(|n| self.published[n].ratio()).collect()
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn no_overload(_: usize, _: f64) -> (f64, bool) {
    (1.0, false)
}

fn quarter_is_fast(engine: usize) -> f64 {
    if engine.is_multiple_of(4) { 0.5 } else { 1.2 }
}

fn is_fast(engine: usize) -> bool {
    engine.is_multiple_of(4)
}

/// Guards against slowness that mixes up models and engines, or follows other work on the machine.
#[test]
fn ratio_between_fast_and_slow_engines_is_learned_despite_models_and_other_work() {
    for seed in 0..5 {
        let mut site = Site::new(seed, quarter_is_fast);
        for (seconds, most_error) in [(20, 0.2), (40, 0.1), (120, 0.05)] {
            site.run(seconds, no_overload);
            let (fast, slow) = (site.learned(is_fast), site.learned(|n| !is_fast(n)));
            let error = mean(&fast) / mean(&slow) / (0.5 / 1.2) - 1.0;
            assert!(error.abs() < most_error, "seed {seed}: off by {error}");
        }
    }
}

/// Guards against taking an overloaded engine for a slow one, even if each of its gaps is twice as
/// long all the time. Where hosts do not report its load, it is recognised by its streams that are
/// hardly slowed, and looks at most half as slow again as it is.
#[test]
fn overloaded_engine_does_not_look_slow() {
    let is_overloaded = |engine: usize| engine % 20 == 1;
    for seed in 0..5 {
        for is_reported in [true, false] {
            let mut site = Site::new(seed, quarter_is_fast);
            site.run(180, |engine, random| match is_overloaded(engine) {
                true if is_reported => (2.0, true),
                true => (1.0 + random, false),
                false => (1.0, false),
            });
            let learned = site.learned(is_overloaded);
            let greatest = if is_reported { 1.3 } else { 1.2 * 1.5 };
            let is_right = |slowness: &f64| *slowness <= greatest;
            assert!(
                learned.iter().all(is_right),
                "seed {seed}, {is_reported}: {learned:?}"
            );
        }
    }
}

/// Guards against choices that change where all engines are equally fast.
#[test]
fn engines_of_equal_speed_stay_near_the_mean() {
    for seed in 0..5 {
        let mut site = Site::new(seed, |_| 1.0);
        site.run(180, no_overload);
        let learned = site.learned(|_| true);
        let uneven = learned.iter().filter(|slowness| **slowness != 1.0);
        assert!(uneven.count() < learned.len() / 10, "{learned:?}");
        assert!(
            learned
                .iter()
                .all(|slowness| (0.9..1.11).contains(slowness))
        );
    }
}

/// Two engines that share a model, of which the second is three times as slow.
fn learn_slow_engine(speeds: &mut EngineSpeeds, now: Millis) -> Vec<(Lifetime, Slowness)> {
    for _ in 0..20 {
        speeds.record(now, &sample(0, model(0), 10_000), false);
        speeds.record(now, &sample(1, model(0), 30_000), false);
    }
    speeds.refresh(now)
}

fn slowness_of(speeds: &EngineSpeeds, engine: &Lifetime) -> f64 {
    let mut uneven = speeds.uneven();
    let found = uneven.find(|(uneven, _)| *uneven == engine);
    found.map_or(1.0, |(_, slowness)| slowness.ratio())
}

/// Guards against holding the speed of a former process, or of another time, against an engine.
#[test]
fn new_lifetime_and_engine_without_samples_are_of_mean_speed() {
    let mut speeds = speeds_of(2, Vec::new());
    learn_slow_engine(&mut speeds, START + SECOND);
    let slow = slowness_of(&speeds, &lifetime(1, 1));
    assert!((1.3..1.6).contains(&slow), "{slow}");
    speeds.refresh(START + Millis(29_000));
    assert_eq!(slowness_of(&speeds, &lifetime(1, 1)), slow, "kept for 30 s");
    speeds.refresh(START + Millis(60_000));
    let drifted = slowness_of(&speeds, &lifetime(1, 1));
    assert!(drifted < slow, "{drifted}");
    let changes = speeds.refresh(START + Millis(200_000));
    assert!(changes.contains(&(lifetime(1, 1), Slowness::MEAN)));
    learn_slow_engine(&mut speeds, START + Millis(201_000));
    assert_eq!(slowness_of(&speeds, &lifetime(1, 1)), slow);
    speeds.set_engines(START, [listed(0, 1), listed(1, 2)].into_iter());
    speeds.refresh(START + Millis(202_000));
    assert_eq!(slowness_of(&speeds, &lifetime(1, 1)), 1.0);
    assert_eq!(slowness_of(&speeds, &lifetime(1, 2)), 1.0);
}

/// Guards against a change of the orderer that makes all hosts forget the engines' speeds.
#[test]
fn new_orderer_continues_with_the_known_slowness() {
    let known = [(0, 0.5), (1, 1.2), (2, 1.2), (3, 1.2)];
    let known = known.map(|(n, ratio)| (lifetime(n, 1), Slowness::from_ratio(ratio)));
    let mut speeds = speeds_of(4, known.to_vec());
    assert_eq!(speeds.refresh(START + SECOND), [], "nothing changed");
    assert!(
        speeds
            .uneven()
            .map(|(engine, slowness)| (engine.clone(), slowness))
            .eq(known)
    );
    for _ in 0..4 {
        for (engine, gap_us) in [(0, 5_000), (1, 12_000), (2, 12_000), (3, 12_000)] {
            speeds.record(START + SECOND, &sample(engine, model(0), gap_us), false);
        }
    }
    assert_eq!(speeds.refresh(START + Millis(3_000)), []);
}

/// Guards against malformed or late reports that change what is known.
#[test]
fn malformed_samples_change_nothing() {
    let mut speeds = speeds_of(2, Vec::new());
    learn_slow_engine(&mut speeds, START + SECOND);
    let before: Vec<_> = speeds.uneven().map(|(_, slowness)| slowness).collect();
    let other_lifetime = GapSample {
        engine: lifetime(0, 9),
        ..sample(0, model(0), 90_000)
    };
    for _ in 0..50 {
        for bad in [
            sample(0, model(0), 0),
            sample(0, model(0), u32::MAX),
            sample(0, "unknown".into(), 90_000),
            sample(9, model(0), 90_000),
            other_lifetime.clone(),
        ] {
            speeds.record(START + SECOND, &bad, false);
            speeds.record(START + SECOND, &bad, true);
        }
    }
    assert_eq!(speeds.refresh(START + Millis(5_000)), []);
    assert!(speeds.uneven().map(|(_, slowness)| slowness).eq(before));
    assert_eq!(Slowness::from_ratio(f64::NAN), Slowness::MEAN);
    assert_eq!(Slowness::from_ratio(1e9).ratio(), 5.0);
    assert_eq!(Slowness::from_ratio(-1.0).ratio(), 0.2);
    let wire: Slowness = postcard::from_bytes(&[0]).expect("a byte");
    assert_eq!(wire.ratio(), 0.2);
}

/// Guards against samples of short streams, of stalls at the host, and of other times than those
/// between decode steps.
#[test]
fn sample_of_a_stream_is_the_lower_quartile_of_its_gaps() {
    let stream = |events: u64, read_together: u32| {
        let mut gaps = EventGaps::default();
        for n in 0..events {
            // Every third gap is lengthened by a prompt that is read.
            let at_us = n * 20_000 + n / 3 * 50_000;
            if n.is_multiple_of(u64::from(read_together)) {
                gaps.note(at_us, read_together);
            }
        }
        gaps.take_lower_quartile_us()
    };
    assert_eq!(stream(15, 1), None);
    assert_eq!(stream(16, 1), Some(20_000));
    assert_eq!(stream(5_000, 1), Some(20_000));
    let together = stream(60, 2).expect("a sample");
    assert!((20_000..46_000).contains(&together), "{together}");
}

/// Guards against messages without a bound.
#[test]
fn newest_samples_are_kept_up_to_the_bound() {
    let mut samples = GapSamples::default();
    samples.add((0..100).map(|n| sample(0, model(0), n)), 64);
    let kept = samples.take();
    assert_eq!(kept.len(), 64);
    assert_eq!(kept[0].gap_us, 36);
    assert_eq!(samples.take(), []);
}
