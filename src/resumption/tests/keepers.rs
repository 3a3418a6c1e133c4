use crate::group::Member;
use crate::resumption::keepers::{KEEPERS, keeping_hosts};
use crate::resumption::{StreamKey, keepers};
use crate::test_support::member;

fn members(count: u64) -> Vec<Member> {
    (1..=count).map(|n| member(n * 7_919, "here", 0)).collect()
}

fn incarnations(members: &[Member], key: StreamKey) -> Vec<u64> {
    let kept = keepers(members.iter(), key);
    kept.map(|member| member.incarnation).collect()
}

#[test]
fn every_host_derives_the_same_keepers_whatever_the_order_of_its_list() {
    let mut hosts = members(30);
    let keys: Vec<StreamKey> = (0..50).map(|n| StreamKey::of(&format!("r{n}"))).collect();
    let before: Vec<Vec<u64>> = keys.iter().map(|key| incarnations(&hosts, *key)).collect();
    assert!(before.iter().all(|kept| kept.len() == KEEPERS));
    hosts.reverse();
    let after: Vec<Vec<u64>> = keys.iter().map(|key| incarnations(&hosts, *key)).collect();
    assert_eq!(before, after);
}

// Guards against records that nobody finds after a host has joined or left.
#[test]
fn two_of_three_keepers_stay_when_one_host_leaves() {
    for count in [4, 9, 100, 985] {
        let hosts = members(count);
        for n in 0..50 {
            let key = StreamKey::of(&format!("r{n}"));
            let before = incarnations(&hosts, key);
            let without: Vec<Member> = hosts
                .iter()
                .filter(|host| host.incarnation != before[0])
                .cloned()
                .collect();
            let after = incarnations(&without, key);
            let kept = before.iter().filter(|one| after.contains(one)).count();
            assert!(kept >= 2, "{count} hosts: {before:?} {after:?}");
        }
    }
}

// Guards against a host that needs a connection to every other one.
#[test]
fn the_hosts_that_keep_records_grow_as_the_square_root_of_the_group() {
    assert_eq!(keeping_hosts(0), 0);
    assert_eq!(keeping_hosts(2), 2);
    assert_eq!(keeping_hosts(9), 9);
    assert_eq!(keeping_hosts(985), 126);
    assert_eq!(keeping_hosts(2_000), 179);
}
