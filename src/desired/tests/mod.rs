//! Tests of the choice of a route by the longest prefix, and of a service by the targets' weights.

mod urgency;

use super::*;
use crate::test_support;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        targets: targets.iter().map(target).collect(),
        ..test_support::route()
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(DesiredState {
        routes,
        ..DesiredState::default()
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/x/", &[("s", 1)]),
        route("long", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1)]),
    ]);
    let found = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(found("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(found("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn a_route_with_several_targets_splits_requests_by_weight() {
    let split = route("r", "h", "/", &[("big", 90), ("none", 0), ("small", 10)]);
    let counts = (0..1_000).fold([0; 3], |mut counts, n| {
        match split.service(f64::from(n) / 1_000.0).map(|name| &**name) {
            Some("big") => counts[0] += 1,
            Some("small") => counts[2] += 1,
            _ => counts[1] += 1,
        }
        counts
    });
    assert_eq!(counts, [900, 0, 100]);
}
