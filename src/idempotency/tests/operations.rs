//! Whole operations at several hosts, whatever is cut, frozen or lost: an operation runs at most once,
//! each arrival has one outcome in time, and one that was told "not run" did not run.

use crate::attempt::message::{
    Attempt, AttemptOutcome, Repeatable, RequestHead, RequestId, TargetKind,
};
use crate::daemon::event::Event;
use crate::error::Ran;
use crate::idempotency::message::KeptAnswer;
use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::membership::tests::cluster::{Cluster, STEP_MS};
use crate::prelude::*;
use crate::shared_log::tests::fake_log::check_seeds;
use crate::table::message::{Brand, Change, Edit, EditAnswer, Row, RowKey, Service};
use arbtest::arbitrary::{Result, Unstructured};

const KEY_SHA256: &str = "aa";
const DEADLINE_MS: Millis = Millis(4_000);
/// How long past its deadline an arrival may wait for its outcome.
const MARGIN_MS: Millis = Millis(2_500);

/// A request as its caller sees it.
struct Arrival {
    host: usize,
    operation: usize,
    deadline_at: Millis,
    told: Option<Told>,
    runs: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Answer,
    Refused(Ran),
}

/// An attempt at the edge of a host.
struct Sending {
    host: usize,
    attempt: Attempt,
    checked: bool,
}

/// A cluster with a service whose runs are counted.
struct World {
    cluster: Cluster,
    arrivals: Vec<Arrival>,
    sendings: Vec<Sending>,
    runs: IndexMap<usize, u32>,
}

impl World {
    fn new(hosts: usize) -> Self {
        let mut cluster = Cluster::new(hosts);
        cluster.upstreams.push(service_entry());
        let call = cluster.edit(0, table_edit("{}"));
        cluster.run_until("the table", |cluster| {
            let answer = cluster.edits.get(&call);
            let in_force = matches!(answer, Some(Ok(EditAnswer::InForce { .. })));
            let known = |index: usize| {
                let placement = &cluster.hosts[index].node.shared.placement;
                placement.upstreams.contains_key("service-1")
            };
            in_force && (0..hosts).all(known)
        });
        Self {
            cluster,
            arrivals: Vec::new(),
            sendings: Vec::new(),
            runs: IndexMap::new(),
        }
    }

    fn arrive(&mut self, host: usize, operation: usize) {
        let id = RequestId(self.arrivals.len() as u64);
        self.arrivals.push(Arrival {
            host,
            operation,
            deadline_at: self.cluster.now + DEADLINE_MS,
            told: None,
            runs: 0,
        });
        let head = head(id, operation);
        self.cluster.send(host, Event::RequestArrived { head });
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.cluster.step();
        for (host, effect) in std::mem::take(&mut self.cluster.outputs) {
            match effect {
                Effect::Begin { attempt } => self.sendings.push(Sending {
                    host,
                    attempt,
                    checked: false,
                }),
                Effect::Refuse { request, refusal } => {
                    self.tell(request, Told::Refused(refusal.ran));
                }
                Effect::GiveAnswer { request, .. } => self.tell(request, Told::Answer),
                _ => {}
            }
        }
        self.send_some(u)?;
        self.check_in_time();
        Ok(())
    }

    fn tell(&mut self, request: RequestId, told: Told) {
        let arrival = &mut self.arrivals[request.0 as usize];
        assert_eq!(arrival.told, None, "two outcomes of {request}");
        if told == Told::Refused(Ran::NotRun) {
            assert_eq!(arrival.runs, 0, "{request} ran");
        }
        arrival.told = Some(told);
    }

    /// Lets some attempts go on: first the check of the time, later the bytes, as with a pause between.
    fn send_some(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for mut sending in std::mem::take(&mut self.sendings) {
            let frozen = self.cluster.hosts[sending.host].frozen;
            if frozen || u.ratio(1, 3)? {
                self.sendings.push(sending);
                continue;
            }
            if !sending.checked {
                if self.cluster.now > sending.attempt.begin_by {
                    let outcome = AttemptOutcome::NotRun("paused".into());
                    self.end(&sending, outcome);
                    continue;
                }
                sending.checked = true;
                self.sendings.push(sending);
                continue;
            }
            let outcome = self.run(u, &sending.attempt)?;
            self.end(&sending, outcome);
        }
        Ok(())
    }

