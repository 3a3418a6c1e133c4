//! Requests for models without a copy, when no copy can come.

use mangovale_bench::call::Outcome;
use mangovale_bench::process::wait_for;
use mangovale_bench::site::{EngineSpec, Site};
use serde_json::json;

const DEADLINE_MS: u64 = 20_000;
/// Far below the deadline, and far above what a refusal at once takes on a busy machine.
const AT_ONCE_MS: u64 = 5_000;

#[test]
fn without_the_log_a_cold_request_is_refused_at_once_and_a_warm_one_is_answered() {
    let site = Site::plan().engine(EngineSpec::named("engine-1")).start();
    site.put_model("warm", 1_000, &["north"]);
    site.put_model("cold", 1_000, &["north"]);
    let caller = site.caller("north");
    let host = site.hosts[0].caller;
    let chat = |model| smol::block_on(caller.chat(host, model, "a case", Some(DEADLINE_MS)));
    assert!(chat("warm").is_success());

    site.log.faults(&json!({ "outage": true }));
    let mut cold = Outcome::NotConnected;
    wait_for("the host to see the outage", || {
        cold = chat("cold");
        cold.refusal_kind() == Some("log_unavailable")
    });
    let again = chat("cold");
    let Outcome::Refused {
        ran,
        retry_after_ms,
        total_ms,
        ..
    } = &again
    else {
        panic!("{again:?}");
    };
    assert_eq!(ran, "not_run");
    assert!(retry_after_ms.is_some());
    assert!(*total_ms < AT_ONCE_MS, "refused after {total_ms} ms");
    assert!(chat("warm").is_success());

    site.log.faults(&json!({}));
    wait_for("the cold model to be served", || chat("cold").is_success());
}
