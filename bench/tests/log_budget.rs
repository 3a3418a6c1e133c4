//! A burst for several cold models at every host keeps within the log's budget.

use mangovale_bench::site::{EngineSpec, Site, put_brand, put_model, put_row};

const MODELS: usize = 8;
/// A load and its outcome for each model, and room for races of every host for each of them.
const MOST_RECORDS: u64 = 200;

#[test]
fn loads_that_wait_for_the_store_do_not_fill_the_log() {
    let site = Site::plan()
        .store(&["--loads-per-s", "2", "--bytes-per-s", "1000"])
        .engine(EngineSpec::named("engine-1"))
        .hosts(3)
        .start();
    let names: Vec<String> = (0..MODELS).map(|n| format!("model-{n}")).collect();
    let mut changes = vec![put_brand("north")];
    changes.extend(names.iter().map(|name| put_model(name, 1_000)));
    changes.extend(names.iter().map(|name| put_row("north", name)));
    site.edit(changes);
    let end_offset = || {
        let page = site
            .log
            .get("/streams/mangovale/records?from=0&max=1&wait_ms=0");
        page["end_offset"].as_u64().expect("an offset")
    };
    let before = end_offset();
    let caller = site.caller("north");
    smol::block_on(async {
        let calls: Vec<_> = names
            .iter()
            .flat_map(|name| {
                site.hosts
                    .iter()
                    .map(move |host| (host.caller, name.clone()))
            })
            .map(|(host, name)| {
                let caller = caller.clone();
                smol::spawn(async move { caller.chat(host, &name, "cold", Some(30_000)).await })
            })
            .collect();
        for call in calls {
            let outcome = call.await;
            assert!(outcome.is_success(), "{outcome:?}");
        }
    });
    let records = end_offset() - before;
    println!("records={records}");
    assert!(records <= MOST_RECORDS, "{records} records on the log");
}
