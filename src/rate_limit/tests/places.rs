//! Reservations of one host, and of several that divide a limit.

use crate::group::Member;
use crate::group::keepers::keepers_in_order;
use crate::prelude::*;
use crate::rate_limit::claimed_keys::{ClaimedKeys, MAX_HOSTS};
use crate::rate_limit::place::{EARLY_MS, LATE_MS, MAX_AHEAD_MS, MAX_BATCH_PLACES, SentPlace};
use crate::rate_limit::places::{
    MAX_ORGANISATION_PLACES, MAX_PLACES, MAX_REFUSED, Reserved, Wanted,
};
use crate::rate_limit::schedules::{MAX_SCHEDULES, Refill};
use crate::rate_limit::{Place, PlaceBook};
use crate::test_support::{member, run_seeded};

const NOW: Millis = Millis(1_000_000);
const WHOLE: Refill = Refill {
    per_s: 100_000.0,
    default_part: 1.0,
};

fn wanted(key: u64, organisation: &Name) -> Wanted<'_> {
    Wanted {
        key,
        organisation,
        rank: 1,
        cost: 1_000,
        arrived_at: NOW,
        retry_after_ms: Millis(200),
        max_retry_after_ms: MAX_AHEAD_MS,
    }
}

fn reserve(book: &mut PlaceBook, now: Millis, key: u64) -> Reserved {
    book.reserve(now, &wanted(key, &"o".into()), WHOLE, 0.0)
}

fn sent(key: u64, organisation: &str, ends_in_ms: u64) -> SentPlace {
    SentPlace {
        key,
        organisation: organisation.into(),
        rank: 0,
        cost: 10,
        waited_ms: Millis(50),
        ends_in_ms: Millis(ends_in_ms),
        refused_by: 2,
        is_repeat: false,
    }
}

// Guards against one reservation that puts two requests ahead, and against a lost one.
#[test]
fn a_reservation_serves_one_request_between_its_times() {
    for (offset_ms, is_valid) in [
        (-101, false),
        (-100, true),
        (0, true),
        (1_499, true),
        (1_500, false),
    ] {
        let mut book = PlaceBook::new(1);
        let due_at = reserve(&mut book, NOW, 7).place.expect("a place").due_at;
        assert_eq!(due_at, NOW + Millis(200));
        let now = Millis(due_at.0.saturating_add_signed(offset_ms));
        assert_eq!(book.claim(now, 7).is_some(), is_valid, "{offset_ms}");
        if is_valid {
            assert_eq!(book.claim(now, 7), None);
            assert!(book.is_empty());
        }
    }
    assert_eq!((EARLY_MS, LATE_MS), (Millis(100), Millis(1_500)));
}

// Guards against tables that grow with the load.
#[test]
fn every_table_has_a_bound_and_what_ends_first_goes() {
    let mut book = PlaceBook::new(1);
    for key in 0..MAX_ORGANISATION_PLACES as u64 + 10 {
        assert!(!book.receive(NOW, sent(key, "o", 2_000 + key)));
    }
    assert_eq!(book.len(), MAX_ORGANISATION_PLACES);
    assert!(book.remove(9).is_none() && book.remove(10).is_some());
    for key in 0..2 * MAX_PLACES as u64 {
        book.receive(NOW, sent(1_000 + key, &format!("o{}", key / 100), 5_000));
    }
    assert_eq!(book.len(), MAX_PLACES);
    let newest = 1_000 + 2 * MAX_PLACES as u64 - 1;
    assert!(reserve(&mut book, NOW, newest).is_repeat);
    assert!(!reserve(&mut book, NOW, newest - MAX_REFUSED as u64).is_repeat);
    let mut book = PlaceBook::new(1);
    for n in 0..2 * MAX_SCHEDULES as u64 {
        let organisation: Name = format!("s{n}").into();
        book.set_part(NOW, &organisation, 0.5);
        let reserved = book.reserve(NOW, &wanted(n, &organisation), WHOLE, 0.0);
        assert_eq!(reserved.place.is_some(), n < MAX_SCHEDULES as u64, "{n}");
    }
    assert_eq!(book.expire(NOW + MAX_AHEAD_MS + LATE_MS), MAX_SCHEDULES);
    assert!(book.is_empty());
    let mut claimed = ClaimedKeys::default();
    for n in 0..2 * MAX_BATCH_PLACES as u64 {
        claimed.note(7, n, NOW + LATE_MS);
    }
    assert_eq!(claimed.take(NOW, 7).len(), MAX_BATCH_PLACES);
    for n in 0..=MAX_HOSTS as u64 {
        claimed.note(n, 1, NOW + LATE_MS);
    }
    assert!(claimed.take(NOW, MAX_HOSTS as u64).is_empty());
    assert!(claimed.take(NOW + LATE_MS, 3).is_empty());
}

