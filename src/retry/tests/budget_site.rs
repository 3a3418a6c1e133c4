//! The retry budgets of all hosts of a site together, over restarts, memberships that lapse, and
//! traffic that jumps.

use crate::group::{Member, Members};
use crate::prelude::*;
use crate::retry::{BudgetRule, RetryBudget};
use crate::test_support::{generation, member, run_seeded};
use arbtest::arbitrary::{Result, Unstructured};

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 54.0,
    window_ms: Millis(10_000),
};
/// How long the list of hosts names a process after its last renewal.
const LAPSE_MS: Millis = Millis(2_200);

/// The process of one host.
struct Process {
    me: Member,
    budget: RetryBudget,
    members: Members,
}

/// The hosts, and the list of them in the store.
struct Site {
    now: Millis,
    processes: Vec<Process>,
    /// The listed processes, with the time at which they lapse.
    listed: IndexMap<Member, Millis>,
    generation: u64,
    requests: Vec<Millis>,
    retries: Vec<Millis>,
}

impl Site {
    fn new(hosts: usize) -> Self {
        let now = Millis(1_000_000);
        let mut site = Self {
            now,
            processes: (0..hosts).map(|host| process(host, 0)).collect(),
            listed: IndexMap::new(),
            generation: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        (0..hosts).for_each(|host| site.renew(host));
        (0..hosts).for_each(|host| site.read(host));
        site
    }

    fn renew(&mut self, host: usize) {
        let me = self.processes[host].me.clone();
        self.listed.insert(me, self.now + LAPSE_MS);
    }

    /// The host reads the list, in which lapsed processes are missing.
    fn read(&mut self, host: usize) {
        let now = self.now;
        self.listed.retain(|_, lapses_at| *lapses_at > now);
        self.generation += 1;
        let list = self.listed.keys().cloned().collect();
        let members = &mut self.processes[host].members;
        members.note_contact(now);
        members.replace(now, generation(self.generation), list);
    }

    fn restart(&mut self, host: usize) {
        let starts = (self.processes[host].me.incarnation >> 32) + 1;
        self.processes[host] = process(host, starts);
    }

    fn request(&mut self, host: usize) {
        self.processes[host].budget.note_request(self.now);
        self.requests.push(self.now);
    }

    /// The host tries to repeat a request. Returns whether it may.
    fn retry(&mut self, host: usize) -> bool {
        let process = &mut self.processes[host];
        let share = process.members.slack_share(self.now);
        let is_allowed = process.budget.try_take(self.now, share);
        if is_allowed {
            self.retries.push(self.now);
        }
        is_allowed
    }

    fn requests_in(&self, from: Millis, to: Millis) -> usize {
        let before = self.requests.partition_point(|at| *at < from);
        self.requests.partition_point(|at| *at <= to) - before
    }

    /// Checks the rule in the window that ends at each retry. Its requests are those of the window, of
    /// the one before it, or of the one half a window before it, whichever has most.
    fn check(&self) {
        let window_ms = RULE.window_ms;
        for (nth, end) in self.retries.iter().enumerate() {
            let start = *end - window_ms;
            let first = self.retries.partition_point(|at| *at < start);
            let retried = (nth + 1 - first) as f64;
            let shifts = [0, window_ms.0 / 2, window_ms.0].map(Millis);
            let requested = shifts.map(|shift| self.requests_in(start - shift, *end - shift));
            let requested = requested.into_iter().max().unwrap_or(0) as f64;
            let allowed = RULE.ratio * requested + RULE.slack;
            assert!(
                retried <= allowed,
                "{retried} of {allowed} retries, {requested} requests, {} hosts",
                self.processes.len()
            );
        }
    }
}

fn process(host: usize, starts: u64) -> Process {
    let incarnation = starts << 32 | host as u64;
    Process {
        me: Member {
            caller_address: ([10, 0, (host >> 8) as u8, host as u8], 80).into(),
            ..member(incarnation, "here", 120)
        },
        budget: RetryBudget::new(RULE, 0.5),
        members: Members::default(),
    }
}

/// Runs a site in which hosts try to repeat as often as they may. Returns how many repeats there
/// were.
fn drive(u: &mut Unstructured<'_>, hosts: usize) -> Result<usize> {
    let mut site = Site::new(hosts);
    let (mut requests_each, mut store_is_away_until) = (1, Millis::ZERO);
    for _ in 0..300 {
        site.now += Millis(u.int_in_range(20..=200)?);
        match u.int_in_range(0..=40u8)? {
            0 => requests_each = *u.choose(&[0, 0, 1, 6])?,
            1 => (0..hosts).for_each(|host| site.restart(host)),
            2 => site.restart(u.choose_index(hosts)?),
            // All memberships lapse while the store is away.
            3 => store_is_away_until = site.now + LAPSE_MS,
            _ => {}
        }
        let store_answers = site.now >= store_is_away_until;
        for host in 0..hosts {
            if store_answers && u.ratio(1, 8)? {
                site.renew(host);
                site.read(host);
            }
            (0..requests_each).for_each(|_| site.request(host));
        }
        let is_greedy = u.ratio(1, 3)?;
        for host in (0..hosts).filter(|_| is_greedy) {
            while site.retry(host) {}
        }
    }
    site.check();
    Ok(site.retries.len())
}

/// Guards against shares of the slack that add up to more than all of it, since hosts take too few
/// others into account after memberships lapsed or right after their start, and against repeats that
/// are allowed for requests of an earlier window.
#[test]
fn all_hosts_together_stay_within_the_rule_over_restarts_lapses_and_jumps_of_traffic() {
    for (hosts, runs) in [(2, 60), (9, 30), (68, 6)] {
        let retries = run_seeded(runs, |u| drive(u, hosts));
        assert!(retries.iter().sum::<usize>() > 1_000);
    }
}
