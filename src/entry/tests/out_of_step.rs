//! A host that stands still, or is cut off from the others, while upstreams of a new software version join,
//! and that is asked meanwhile and afterwards to go on with streams that began through other hosts.

use super::fake_upstream::{FakeUpstream, Step};
use super::host_executors::Standstill;
use super::hosts::{Hosts, on_hosts, until};
use super::site::{Caller, entry_of};
use super::versions::{REQUEST, SECOND, TAKE_UP, resumable};
use crate::desired::Route;
use crate::http1::BodyReader;
use crate::prelude::*;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;

/// The host that is out of step.
const OUT_OF_STEP: usize = 3;
/// The streams that begin through the other hosts in each run.
const STREAMS: usize = 12;
/// How long a caller tries to take its stream up.
const TAKE_UP_MS: Millis = Millis(4_000);

/// How the streams of a run break.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// Their callers leave.
    CallersLeave,
    /// Their upstreams close the connections, and the hosts may not go on elsewhere.
    UpstreamsClose,
}

/// One run.
#[derive(Clone, Copy, Debug)]
struct Case {
    what: Standstill,
    hold_ms: Millis,
    breaks: Break,
    /// Whether callers name the request whose stream they take up.
    names_request: bool,
}

/// The upstreams of a run, by software version.
struct Upstreams(Vec<(&'static str, FakeUpstream)>);

impl Upstreams {
    /// Returns the software version of the upstream that got the request with this id, if any did.
    fn version_that_ran(&self, id: &str) -> Option<&'static str> {
        let has_run = |upstream: &FakeUpstream| {
            let arrivals = upstream.arrivals.borrow();
            arrivals
                .iter()
                .any(|arrival| arrival.head.headers.text("Id") == Some(id))
        };
        let mut ran = self.0.iter().filter(|(_, upstream)| has_run(upstream));
        ran.next().map(|(version, _)| *version)
    }
}

/// Starts an upstream and lists it in each host's store. The host that is out of step need not read it.
async fn start_upstream(
    hosts: &Hosts,
    id: &str,
    version: &str,
    may_break: &Rc<Cell<bool>>,
) -> FakeUpstream {
    let script = vec![vec![Step::Stream(may_break.clone())]];
    let upstream = FakeUpstream::start(&hosts.executor, script).await;
    for (number, one) in hosts.hosts.iter().enumerate() {
        let listed = entry_of(id, version, upstream.address);
        match number {
            OUT_OF_STEP => one.store.write_upstream(id, Some(listed)),
            _ => one.list(listed).await,
        }
    }
    upstream
}

/// Begins the stream with this number through a host that is in step, and reads its first event.
async fn begin(hosts: &Hosts, number: usize) -> Caller {
    let mut caller = hosts.connect(number % OUT_OF_STEP).await;
    let request = REQUEST.replace("Id: i1", &format!("Id: begun-{number}"));
    caller.send(&request).await;
    let head = caller.0.read_response_head(64 << 10, false).await;
    let mut reader = BodyReader::new(head.expect("the head of the answer").framing);
    let first = reader.next(&mut caller.0).await.expect("an event");
    assert!(first.is_some());
    caller
}

/// Takes the stream with this number up at the host that is out of step, again after each refusal that
/// says when to come back. Returns the id of the request that it was taken up by, if one was.
async fn take_up(hosts: &Hosts, case: Case, number: usize, moment: &str) -> Option<String> {
    let began_at = hosts.hosts[0].host.now();
    for attempt in 0.. {
        let id = format!("{moment}-{number}-{attempt}");
        let begun = format!("Resumes: begun-{number}");
        let mut request = TAKE_UP
            .replace("Id: i2", &format!("Id: {id}"))
            .replace("Resumes: i1", &begun);
        if !case.names_request {
            request = request.replace(&format!("{begun}\r\n"), "");
        }
        let answer = hosts.call(OUT_OF_STEP, &request).await;
        if answer.head.status == 200 {
            assert_eq!(answer.body, SECOND);
            return Some(id);
        }
        let waited_ms = hosts.hosts[0].host.now().since(began_at);
        if answer.head.headers.text("Retry-After").is_none() || waited_ms > TAKE_UP_MS {
            return None;
        }
        Timer::after(Millis(50).to_duration()).await;
    }
    None
}

/// Plays a case, and checks that each stream that was taken up went on at its version. Returns how many were.
async fn play(hosts: Hosts, case: Case) -> usize {
    let attempts = match case.breaks {
        Break::CallersLeave => 3,
        Break::UpstreamsClose => 1,
    };
    let route = Route {
        attempts,
        ..resumable()
    };
    hosts.apply_route(route).await;
    let may_break = Rc::new(Cell::new(false));
    let hosts = Rc::new(hosts);
    let old = start_upstream(&hosts, "old", "v1", &may_break).await;
    let one = &hosts.hosts[OUT_OF_STEP].host;
    until(|| one.upstreams.borrow().get("old").is_some()).await;
    let mut upstreams = Upstreams(vec![("v1", old)]);
    hosts.hosts[OUT_OF_STEP].set_standing_still(case.what, true);
    let held_at = hosts.hosts[0].host.now();
    for number in 0..3 {
        let id = format!("new-{number}");
        let new = start_upstream(&hosts, &id, "v2", &may_break).await;
        upstreams.0.push(("v2", new));
    }
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        callers.push(begin(&hosts, number).await);
    }
    if let Break::CallersLeave = case.breaks {
        callers.clear();
    }
    may_break.set(true);
    // A third of the callers come during the hold, a third at its end, a third afterwards.
    let spawn = |moment: &'static str, from: usize| {
        let mut taken_up = Vec::new();
        for number in (from..STREAMS).step_by(3) {
            let hosts_of_caller = hosts.clone();
            let caller = async move {
                let id = take_up(&hosts_of_caller, case, number, moment).await;
                (number, id)
            };
            taken_up.push(hosts.executor.spawn(caller));
        }
        taken_up
    };
    let mut taken_up = spawn("during", 0);
    let left_ms = case.hold_ms - hosts.hosts[0].host.now().since(held_at);
    Timer::after(left_ms.to_duration()).await;
    hosts.hosts[OUT_OF_STEP].set_standing_still(case.what, false);
    taken_up.extend(spawn("at-end", 1));
    Timer::after(Millis(300).to_duration()).await;
    taken_up.extend(spawn("after", 2));
    let mut went_on = 0;
    for one in taken_up {
        let (number, id) = one.await;
        if let Some(id) = id {
            let began = upstreams.version_that_ran(&format!("begun-{number}"));
            let on = upstreams.version_that_ran(&id);
            assert_eq!(began, on, "{case:?}: stream {number} as {id}");
            went_on += 1;
        }
    }
    went_on
}