// Guards against tokens that are counted twice, held for callers that do not come, or not at all.
#[test]
fn only_the_host_that_refused_counts_what_is_due_within_a_second() {
    let mut book = PlaceBook::new(1);
    for key in 0..300 {
        reserve(&mut book, NOW, key);
    }
    book.receive(NOW, sent(1_000, "o", 2_000));
    // One place each 10 ms, of which the newest 256 are kept.
    let due = |book: &PlaceBook, after_ms| {
        let due = book.due_tokens(NOW + Millis(after_ms));
        due.iter().map(|due| due.tokens).sum::<u64>()
    };
    assert_eq!(book.len(), MAX_ORGANISATION_PLACES);
    assert_eq!(due(&book, 1_000), 101_000);
    assert_eq!(due(&book, 2_500), 70_000);
    assert_eq!(due(&book, 4_000), 0);
    assert_eq!(book.due_tokens(NOW + Millis(1_000))[0].rank, 1);
}

/// Returns the most and the least tokens in a window, as a part of the refill, of which reservations
/// for a thousand refused requests are due; the least while all hosts have reservations.
fn spread(hosts: usize, window_ms: u64, seed: u64, is_phased: bool) -> (f64, f64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut books: Vec<PlaceBook> = (0..hosts as u64).map(PlaceBook::new).collect();
    let refill = Refill {
        default_part: 1.0 / hosts as f64,
        ..WHOLE
    };
    let organisation: Name = "o".into();
    let mut due: Vec<(u64, u64)> = Vec::new();
    for key in 0..1_000 {
        let wanted = Wanted {
            cost: random.u64(100..1_500),
            ..wanted(key, &organisation)
        };
        let phase = if is_phased { random.f64() } else { 0.0 };
        let reserved = books[key as usize % hosts].reserve(NOW, &wanted, refill, phase);
        let place = reserved.place;
        due.extend(place.map(|place| (place.due_at.since(NOW).0 - 200, place.cost)));
    }
    assert!(due.len() > 900, "{hosts} hosts: {} reservations", due.len());
    let part = |from: u64| {
        let within = due
            .iter()
            .filter(|(at, _)| (from..from + window_ms).contains(at));
        let tokens = within.map(|(_, cost)| *cost).sum::<u64>() as f64;
        tokens / (WHOLE.per_s * window_ms as f64 / 1_000.0)
    };
    let most = (0..10_000).step_by(100).map(part).fold(0.0, f64::max);
    let least = (0..6_000 - window_ms).step_by(100).map(part);
    (most, least.fold(f64::INFINITY, f64::min))
}

// Guards against retries that come faster than the limit refills, or far more slowly.
#[test]
fn returns_of_a_thousand_refused_requests_fit_the_refill() {
    for (hosts, window_ms) in [(1, 1_000), (9, 1_000), (73, 2_000)] {
        for seed in 0..10 {
            let (most, least) = spread(hosts, window_ms, seed, true);
            assert!(most < 1.1 && least > 0.9, "{hosts} hosts: {most} {least}");
        }
    }
    for hosts in [1, 9, 73, 985] {
        let worst = |is_phased| {
            let runs = (0..10).map(|seed| spread(hosts, 1_000, seed, is_phased).0);
            runs.fold(0.0, f64::max)
        };
        println!(
            "{hosts} hosts: {:.2} of the refill due in the worst second, {:.2} without phases",
            worst(true),
            worst(false)
        );
    }
}

// Guards against hosts that refuse most requests of an organisation and may promise only a part of the
// refill that is divided among all hosts.
#[test]
fn a_part_that_was_told_lets_few_hosts_promise_the_whole_refill() {
    let reserved = |part: Option<f64>| {
        let mut books: Vec<PlaceBook> = (0..5).map(PlaceBook::new).collect();
        let refill = Refill {
            default_part: 1.0 / 73.0,
            ..WHOLE
        };
        let organisation: Name = "o".into();
        let mut random = fastrand::Rng::with_seed(1);
        let mut tokens = 0;
        for key in 0..2_000 {
            let book = &mut books[key as usize % 5];
            if let Some(part) = part {
                book.set_part(NOW, &organisation, part);
            }
            let wanted = wanted(key, &organisation);
            let reserved = book.reserve(NOW, &wanted, refill, random.f64());
            tokens += reserved.place.map_or(0, |place| place.cost);
        }
        tokens as f64 / (WHOLE.per_s * 9.8)
    };
    let (divided, told) = (reserved(None), reserved(Some(0.2)));
    println!(
        "5 of 73 hosts reserve {divided:.2} of the refill by an even division, {told:.2} by the told part"
    );
    assert!(divided < 0.1 && (0.95..1.05).contains(&told));
}

