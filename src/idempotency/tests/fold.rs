//! Tests of the claims derived from the log, and of the store of finished operations.

use crate::idempotency::claims::{Claims, MAX_CLAIMS};
use crate::idempotency::finished::{
    FINISHED_KEEP_MS, FinishedOperations, MAX_FINISHED, MAX_FINISHED_BYTES, MAX_KEPT_ANSWER_BYTES,
    kept_state,
};
use crate::idempotency::message::{
    ClaimEnd, ClaimOutcome, ClaimRequest, KeptAnswer, OperationKey, OperationState,
};
use crate::prelude::*;

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const KEEP_MS: Millis = Millis(100);

fn operation(number: usize) -> OperationKey {
    OperationKey {
        brand: "north".into(),
        service: "booking".into(),
        key: format!("k{number}").into(),
    }
}

fn claim(number: usize) -> ClaimRequest {
    ClaimRequest {
        operation: operation(number),
        request_sha256: "00".into(),
        keep_ms: KEEP_MS,
    }
}

fn end(number: usize, outcome: ClaimOutcome) -> ClaimEnd {
    ClaimEnd {
        operation: operation(number),
        outcome,
    }
}

fn claimant(claims: &Claims, number: usize) -> Option<Incarnation> {
    claims.get(&operation(number)).map(|claim| claim.claimant)
}

#[test]
fn the_first_claim_wins_until_it_is_released() {
    let mut claims = Claims::default();
    claims
        .claim(Offset(1), Millis(0), FIRST, &[claim(1)])
        .unwrap();
    claims
        .claim(Offset(2), Millis(0), SECOND, &[claim(1), claim(2)])
        .unwrap();
    assert_eq!(claimant(&claims, 1), Some(FIRST));
    assert_eq!(claimant(&claims, 2), Some(SECOND));
    claims.end(SECOND, &[end(1, ClaimOutcome::NotRun)]).unwrap();
    assert_eq!(
        claimant(&claims, 1),
        Some(FIRST),
        "only the claimant may release its claim"
    );
    claims.end(FIRST, &[end(1, ClaimOutcome::NotRun)]).unwrap();
    assert_eq!(claimant(&claims, 1), None);
}

#[test]
fn a_claim_with_an_outcome_keeps_it_and_is_not_released() {
    let mut claims = Claims::default();
    claims
        .claim(Offset(1), Millis(0), FIRST, &[claim(1)])
        .unwrap();
    claims.end(FIRST, &[end(1, ClaimOutcome::Unknown)]).unwrap();
    claims.end(FIRST, &[end(1, ClaimOutcome::NotRun)]).unwrap();
    let outcome = claims.get(&operation(1)).unwrap().outcome;
    assert_eq!(outcome, Some(ClaimOutcome::Unknown));
}

#[test]
fn claims_expire_by_the_clock_of_the_log_and_are_bounded() {
    let mut claims = Claims::default();
    let all: Vec<ClaimRequest> = (0..MAX_CLAIMS).map(claim).collect();
    claims.claim(Offset(1), Millis(0), FIRST, &all).unwrap();
    let one_more = [claim(MAX_CLAIMS)];
    let full = claims.claim(Offset(2), Millis(99), FIRST, &one_more);
    assert_eq!(full, Err(Rejection::Full));
    claims.claim(Offset(3), KEEP_MS, FIRST, &one_more).unwrap();
    assert_eq!(claims.len(), 1);
}

#[test]
fn claims_are_restored_from_a_checkpoint_and_then_expire() {
    let mut claims = Claims::default();
    claims
        .claim(Offset(1), Millis(0), FIRST, &[claim(1)])
        .unwrap();
    claims
        .claim(Offset(2), Millis(50), FIRST, &[claim(2)])
        .unwrap();
    let text = serde_json::to_string(&claims).unwrap();
    let mut restored: Claims = serde_json::from_str(&text).unwrap();
    assert_eq!(restored, claims);
    restored
        .claim(Offset(3), Millis(120), SECOND, &[claim(1)])
        .unwrap();
    assert_eq!(claimant(&restored, 1), Some(SECOND));
    assert_eq!(claimant(&restored, 2), Some(FIRST));
}

fn answer(bytes: usize) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        content_type: None,
        body: vec![0; bytes].into(),
    }
}

#[test]
fn finished_operations_are_bounded_by_count_bytes_and_age() {
    let mut finished = FinishedOperations::default();
    for number in 0..=MAX_FINISHED {
        finished.insert(Millis(1), operation(number), OperationState::Unknown);
    }
    assert_eq!(finished.len(), MAX_FINISHED);
    assert_eq!(finished.get(&operation(0)), None);
    for number in 0..200 {
        finished.insert(
            Millis(2),
            operation(number),
            kept_state(answer(MAX_KEPT_ANSWER_BYTES)),
        );
        assert!(finished.bytes() <= MAX_FINISHED_BYTES);
    }
    finished.expire(Millis(2) + FINISHED_KEEP_MS + Millis(1));
    assert!(finished.is_empty());
    assert_eq!(finished.bytes(), 0);
    let too_long = kept_state(answer(MAX_KEPT_ANSWER_BYTES + 1));
    assert_eq!(too_long, OperationState::AnswerNotKept);
}
