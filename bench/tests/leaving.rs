//! Upstreams and hosts that leave: no new work there after a few seconds, and no request cut.

use mangovale_bench::call::{Outcome, ServiceCall};
use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Site, StandIn, put_brand, put_model, put_row_with};
use serde_json::{Value, json};
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use trillium_client::Method;

/// How long a leaving upstream may still get new work.
const NEW_WORK_LIMIT: Duration = Duration::from_secs(3);
/// How long the work is watched after that.
const WATCHED: Duration = Duration::from_secs(3);

fn call(service: &str) -> ServiceCall<'_> {
    ServiceCall {
        service,
        method: Method::Get,
        path: "/work",
        body: "",
        idempotency_key: None,
        deadline_ms: Some(20_000),
    }
}

/// Callers that go on until they are told to stop, and their outcomes.
struct Load {
    stopped: Arc<AtomicBool>,
    callers: Vec<Task<Vec<Outcome>>>,
}

impl Load {
    fn stop(self) -> Vec<Outcome> {
        self.stopped.store(true, Ordering::Relaxed);
        let all = self.callers.into_iter().map(smol::block_on);
        all.flatten().collect()
    }
}

fn calls_of_services(site: &Site) -> Load {
    let stopped = Arc::new(AtomicBool::new(false));
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.caller).collect();
    let start = |host: SocketAddr| {
        let (caller, stopped) = (site.caller("north"), stopped.clone());
        smol::spawn(async move {
            let mut outcomes = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                outcomes.push(caller.service(host, &call("work")).await);
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            outcomes
        })
    };
    let callers = hosts.into_iter().map(start).collect();
    Load { stopped, callers }
}

fn calls_at(upstream: &StandIn) -> u64 {
    let counters = upstream.get("/admin/counters");
    counters["requests"].as_u64().expect("a count of calls")
}

/// Counts the requests that an engine ran, and those that it had to refuse.
fn requests_run_at(engine: &StandIn) -> u64 {
    let peaks = engine.get("/admin/peaks");
    let counters = engine.get("/admin/counters");
    let runs = peaks["runs"].as_u64().expect("a count of runs");
    runs + counters["answered_5xx"].as_u64().expect("a count")
}

/// Waits until one of the upstreams has work, and returns which.
fn busy_one(upstreams: &[StandIn], count: impl Fn(&StandIn) -> u64) -> usize {
    let mut busy = None;
    wait_for("work at an upstream", || {
        busy = upstreams.iter().position(|upstream| count(upstream) > 10);
        busy.is_some()
    });
    busy.expect("an upstream with work")
}

fn say_leaving(upstream: &StandIn) {
    let answer = upstream.admin_post("/admin/leaving", &json!({ "leaving": true }));
    assert!(answer.is_success(), "{answer:?}");
}

/// Nothing new runs at an upstream from the limit on.
fn check_no_new_work(count: impl Fn() -> u64, left_at: Instant) {
    std::thread::sleep(NEW_WORK_LIMIT.saturating_sub(left_at.elapsed()));
    let before = count();
    std::thread::sleep(WATCHED);
    assert_eq!(count(), before);
}

#[test]
fn a_service_upstream_that_the_list_shows_leaving_gets_no_new_work() {
    let site = Site::plan()
        .service("back-1", &[])
        .service("back-2", &[])
        .hosts(3)
        .start();
    site.put_service("work", &["back-1", "back-2"], &["north"]);
    let load = calls_of_services(&site);
    let leaving = busy_one(&site.services, calls_at);
    // A plain service has no report: its word reaches the hosts by the list alone.
    say_leaving(&site.services[leaving]);
    let left_at = Instant::now();
    check_no_new_work(|| calls_at(&site.services[leaving]), left_at);
    let outcomes = load.stop();
    let failed: Vec<&Outcome> = outcomes.iter().filter(|end| !end.is_success()).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

fn engine_site() -> Site {
    let site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .engine(EngineSpec::named("engine-2"))
        .hosts(3)
        .start();
    site.edit(vec![
        put_brand("north"),
        put_model("review", 1_000),
        put_row_with("north", "review", json!({ "copies": 2 })),
    ]);
    site
}

fn chats(site: &Site) -> Load {
    let stopped = Arc::new(AtomicBool::new(false));
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.caller).collect();
    let start = |host: SocketAddr| {
        let (caller, stopped) = (site.caller("north"), stopped.clone());
        smol::spawn(async move {
            let mut outcomes = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                outcomes.push(caller.chat(host, "review", "a case", Some(20_000)).await);
            }
            outcomes
        })
    };
    let callers = hosts.into_iter().map(start).collect();
    Load { stopped, callers }
}

