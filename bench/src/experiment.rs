//! Runs a scenario under one policy after another, with the same arrivals.

use crate::arrivals;
use crate::figures_text::{to_csv, to_plot};
use crate::history::{self, HistoryLine};
use crate::load::{Load, LoadTarget};
use crate::proc_stat::{CLOCK_TICKS_PER_S, CpuTicks};
use crate::report::{Counted, Figures, summarize};
use crate::samples;
use crate::scenario::{PolicySpec, Scenario, Target};
use crate::site::{EngineSpec, Site, put_brand, put_row_with};
use indexmap::IndexMap;
use mangovale::table::message::{Change, Model, Service, StoreLimits};
use serde_json::{Value, json};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CHANGES_PER_EDIT: usize = 400;
/// How long after the load copies are still sampled, so that the last requests are covered.
const SETTLE: Duration = Duration::from_millis(300);

/// Runs each policy and writes its history, the table as CSV and the plots to a directory.
///
/// # Errors
///
/// Returns the file system's error.
pub fn run(
    scenario: &Scenario,
    policies: &[PolicySpec],
    seed: u64,
    out: &Path,
) -> io::Result<Vec<Figures>> {
    std::fs::create_dir_all(out)?;
    let mut all = Vec::new();
    for policy in policies {
        eprintln!("running {} under {}", scenario.name, policy.name);
        let (figures, lines) = run_policy(scenario, policy, seed);
        let file = format!("{}-{}-{seed}.jsonl", scenario.name, policy.name);
        history::write(&out.join(file), &lines)?;
        eprintln!("{}", serde_json::to_string(&figures)?);
        all.push(figures);
    }
    let base = format!("{}-{seed}", scenario.name);
    std::fs::write(out.join(format!("{base}.csv")), to_csv(&all))?;
    std::fs::write(
        out.join(format!("{base}.svg")),
        to_plot(scenario, &all).to_svg(),
    )?;
    Ok(all)
}

/// Runs a scenario under one policy, in a site of its own.
pub fn run_policy(
    scenario: &Scenario,
    policy: &PolicySpec,
    seed: u64,
) -> (Figures, Vec<HistoryLine>) {
    let site = start_site(scenario, policy);
    put_table(&site, scenario);
    let before = Totals::of(&site);
    let load = Load::new(LoadTarget {
        hosts: site.hosts.iter().map(|host| host.caller).collect(),
        callers: scenario.load.callers,
        run_id: format!("{}-{seed}", scenario.name),
    });
    let began_at = Instant::now();
    let stopped = Arc::new(AtomicBool::new(false));
    let engines = site.engines.iter().map(|engine| engine.address).collect();
    let sampling = smol::spawn(samples::take(engines, load.started_at(), stopped.clone()));
    let arrivals = arrivals::draw(scenario, seed);
    let (lines, samples) = smol::block_on(async {
        let lines = load.run(arrivals, scenario.load.burst_spreads).await;
        smol::Timer::after(SETTLE).await;
        stopped.store(true, Ordering::Relaxed);
        (lines, sampling.await)
    });
    let counted = count(&site, &before, began_at.elapsed());
    let figures = summarize(scenario, &policy.name, &lines, &samples, counted);
    (figures, lines)
}

/// Starts the site of a scenario with a policy's settings.
pub fn start_site(scenario: &Scenario, policy: &PolicySpec) -> Site {
    let spec = &scenario.site;
    let data_centre = |index: usize| &spec.data_centres[index % spec.data_centres.len()];
    let store = [
        "--parallel".to_string(),
        spec.store_parallel.to_string(),
        "--loads-per-s".to_string(),
        spec.store_loads_per_s.to_string(),
        "--bytes-per-s".to_string(),
        spec.store_bytes_per_s.to_string(),
    ];
    let store: Vec<&str> = store.iter().map(String::as_str).collect();
    let mut plan = Site::plan()
        .hosts(spec.hosts)
        .host_data_centres(&spec.data_centres)
        .settings(&policy.settings_text())
        .store(&store)
        .log(&["--appends-per-s", &spec.log_appends_per_s.to_string()])
        .links();
    for index in 0..spec.engines {
        plan = plan.engine(EngineSpec {
            data_centre: data_centre(index).clone(),
            memory_bytes: spec.engine_memory_bytes,
            slots: spec.engine_slots,
            token_ms: spec.token_ms,
            checks_fencing: index >= spec.engines_ignoring_fences,
            arguments: engine_arguments(scenario),
            ..EngineSpec::named(&format!("engine-{index:02}"))
        });
    }
    for index in 0..spec.services {
        plan = plan.service_in(
            data_centre(index),
            &service_name(index),
            &["--work-ms", "20"],
        );
    }
    plan.start()
}

