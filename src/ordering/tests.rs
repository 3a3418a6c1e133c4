//! The lease, the ledger, the ceiling and the plan, without network.

mod ceiling;
mod fake_engine;
mod lease;
mod ledger;
mod planner;
mod view;

/// Runs a property on inputs made from fixed seeds, and returns what it returned.
fn seeded<T>(
    runs: u64,
    property: impl Fn(&mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<T>,
) -> Vec<T> {
    let run = |seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = (0..16_384).map(|_| random.u8(..)).collect();
        property(&mut arbtest::arbitrary::Unstructured::new(&bytes))
            .expect("there are enough bytes")
    };
    (0..runs).map(run).collect()
}
