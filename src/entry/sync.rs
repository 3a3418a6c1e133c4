//! What hosts and the orderer tell each other: demand and work one way, what engines hold the other way.

use crate::entry::host::Host;
use crate::entry::members::Member;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::ordering::message::{SyncAsk, SyncReply};
use crate::prelude::*;
use crate::routing::pick::Work;
use smol::Timer;
use std::rc::Rc;

/// How often a host speaks with the orderer, and how often while a request waits for a model, with up to
/// [`SYNC_HOSTS`] hosts; with more, less often in proportion, so that the orderer's work stays the same.
const SYNC_MS: Millis = Millis(250);
const WAITING_SYNC_MS: Millis = Millis(30);
const LEAST_SYNC_MS: Millis = Millis(4);
/// Up to so many hosts the orderer's work for each of them is small; above, intervals grow with their number.
const SYNC_HOSTS: usize = 24;

/// Answers a host that tells its demand.
pub fn answer<P: Platform>(host: &Host<P>, ask: SyncAsk) -> SyncReply {
    let now = host.now();
    let mut orders = host.orders.borrow_mut();
    let Some(holding) = orders.lease.holding() else {
        return SyncReply::NotOrderer {
            holder: orders.lease.holder().cloned(),
            resignation: orders.lease.resignation(now),
        };
    };
    let fence = holding.fence;
    let wants = ask.demand.iter().any(|(_, count)| count.waiting > 0);
    orders.book.take(now, ask.incarnation, ask.demand, ask.work);
    if wants {
        host.note_want();
    }
    let version = (fence, orders.ledger.version());
    // Adapters become ready without an order's answer, so a host that waits gets the newest state in any case.
    let is_news = wants || version != ask.view_version;
    SyncReply::View {
        version,
        engines: is_news.then(|| orders.ledger.view(now)),
        work: orders.book.work_of_others(ask.incarnation),
        ready_in_ms: orders
            .ready_at
            .iter()
            .map(|(ask, at)| (ask.clone(), at.since(now)))
            .collect(),
        separate: orders.separate.clone(),
        tables: host.followed.word(now, ask.upstreams_from),
    }
}

/// Tells the orderer this host's demand, and takes what it says, again and again: at once when a request waits for a
/// model or a long prompt begins or ends, else now and then.
pub async fn sync<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>, me: Member) {
    let mut waited_for = false;
    loop {
        let interval_ms = interval_ms(&host, waited_for);
        Timer::after(least_interval_ms(&host).to_duration()).await;
        host.wait_for_news(interval_ms).await;
        let asked_at = host.now();
        let ask = sync_ask(&host, &me);
        waited_for = ask.demand.iter().any(|(_, count)| count.waiting > 0);
        let orderer = host.orders.borrow().holder().cloned();
        let reply = match (host.is_orderer(), orderer) {
            (true, _) => Some(answer(&host, ask)),
            (false, Some(orderer)) => peers.ask(orderer.peer_address, &ask).await,
            (false, None) => None,
        };
        if let Some(reply) = reply {
            take_reply(&host, asked_at, reply);
        }
    }
}

fn least_interval_ms<P: Platform>(host: &Host<P>) -> Millis {
    stretched(host, LEAST_SYNC_MS)
}

/// Returns how often this host speaks with the orderer when nothing cannot wait.
pub fn interval_ms<P: Platform>(host: &Host<P>, waited_for: bool) -> Millis {
    match waited_for {
        true => stretched(host, WAITING_SYNC_MS),
        false => stretched(host, SYNC_MS),
    }
}

/// Returns an interval of a small site as long as it must be in this one.
pub fn stretched<P: Platform>(host: &Host<P>, interval_ms: Millis) -> Millis {
    let factor = host.members.borrow().count().div_ceil(SYNC_HOSTS) as u64;
    Millis(interval_ms.0 * factor)
}

fn sync_ask<P: Platform>(host: &Host<P>, me: &Member) -> SyncAsk {
    let upstreams = host.upstreams.borrow();
    let busy = upstreams.iter().filter(|upstream| upstream.in_flight > 0);
    let work = busy.map(|upstream| {
        let work = Work {
            prompt_tokens: upstream.prompt_tokens,
            long_prompts: upstream.long_prompts,
            running: upstream.in_flight,
        };
        (upstream.entry.id.clone(), work)
    });
    SyncAsk {
        incarnation: me.incarnation,
        view_version: host.view.borrow().version,
        work: work.collect(),
        demand: host.demand.borrow_mut().take(),
        upstreams_from: host.followed.wants_from(),
    }
}

fn take_reply<P: Platform>(host: &Host<P>, asked_at: Millis, reply: SyncReply) {
    let now = host.now();
    match reply {
        SyncReply::NotOrderer { resignation, .. } => {
            if let Some(resignation) = resignation {
                host.orders
                    .borrow_mut()
                    .lease
                    .note_resigned(now, resignation);
                host.view.borrow_mut().answered_at = None;
            }
        }
        SyncReply::View {
            version,
            engines,
            work,
            ready_in_ms,
            separate,
            tables,
        } => {
            if !host.is_orderer() && host.followed.take_word(asked_at, tables) {
                host.upstreams.borrow_mut().note_heard(now);
            }
            let mut view = host.view.borrow_mut();
            view.answered_at = Some(now);
            if let Some(engines) = engines {
                view.take_engines(version, engines);
            }
            view.take_work(work);
            view.take_ready(now, ready_in_ms);
            view.take_separate(separate);
            view.answers += 1;
            drop(view);
            host.note_change();
        }
    }
}
