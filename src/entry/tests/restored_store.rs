//! A host follows the tables of a store that is restored from an older copy: offsets go back and are
//! given out again, and what the operator and the upstreams wrote since is written again.

use super::site::{Site, entry, on_site, route};
use crate::desired::Repeat;
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use std::net::SocketAddr;

fn listed(id: &str) -> UpstreamEntry {
    entry(id, SocketAddr::from(([127, 0, 0, 1], 9)))
}

fn knows(site: &Site, id: &str) -> bool {
    site.host.upstreams.borrow().get(id).is_some()
}

fn is_staying(site: &Site, id: &str) -> bool {
    let upstreams = site.host.upstreams.borrow();
    upstreams
        .get(id)
        .is_some_and(|upstream| !upstream.is_leaving())
}

async fn until_known(site: &Site, id: &str) {
    site.until(|host| host.upstreams.borrow().get(id).is_some())
        .await;
}

/// Guards against a host that waits at an offset of the former timeline.
#[test]
fn desired_state_at_an_offset_that_was_given_out_twice_is_in_force() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.publish_desired(2, vec![route(Repeat::Once)]);
        site.until_version(2).await;
        site.store.restore(1, 0);
        site.publish_desired(3, vec![route(Repeat::Once)]);
        site.until_version(3).await;
    });
}

/// Guards against reading on from the middle of the restored table.
#[test]
fn rows_below_the_end_of_the_former_copy_are_read() {
    on_site(|site| async move {
        for id in ["u1", "u2", "u3"] {
            site.store.write_upstream(id, Some(listed(id)));
        }
        until_known(&site, "u3").await;
        site.store.restore(0, 1);
        for id in ["u4", "u5", "u6"] {
            site.store.write_upstream(id, Some(listed(id)));
        }
        for id in ["u4", "u5", "u6"] {
            until_known(&site, id).await;
        }
    });
}

/// Guards against dropping an upstream that the copy lacks before it can write its entry again.
#[test]
fn upstream_that_the_copy_lacks_is_kept_until_it_can_have_written_again() {
    on_site(|site| async move {
        site.store.write_upstream("u1", Some(listed("u1")));
        site.store.write_upstream("u2", Some(listed("u2")));
        until_known(&site, "u2").await;
        site.store.restore(0, 1);
        site.store.write_upstream("u3", Some(listed("u3")));
        until_known(&site, "u3").await;
        assert!(is_staying(&site, "u2"));
        let expired = site.host.now() + Millis(10_000);
        site.host.upstreams.borrow_mut().expire(expired);
        assert!(!knows(&site, "u2"));
        assert!(knows(&site, "u1"));
    });
}

/// Guards against new requests to an upstream whose statement that it leaves was lost.
#[test]
fn upstream_that_was_leaving_does_not_return_with_an_older_entry() {
    on_site(|site| async move {
        site.store.write_upstream("u1", Some(listed("u1")));
        site.store.write_upstream("u2", Some(listed("u2")));
        until_known(&site, "u2").await;
        let leaving = |id| UpstreamEntry {
            leaving: true,
            ..listed(id)
        };
        site.store.write_upstream("u1", Some(leaving("u1")));
        site.store.write_upstream("u2", Some(leaving("u2")));
        site.store.write_upstream("u2", None);
        site.until(|host| host.upstreams.borrow().get("u2").is_none())
            .await;
        site.store.restore(0, 2);
        site.store.write_upstream("u3", Some(listed("u3")));
        until_known(&site, "u3").await;
        assert!(knows(&site, "u1") && !is_staying(&site, "u1"));
        assert!(!knows(&site, "u2"));
    });
}
