//! How long faults are felt: a killed daemon, a log outage, a new daemon in a large site.

use crate::call::{Caller, Outcome, ServiceCall};
use crate::proc_stat::resident_bytes;
use crate::process::wait_for;
use crate::site::{EngineSpec, Site};
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium_client::Method;

const BRAND: &str = "north";
const MODEL: &str = "review";
const SERVICE: &str = "booking";
const PAUSE: Duration = Duration::from_millis(20);

/// What callers saw of a daemon's kill.
#[derive(Clone, Debug, Serialize)]
pub struct KillCost {
    /// Calls of callers that go on to the next address.
    pub calls: u64,
    /// Those of them that failed in the end.
    pub failed_calls: u64,
    /// From the kill to the last attempt that met the dead daemon because an entry answer named it.
    pub last_attempt_at_dead_ms: u64,
    /// From the kill until every other daemon's entry answer left it out.
    pub left_out_after_ms: u64,
}

/// Kills one of four daemons under calls and measures until nothing names it any more.
pub fn measure_kill() -> KillCost {
    let mut site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .hosts(4)
        .start();
    site.put_model(MODEL, 1_000, &[BRAND]);
    let caller = site.caller(BRAND);
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.caller).collect();
    wait_for("a warm model", || {
        smol::block_on(caller.chat(hosts[1], MODEL, "warm", None)).is_success()
    });
    let dead = hosts[0];
    site.host(0).process.kill();
    let killed_at = Instant::now();
    let mut cost = KillCost {
        calls: 0,
        failed_calls: 0,
        last_attempt_at_dead_ms: 0,
        left_out_after_ms: 0,
    };
    let mut entry = hosts.clone();
    let mut left_out = false;
    while !left_out {
        left_out = follow_entry(&caller, dead, &hosts[1..], &mut entry, killed_at, &mut cost);
        std::thread::sleep(PAUSE);
    }
    cost.left_out_after_ms = elapsed_ms(killed_at);
    cost
}

/// Makes one call along an entry answer; tells whether no daemon's answer names the dead one.
fn follow_entry(
    caller: &Caller,
    dead: SocketAddr,
    alive: &[SocketAddr],
    entry: &mut Vec<SocketAddr>,
    killed_at: Instant,
    cost: &mut KillCost,
) -> bool {
    cost.calls += 1;
    let mut answered = false;
    for host in entry.iter() {
        if *host == dead {
            cost.last_attempt_at_dead_ms = elapsed_ms(killed_at);
        }
        let outcome = smol::block_on(caller.chat(*host, MODEL, "case", Some(5_000)));
        if outcome.is_success() {
            answered = true;
            break;
        }
    }
    cost.failed_calls += u64::from(!answered);
    let answers: Vec<Vec<SocketAddr>> = alive
        .iter()
        .map(|host| entry_hosts(caller, *host))
        .collect();
    let names_dead = answers
        .iter()
        .any(|hosts| hosts.contains(&dead) || hosts.is_empty());
    if let Some(hosts) = answers.into_iter().find(|hosts| !hosts.is_empty()) {
        *entry = hosts;
    }
    !names_dead
}

fn entry_hosts(caller: &Caller, host: SocketAddr) -> Vec<SocketAddr> {
    let Outcome::Answered { text, .. } = smol::block_on(caller.entry(host, MODEL)) else {
        return Vec::new();
    };
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let hosts = answer["hosts"].as_array().cloned().unwrap_or_default();
    hosts
        .iter()
        .filter_map(|host| host.as_str()?.parse().ok())
        .collect()
}

/// What was refused during an outage of the log, and from when on.
#[derive(Clone, Debug, Serialize)]
pub struct OutageCost {
    /// How long the log was out.
    pub outage_ms: u64,
    /// Warm chat requests sent, and refused.
    pub warm: Refusals,
    /// Requests for models without a copy.
    pub cold: Refusals,
    /// Calls with an operation key.
    pub once: Refusals,
    /// From the end of the outage until a cold request is answered.
    pub cold_again_after_ms: u64,
}

