//! No more copies than decided, and no memory given twice, shown over processes.
//!
//! The engines' own peaks are the witness. They enforce no memory here, so that each order too many
//! would show.

use mangovale::table::message::{Change, StoreLimits};
use mangovale_bench::call::Outcome;
use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Plan, Site};
use serde_json::{Value, json};
use smol::Task;

/// Hosts are suspected soon, so that the tests are short.
const SETTINGS: &str = "[timing]\nsuspect_after_ms = 800\nprobe_interval_ms = 100\n";
const DEADLINE_MS: u64 = 30_000;

fn engine(name: &str, checks_fencing: bool) -> EngineSpec {
    EngineSpec {
        checks_fencing,
        slots: 64,
        arguments: vec!["--enforce-memory".to_string(), "false".to_string()],
        ..EngineSpec::named(name)
    }
}

fn plan(hosts: usize) -> Plan {
    Site::plan().hosts(hosts).settings(SETTINGS)
}

/// Sends requests for a model to some hosts, all at once.
fn burst(site: &Site, hosts: &[usize], model: &str, each: usize) -> Vec<Task<Outcome>> {
    let mut calls = Vec::new();
    for host in hosts {
        let address = site.hosts[*host].caller;
        for number in 0..each {
            let caller = site.caller("north");
            let model = model.to_string();
            calls.push(smol::spawn(async move {
                let message = format!("message {number} to {address}");
                caller
                    .chat(address, &model, &message, Some(DEADLINE_MS))
                    .await
            }));
        }
    }
    calls
}

/// Lets the hosts decide loads as fast as they like.
fn fast_store() -> Change {
    let limits = StoreLimits {
        parallel_loads: 100,
        loads_per_s: 100,
    };
    Change::SetStore { limits }
}

fn outcomes(calls: Vec<Task<Outcome>>) -> Vec<Outcome> {
    calls.into_iter().map(smol::block_on).collect()
}

fn assert_answered(outcomes: &[Outcome]) {
    for outcome in outcomes {
        assert!(outcome.is_success(), "{outcome:?}");
    }
}

/// Returns the one copy of a model as a host sees it.
fn copy_of(site: &Site, host: usize, model: &str) -> Option<Value> {
    let placements = site.operator_get(host, "/placements");
    let copies = placements["copies"].as_object()?.clone();
    copies
        .into_iter()
        .map(|(_, copy)| copy)
        .find(|copy| copy["load"]["model"] == model)
}

fn wait_for_executor(site: &Site, witness: usize, model: &str) -> u64 {
    let mut executor = None;
    wait_for("a load to be decided", || {
        executor = copy_of(site, witness, model).and_then(|copy| copy["executor"].as_u64());
        executor.is_some()
    });
    executor.unwrap()
}

/// Returns the index of the host with an incarnation.
fn host_of(site: &Site, witness: usize, incarnation: u64) -> usize {
    let hosts = site.operator_get(witness, "/hosts");
    let name = &hosts["hosts"][incarnation.to_string()]["entry"]["name"];
    let position = site.hosts.iter().position(|host| *name == host.name);
    position.unwrap_or_else(|| panic!("no host {incarnation} in {hosts}"))
}

fn assert_one_load(site: &Site, model: &str) {
    let mut loads = 0;
    for engine in &site.engines {
        let peaks = engine.get("/admin/peaks");
        assert_eq!(peaks["overcommitted"], false, "{peaks}");
        loads += peaks["peak_copies"][format!("{model}@1")]
            .as_u64()
            .unwrap_or(0);
    }
    assert_eq!(loads, 1, "copies of {model}");
}

fn wait_ready(site: &Site, witness: usize, model: &str) {
    wait_for("the copy to be ready", || {
        copy_of(site, witness, model).is_some_and(|copy| copy["state"] == "ready")
    });
}

