//! A short storm: faults of every kind with load and edits, checked.

use mangovale_bench::storm;
use std::time::Duration;

const SEED: u64 = 1;
const SPAN: Duration = Duration::from_secs(10);

#[test]
fn nothing_that_must_hold_is_broken_in_a_short_storm() {
    let (report, _) = storm::run(SEED, SPAN);
    assert_eq!(report.violations, [], "seed {SEED}: {report:?}");
    assert!(report.good > 0, "{report:?}");
}
