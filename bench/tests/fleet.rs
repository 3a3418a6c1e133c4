//! What must not grow with the fleet, or not as fast, at sizes that are measured in a moment.

use mangovale_bench::fleet::{Measured, Size, exponent, measure, measure_restoring};
use std::sync::OnceLock;

const SMALL: usize = 60;
const LARGE: usize = 480;
const SEED: u64 = 1;

/// Both sizes, measured once for all tests.
fn sites() -> &'static (Measured, Measured) {
    static SITES: OnceLock<(Measured, Measured)> = OnceLock::new();
    let at = |hosts| measure(Size::of_hosts(hosts), SEED);
    SITES.get_or_init(|| (at(SMALL), at(LARGE)))
}

fn growth(sites: &(Measured, Measured), figure: impl Fn(&Measured) -> f64) -> f64 {
    exponent((SMALL, figure(&sites.0)), (LARGE, figure(&sites.1)))
}

/// Guards against reads of the whole list that grow with the hosts.
#[test]
fn few_hosts_read_the_list_from_the_store() {
    let sites = sites();
    let readers = growth(sites, |site| site.start.store_readers as f64);
    assert!(
        readers < 0.7,
        "grows with the hosts to the power of {readers}"
    );
    assert!(sites.1.start.longest_message_bytes < 250_000);
}

/// Guards against reads of each desired state that grow with the hosts.
#[test]
fn a_desired_state_is_read_by_relays_and_reaches_all_hosts_in_time() {
    let sites = sites();
    let readers = growth(sites, |site| site.desired.store_readers as f64);
    assert!(
        readers < 0.7,
        "grows with the hosts to the power of {readers}"
    );
    assert!(sites.1.desired.known_ms.0 <= 2_000);
}

/// Guards against hosts that fall behind, and all read the store, while upstreams write their first entries.
#[test]
fn a_list_that_is_being_written_passes_through_relays_alone() {
    let (small, large) = sites();
    for site in [small, large] {
        assert_eq!(site.filling.store_reads, 0);
        assert_eq!(site.filling.whole_lists, 0);
        assert_eq!(site.filling.beyond_after_loss, 0);
        assert!(site.filling.last_row_ms.0 <= 1_500);
    }
}

/// Guards against a new orderer that tells every host of every engine.
#[test]
fn hosts_are_told_of_engines_that_were_ordered_to_change_only() {
    let (_, large) = sites();
    let changed = large.size.engines / 100;
    assert!(large.exchange.engines_bytes < changed * 100);
}

/// Guards against messages that grow with the site at one host.
#[test]
fn messages_at_the_orderer_and_at_relays_stay_as_many() {
    let sites = sites();
    let (_, large) = sites;
    assert!(large.exchange.orderer_messages_per_s <= 100.0);
    assert!(large.exchange.relay_messages_per_s <= 150.0);
    let bytes = growth(sites, |site| site.exchange.orderer_bytes_per_s);
    assert!(bytes < 0.6, "grows with the hosts to the power of {bytes}");
}

#[test]
fn news_reach_all_hosts_within_two_intervals_of_the_tree() {
    let (small, large) = sites();
    assert!(small.exchange.news_ms.0 <= 600);
    assert!(large.exchange.news_ms.0 <= 1_100);
    assert!(large.exchange.news_after_loss_ms.0 <= 1_800);
}

/// Guards against plans that count or weigh all engines.
#[test]
fn a_plan_looks_at_no_engine_for_nothing_and_at_some_hundred_for_an_order() {
    let (small, large) = sites();
    assert_eq!((small.plan.idle_looks, large.plan.idle_looks), (0, 0));
    assert!(
        large.plan.orders > 0,
        "it plans something when models are lost"
    );
    assert!(large.plan.order_looks <= 600.0);
}

/// Guards against records of streams that grow with the hosts, sent, kept or in connections.
#[test]
fn records_of_streams_grow_no_faster_than_the_square_root_of_the_hosts() {
    let sites = sites();
    let figures: [fn(&Measured) -> f64; 3] = [
        |site| site.streams.sent_per_s,
        |site| site.streams.kept_per_s,
        |site| site.streams.keeping_hosts as f64,
    ];
    for (n, figure) in figures.into_iter().enumerate() {
        // The number of hosts that keep records is rounded up.
        let grows = (growth(sites, figure) * 100.0).round() / 100.0;
        assert!(grows <= 0.5, "figure {n}: to the power of {grows}");
    }
}

/// Guards against hosts that all read the store when it was restored from a copy, and against a change
/// at its return that is not in force in time.
#[test]
fn restored_tables_reach_all_hosts_in_time_without_a_read_by_each() {
    for hosts in [9, 68, 985] {
        let built = measure_restoring(Size::of_hosts(hosts), 7).over_relays;
        assert!(built.in_force_ms.0 <= 2_000, "{hosts} hosts: {built:?}");
        assert!(built.calls <= 2_000, "{hosts} hosts: {built:?}");
    }
}
