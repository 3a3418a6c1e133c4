//! Whether each answer that a host acts on is the answer to that very send.

use super::fake_upstream::Step::{self, Close, RepeatPrevious, Write};
use super::site::{on_site, route};
use crate::desired::Repeat;
use crate::test_support::run_seeded;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against taking a late copy of the rejection of a request's first send for the answer to its
// second send: the request runs and is refused as not run.
#[test]
fn a_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_next_send_of_the_request() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Write(BUSY)], vec![RepeatPrevious, Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        let answer = site.call(REQUEST).await;
        assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        assert_eq!(upstream.arrivals.borrow().len(), 2);
    });
}

// Guards against the same confusion between a request and one of another caller with the same id.
#[test]
fn a_copy_of_an_answer_is_not_taken_for_the_answer_to_another_request_with_the_same_id() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let first = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 5\r\n\r\nfirst";
        let scripts = vec![vec![Write(first)], vec![RepeatPrevious, Write(WHOLE)]];
        site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.body, "first");
        assert_eq!(site.call(REQUEST).await.body, "ok");
    });
}

// Guards against taking an extra answer without an id for the answer to a request that has one.
#[test]
fn an_answer_without_an_id_proves_nothing_on_a_connection_that_carried_other_requests() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let without_id = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![vec![Write(WHOLE)], vec![Write(without_id), Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.body, "ok");
        let answer = site.call(&REQUEST.replace("i1", "i2")).await;
        assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        assert_eq!(upstream.arrivals.borrow().len(), 2);
    });
}

// Guards against acting on a statement that is out of date: an old copy of a rejection asks for rest.
#[test]
fn an_answer_to_an_earlier_request_does_not_ask_for_rest() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let old = "HTTP/1.1 503 Busy\r\nId: i0\r\nNot-Run: 1\r\nRest-Ms: 60000\r\nRunning: 4\r\nMax-Rejections: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![vec![Write(WHOLE)], vec![Write(old), Write(WHOLE)]];
        site.start_upstream("u1", scripts).await;
        for id in ["i1", "i2", "i3"] {
            let answer = site.call(&REQUEST.replace("i1", id)).await;
            assert_eq!((answer.head.status, &*answer.body), (200, "ok"), "{id}");
        }
    });
}

/// What an upstream does with a request of the property test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Runs,
    Rejects,
    /// It runs the request, and its answer is cut.
    RunsAndCuts,
}

/// Draws the answer to the nth request that reaches the upstream, with what is sent beside it.
fn draw_script(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    nth: usize,
) -> arbtest::arbitrary::Result<(Outcome, Vec<Step>)> {
    const OTHER: [&str; 3] = [
        "HTTP/1.1 503 Busy\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ];
    let mut steps = Vec::new();
    if u.arbitrary()? {
        steps.push(RepeatPrevious);
    }
    if u.ratio(1, 4)? {
        steps.push(Write(u.choose(&OTHER)?));
    }
    let id = if u.ratio(1, 5)? { "" } else { "Id: {id}\r\n" };
    let ran = format!("HTTP/1.1 200 OK\r\n{id}Seal: s\r\nContent-Length: 4\r\n\r\nt{nth:03}");
    let rejected = format!("HTTP/1.1 503 Busy\r\n{id}Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    let outcome = *u.choose(&[Outcome::Runs, Outcome::Rejects, Outcome::RunsAndCuts])?;
    let answer = match outcome {
        Outcome::Rejects => rejected,
        Outcome::Runs | Outcome::RunsAndCuts => ran,
    };
    let answer: &'static str = answer.leak();
    match outcome {
        Outcome::RunsAndCuts => {
            steps.push(Write(&answer[..u.int_in_range(0..=answer.len() - 1)?]));
            steps.push(Close);
        }
        Outcome::Runs | Outcome::Rejects => steps.push(Write(answer)),
    }
    if u.ratio(1, 4)? {
        steps.push(Write(u.choose(&OTHER)?));
    }
    Ok((outcome, steps))
}

// Guards against any further way in which an answer is taken for that to another send: whatever is sent
// beside answers, and wherever they are cut, a caller gets the answer to a send of its own request.
#[test]
fn whatever_an_upstream_sends_beside_its_answers_each_caller_gets_that_to_its_own_send() {
    const CALLS: usize = 8;
    run_seeded(60, |u| {
        let draws = (0..4 * CALLS).map(|nth| draw_script(u, nth));
        let draws: Vec<_> = draws.collect::<Result<_, _>>()?;
        let ids: Vec<u8> = (0..CALLS)
            .map(|_| u.int_in_range(0..=3))
            .collect::<Result<_, _>>()?;
        on_site(|site| async move {
            site.apply_route(route(Repeat::Once)).await;
            let scripts = draws.iter().map(|(_, steps)| steps.clone()).collect();
            let upstream = site.start_upstream("u1", scripts).await;
            for id in ids {
                let before = upstream.arrivals.borrow().len();
                let request = REQUEST
                    .replace("i1", &format!("i{id}"))
                    .replace("5000", "300");
                let answer = site.call(&request).await;
                let sends = before..upstream.arrivals.borrow().len();
                let runs = sends
                    .clone()
                    .filter(|nth| draws[*nth].0 != Outcome::Rejects);
                let runs: Vec<usize> = runs.collect();
                assert!(runs.len() <= 1, "{runs:?}");
                match answer.head.status {
                    200 => {
                        let own = runs.iter().map(|nth| format!("t{nth:03}"));
                        assert!(
                            own.clone().any(|own| own == answer.body),
                            "{answer:?} {runs:?}"
                        );
                    }
                    503 => assert_eq!(runs, [0; 0], "{answer:?}"),
                    _ => {}
                }
            }
        });
        Ok(())
    });
}
