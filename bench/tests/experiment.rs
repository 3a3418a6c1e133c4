//! Scenarios, arrivals and figures.

use indexmap::IndexMap;
use mangovale_bench::arrivals::{CallKind, Phase, draw};
use mangovale_bench::history::{self, End, HistoryLine};
use mangovale_bench::plot::{Plot, Point};
use mangovale_bench::report::{Counted, Figures, Spread, summarize};
use mangovale_bench::samples::{Sample, SampledCopy, SampledState};
use mangovale_bench::scenario::Scenario;
use mangovale_bench::{faults, figures_text};
use std::path::{Path, PathBuf};

const MODEL: &str = "model-00";
const ENGINE_BYTES: u64 = 100;

fn scenario(name: &str) -> Scenario {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    Scenario::read(&directory.join(name)).expect("the scenario can be read")
}

fn line(asked_ms: u64, first_byte_ms: u64, ended_ms: u64) -> HistoryLine {
    HistoryLine {
        request: asked_ms,
        asked_ms,
        phase: Phase::Background,
        brand: "north".to_string(),
        target: MODEL.to_string(),
        call: CallKind::Chat { prompt_bytes: 10 },
        operation: None,
        deadline_ms: 5_000,
        tries: Vec::new(),
        end: End::Answered {
            status: 200,
            own: true,
        },
        first_byte_ms: Some(first_byte_ms),
        ended_ms,
    }
}

fn sample(at_ms: u64, state: Option<SampledState>) -> Sample {
    let copies = state.map(|state| SampledCopy {
        model: MODEL.to_string(),
        bytes: ENGINE_BYTES / 2,
        state,
    });
    Sample {
        at_ms,
        memory_bytes: ENGINE_BYTES,
        copies: copies.into_iter().collect(),
    }
}

#[test]
fn the_deployments_have_the_sizes_of_today() {
    for (name, models, loads_per_s) in [("ezo.toml", 40, 2), ("bengal.toml", 25, 3)] {
        let scenario = scenario(name);
        assert_eq!(scenario.models.models, models);
        assert_eq!(scenario.models.adapters, 80);
        assert_eq!(scenario.site.store_loads_per_s, loads_per_s);
        assert_eq!(scenario.site.data_centres.len(), 4);
        assert!(
            scenario
                .choose_policies(&["no such policy".to_string()])
                .is_err()
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let scenario = scenario("ezo.toml");
    let text = |seed| format!("{:?}", draw(&scenario, seed));
    assert_eq!(text(1), text(1));
    assert_ne!(text(1), text(2));
    let arrivals = draw(&scenario, 1);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_ms));
    let bursts = arrivals
        .iter()
        .filter(|arrival| arrival.phase == Phase::Burst);
    assert_eq!(bursts.count() % scenario.load.burst_requests, 0);
    assert!(
        arrivals
            .iter()
            .any(|arrival| arrival.kind == CallKind::ServiceWrite)
    );
}

#[test]
fn the_same_seed_gives_the_same_faults() {
    let parts = faults::Parts {
        hosts: 4,
        engines: 4,
        services: 2,
    };
    assert_eq!(
        faults::draw(7, 60_000, parts),
        faults::draw(7, 60_000, parts)
    );
    assert_ne!(
        faults::draw(7, 60_000, parts),
        faults::draw(8, 60_000, parts)
    );
}

#[test]
fn cold_and_warm_requests_are_told_apart_by_what_engines_held() {
    use SampledState::{Loading, Ready};
    let mut scenario = scenario("storm.toml");
    scenario.span_ms = 4_000;
    scenario.time_factor = 3_600.0;
    let samples = vec![vec![
        sample(0, None),
        sample(1_000, Some(Loading)),
        sample(2_000, Some(Ready)),
        sample(4_000, None),
    ]];
    let mut refused = line(500, 0, 600);
    refused.end = End::Refused {
        kind: "no_capacity".to_string(),
        not_run: true,
    };
    let history = [
        line(1_500, 2_000, 3_000),
        line(2_500, 2_600, 3_000),
        refused,
    ];
    let figures = summarize(&scenario, "any", &history, &samples, Counted::default());
    assert_eq!((figures.cold.count, figures.cold.p50_ms), (1, 500));
    assert_eq!(figures.cold_unanswered, 1);
    assert_eq!((figures.warm.count, figures.warm.p50_ms), (1, 100));
    assert_eq!(
        figures.failures,
        IndexMap::from([("no_capacity".to_string(), 1)])
    );
    // Half of the engine for 3 s; a request was under way from 1.5 s on, so the sample at 1 s is idle.
    assert!((figures.accelerator_hours.held - 1.5).abs() < 1e-9);
    assert!((figures.accelerator_hours.idle - 0.5).abs() < 1e-9);
}

#[test]
fn shares_are_those_of_the_answers_under_saturation() {
    let scenario = scenario("ezo.toml");
    let begin_ms = scenario
        .load
        .saturation
        .as_ref()
        .expect("a saturation")
        .start_ms;
    let history: Vec<HistoryLine> = ["firm-a", "firm-a", "firm-a", "firm-b"]
        .iter()
        .map(|brand| HistoryLine {
            phase: Phase::Saturation,
            brand: brand.to_string(),
            ..line(begin_ms, begin_ms + 5_000, begin_ms + 5_000)
        })
        .collect();
    let figures = summarize(&scenario, "any", &history, &[], Counted::default());
    let first = &figures.shares[0];
    assert_eq!((first.got_percent, first.weight_percent), (75.0, 40.0));
}

#[test]
fn times_are_summed_up_by_quantile() {
    let spread = Spread::of(1..=100);
    assert_eq!((spread.p50_ms, spread.p95_ms, spread.p99_ms), (50, 95, 99));
}

#[test]
fn a_history_is_read_as_it_was_written() {
    let directory = tempfile::tempdir().expect("a directory");
    let path: PathBuf = directory.path().join("history.jsonl");
    let lines = vec![line(1, 2, 3), line(4, 5, 6)];
    history::write(&path, &lines).expect("a history can be written");
    assert_eq!(history::read(&path).expect("it can be read"), lines);
}

#[test]
fn the_plot_and_the_csv_name_every_policy() {
    let plot = Plot {
        title: "a < b".to_string(),
        x_name: "x".to_string(),
        y_name: "y".to_string(),
        points: vec![Point {
            label: "never".to_string(),
            x: 1.0,
            y: 2.0,
        }],
    };
    let svg = plot.to_svg();
    assert!(svg.contains("a &lt; b") && svg.contains("never"));
    let figures = Figures {
        policy: "never".to_string(),
        ..Figures::default()
    };
    let csv = figures_text::to_csv(&[figures]);
    let columns: Vec<usize> = csv.lines().map(|line| line.split(',').count()).collect();
    assert_eq!(columns.len(), 2);
    assert_eq!(columns[0], columns[1]);
}