/// How many of a kind of call were refused.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Refusals {
    /// Calls sent.
    pub sent: u64,
    /// Calls refused.
    pub refused: u64,
    /// From the start of the outage to the first refusal.
    pub first_refused_ms: Option<u64>,
    /// The longest time that a refusal took.
    pub slowest_refusal_ms: u64,
    /// The kind of error of the last refusal.
    pub kind: Option<String>,
}

impl Refusals {
    fn note(&mut self, started_at: Instant, outcome: &Outcome) {
        self.sent += 1;
        if outcome.is_success() {
            return;
        }
        self.refused += 1;
        self.first_refused_ms.get_or_insert(elapsed_ms(started_at));
        self.kind = Some(outcome.refusal_kind().unwrap_or("no refusal").to_string());
        if let Outcome::Refused { total_ms, .. } = outcome {
            self.slowest_refusal_ms = self.slowest_refusal_ms.max(*total_ms);
        }
    }
}

/// Takes the log out for a while under warm, cold and once-only calls.
pub fn measure_outage(span: Duration) -> OutageCost {
    let site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .service("booking-1", &[])
        .hosts(4)
        .start();
    site.put_model(MODEL, 1_000, &[BRAND]);
    site.put_model("cold", 1_000, &[BRAND]);
    site.put_service(SERVICE, &["booking-1"], &[BRAND]);
    let caller = site.caller(BRAND);
    let host = site.hosts[0].caller;
    wait_for("a warm model", || {
        smol::block_on(caller.chat(host, MODEL, "warm", None)).is_success()
    });
    site.log.faults(&json!({ "outage": true }));
    let started_at = Instant::now();
    let mut cost = OutageCost {
        outage_ms: 0,
        warm: Refusals::default(),
        cold: Refusals::default(),
        once: Refusals::default(),
        cold_again_after_ms: 0,
    };
    let mut number = 0;
    while started_at.elapsed() < span {
        number += 1;
        let warm = smol::block_on(caller.chat(host, MODEL, "case", Some(3_000)));
        cost.warm.note(started_at, &warm);
        let cold = smol::block_on(caller.chat(host, "cold", "case", Some(3_000)));
        cost.cold.note(started_at, &cold);
        let once = smol::block_on(book(&caller, host, number));
        cost.once.note(started_at, &once);
        std::thread::sleep(PAUSE);
    }
    site.log.faults(&json!({}));
    cost.outage_ms = elapsed_ms(started_at);
    let ended_at = Instant::now();
    wait_for("a cold request to be answered", || {
        smol::block_on(caller.chat(host, "cold", "case", None)).is_success()
    });
    cost.cold_again_after_ms = elapsed_ms(ended_at);
    cost
}

async fn book(caller: &Caller, host: SocketAddr, number: u64) -> Outcome {
    let key = format!("booking-{number}");
    let call = ServiceCall {
        service: SERVICE,
        method: Method::Post,
        path: "/book",
        body: "{}",
        idempotency_key: Some(&key),
        deadline_ms: Some(3_000),
    };
    caller.service(host, &call).await
}

/// What a new daemon in a large site takes.
#[derive(Clone, Debug, Serialize)]
pub struct NewHostCost {
    /// Models in the table.
    pub models: usize,
    /// From its start until it serves.
    pub serving_after_ms: u64,
    /// Resident memory of a daemon that was there before.
    pub old_resident_bytes: u64,
    /// Resident memory of the new daemon.
    pub new_resident_bytes: u64,
    /// The mean time of one edit of the filling to be in force.
    pub edit_in_force_ms: u64,
}

/// Fills the table and adds a daemon.
pub fn measure_new_host(models: usize) -> NewHostCost {
    let mut site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .hosts(3)
        .start();
    let started_at = Instant::now();
    let edits = crate::idle::put_models(&site, models);
    let edit_in_force_ms = elapsed_ms(started_at) / edits.max(1);
    let started_at = Instant::now();
    let index = site.add_host();
    site.wait_serving();
    let serving_after_ms = elapsed_ms(started_at);
    NewHostCost {
        models,
        serving_after_ms,
        old_resident_bytes: resident_bytes(site.hosts[0].process.id()),
        new_resident_bytes: resident_bytes(site.hosts[index].process.id()),
        edit_in_force_ms,
    }
}

fn elapsed_ms(started_at: Instant) -> u64 {
    started_at.elapsed().as_millis() as u64
}