fn check(what: Standstill, hold_ms: u64, names_request: bool) {
    for breaks in [Break::CallersLeave, Break::UpstreamsClose] {
        let case = Case {
            what,
            hold_ms: Millis(hold_ms),
            breaks,
            names_request,
        };
        on_hosts(4, |hosts| async move {
            let went_on = play(hosts, case).await;
            println!("{case:?}: {went_on} of {STREAMS} went on");
            assert!(!names_request || went_on > 0, "{case:?}: none went on");
        });
    }
}

// Guards against a stream that goes on in another version at a host that stood still while the version
// of its first upstream appeared.
#[test]
fn a_host_that_stood_still_goes_on_with_streams_at_their_version() {
    for hold_ms in [1_000, 3_500, 6_000] {
        check(Standstill::Host, hold_ms, true);
    }
}

// Guards against the same at a host that was cut off from the others.
#[test]
fn a_host_that_was_cut_off_from_the_others_goes_on_with_streams_at_their_version() {
    for hold_ms in [1_000, 3_500, 6_000] {
        check(Standstill::LinksToHosts, hold_ms, true);
    }
}

// Guards against a version that such a host guesses from the content of a request.
#[test]
fn a_host_that_was_out_of_step_guesses_no_version() {
    for what in [Standstill::Host, Standstill::LinksToHosts] {
        check(what, 3_500, false);
    }
}
