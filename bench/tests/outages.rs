//! What `docs/OPERATORS.md` says of outages and planned stops.

mod common;

use common::{Run, file, tool};
use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Site, api_key};
use serde_json::json;

const EDIT: &str = "operator = \"o\"\n[[changes]]\nchange = \"set_store\"\n\
                    limits = { parallel_loads = 2, loads_per_s = 2 }\n";

/// A site of three hosts, all of which count for majorities, with one warm model.
fn warm_site(links: bool) -> Site {
    let plan = Site::plan().engine(EngineSpec::named("engine-1")).hosts(3);
    let site = if links { plan.links() } else { plan }.start();
    site.put_model("review", 1_000, &["north"]);
    ask(&site, 0).exits_with(0);
    wait_for("every host to count", || {
        let members = site.operator_get(0, "/hosts");
        let hosts = members["hosts"].as_object().expect("the hosts");
        hosts.values().all(|member| member["counted"] == true)
    });
    site
}

/// Sends a request to the warm model through one host.
fn ask(site: &Site, host: usize) -> Run {
    let url = format!("http://{}", site.hosts[host].caller);
    let key = api_key("north");
    let arguments = [
        "send", "--host", &url, "--key", &key, "--model", "review", "hello",
    ];
    tool(site, host, &arguments)
}

fn health(site: &Site, host: usize) -> Run {
    let url = format!("http://{}", site.hosts[host].caller);
    tool(site, host, &["health", "--host", &url])
}

fn edit(site: &Site, host: usize) -> Run {
    let edit = file(site, "edit.toml", EDIT);
    tool(
        site,
        host,
        &["table", "edit", "--edit-id", "the-edit", &edit],
    )
}

#[test]
fn while_the_log_is_down_warm_models_go_on_and_edits_are_refused() {
    let site = warm_site(false);
    site.log.faults(&json!({ "outage": true }));
    wait_for("a lost log", || {
        let logs = site.hosts.iter().map(|host| host.process.log());
        logs.into_iter().all(|log| log.contains("E200 LogLost"))
    });
    let age = || site.operator_get(0, "/dump")["now_ms"].as_u64();
    let lost_at = age();
    // Longer than the freshness bound, so that serving rests on the majority alone.
    wait_for("the freshness bound to pass", || {
        age() > lost_at.map(|at| at + 2_500)
    });
    health(&site, 0).exits_with(0);
    ask(&site, 0).exits_with(0);
    edit(&site, 0)
        .exits_with(8)
        .says("refused (log_unavailable)");
    site.log.faults(&json!({}));
    wait_for("the edit to be taken", || edit(&site, 0).code == 0);
}

#[test]
fn an_edit_whose_append_hangs_is_pending_and_takes_effect_once() {
    let site = warm_site(false);
    site.log.faults(&json!({ "freeze": true }));
    edit(&site, 0)
        .exits_with(6)
        .says("refused (edit_pending)")
        .says("next: repeat the command with --edit-id the-edit");
    site.log.faults(&json!({}));
    wait_for("the edit to be in force", || edit(&site, 0).code == 0);
    let history = tool(&site, 0, &["table", "history"]).exits_with(0).out;
    assert_eq!(history.matches("the-edit").count(), 1, "{history}");
}

#[test]
fn while_the_host_list_is_down_hosts_keep_the_last_one() {
    let site = warm_site(false);
    site.host_list.faults(&json!({ "outage": true }));
    ask(&site, 1).exits_with(0);
    edit(&site, 1).exits_with(0);
}

#[test]
fn a_host_that_is_cut_off_refuses_new_work_until_it_is_back() {
    let site = warm_site(true);
    site.hosts[0].log_link.as_ref().expect("a link").cut();
    for host in &site.hosts {
        host.peer_link.as_ref().expect("a link").cut();
    }
    wait_for("the host to be cut off", || health(&site, 0).code == 7);
    ask(&site, 0).says("refused (cut_off)");
    site.hosts[0].log_link.as_ref().expect("a link").mend();
    for host in &site.hosts {
        host.peer_link.as_ref().expect("a link").mend();
    }
    wait_for("the host to serve", || health(&site, 0).code == 0);
    ask(&site, 0).exits_with(0);
}

#[test]
fn a_planned_stop_leaves_the_hosts_and_exits_with_0() {
    let mut site = warm_site(false);
    let process = &mut site.host(2).process;
    process.terminate();
    process.terminate();
    let status = process.wait();
    assert_eq!(status.code(), Some(0), "{}", process.log());
    let log = process.log();
    assert!(
        log.contains("E102 StopBegan") && log.contains("E103 Stopped"),
        "{log}"
    );
    wait_for("the others to know", || {
        let hosts = tool(&site, 0, &["hosts"]).exits_with(0).out;
        !hosts
            .lines()
            .any(|line| line.contains("entry-3") && line.contains("present"))
    });
}
