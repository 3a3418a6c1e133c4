//! Engines that work at different speeds.

use super::*;

fn set_slowness(site: &mut Site, slowness: &[(usize, f64)]) {
    let slowness = slowness.iter();
    site.inventory
        .set_slowness(slowness.map(|(n, slowness)| (format!("e{n}").into(), *slowness)));
}

/// Returns how many copies of a model with this demand there are in the end.
fn copies_with(slowness: &[(usize, f64)], requests: u32) -> usize {
    let mut site = Site::new(
        spec(40_000.0, &[34_000.0]),
        &[&["m0"], &["m0"], &[], &[], &[], &[]],
    );
    set_slowness(&mut site, slowness);
    site.request(1, NOW, &[(model("m0"), waiting(requests))]);
    2 + site.plan_all().len()
}

/// Guards against further copies of a busy model on slow engines, which displace rare models.
#[test]
fn number_of_copies_does_not_follow_the_speed_of_engines() {
    assert_eq!(copies_with(&[], 100), 2, "two copies are enough");
    assert_eq!(copies_with(&[(0, 2.0), (1, 2.0)], 100), 2);
    assert_eq!(copies_with(&[(0, 0.5), (1, 0.5)], 100), 2);
}

/// Guards against new copies of models in demand on slow engines while fast ones are as free.
#[test]
fn models_in_demand_are_loaded_on_fast_engines() {
    let slowness = [(0, 1.2), (1, 1.2), (2, 0.5), (3, 1.2)];
    let mut site = Site::new(spec(40_000.0, &[34_000.0]), &[&[], &[], &[], &[]]);
    set_slowness(&mut site, &slowness);
    site.request(1, NOW, &[(model("m0"), waiting(1))]);
    let order = site.next(NOW).expect("a load");
    assert_eq!((&*order.engine, order.action), ("e2", Action::Load));
}
