//! Choice of the parent when relays are down or have no current state of the orderer.

use crate::group::parents::{Parent, ParentSelector};
use crate::group::{Member, RelayTree};
use crate::prelude::*;
use crate::test_support::member;

const NOW: Millis = Millis(100_000);
const FRESH: Option<Millis> = Some(Millis(200));

struct Site {
    tree: RelayTree,
    me: Member,
    parents: ParentSelector,
}

impl Site {
    /// Makes 64 hosts of one data centre, of which at least three relay for the last one.
    fn new() -> Self {
        let hosts: Vec<Member> = (1..=64).map(|n| member(n, "here", 100)).collect();
        let tree = RelayTree::new(hosts.iter());
        let me = hosts[63].clone();
        assert!(tree.relays_of(&me).len() >= 3);
        Self {
            tree,
            me,
            parents: ParentSelector::default(),
        }
    }

    fn choose(&self, now: Millis) -> Parent {
        self.parents.choose(now, &self.tree, &self.me)
    }

    fn relay(&self, nth: usize) -> Member {
        self.tree.relays_of(&self.me)[nth].clone()
    }
}

#[test]
fn a_host_syncs_with_its_next_relay_when_one_fails_and_with_the_orderer_when_two_fail() {
    let mut site = Site::new();
    let (first, second) = (site.relay(0), site.relay(1));
    assert_eq!(site.choose(NOW), Parent::Relay(first.clone()));
    site.parents.note_failed(NOW, &first);
    assert_eq!(site.choose(NOW), Parent::Relay(second.clone()));
    site.parents.note_failed(NOW, &second);
    assert_eq!(site.choose(NOW), Parent::Orderer);
    assert_eq!(site.choose(NOW + Millis(3_000)), Parent::Relay(first));
}

#[test]
fn a_host_prefers_a_relay_with_current_state_of_the_orderer() {
    let mut site = Site::new();
    let (first, second) = (site.relay(0), site.relay(1));
    site.parents.note_answered(NOW, &first, Some(Millis(5_000)));
    assert_eq!(site.choose(NOW), Parent::Relay(second.clone()));
    site.parents.note_answered(NOW, &second, FRESH);
    assert_eq!(site.choose(NOW), Parent::Relay(second));
}

/// Guards against hundreds of hosts that all try to connect to an orderer that is down.
#[test]
fn without_an_orderer_a_host_stays_with_its_relays() {
    let mut site = Site::new();
    let (first, second) = (site.relay(0), site.relay(1));
    site.parents.note_answered(NOW, &first, None);
    site.parents.note_answered(NOW, &second, None);
    assert_eq!(site.choose(NOW), Parent::Relay(first));
    assert!(site.parents.answered_recently(NOW + Millis(1_000)));
    assert!(!site.parents.answered_recently(NOW + Millis(1_300)));
}
