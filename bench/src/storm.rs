//! Faults of every kind together with load and edits, by seed, and the checks of what came of it.

use crate::arrivals;
use crate::call::{Outcome, finish};
use crate::check::{
    Disturbance, EnginePeaks, RunCounts, Violation, check_answers, check_ends, check_engines,
    check_runs,
};
use crate::experiment::{put_table, start_site};
use crate::faults::{self, Parts, Planned};
use crate::history::HistoryLine;
use crate::load::{DEADLINE_MARGIN_MS, Load, LoadTarget};
use crate::scenario::Scenario;
use crate::site::{Site, put_row_with};
use mangovale::edge::http::{client, with_timeout};
use mangovale::shared_log::record::Offset;
use mangovale::table::Table;
use mangovale::table::message::{Edit, EditAnswer, RowKey};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use trillium_client::Method;

const SCENARIO: &str = include_str!("../scenarios/storm.toml");
const OPERATOR_LIMIT: Duration = Duration::from_secs(3);
const EDIT_INTERVAL: Duration = Duration::from_millis(900);
const POLL: Duration = Duration::from_millis(20);
/// How long hosts may take to serve again, and tables to agree, after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// The row that edits change: its weight grows with each edit.
const EDITED_BRAND: &str = "north";
const EDITED_MODEL: &str = "booking";
const FIRST_WEIGHT: u64 = 1_000;

/// What came of a storm.
#[derive(Clone, Debug, Serialize)]
pub struct StormReport {
    /// Its seed.
    pub seed: u64,
    /// How many requests were made.
    pub requests: usize,
    /// How many of them were answered whole and in time.
    pub good: usize,
    /// How many faults there were.
    pub faults: usize,
    /// How many edits were said to be in force.
    pub edits_in_force: u64,
    /// What must not happen and did.
    pub violations: Vec<Violation>,
}

/// Everything that the checks read.
struct Witness {
    history: Vec<HistoryLine>,
    planned: Vec<Planned>,
    disturbances: Vec<Disturbance>,
    edits: Edits,
}

/// Edits of one row, one after the other.
#[derive(Default)]
struct Edits {
    sent: u64,
    in_force: u64,
    last_in_force: Option<u64>,
}

/// Runs a storm of a length and checks it.
///
/// # Panics
///
/// Panics when the site cannot be started.
pub fn run(seed: u64, span: Duration) -> (StormReport, Vec<HistoryLine>) {
    let mut scenario: Scenario = toml::from_str(SCENARIO).expect("the storm's scenario is valid");
    scenario.span_ms = span.as_millis() as u64;
    let mut site = start_site(&scenario, &scenario.policies[0]);
    put_table(&site, &scenario);
    let witness = rage(&mut site, &scenario, seed);
    let requests = witness.history.len();
    let report = StormReport {
        seed,
        requests,
        good: witness.history.iter().filter(|line| line.is_good()).count(),
        faults: witness.planned.len(),
        edits_in_force: witness.edits.in_force,
        violations: check(&site, &scenario, &witness),
    };
    (report, witness.history)
}

fn rage(site: &mut Site, scenario: &Scenario, seed: u64) -> Witness {
    let parts = Parts {
        hosts: site.hosts.len(),
        engines: site.engines.len(),
        services: site.services.len(),
    };
    let planned = faults::draw(seed, scenario.span_ms, parts);
    let disturbances = planned
        .iter()
        .filter_map(|planned| planned.disturbance(site))
        .collect();
    let load = Load::new(LoadTarget {
        hosts: site.hosts.iter().map(|host| host.caller).collect(),
        callers: scenario.load.callers,
        run_id: format!("storm-{seed}"),
    });
    let arrivals = arrivals::draw(scenario, seed);
    for fault in &planned {
        eprintln!("{}", serde_json::to_string(fault).unwrap_or_default());
    }
    let operators = Operators::of(site);
    let span = Duration::from_millis(scenario.span_ms);
    let started_at = load.started_at();
    let (history, edits) = scope(|scope| {
        let loading = scope.spawn(|| smol::block_on(load.run(arrivals, true)));
        let editing = scope.spawn(|| smol::block_on(operators.edit_until(started_at + span)));
        carry_out(site, &planned, started_at);
        let history = loading.join().expect("the load ends");
        (history, editing.join().expect("the edits end"))
    });
    Witness {
        history,
        planned,
        disturbances,
        edits,
    }
}

/// Begins and lifts each fault at its time.
fn carry_out(site: &mut Site, planned: &[Planned], started_at: Instant) {
    let mut steps: Vec<(u64, bool, Planned)> = Vec::new();
    for fault in planned {
        steps.push((fault.at_ms, true, *fault));
        steps.push((fault.at_ms + fault.for_ms, false, *fault));
    }
    steps.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
    for (at_ms, begins, planned) in steps {
        let at = started_at + Duration::from_millis(at_ms);
        sleep(at.saturating_duration_since(Instant::now()));
        match begins {
            true => planned.fault.begin(site),
            false => planned.fault.lift(site),
        }
    }
}

