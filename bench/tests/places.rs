//! Rows that name data centres are served there and nowhere else.

use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Site, put_brand, put_model, put_row_with};
use serde_json::json;

const MODEL: &str = "review";

fn engine(name: &str, data_centre: &str, memory_bytes: u64) -> EngineSpec {
    EngineSpec {
        data_centre: data_centre.to_string(),
        memory_bytes,
        ..EngineSpec::named(name)
    }
}

fn loads(site: &Site, engine: usize) -> u64 {
    let peaks = site.engines[engine].get("/admin/peaks");
    peaks["loads_started"].as_u64().unwrap_or(0)
}

fn row(data_centres: &[&str]) -> mangovale::table::message::Change {
    put_row_with("north", MODEL, json!({ "data_centres": data_centres }))
}

/// The engine elsewhere has more memory, and would be taken.
fn site() -> Site {
    let site = Site::plan()
        .engine(engine("engine-otaru", "otaru", 50_000))
        .engine(engine("engine-chitose", "chitose", 10_000))
        .start();
    site.edit(vec![
        put_brand("north"),
        put_model(MODEL, 1_000),
        row(&["chitose"]),
    ]);
    site
}

#[test]
fn a_model_is_loaded_only_where_its_row_allows() {
    let site = site();
    let caller = site.caller("north");
    let answer = smol::block_on(caller.chat(site.hosts[0].caller, MODEL, "a case", None));
    assert!(answer.is_success(), "{answer:?}");
    assert_eq!((loads(&site, 0), loads(&site, 1)), (0, 1));
}

#[test]
fn a_copy_moves_when_its_row_names_another_data_centre() {
    let site = site();
    let caller = site.caller("north");
    let chat = || smol::block_on(caller.chat(site.hosts[0].caller, MODEL, "a case", None));
    assert!(chat().is_success());
    site.edit(vec![row(&["otaru"])]);
    wait_for("the model to be served from the other data centre", || {
        chat().is_success() && loads(&site, 0) == 1
    });
}

#[test]
fn a_row_that_names_a_data_centre_without_engines_is_refused_at_once() {
    let site = site();
    site.edit(vec![row(&["sapporo-b"])]);
    let caller = site.caller("north");
    let answer = smol::block_on(caller.chat(site.hosts[0].caller, MODEL, "a case", None));
    assert_eq!(answer.refusal_kind(), Some("no_capacity"), "{answer:?}");
    assert_eq!((loads(&site, 0), loads(&site, 1)), (0, 0));
}
