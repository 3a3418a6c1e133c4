//! Waiting for an upstream that may take a request, and for the turn of a long prompt.

use crate::entry::ask::Ask;
use crate::entry::choice::choose;
use crate::entry::course::CourseLog;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sync;
use crate::entry::tries::{BUSY_COME_BACK_MS, COME_BACK_MS, Tries};
use crate::http1::client::within;
use crate::prelude::*;
use crate::routing::roles::is_long;

/// How long a request goes on waiting for an upstream when nothing says that one will come: a restart or the
/// list's lag passes within it.
const PATIENCE_MS: Millis = Millis(300);
/// How long the orderer must have been silent to count as lost, and twice the interval at which a host speaks with it: a
/// second in a site of some 80 hosts.
const ORDERER_LOST_MS: Millis = Millis(2_500);
/// How long after a lost orderer's last word the next one orders: its lease is claimed when it has been silent for 2.3 s,
/// and the next holder waits out the rest of its right to order and the engines' lease time.
const NEXT_ORDERER_MS: Millis = Millis(6_000);
/// How long a long prompt waits for news of other hosts' long prompts; the orderer answers in a few milliseconds.
const FRESH_MS: Millis = Millis(15);
/// How often a long prompt looks whether it is its turn: some steps of an engine, so that there is a pause between two.
const TURN_LOOK_MS: Millis = Millis(30);
/// What an upstream needs for the first event once it may have the request: a prompt of some thousand tokens.
const BEGIN_MARGIN_MS: Millis = Millis(300);

/// Waits until an upstream may take the request. Returns a refusal when none can in time.
pub async fn wait_for_upstream<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    tries: &mut Tries,
    log: &mut CourseLog<'_, P>,
) -> Result<(), Refusal> {
    let began_at = host.now();
    let has_failed = !tries.passed_over.is_empty();
    if has_failed && tries.waited {
        return Err(tries.last_refusal());
    }
    tries.waited = true;
    let waited = wait(host, ask, tries, began_at).await;
    log.course.waited_ms += host.now().since(began_at);
    waited
}

async fn wait<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    tries: &mut Tries,
    began_at: Millis,
) -> Result<(), Refusal> {
    let until = patient_until(host, ask, began_at)?;
    let _waiting = Waiting::new(host, ask);
    loop {
        let change = host.next_change();
        tries.passed_over.clear();
        if choose(host, ask, tries).is_some() {
            return Ok(());
        }
        let now = host.now();
        if host.is_stopping() {
            let why = "this host stops, and no upstream could take the request at once";
            return Err(Refusal::new(ErrorKind::Stopping, why).after(Millis::ZERO));
        }
        let until = until.max(patient_until(host, ask, began_at)?);
        if now >= until {
            return Err(no_upstream(host, ask, now));
        }
        // Rests of upstreams end without a change, so the state is looked at now and then.
        let nap_ms = (until - now).min(Millis(50));
        within(nap_ms, change).await;
    }
}

/// Lets a long prompt wait until no other one is being read at the engine that it goes to, and returns the engine that
/// is best then.
///
/// An engine reads long prompts in pieces between the steps of its streams. Two that follow each other without a pause
/// hold every stream there up for longer than the gap that is on time, and are ready no sooner than one after the
/// other. Hosts know of each other's long prompts through the orderer, which is asked first.
pub async fn wait_for_turn<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    tries: &Tries,
    log: &mut CourseLog<'_, P>,
) -> Option<Name> {
    if !ask.at_engine || !is_long(ask.facts.prompt_tokens) || tries.sends > 0 {
        return None;
    }
    let began_at = host.now();
    let until = began_at + Millis(ask.route.goal_ms.0 * 2 / 5);
    let until = until.min(ask.begins_by - BEGIN_MARGIN_MS);
    let answers = host.view.borrow().answers;
    host.note_want();
    loop {
        let change = host.next_change();
        let upstream = choose(host, ask, tries)?;
        let now = host.now();
        // The orderer's answer takes a few milliseconds; without one the choice is by what is known.
        let is_fresh = host.view.borrow().answers > answers || now.since(began_at) >= FRESH_MS;
        if (is_fresh && reads_no_long_prompt(host, &upstream)) || now >= until {
            log.course.turn_ms += now.since(began_at);
            return Some(upstream);
        }
        within(TURN_LOOK_MS, change).await;
        if is_fresh {
            host.note_want();
        }
    }
}

fn reads_no_long_prompt<P: Platform>(host: &Host<P>, upstream: &Name) -> bool {
    let upstreams = host.upstreams.borrow();
    let own = upstreams.get(upstream).map_or(0, |own| own.long_prompts);
    own + host.view.borrow().work(upstream).long_prompts == 0
}