#[test]
fn an_engine_that_says_it_is_leaving_gets_no_new_work() {
    let mut site = engine_site();
    let load = chats(&site);
    let leaving = busy_one(&site.engines, requests_run_at);
    // Without the list only the engine's own word can tell.
    site.host_list.process.kill();
    say_leaving(&site.engines[leaving]);
    let count = || requests_run_at(&site.engines[leaving]);
    check_no_new_work(count, Instant::now());
    let other = &site.engines[1 - leaving];
    wait_for("work at the other engine", || requests_run_at(other) > 5);
    load.stop();
}

/// A caller that keeps an entry answer until it expires, as the answer allows.
struct EntryKeeper {
    hosts: Vec<SocketAddr>,
    kept_until: Instant,
}

impl EntryKeeper {
    async fn choose(&mut self, site_hosts: &[SocketAddr], caller: &mangovale_bench::call::Caller) {
        if Instant::now() < self.kept_until {
            return;
        }
        for host in site_hosts {
            let asked_at = Instant::now();
            let Outcome::Answered { text, .. } = caller.entry(*host, "work").await else {
                continue;
            };
            let answer: Value = serde_json::from_str(&text).unwrap_or_default();
            let hosts = answer["hosts"].as_array().cloned().unwrap_or_default();
            let address = |host: &Value| host.as_str().and_then(|text| text.parse().ok());
            self.hosts = hosts.iter().filter_map(address).collect();
            let ttl_ms = answer["ttl_ms"].as_u64().unwrap_or_default();
            self.kept_until = asked_at + Duration::from_millis(ttl_ms);
            if !self.hosts.is_empty() {
                return;
            }
        }
    }
}

fn entry_callers(site: &Site, count: usize) -> Load {
    let stopped = Arc::new(AtomicBool::new(false));
    let site_hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.caller).collect();
    let start = |number: usize| {
        let (caller, stopped) = (site.caller("north"), stopped.clone());
        let mut site_hosts = site_hosts.clone();
        let turn = number % site_hosts.len();
        site_hosts.rotate_left(turn);
        smol::spawn(async move {
            let mut keeper = EntryKeeper {
                hosts: Vec::new(),
                kept_until: Instant::now(),
            };
            let mut outcomes = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                keeper.choose(&site_hosts, &caller).await;
                let Some(host) = keeper.hosts.get(number % keeper.hosts.len().max(1)) else {
                    continue;
                };
                outcomes.push(caller.service(*host, &call("work")).await);
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            outcomes
        })
    };
    let callers = (0..count).map(start).collect();
    Load { stopped, callers }
}

#[test]
fn a_rolling_restart_of_all_hosts_cuts_no_request() {
    let mut site = Site::plan()
        .service("back-1", &["--work-ms", "100"])
        .hosts(3)
        .start();
    site.put_service("work", &["back-1"], &["north"]);
    let load = entry_callers(&site, 6);
    for host in 0..site.hosts.len() {
        site.host(host).process.terminate();
        let status = site.host(host).process.wait();
        assert!(status.success(), "{status:?}");
        site.restart_host(host);
        site.wait_serving();
    }
    let outcomes = load.stop();
    let failed: Vec<&Outcome> = outcomes.iter().filter(|end| !end.is_success()).collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    assert!(outcomes.len() > 100, "{}", outcomes.len());
}