fn check(site: &Site, scenario: &Scenario, witness: &Witness) -> Vec<Violation> {
    let requests = witness.history.len() as u64;
    let mut violations = check_ends(
        &witness.history,
        requests,
        DEADLINE_MARGIN_MS,
        &witness.disturbances,
    );
    violations.extend(check_answers(&witness.history));
    let mut counts = RunCounts::default();
    for service in &site.services {
        counts.add(read_as(service.get("/admin/runs")));
    }
    violations.extend(check_runs(&witness.history, &counts));
    let peaks: Vec<EnginePeaks> = site
        .engines
        .iter()
        .map(|engine| read_as(engine.get("/admin/peaks")))
        .collect();
    let targets = scenario.targets();
    let decided: HashMap<String, u64> =
        targets.into_iter().map(|target| (target.name, 1)).collect();
    violations.extend(check_engines(&peaks, &decided));
    violations.extend(check_hosts(site, &witness.edits));
    violations
}

fn read_as<T: DeserializeOwned + Default>(page: Value) -> T {
    serde_json::from_value(page).unwrap_or_default()
}

/// Checks that every host serves again with a table that has the last edit in force.
fn check_hosts(site: &Site, edits: &Edits) -> Vec<Violation> {
    let operators = Operators::of(site);
    let until = Instant::now() + RECOVERY_LIMIT;
    let hosts = site.hosts.iter().enumerate();
    hosts
        .filter_map(|(index, host)| {
            if !waited_until(until, || host.is_serving()) {
                let host = host.name.clone();
                return Some(Violation::NotServing { host });
            }
            let in_force = edits.last_in_force?;
            let mut found = 0;
            let has_edit = waited_until(until, || {
                found = smol::block_on(operators.weight(index)).unwrap_or(found);
                found >= in_force
            });
            (!has_edit).then(|| Violation::EditLost {
                host: host.name.clone(),
                in_force,
                found,
            })
        })
        .collect()
}

fn waited_until(until: Instant, mut condition: impl FnMut() -> bool) -> bool {
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(POLL);
    }
}

/// The operators' side of every host.
struct Operators {
    urls: Vec<String>,
    token: String,
}

impl Operators {
    fn of(site: &Site) -> Self {
        let hosts = site.hosts.iter();
        Self {
            urls: hosts
                .map(|host| format!("http://{}", host.operator))
                .collect(),
            token: site.token().to_string(),
        }
    }

    /// Edits one row again and again at one host after another.
    async fn edit_until(&self, until: Instant) -> Edits {
        let mut edits = Edits::default();
        while Instant::now() < until {
            edits.sent += 1;
            let host = edits.sent as usize % self.urls.len();
            let weight = FIRST_WEIGHT + edits.sent;
            if self.edit(host, edits.sent, weight).await.is_some() {
                edits.in_force += 1;
                edits.last_in_force = Some(weight);
            }
            smol::Timer::after(EDIT_INTERVAL).await;
        }
        edits
    }

    /// Returns something when the edit is said to be in force.
    async fn edit(&self, host: usize, number: u64, weight: u64) -> Option<()> {
        let table = self.call(host, Method::Get, "/table", None).await?;
        let values = json!({ "weight": weight });
        let edit = Edit {
            edit_id: format!("storm-{number}").into(),
            operator: "storm".into(),
            base_version: Offset(table["version"].as_u64()?),
            changes: vec![put_row_with(EDITED_BRAND, EDITED_MODEL, values)],
        };
        let body = serde_json::to_string(&edit).ok()?;
        let answer = self.call(host, Method::Post, "/table/edits", Some(body));
        let answer: EditAnswer = serde_json::from_value(answer.await?).ok()?;
        matches!(answer, EditAnswer::InForce { .. }).then_some(())
    }

    /// Returns the weight of the edited row at a host.
    async fn weight(&self, host: usize) -> Option<u64> {
        let page = self.call(host, Method::Get, "/table", None).await?;
        let table: Table = serde_json::from_value(page).ok()?;
        let key = RowKey {
            brand: EDITED_BRAND.into(),
            model: EDITED_MODEL.into(),
        };
        table.row(&key).map(|row| u64::from(row.weight))
    }

    async fn call(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Option<Value> {
        let url = format!("{}{path}", self.urls[host]);
        let mut conn = client()
            .build_conn(method, url)
            .with_request_header("authorization", format!("Bearer {}", self.token))
            .with_request_header("content-type", "application/json");
        if let Some(body) = body {
            conn = conn.with_body(body);
        }
        match with_timeout(OPERATOR_LIMIT, finish(conn)).await? {
            Outcome::Answered { text, .. } => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }
}