/// Returns the refusal of a request of which the first event would come after its caller has left, by the slots that are
/// taken at the best engine and how long answers keep one.
pub fn too_late<P: Platform>(host: &Host<P>, ask: &Ask, upstream: &Name) -> Option<Refusal> {
    if !ask.at_engine {
        return None;
    }
    let now = host.now();
    let wait_ms = slot_wait_ms(host, ask, upstream)?;
    let left_ms = ask.begins_by.since(now + BEGIN_MARGIN_MS);
    if wait_ms <= left_ms {
        return None;
    }
    let why = "the first event would come after the caller has left";
    Some(Refusal::new(ErrorKind::Overloaded, why).after((wait_ms - left_ms).max(BUSY_COME_BACK_MS)))
}

fn slot_wait_ms<P: Platform>(host: &Host<P>, ask: &Ask, upstream: &Name) -> Option<Millis> {
    let upstreams = host.upstreams.borrow();
    let engine = upstreams.get(upstream)?;
    let under_way = host.view.borrow().work(upstream).under_way(engine);
    let occupancy = host.occupancy(&ask.service);
    Some(Millis(
        occupancy.wait_ms(engine.entry.slots, under_way) as u64
    ))
}

/// Returns until when a request does well to wait for an upstream, or the refusal when it cannot be in time.
fn patient_until<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    began_at: Millis,
) -> Result<Millis, Refusal> {
    let last = ask.begins_by - BEGIN_MARGIN_MS.min(Millis((ask.begins_by - ask.arrived_at).0 / 4));
    let ready_at = ask
        .facts
        .model
        .as_ref()
        .and_then(|model| host.view.borrow().ready_at(model));
    match ready_at {
        Some(ready_at) if ready_at >= last => Err(Refusal::new(
            ErrorKind::ColdStartTooLong,
            "the model cannot be ready in time",
        )
        .after(ready_at.since(host.now()))),
        // The expected time is an estimate; the engine's report of it lags.
        Some(ready_at) => Ok((ready_at + Millis(1_500)).min(last)),
        None => match orderer_lost_ms(host) {
            Some(lost_ms) if ask.facts.model.is_some() => Err(Refusal::new(
                ErrorKind::ColdStartTooLong,
                "no upstream holds the model, and no host orders loads now",
            )
            .after((NEXT_ORDERER_MS - lost_ms).max(COME_BACK_MS))),
            _ => Ok((began_at + PATIENCE_MS).min(last)),
        },
    }
}

/// Returns for how long the orderer has been silent, when it is lost.
fn orderer_lost_ms<P: Platform>(host: &Host<P>) -> Option<Millis> {
    let answered_at = host.view.borrow().answered_at?;
    let silent_ms = host.now().since(answered_at);
    let interval_ms = sync::interval_ms(host, false);
    let bound_ms = ORDERER_LOST_MS.max(interval_ms + interval_ms);
    (silent_ms >= bound_ms).then_some(silent_ms)
}

fn no_upstream<P: Platform>(host: &Host<P>, ask: &Ask, now: Millis) -> Refusal {
    let upstreams = host.upstreams.borrow();
    let any = upstreams.usable(&ask.service).next().is_some();
    match (any, &ask.facts.model) {
        (true, Some(model)) => {
            let ready_at = host.view.borrow().ready_at(model);
            let after = ready_at.map_or(COME_BACK_MS, |at| at.since(now).max(BUSY_COME_BACK_MS));
            Refusal::new(ErrorKind::ColdStartTooLong, "no upstream holds the model").after(after)
        }
        _ => Refusal::new(ErrorKind::NoCapacity, "no upstream can take the request")
            .after(COME_BACK_MS),
    }
}

/// Counts a request that waits for its model.
struct Waiting<'a, P: Platform> {
    host: &'a Host<P>,
    ask: &'a Ask,
}

impl<'a, P: Platform> Waiting<'a, P> {
    fn new(host: &'a Host<P>, ask: &'a Ask) -> Self {
        if let Some(model) = &ask.facts.model {
            if let Some(count) = host.demand.borrow_mut().count(model) {
                count.waiting += 1;
            }
            host.note_want();
        }
        Self { host, ask }
    }
}

impl<P: Platform> Drop for Waiting<'_, P> {
    fn drop(&mut self) {
        if let Some(model) = &self.ask.facts.model
            && let Some(count) = self.host.demand.borrow_mut().count(model)
        {
            count.waiting = count.waiting.saturating_sub(1);
        }
    }
}