fn engine_arguments(scenario: &Scenario) -> Vec<String> {
    let spec = &scenario.site;
    let pairs = [
        ("--disk-cache-bytes", spec.disk_cache_bytes),
        ("--disk-cache-bytes-per-s", spec.disk_bytes_per_s),
        ("--report-lag-ms", spec.report_lag_ms),
    ];
    let texts = pairs.map(|(option, value)| [option.to_string(), value.to_string()]);
    texts.concat()
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

/// Puts the scenario's table in force.
pub fn put_table(site: &Site, scenario: &Scenario) {
    let limits = StoreLimits {
        parallel_loads: scenario.site.store_parallel,
        loads_per_s: scenario.site.store_loads_per_s,
    };
    let mut changes = vec![Change::SetStore { limits }];
    changes.extend(scenario.brands.iter().map(|brand| put_brand(&brand.name)));
    let mut targets = scenario.targets();
    // A base comes before its adapters.
    targets.sort_by_key(|target| target.base.is_some());
    changes.extend(targets.iter().map(put_target));
    changes.push(Change::PutService {
        name: scenario.models.service.as_str().into(),
        service: Service {
            upstreams: (0..scenario.site.services)
                .map(|index| service_name(index).into())
                .collect(),
        },
    });
    for target in &targets {
        changes.extend(rows(scenario, target));
    }
    let service = &scenario.models.service;
    let service_row = |brand: &crate::scenario::BrandSpec| {
        put_row_with(&brand.name, service, json!({ "weight": brand.weight }))
    };
    changes.extend(scenario.brands.iter().map(service_row));
    for part in changes.chunks(CHANGES_PER_EDIT) {
        site.edit(part.to_vec());
    }
}

fn put_target(target: &Target) -> Change {
    let model = Model {
        version: "1".into(),
        reserved_bytes: target.bytes,
        checkpoint_bytes: target.bytes,
        base: target.base.as_deref().map(Into::into),
    };
    Change::PutModel {
        name: target.name.as_str().into(),
        model,
    }
}

fn rows(scenario: &Scenario, target: &Target) -> Vec<Change> {
    let usage = &scenario.models.uses[target.use_index];
    let row = |weight: u32| -> Value {
        json!({
            "weight": weight,
            "urgency": usage.urgency,
            "deadline_ms": usage.deadline_ms,
        })
    };
    let brands = scenario.brands.iter();
    brands
        .map(|brand| put_row_with(&brand.name, &target.name, row(brand.weight)))
        .collect()
}

#[derive(Default)]
struct Totals {
    cpu: CpuTicks,
    log_bytes: u64,
    peer_bytes: u64,
    log_calls: u64,
    log_records: u64,
}

impl Totals {
    fn of(site: &Site) -> Self {
        let mut totals = Self {
            log_calls: as_u64(&site.log.get("/admin/counters")["requests"]),
            log_records: log_records(site),
            ..Self::default()
        };
        for host in &site.hosts {
            totals.cpu = totals.cpu + CpuTicks::of(host.process.id());
            totals.log_bytes += host.log_link.as_ref().map_or(0, |link| link.passed_bytes());
            totals.peer_bytes += host
                .peer_link
                .as_ref()
                .map_or(0, |link| link.passed_bytes());
        }
        totals
    }
}

fn log_records(site: &Site) -> u64 {
    let page = site
        .log
        .get("/streams/mangovale/records?from=0&max=1&wait_ms=0");
    as_u64(&page["end_offset"])
}

/// Counts the records from an offset on by kind, the first many of them.
fn record_kinds(site: &Site, from: u64) -> IndexMap<String, u64> {
    const MOST_PAGES: usize = 100;
    let mut kinds = IndexMap::new();
    let mut next = from;
    for _ in 0..MOST_PAGES {
        let path = format!("/streams/mangovale/records?from={next}&max=512&wait_ms=0");
        let page = site.log.get(&path);
        let records = page["records"].as_array().map_or(&[][..], Vec::as_slice);
        let oldest = as_u64(&page["oldest_offset"]);
        if records.is_empty() && oldest <= next {
            break;
        }
        for record in records {
            *kinds.entry(record_kind(record)).or_insert(0) += 1;
        }
        next = match records.is_empty() {
            true => oldest,
            false => as_u64(&page["next_offset"]),
        };
    }
    kinds.sort_unstable_keys();
    kinds
}

fn record_kind(record: &Value) -> String {
    let payload = record["payload"].as_str().unwrap_or("");
    let payload: Value = serde_json::from_str(payload).unwrap_or_default();
    let kind = payload["kind"].as_str();
    kind.unwrap_or("other").to_string()
}

fn count(site: &Site, before: &Totals, span: Duration) -> Counted {
    let after = Totals::of(site);
    let cpu = after.cpu - before.cpu;
    let hosts = site.hosts.len() as f64;
    let per_host_s = |total: u64| total as f64 / hosts / span.as_secs_f64();
    let peaks: Vec<Value> = site
        .engines
        .iter()
        .map(|engine| engine.get("/admin/peaks"))
        .collect();
    let sum = |key: &str| peaks.iter().map(|peaks| as_u64(&peaks[key])).sum();
    Counted {
        log_records: after.log_records - before.log_records,
        log_record_kinds: record_kinds(site, before.log_records),
        log_calls: after.log_calls - before.log_calls,
        loads_started: sum("loads_started"),
        loads_failed: sum("loads_failed"),
        overcommitted: peaks.iter().any(|peaks| peaks["overcommitted"] == true),
        core_percent: per_host_s(cpu.total()) / CLOCK_TICKS_PER_S * 100.0,
        system_percent: cpu.system_percent(),
        log_bytes_per_s: per_host_s(after.log_bytes - before.log_bytes),
        // A datagram passes one link on its way, and belongs to two hosts.
        peer_bytes_per_s: per_host_s(after.peer_bytes - before.peer_bytes) * 2.0,
    }
}

fn as_u64(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}