    fn run(&mut self, u: &mut Unstructured<'_>, attempt: &Attempt) -> Result<AttemptOutcome> {
        let roll = u.int_in_range(0..=9u8)?;
        if roll < 3 {
            return Ok(AttemptOutcome::NotRun("refused".into()));
        }
        let arrival = &mut self.arrivals[attempt.request.0 as usize];
        arrival.runs += 1;
        let told = arrival.told;
        assert_ne!(
            told,
            Some(Told::Refused(Ran::NotRun)),
            "a run after not run"
        );
        let runs = self.runs.entry(arrival.operation).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "operation {} ran twice", arrival.operation);
        Ok(match roll {
            3 => AttemptOutcome::Unknown("lost".into()),
            _ => AttemptOutcome::OperationAnswered(KeptAnswer {
                status: 200,
                content_type: None,
                body: vec![1].into(),
            }),
        })
    }

    fn end(&mut self, sending: &Sending, outcome: AttemptOutcome) {
        let request = sending.attempt.request;
        if matches!(outcome, AttemptOutcome::OperationAnswered(_)) {
            let arrival = &mut self.arrivals[request.0 as usize];
            // The edge answers from the attempt itself, unless the loop ended the request first.
            arrival.told = arrival.told.or(Some(Told::Answer));
        }
        let event = Event::AttemptEnded {
            request,
            number: sending.attempt.number,
            outcome,
        };
        self.cluster.send(sending.host, event);
    }

    fn check_in_time(&self) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let late = self.cluster.now > arrival.deadline_at + MARGIN_MS;
            let frozen = self.cluster.hosts[arrival.host].frozen;
            if arrival.told.is_none() && late && !frozen {
                let woken = self.cluster.now.since(arrival.deadline_at + MARGIN_MS);
                assert!(woken <= STEP_MS + STEP_MS, "request {index} has no outcome");
            }
        }
    }
}

pub fn service_entry() -> UpstreamEntry {
    UpstreamEntry {
        name: "service-1".into(),
        role: UpstreamRole::Service,
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "otaru".into(),
        memory_bytes: 0,
        slots: 0,
        checks_fencing: false,
        leaving: false,
    }
}

/// An edit that adds a service with one row.
pub fn table_edit(row: &str) -> Edit {
    let row: Row = serde_json::from_str(row).unwrap();
    Edit {
        edit_id: "table".into(),
        operator: "operator".into(),
        base_version: Offset(0),
        changes: vec![
            Change::PutBrand {
                name: "north".into(),
                brand: Brand {
                    key_sha256: vec![KEY_SHA256.repeat(32).into()],
                },
            },
            Change::PutService {
                name: "booking".into(),
                service: Service {
                    upstreams: vec!["service-1".into()],
                },
            },
            Change::PutRow {
                key: RowKey {
                    brand: "north".into(),
                    model: "booking".into(),
                },
                row,
            },
        ],
    }
}

pub fn head(id: RequestId, operation: usize) -> RequestHead {
    RequestHead {
        id,
        key_sha256: KEY_SHA256.repeat(32).into(),
        target: TargetKind::Service,
        name: "booking".into(),
        deadline_ms: Some(DEADLINE_MS),
        repeatable: Repeatable::No,
        idempotency_key: Some(format!("k{operation}").into()),
        request_sha256: "bb".into(),
        streamed: false,
        body_bytes: 1,
        prefix_hashes: Vec::new(),
    }
}

fn disturb(u: &mut Unstructured<'_>, cluster: &mut Cluster) -> Result<()> {
    let host = u.choose_index(cluster.hosts.len())?;
    let other = u.choose_index(cluster.hosts.len())?;
    match u.int_in_range(0..=7u8)? {
        0 => cluster.hosts[host].log_cut = true,
        1 => cluster.hosts[host].log_cut = false,
        2 => cluster.cut_link(host, other, true),
        3 => cluster.cut_link(host, other, false),
        4 => cluster.hosts[host].frozen = true,
        5 | 6 => cluster.hosts[host].frozen = false,
        _ => cluster.cut_host(host, u.arbitrary()?),
    }
    Ok(())
}

#[test]
fn an_operation_runs_at_most_once_and_not_run_is_true() {
    check_seeds(80, 4096, |u| {
        let mut world = World::new(u.int_in_range(2..=4usize)?);
        for operation in 0..12 {
            disturb(u, &mut world.cluster)?;
            for _ in 0..u.int_in_range(1..=4usize)? {
                let host = u.choose_index(world.cluster.hosts.len())?;
                let operation = operation.min(u.int_in_range(operation / 2..=operation)?);
                world.arrive(host, operation);
                for _ in 0..u.int_in_range(0..=20u8)? {
                    world.step(u)?;
                }
            }
            for _ in 0..u.int_in_range(0..=100u8)? {
                world.step(u)?;
            }
        }
        Ok(())
    });
}

#[test]
fn without_faults_every_arrival_gets_the_answer() {
    check_seeds(1, 1024, |u| {
        let mut world = World::new(3);
        for arrival in 0..9 {
            world.arrive(arrival % 3, arrival / 3);
        }
        let steps = DEADLINE_MS.0 / STEP_MS.0;
        for _ in 0..steps {
            world.step(u)?;
        }
        assert!(world.arrivals.iter().all(|arrival| arrival.told.is_some()));
        Ok(())
    });
}
