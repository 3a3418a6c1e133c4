//! The list of hosts.

use serde_json::{Value, json};

use crate::support::{Process, wait_until};

fn entry_host(name: &str) -> Value {
    json!({
        "name": name,
        "role": "entry",
        "address": "127.0.0.1:9200",
        "data_centre": "chitose",
        "state": "live",
        "incarnation": 7,
    })
}

fn names(hosts: &Process) -> Vec<Value> {
    let list = hosts.get("/hosts").json();
    let entries = list["hosts"].as_array().expect("a list").iter();
    entries.map(|host| host["name"].clone()).collect()
}

#[test]
fn registered_hosts_are_listed_until_removed() {
    let hosts = Process::start("hosts", "");
    assert_eq!(hosts.post("/hosts", &entry_host("entry-1")).status, 200);
    let list = hosts.get("/hosts").json();
    assert_eq!(list, json!({"hosts": [entry_host("entry-1")]}));
    assert_eq!(hosts.caller().delete("/hosts/entry-1").status, 200);
    assert_eq!(hosts.get("/hosts").json(), json!({"hosts": []}));
}

#[test]
fn the_list_lags_what_it_was_told() {
    let hosts = Process::start("hosts", "--lag-ms 600000");
    hosts.post("/hosts", &entry_host("entry-1"));
    assert!(names(&hosts).is_empty());
}

#[test]
fn the_list_shows_a_host_after_its_lag() {
    let hosts = Process::start("hosts", "--lag-ms 100");
    hosts.post("/hosts", &entry_host("entry-1"));
    wait_until("the host is listed", || names(&hosts) == ["entry-1"]);
}

#[test]
fn a_host_that_does_not_renew_expires() {
    let hosts = Process::start("hosts", "--expire-ms 200");
    hosts.post("/hosts", &entry_host("entry-1"));
    wait_until("the host is gone", || names(&hosts).is_empty());
}

#[test]
fn the_whole_list_can_be_set_at_once() {
    let hosts = Process::start("hosts", "--lag-ms 60000 --expire-ms 1");
    hosts.post("/hosts", &entry_host("entry-1"));
    let list = json!({"hosts": [entry_host("entry-2"), entry_host("entry-3")]});
    assert_eq!(hosts.post("/admin/hosts", &list).status, 200);
    assert_eq!(names(&hosts), ["entry-2", "entry-3"]);
}

#[test]
fn malformed_hosts_are_refused() {
    let hosts = Process::start("hosts", "");
    let mut unknown = entry_host("entry-1");
    unknown["colour"] = json!("red");
    assert_eq!(hosts.post("/hosts", &unknown).status, 400);
    assert_eq!(hosts.post("/hosts", &entry_host("")).status, 400);
    let mut role = entry_host("entry-1");
    role["role"] = json!("other");
    assert_eq!(hosts.post("/hosts", &role).status, 400);
    assert!(names(&hosts).is_empty());
}

#[test]
fn engines_and_services_register_renew_and_remove_themselves() {
    let hosts = Process::start("hosts", "");
    let engine = Process::start_engine(&format!("--slots 4 --hosts {}", hosts.url()));
    let service_args = format!("--name app-1 --data-centre otaru --hosts {}", hosts.url());
    let service = Process::start("service", &service_args);
    wait_until("both are listed", || names(&hosts).len() == 2);

    let list = hosts.get("/hosts").json();
    let entries = list["hosts"].as_array().expect("a list");
    let listed = entries.iter().find(|host| host["name"] == "engine-1");
    let expected = json!({
        "name": "engine-1",
        "role": "engine",
        "address": engine.address,
        "data_centre": "otaru",
        "state": "live",
        "memory_bytes": 1000,
        "slots": 4,
        "checks_fencing": true,
    });
    assert_eq!(listed, Some(&expected));

    service.post("/admin/leaving", &json!({"leaving": true}));
    let is_leaving = || hosts.get("/hosts").body.contains("\"leaving\"");
    wait_until("the service is listed as leaving", is_leaving);
    assert!(service.terminate().success());
    wait_until("the service is gone", || names(&hosts) == ["engine-1"]);
}

#[test]
fn registration_is_repeated_until_the_list_answers() {
    let hosts = Process::start("hosts", "");
    hosts.set_faults(&json!({"outage": true}));
    let _engine = Process::start_engine(&format!("--slots 4 --hosts {}", hosts.url()));
    let refused = || hosts.get("/admin/counters").json()["outage_refusals"].as_u64();
    wait_until("a registration was refused", || refused() > Some(1));
    hosts.set_faults(&json!({}));
    wait_until("the engine is listed", || names(&hosts) == ["engine-1"]);
}
