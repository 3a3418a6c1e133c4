//! Tests of whole operations at several hosts while links and the log are cut, hosts are frozen and
//! answers are lost.
//!
//! An operation runs at most once, each request gets one outcome in time, and if a caller is told
//! that its request did not run, it did not run and never does.

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
/// How long after its deadline a request may still wait for its outcome.
const OUTCOME_MARGIN_MS: Millis = Millis(2_500);

/// A request as its caller sees it, and how often it ran at the service.
struct CallerRequest {
    host: usize,
    operation: usize,
    deadline_at: Millis,
    outcome: Option<Outcome>,
    runs: u32,
}

/// The outcome that a caller was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answer,
    Refused(Ran),
}

/// An attempt that a host is sending to the service.
struct SendingAttempt {
    host: usize,
    attempt: Attempt,
    /// Whether the attempt passed the check that it may still begin.
    deadline_checked: bool,
}

/// A cluster with one service whose runs are counted by operation.
struct World {
    cluster: Cluster,
    requests: Vec<CallerRequest>,
    attempts: Vec<SendingAttempt>,
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
            requests: Vec::new(),
            attempts: Vec::new(),
            runs: IndexMap::new(),
        }
    }

    fn send_request(&mut self, host: usize, operation: usize) {
        let id = RequestId(self.requests.len() as u64);
        self.requests.push(CallerRequest {
            host,
            operation,
            deadline_at: self.cluster.now + DEADLINE_MS,
            outcome: None,
            runs: 0,
        });
        let head = head(id, operation);
        self.cluster.send(host, Event::RequestArrived { head });
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.cluster.step();
        for (host, effect) in std::mem::take(&mut self.cluster.outputs) {
            match effect {
                Effect::Begin { attempt } => self.attempts.push(SendingAttempt {
                    host,
                    attempt,
                    deadline_checked: false,
                }),
                Effect::Refuse { request, refusal } => {
                    self.set_outcome(request, Outcome::Refused(refusal.ran));
                }
                Effect::GiveAnswer { request, .. } => self.set_outcome(request, Outcome::Answer),
                _ => {}
            }
        }
        self.advance_attempts(u)?;
        self.check_outcomes_in_time();
        Ok(())
    }

    fn set_outcome(&mut self, id: RequestId, outcome: Outcome) {
        let request = &mut self.requests[id.0 as usize];
        assert_eq!(request.outcome, None, "request {id} has two outcomes");
        if outcome == Outcome::Refused(Ran::NotRun) {
            assert_eq!(
                request.runs, 0,
                "request {id} ran, but its caller was told that it did not"
            );
        }
        request.outcome = Some(outcome);
    }

    /// Advances some attempts by one step: first the check that the attempt may still begin, in a
    /// later call the sending itself, as if the process was paused between the two.
    fn advance_attempts(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for mut sending in std::mem::take(&mut self.attempts) {
            let frozen = self.cluster.hosts[sending.host].frozen;
            if frozen || u.ratio(1, 3)? {
                self.attempts.push(sending);
                continue;
            }
            if !sending.deadline_checked {
                if self.cluster.now > sending.attempt.begin_by {
                    let outcome = AttemptOutcome::NotRun("paused".into());
                    self.end_attempt(&sending, outcome);
                    continue;
                }
                sending.deadline_checked = true;
                self.attempts.push(sending);
                continue;
            }
            let outcome = self.run_operation(u, &sending.attempt)?;
            self.end_attempt(&sending, outcome);
        }
        Ok(())
    }

    /// Runs an attempt at the service. The service may refuse it, and its answer may get lost.
    fn run_operation(
        &mut self,
        u: &mut Unstructured<'_>,
        attempt: &Attempt,
    ) -> Result<AttemptOutcome> {
        let roll = u.int_in_range(0..=9u8)?;
        if roll < 3 {
            return Ok(AttemptOutcome::NotRun("refused".into()));
        }
        let request = &mut self.requests[attempt.request.0 as usize];
        request.runs += 1;
        let outcome = request.outcome;
        assert_ne!(
            outcome,
            Some(Outcome::Refused(Ran::NotRun)),
            "a request ran after its caller was told that it did not run"
        );
        let runs = self.runs.entry(request.operation).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "operation {} ran twice", request.operation);
        Ok(match roll {
            3 => AttemptOutcome::Unknown("lost".into()),
            _ => AttemptOutcome::OperationAnswered(KeptAnswer {
                status: 200,
                content_type: None,
                body: vec![1].into(),
            }),
        })
    }

    fn end_attempt(&mut self, sending: &SendingAttempt, outcome: AttemptOutcome) {
        let request = sending.attempt.request;
        if matches!(outcome, AttemptOutcome::OperationAnswered(_)) {
            let caller_request = &mut self.requests[request.0 as usize];
            // The connection to the caller passes on the answer of the attempt, unless the node has
            // ended the request before.
            caller_request.outcome = caller_request.outcome.or(Some(Outcome::Answer));
        }
        let event = Event::AttemptEnded {
            request,
            number: sending.attempt.number,
            outcome,
        };
        self.cluster.send(sending.host, event);
    }

    fn check_outcomes_in_time(&self) {
        for (index, request) in self.requests.iter().enumerate() {
            let late = self.cluster.now > request.deadline_at + OUTCOME_MARGIN_MS;
            let frozen = self.cluster.hosts[request.host].frozen;
            if request.outcome.is_none() && late && !frozen {
                let overdue = self
                    .cluster
                    .now
                    .since(request.deadline_at + OUTCOME_MARGIN_MS);
                assert!(
                    overdue <= STEP_MS + STEP_MS,
                    "request {index} has no outcome"
                );
            }
        }
    }
}

/// The entry of the service in the list of upstreams.
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

/// An edit that adds a brand, the service and a row with these settings as JSON.
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

/// The head of a request for the service, with a key that names the operation.
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

/// Injects or ends a random fault: a cut log, link or host, or a frozen host.
fn inject_fault(u: &mut Unstructured<'_>, cluster: &mut Cluster) -> Result<()> {
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
fn an_operation_runs_at_most_once_and_a_refusal_as_not_run_is_true() {
    check_seeds(80, 4096, |u| {
        let mut world = World::new(u.int_in_range(2..=4usize)?);
        for operation in 0..12 {
            inject_fault(u, &mut world.cluster)?;
            for _ in 0..u.int_in_range(1..=4usize)? {
                let host = u.choose_index(world.cluster.hosts.len())?;
                let operation = operation.min(u.int_in_range(operation / 2..=operation)?);
                world.send_request(host, operation);
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
fn without_faults_every_request_gets_an_outcome() {
    check_seeds(1, 1024, |u| {
        let mut world = World::new(3);
        for request in 0..9 {
            world.send_request(request % 3, request / 3);
        }
        let steps = DEADLINE_MS.0 / STEP_MS.0;
        for _ in 0..steps {
            world.step(u)?;
        }
        assert!(
            world
                .requests
                .iter()
                .all(|request| request.outcome.is_some())
        );
        Ok(())
    });
}
