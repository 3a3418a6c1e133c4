//! Tests of the queues: sharing by weight, urgency and ageing, limits of length, and predicted
//! waits.

mod limits;

use crate::admission::pace::MIN_STARTS;
use crate::admission::queue::{AGEING_MS, MAX_WAITING_OF_BRAND, QueuedRequest, Queues};
use crate::attempt::message::RequestId;
use crate::prelude::*;
use crate::table::message::Urgency;
use arbtest::arbtest;

const NOW: Millis = Millis(1_000_000);

fn target() -> Name {
    "review".into()
}

fn waiting(number: u64, brand: &str, weight: u32, urgency: Urgency) -> QueuedRequest {
    QueuedRequest {
        request: RequestId(number),
        brand: brand.into(),
        weight,
        urgency,
        since: NOW,
        deadline_at: NOW + Millis(60_000),
        came_back: false,
    }
}

fn pop(queues: &mut Queues, now: Millis) -> QueuedRequest {
    queues.pop(now, "review").unwrap()
}

#[test]
fn backlogged_brands_share_by_weight_whatever_the_order_of_arrival() {
    arbtest(|u| {
        let weights = [u.int_in_range(1..=8u32)?, u.int_in_range(1..=8u32)?];
        let mut queues = Queues::default();
        let mut left = [200u64, 200];
        while left != [0, 0] {
            let brand = if left[0] == 0 || (left[1] > 0 && u.arbitrary()?) {
                1
            } else {
                0
            };
            left[brand] -= 1;
            let name = ["north", "south"][brand];
            let entry = waiting(left[brand], name, weights[brand], Urgency::Normal);
            queues.push(&target(), entry).unwrap();
        }
        let total = weights[0] + weights[1];
        for round in 1..=(200 / total) {
            let popped: Vec<QueuedRequest> = (0..total).map(|_| pop(&mut queues, NOW)).collect();
            let north = popped
                .iter()
                .filter(|entry| &*entry.brand == "north")
                .count();
            let expected = weights[0] as usize;
            assert!(
                north.abs_diff(expected) <= 1,
                "round {round}: {north} of {expected}"
            );
        }
        Ok(())
    })
    .seed(0x5eed_0000_1000);
}

#[test]
fn idle_brand_accumulates_no_credit() {
    let mut queues = Queues::default();
    for number in 0..50 {
        let entry = waiting(number, "north", 1, Urgency::Normal);
        queues.push(&target(), entry).unwrap();
    }
    (0..40).for_each(|_| drop(pop(&mut queues, NOW)));
    for number in 50..60 {
        let entry = waiting(number, "south", 1, Urgency::Normal);
        queues.push(&target(), entry).unwrap();
    }
    let next: Vec<QueuedRequest> = (0..10).map(|_| pop(&mut queues, NOW)).collect();
    let south = next.iter().filter(|entry| &*entry.brand == "south").count();
    assert!((4..=6).contains(&south), "{south} of 10");
}

#[test]
fn urgent_requests_go_first_and_batch_is_not_starved() {
    let mut queues = Queues::default();
    queues
        .push(&target(), waiting(0, "south", 1, Urgency::Batch))
        .unwrap();
    let mut now = NOW;
    let mut number = 1;
    let mut batch_went = false;
    while now < NOW + AGEING_MS + AGEING_MS + AGEING_MS && !batch_went {
        let mut urgent = waiting(number, "north", 1, Urgency::Critical);
        urgent.since = now;
        queues.push(&target(), urgent).unwrap();
        batch_went = pop(&mut queues, now).request == RequestId(0);
        assert!(!batch_went || now >= NOW + AGEING_MS + AGEING_MS);
        number += 1;
        now += Millis(100);
    }
    assert!(batch_went);
}

#[test]
fn one_brand_cannot_fill_the_queue() {
    let mut queues = Queues::default();
    let north = |number| waiting(number, "north", 1, Urgency::Normal);
    for number in 0..MAX_WAITING_OF_BRAND as u64 {
        queues.push(&target(), north(number)).unwrap();
    }
    assert!(queues.push(&target(), north(9_999)).is_err());
    let south = waiting(10_000, "south", 1, Urgency::Normal);
    assert!(queues.push(&target(), south).is_ok());
}

#[test]
fn requeued_request_goes_next_and_is_charged_once() {
    let mut queues = Queues::default();
    for number in 0..4 {
        let entry = waiting(number, "north", 1, Urgency::Normal);
        queues.push(&target(), entry).unwrap();
    }
    let mut first = pop(&mut queues, NOW);
    first.came_back = true;
    queues.push(&target(), first.clone()).unwrap();
    assert_eq!(pop(&mut queues, NOW).request, first.request);
}

#[test]
fn predicted_timeouts_are_known_once_the_rate_is() {
    const INTERVAL_MS: Millis = Millis(100);
    let mut queues = Queues::default();
    for number in 0..100 {
        let mut entry = waiting(number, "north", 1, Urgency::Normal);
        entry.deadline_at = NOW + Millis(5_000);
        queues.push(&target(), entry).unwrap();
    }
    let mut now = NOW;
    for _ in 0..MIN_STARTS {
        assert!(queues.predicted_timeouts(now).is_empty());
        pop(&mut queues, now);
        now += INTERVAL_MS;
    }
    let left_ms = (NOW + Millis(5_000)).since(now);
    let in_time = left_ms.0 / INTERVAL_MS.0;
    let waiting = queues.waiting("review") as u64;
    assert_eq!(
        queues.predicted_timeouts(now).len() as u64,
        waiting - in_time
    );
}
