//! One request from caller to answer over processes.

use mangovale_bench::call::message_digest;
use mangovale_bench::site::{EngineSpec, Site};

#[test]
fn a_cold_then_a_warm_request_is_answered_and_a_killed_host_stops_nothing() {
    let mut site = Site::plan()
        .engine(EngineSpec::named("engine-1"))
        .hosts(3)
        .start();
    site.put_model("review", 1_000, &["north"]);
    let caller = site.caller("north");
    let first = site.hosts[0].caller;
    let second = site.hosts[1].caller;

    let cold = smol::block_on(caller.chat(first, "review", "the first case", None));
    assert!(cold.is_success(), "{cold:?}");

    site.host(0).process.kill();
    let warm = smol::block_on(caller.chat(second, "review", "the second case", None));
    let mangovale_bench::call::Outcome::Answered { digest, .. } = &warm else {
        panic!("{warm:?}");
    };
    assert_eq!(
        digest.as_deref(),
        Some(message_digest("the second case").as_str())
    );
}