#[test]
fn a_burst_at_eight_hosts_loads_one_copy() {
    let site = plan(8)
        .engine(engine("checks", true))
        .engine(engine("ignores", false))
        .start();
    site.put_model("review", 4_000, &["north"]);
    site.log
        .faults(&json!({ "lose_answers": 0.3, "seed": 11, "paths": ["/streams"] }));
    let hosts: Vec<usize> = (0..8).collect();
    assert_answered(&outcomes(burst(&site, &hosts, "review", 3)));
    assert_one_load(&site, "review");
}

#[test]
fn memory_is_not_given_twice_to_more_models_than_fit() {
    let site = plan(4).engine(engine("ignores", false)).start();
    let models = ["m-1", "m-2", "m-3", "m-4", "m-5"];
    for model in models {
        site.put_model(model, 4_000, &["north"]);
    }
    site.edit(vec![fast_store()]);
    site.log
        .faults(&json!({ "lose_answers": 0.2, "seed": 5, "paths": ["/streams"] }));
    let mut calls = Vec::new();
    for model in models {
        calls.extend(burst(&site, &[0, 1, 2, 3], model, 1));
    }
    assert_answered(&outcomes(calls));
    let peaks = site.engines[0].get("/admin/peaks");
    assert_eq!(peaks["overcommitted"], false, "{peaks}");
}

#[test]
fn a_request_that_cannot_wait_for_its_model_is_refused_at_once_and_served_when_it_comes_back() {
    let slow = EngineSpec {
        load_ms: 1_500,
        ..engine("engine", true)
    };
    let site = plan(3).engine(slow).start();
    site.put_model("first", 3_000, &["north"]);
    site.put_model("second", 3_000, &["north"]);
    assert_answered(&outcomes(burst(&site, &[0], "first", 1)));
    let caller = site.caller("north");
    let address = site.hosts[0].caller;
    let early = smol::block_on(caller.chat(address, "second", "in a hurry", Some(700)));
    let Outcome::Refused {
        kind,
        ran,
        retry_after_ms,
        total_ms,
        ..
    } = early
    else {
        panic!("{early:?}");
    };
    assert_eq!((&*kind, &*ran), ("cold_start_too_long", "not_run"));
    assert!(total_ms < 500, "refused after {total_ms} ms");
    assert!((1_000..5_000).contains(&retry_after_ms.unwrap()));
    wait_ready(&site, 0, "second");
    let again = smol::block_on(caller.chat(address, "second", "in a hurry", Some(700)));
    assert!(again.is_success(), "{again:?}");
}

#[test]
fn a_copy_that_its_engine_lost_is_loaded_again() {
    let site = plan(3).engine(engine("engine", false)).start();
    site.put_model("review", 4_000, &["north"]);
    assert_answered(&outcomes(burst(&site, &[0], "review", 1)));
    let first = copy_of(&site, 0, "review").unwrap();
    wait_for("the engine's report to reach every host", || {
        (0..3).all(|host| {
            let dump = site.operator_get(host, "/dump").to_string();
            dump.contains("\"was_reported\":true")
        })
    });
    let order = json!({
        "order": 900_000, "fence": 900_000, "action": "unload", "model": "review", "version": "1",
    });
    assert!(site.engines[0].admin_post("/orders", &order).is_success());
    wait_for("the lost copy to be dropped or loaded again", || {
        copy_of(&site, 0, "review").is_none_or(|copy| copy["order"] != first["order"])
    });
    assert_answered(&outcomes(burst(&site, &[0, 1, 2], "review", 1)));
    assert_one_load(&site, "review");
}

/// How an executor fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Killed,
    Frozen,
}