// Guards against a promise that the caller cannot use, and against a limit whose refill changes.
#[test]
fn a_reservation_is_made_only_if_the_caller_comes_back_that_late() {
    let mut book = PlaceBook::new(1);
    let organisation: Name = "o".into();
    let short = Wanted {
        max_retry_after_ms: Millis(199),
        ..wanted(1, &organisation)
    };
    let reserved = book.reserve(NOW, &short, WHOLE, 0.0);
    assert_eq!(
        (reserved.place, reserved.retry_after_ms),
        (None, Millis(200))
    );
    for (per_s, part) in [
        (0.0, 1.0),
        (f64::NAN, 1.0),
        (-1.0, 1.0),
        (f64::INFINITY, 0.0),
    ] {
        let refill = Refill {
            per_s,
            default_part: part,
        };
        let reserved = book.reserve(NOW, &wanted(2, &organisation), refill, 0.5);
        assert_eq!(reserved.place, None, "{per_s}");
    }
    // With a tenth of the refill each place takes 100 ms; with all of it what is reserved is due sooner.
    book.set_part(NOW, &organisation, 0.1);
    let mut due_ms = |at: Millis, key| {
        let place = book
            .reserve(at, &wanted(key, &organisation), WHOLE, 0.0)
            .place;
        place.expect("a place").due_at.since(NOW).0
    };
    assert_eq!(
        [due_ms(NOW, 3), due_ms(NOW, 4), due_ms(NOW, 5)],
        [200, 300, 400]
    );
    let later = NOW + Millis(1_500);
    assert_eq!([due_ms(later, 6), due_ms(later, 7)], [1_700, 1_710]);
}

// Guards against a caller that loses its arrival when it is refused once more, and against refusals
// that are counted twice.
#[test]
fn a_request_that_is_refused_once_more_keeps_its_first_arrival() {
    let (mut first, mut keeper) = (PlaceBook::new(1), PlaceBook::new(2));
    let reserved = reserve(&mut first, NOW, 7);
    assert!(!reserved.is_repeat);
    let early = reserve(&mut first, NOW + Millis(50), 7);
    assert_eq!(
        (early.place, early.retry_after_ms, early.is_repeat),
        (None, Millis(150), true)
    );
    let place = reserved.place.expect("a place");
    assert!(!keeper.receive(NOW, place.to_sent(NOW, false)));
    let back_at = place.due_at;
    assert_eq!(keeper.claim(back_at, 7).expect("a place").arrived_at, NOW);
    // A host that did not get the answer refuses it as a new one; the keeper counts that.
    let mut third = PlaceBook::new(3);
    let organisation: Name = "o".into();
    let again = Wanted {
        arrived_at: back_at,
        ..wanted(7, &organisation)
    };
    let refused = third.reserve(back_at, &again, WHOLE, 0.0);
    assert!(!refused.is_repeat);
    let copy = refused
        .place
        .expect("a place")
        .to_sent(back_at, refused.is_repeat);
    assert!(keeper.receive(back_at, copy));
    let place = keeper.claim(back_at + Millis(200), 7).expect("a place");
    assert_eq!(place.arrived_at, NOW);
    // One that got the answer counts it itself.
    third.note_claimed(&place);
    let refused = third.reserve(back_at + Millis(250), &again, WHOLE, 0.0);
    assert!(refused.is_repeat);
    assert_eq!(refused.retry_after_ms, Millis(200));
    // A host that was started again knows nothing.
    assert_eq!(PlaceBook::new(1).claim(back_at, 7), None);
}

// Guards against messages that break a host or keep state for longer than hosts reserve.
#[test]
fn malformed_reservations_of_other_hosts_are_bounded() {
    run_seeded(200, |u| {
        let mut book = PlaceBook::new(1);
        for _ in 0..50 {
            let place = SentPlace {
                key: u.int_in_range(0..=9)?,
                organisation: if u.arbitrary()? { "o" } else { "" }.into(),
                rank: u.arbitrary()?,
                cost: u.arbitrary()?,
                waited_ms: Millis(u.arbitrary()?),
                ends_in_ms: Millis(u.arbitrary()?),
                refused_by: u.int_in_range(0..=2)?,
                is_repeat: u.arbitrary()?,
            };
            book.receive(NOW, place);
            reserve(&mut book, NOW, u.int_in_range(0..=9)?);
            book.due_tokens(NOW);
            book.claim(NOW, u.int_in_range(0..=9)?);
        }
        book.expire(NOW + MAX_AHEAD_MS + LATE_MS);
        assert!(book.is_empty());
        Ok(())
    });
    assert_eq!(Place::from_sent(NOW, sent(1, "o", 0)), None);
}

// Guards against a keeper that nobody asks: when the list changes, the copy at the host that refused
// remains, and the others ask another keeper.
#[test]
fn the_keeper_changes_with_the_members() {
    let hosts: Vec<Member> = (1..=20).map(|n| member(n * 7_919, "here", 0)).collect();
    for key in 0..200 {
        let order = |without: Option<u64>| -> Vec<u64> {
            let members = hosts
                .iter()
                .filter(|host| Some(host.incarnation) != without);
            let order = keepers_in_order(members, |_| 4, key);
            order.map(|host| host.incarnation).collect()
        };
        let before = order(None);
        let after = order(Some(before[0]));
        assert_eq!((before.len(), after.len()), (4, 4));
        let kept = before[1..].iter().filter(|host| after.contains(host));
        assert_eq!(kept.count(), 3);
        assert!(!after.contains(&before[0]));
    }
}
