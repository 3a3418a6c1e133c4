//! What idle daemons cost: processor time, memory and control bytes of each process.

use crate::proc_stat::{CLOCK_TICKS_PER_S, CpuTicks, resident_bytes};
use crate::site::{EngineSpec, Site};
use serde::Serialize;
use std::time::{Duration, Instant};

/// The cost of one idle daemon, as the mean over the site.
#[derive(Clone, Debug, Serialize)]
pub struct IdleCost {
    /// How many daemons ran.
    pub hosts: usize,
    /// How many models were in the table.
    pub models: usize,
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Bytes a second between a daemon and the log.
    pub log_bytes_per_s: f64,
    /// Bytes a second of datagrams from and to peers, headers of IP left out.
    pub peer_bytes_per_s: f64,
}

/// Starts a site and measures it at rest for a while.
pub fn measure(hosts: usize, models: usize, engines: usize, span: Duration) -> IdleCost {
    let mut plan = Site::plan().hosts(hosts).links();
    for number in 0..engines {
        plan = plan.engine(EngineSpec::named(&format!("engine-{number}")));
    }
    let site = plan.start();
    put_models(&site, models);
    std::thread::sleep(Duration::from_secs(3));
    let before = sum(&site);
    let started_at = Instant::now();
    std::thread::sleep(span);
    let seconds = started_at.elapsed().as_secs_f64();
    let after = sum(&site);
    let per_host = |total: f64| total / hosts as f64;
    IdleCost {
        hosts,
        models,
        core_percent: per_host((after.cpu_ticks - before.cpu_ticks) as f64)
            / CLOCK_TICKS_PER_S
            / seconds
            * 100.0,
        resident_bytes: after.resident_bytes / hosts as u64,
        log_bytes_per_s: per_host((after.log_bytes - before.log_bytes) as f64) / seconds,
        // A datagram passes one link on its way, and belongs to two hosts.
        peer_bytes_per_s: per_host((after.peer_bytes - before.peer_bytes) as f64) * 2.0 / seconds,
    }
}

/// Fills the table with models and a row for each; returns how many edits it took.
pub fn put_models(site: &Site, models: usize) -> u64 {
    const PER_EDIT: usize = 500;
    if models == 0 {
        return 0;
    }
    site.edit(vec![crate::site::put_brand("north")]);
    let mut edits = 1;
    for first in (0..models).step_by(PER_EDIT) {
        let last = models.min(first + PER_EDIT);
        let names: Vec<String> = (first..last).map(|n| format!("model-{n:05}")).collect();
        let put_models = names.iter().map(|name| crate::site::put_model(name, 1_000));
        site.edit(put_models.collect());
        let put_rows = names.iter().map(|name| crate::site::put_row("north", name));
        site.edit(put_rows.collect());
        edits += 2;
    }
    edits
}

#[derive(Default)]
struct Sum {
    cpu_ticks: u64,
    resident_bytes: u64,
    log_bytes: u64,
    peer_bytes: u64,
}

fn sum(site: &Site) -> Sum {
    let mut sum = Sum::default();
    for host in &site.hosts {
        sum.cpu_ticks += CpuTicks::of(host.process.id()).total();
        sum.resident_bytes += resident_bytes(host.process.id());
        sum.log_bytes += host.log_link.as_ref().map_or(0, |link| link.passed_bytes());
        sum.peer_bytes += host
            .peer_link
            .as_ref()
            .map_or(0, |link| link.passed_bytes());
    }
    sum
}