/// The executor fails with its order on the way to the engine; the order arrives after the takeover.
fn fail_between_order_and_outcome(checks_fencing: bool, failure: Failure) {
    let mut site = plan(3).engine(engine("engine", checks_fencing)).start();
    site.put_model("review", 4_000, &["north"]);
    site.engines[0].faults(&json!({ "freeze": true, "paths": ["/orders"] }));
    drop(burst(&site, &[0], "review", 1));
    let waiting = burst(&site, &[1, 2], "review", 2);
    let first = wait_for_executor(&site, 1, "review");
    let failed = host_of(&site, 1, first);
    let witness = (failed + 1) % 3;
    fail(&mut site, failed, failure);
    wait_for("a takeover", || {
        copy_of(&site, witness, "review").is_some_and(|copy| copy["executor"] != first)
    });
    site.engines[0].faults(&json!({}));
    // An ignoring engine's copy waits for the former executor's own word if its order did not arrive.
    if checks_fencing {
        wait_ready(&site, witness, "review");
    }
    if failure == Failure::Frozen {
        site.hosts[failed].process.thaw();
    }
    wait_ready(&site, witness, "review");
    let others: Vec<usize> = (0..3).filter(|host| *host != failed).collect();
    assert_answered(&outcomes(burst(&site, &others, "review", 2)));
    for outcome in outcomes(waiting) {
        let failed_host = matches!(outcome, Outcome::Broken(_) | Outcome::NotConnected);
        assert!(outcome.is_success() || failed_host || outcome.refusal_kind().is_some());
    }
    assert_one_load(&site, "review");
}

/// Executors fail as soon as their record is seen, before or just after they send the order.
fn fail_between_record_and_order(checks_fencing: bool) {
    let mut site = plan(6).engine(engine("engine", checks_fencing)).start();
    for (round, failure) in [Failure::Killed, Failure::Frozen].into_iter().enumerate() {
        let model = format!("review-{round}");
        site.put_model(&model, 4_000, &["north"]);
        let others: Vec<usize> = (1..6)
            .filter(|host| site.hosts[*host].process.is_running())
            .collect();
        let waiting = burst(&site, &others, &model, 1);
        let observer = running(&mut site, usize::MAX);
        let executor = wait_for_executor(&site, observer, &model);
        let failed = host_of(&site, observer, executor);
        let witness = running(&mut site, failed);
        fail(&mut site, failed, failure);
        wait_for("the executor to be replaced or its load to be done", || {
            copy_of(&site, witness, &model)
                .is_some_and(|copy| copy["executor"] != executor || copy["state"] == "ready")
        });
        if failure == Failure::Frozen {
            site.hosts[failed].process.thaw();
        }
        wait_ready(&site, witness, &model);
        assert_answered(&outcomes(burst(&site, &[witness], &model, 1)));
        drop(waiting);
        assert_one_load(&site, &model);
    }
}

/// Returns the first daemon that runs and is not the one that fails.
fn running(site: &mut Site, failed: usize) -> usize {
    let mut indices = 0..site.hosts.len();
    let found = indices.find(|index| *index != failed && site.host(*index).process.is_running());
    found.expect("a daemon that runs")
}

fn fail(site: &mut Site, host: usize, failure: Failure) {
    match failure {
        Failure::Killed => site.hosts[host].process.kill(),
        Failure::Frozen => site.hosts[host].process.freeze(),
    }
}

#[test]
fn an_executor_killed_after_its_order_loads_one_copy_on_a_checking_engine() {
    fail_between_order_and_outcome(true, Failure::Killed);
}

#[test]
fn an_executor_killed_after_its_order_loads_one_copy_on_an_ignoring_engine() {
    fail_between_order_and_outcome(false, Failure::Killed);
}

#[test]
fn an_executor_frozen_after_its_order_loads_one_copy_on_a_checking_engine() {
    fail_between_order_and_outcome(true, Failure::Frozen);
}

#[test]
fn an_executor_frozen_after_its_order_loads_one_copy_on_an_ignoring_engine() {
    fail_between_order_and_outcome(false, Failure::Frozen);
}

#[test]
fn executors_that_fail_at_their_record_load_one_copy_on_a_checking_engine() {
    fail_between_record_and_order(true);
}

#[test]
fn executors_that_fail_at_their_record_load_one_copy_on_an_ignoring_engine() {
    fail_between_record_and_order(false);
}
