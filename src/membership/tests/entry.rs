//! Entry answers name the hosts that answer probes.

use crate::membership::entry::entry_answer;
use crate::membership::members::Members;
use crate::membership::probes::Probes;
use crate::membership::tests::probes::probe;
use crate::prelude::*;
use crate::shared_log::tests::fake_log::host_entry;

const ME: Incarnation = Incarnation(1);
const SILENT: Incarnation = Incarnation(2);
const HOSTS: u64 = 4;
const NOW: Millis = Millis(1_000);

fn members() -> Members {
    let mut members = Members::default();
    for number in 1..=HOSTS {
        let joined = members.join(Offset(number), Incarnation(number), &host_entry(number));
        assert_eq!(joined, Ok(()));
    }
    members
}

fn probes_with_failures(members: &Members, fails: impl Fn(Incarnation) -> bool) -> Probes {
    let mut probes = Probes::new(Millis(250), Millis(5_000), HOSTS as usize);
    let mut fx = Effects::new();
    probes.on_tick(NOW, members, &probe(), &mut fx);
    for (host, _) in members.iter().filter(|(host, _)| **host != ME) {
        if fails(*host) {
            probes.on_failed(*host);
        } else {
            probes.on_answer(NOW, *host, NOW, &probe());
        }
    }
    probes
}

fn address(host: Incarnation) -> Name {
    host_entry(host.0).caller_address.to_string().into()
}

#[test]
fn a_host_that_missed_one_probe_is_left_out_at_once() {
    let members = members();
    let probes = probes_with_failures(&members, |host| host == SILENT);
    let answer = entry_answer("review", ME, true, &members, &probes);
    assert_eq!(answer.hosts.len() as u64, HOSTS - 1);
    assert!(!answer.hosts.contains(&address(SILENT)));
}

#[test]
fn if_no_host_answers_probes_all_are_named() {
    let members = members();
    let probes = probes_with_failures(&members, |_| true);
    let answer = entry_answer("review", ME, false, &members, &probes);
    assert_eq!(answer.hosts.len() as u64, HOSTS - 1);
}
