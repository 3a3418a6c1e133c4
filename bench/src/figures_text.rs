//! Figures of runs as CSV, as a table to read, and as a plot.

use crate::plot::{Plot, Point};
use crate::report::Figures;
use crate::scenario::Scenario;
use std::fmt::Write;

/// Returns the figures as CSV, one line for each policy.
pub fn to_csv(all: &[Figures]) -> String {
    let mut csv = String::from(
        "policy,requests,good_percent,cold,cold_unanswered,cold_p50_ms,cold_p95_ms,cold_p99_ms,\
         warm,warm_unanswered,warm_p50_ms,warm_p95_ms,warm_p99_ms,idle_accelerator_hours,\
         held_accelerator_hours,loads_started,loads_failed,log_records,log_calls,core_percent,\
         system_percent,log_bytes_per_s,peer_bytes_per_s\n",
    );
    for figures in all {
        let Figures {
            cold,
            warm,
            counted,
            ..
        } = figures;
        let _ = writeln!(
            csv,
            "{},{},{:.2},{},{},{},{},{},{},{},{},{},{},{:.3},{:.3},{},{},{},{},{:.2},{:.1},{:.0},{:.0}",
            figures.policy,
            figures.requests,
            figures.good_percent,
            cold.count,
            figures.cold_unanswered,
            cold.p50_ms,
            cold.p95_ms,
            cold.p99_ms,
            warm.count,
            figures.warm_unanswered,
            warm.p50_ms,
            warm.p95_ms,
            warm.p99_ms,
            figures.accelerator_hours.idle,
            figures.accelerator_hours.held,
            counted.loads_started,
            counted.loads_failed,
            counted.log_records,
            counted.log_calls,
            counted.core_percent,
            counted.system_percent,
            counted.log_bytes_per_s,
            counted.peer_bytes_per_s,
        );
    }
    csv
}

/// Plots p99 cold start against idle accelerator hours.
pub fn to_plot(scenario: &Scenario, all: &[Figures]) -> Plot {
    let point = |figures: &Figures| Point {
        label: figures.policy.clone(),
        x: figures.accelerator_hours.idle,
        y: figures.cold.p99_ms as f64,
    };
    Plot {
        title: format!(
            "{}: p99 cold start against idle accelerator hours",
            scenario.name
        ),
        x_name: format!(
            "idle accelerator hours (run time x {})",
            scenario.time_factor
        ),
        y_name: "p99 cold start, ms of the run".to_string(),
        points: all.iter().map(point).collect(),
    }
}

/// Returns the figures as a table to read.
pub fn to_table(all: &[Figures]) -> String {
    let mut table = format!(
        "{:<16} {:>6} {:>7} | {:>5} {:>5} {:>7} {:>7} {:>7} | {:>5} {:>5} {:>6} {:>6} {:>6} | {:>7} {:>7} | {:>5} {:>5} {:>7} {:>6}\n",
        "policy",
        "reqs",
        "good %",
        "cold",
        "none",
        "p50",
        "p95",
        "p99",
        "warm",
        "none",
        "p50",
        "p95",
        "p99",
        "idle h",
        "held h",
        "loads",
        "recs",
        "core %",
        "sys %",
    );
    for figures in all {
        let Figures {
            cold,
            warm,
            counted,
            accelerator_hours,
            ..
        } = figures;
        let _ = writeln!(
            table,
            "{:<16} {:>6} {:>7.2} | {:>5} {:>5} {:>7} {:>7} {:>7} | {:>5} {:>5} {:>6} {:>6} {:>6} | {:>7.2} {:>7.2} | {:>5} {:>5} {:>7.2} {:>6.1}",
            figures.policy,
            figures.requests,
            figures.good_percent,
            cold.count,
            figures.cold_unanswered,
            cold.p50_ms,
            cold.p95_ms,
            cold.p99_ms,
            warm.count,
            figures.warm_unanswered,
            warm.p50_ms,
            warm.p95_ms,
            warm.p99_ms,
            accelerator_hours.idle,
            accelerator_hours.held,
            counted.loads_started,
            counted.log_records,
            counted.core_percent,
            counted.system_percent,
        );
        for (kind, count) in &figures.failures {
            let _ = writeln!(table, "    {kind}: {count}");
        }
        for (kind, count) in &counted.log_record_kinds {
            let _ = writeln!(table, "    record {kind}: {count}");
        }
        for share in &figures.shares {
            let _ = writeln!(
                table,
                "    share of {}: {:.1} % at a weight of {:.1} %",
                share.brand, share.got_percent, share.weight_percent
            );
        }
    }
    table
}
