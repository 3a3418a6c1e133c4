//! How often hosts that start read the group.

use crate::entry::members::alone_read_ms;
use crate::prelude::*;

/// Guards against a group that hundreds of hosts which start read each half second, each the names of all.
#[test]
fn a_large_group_is_read_less_often_by_hosts_that_start() {
    let paces = [1, 100, 101, 300, 985, 2_000].map(alone_read_ms);
    let expected = [500, 500, 1_000, 1_500, 1_800, 1_800].map(Millis);
    assert_eq!(paces, expected);
}
