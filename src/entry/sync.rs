//! What hosts and the orderer tell each other, in large sites through relays: demand and work one way, what engines
//! hold the other way.

use crate::entry::crashes;
use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::entry::upstream_limits;
use crate::group::Member;
use crate::group::parents::{Parent, STALE_MS};
use crate::ordering::message::{OrdererNews, PeerCall, PeerReply, SyncAsk, SyncReply, Totals};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;

/// How often a host speaks with the orderer or its relay, and how often while a request waits for a model, where few hosts
/// speak with the same one; see [`Tree::interval_factor`](crate::group::Tree::interval_factor).
pub const SYNC_MS: Millis = Millis(250);
const WAITING_SYNC_MS: Millis = Millis(30);
const LEAST_SYNC_MS: Millis = Millis(4);

/// Answers a host that tells its demand: as the orderer, or as a relay by what the orderer said last.
pub fn answer<P: Platform>(host: &Host<P>, ask: SyncAsk) -> SyncReply {
    match (host.is_orderer(), host.is_relay() && !ask.is_for_orderer) {
        (true, _) => answer_as_orderer(host, ask),
        (false, true) => answer_as_relay(host, ask),
        (false, false) => {
            crashes::take_report(host, &ask.crashes);
            let orders = host.orders.borrow();
            SyncReply::NotOrderer {
                holder: orders.holder().cloned(),
                resignation: orders.lease.resignation(host.now()),
                crashes: crashes::news(host, ask.crashes.known),
            }
        }
    }
}

fn answer_as_orderer<P: Platform>(host: &Host<P>, mut ask: SyncAsk) -> SyncReply {
    let now = host.now();
    if ask.incarnation != host.incarnation {
        take_counts(host, &ask);
    }
    let totals = totals(host, &ask);
    let mut orders = host.orders.borrow_mut();
    let Some(holding) = orders.lease.holding().cloned() else {
        return SyncReply::NoNews { totals };
    };
    let wants = ask.demand.iter().any(|(_, count)| count.waiting > 0);
    orders.book.take(now, ask.incarnation, ask.take_report());
    if wants {
        host.note_want();
    }
    orders.publish(now, &host.upstreams.borrow());
    let ready_at = orders.ready_at.iter();
    SyncReply::News(Box::new(OrdererNews {
        age_ms: Millis::ZERO,
        lease_end: Some(holding.end),
        orderer: holding.me,
        engines: orders.published.since(ask.view_version),
        work: orders.book.work_of_others(ask.incarnation),
        ready_in_ms: ready_at
            .map(|(ask, at)| (ask.clone(), at.since(now)))
            .collect(),
        separate: orders.separate.clone(),
        tables: host.followed.word(now, ask.upstreams_from),
        members: host.members.borrow().news_since(ask.members_generation),
        totals,
    }))
}

fn answer_as_relay<P: Platform>(host: &Host<P>, mut ask: SyncAsk) -> SyncReply {
    let now = host.now();
    take_counts(host, &ask);
    let totals = totals(host, &ask);
    let mut gather = host.gather.borrow_mut();
    gather.take(now, ask.incarnation, ask.take_report());
    if ask.is_urgent {
        host.note_want();
    }
    let view = host.view.borrow();
    let orderer = host.orders.borrow().holder().cloned();
    let (Some(answered_at), Some(orderer)) = (view.answered_at, orderer) else {
        return SyncReply::NoNews { totals };
    };
    let mut work = own_work(host);
    gather.add_work(Some(ask.incarnation), &mut work);
    view.add_work(&mut work);
    SyncReply::News(Box::new(OrdererNews {
        age_ms: now.since(answered_at),
        lease_end: None,
        orderer,
        engines: view.engines_since(ask.view_version),
        work: work.into_iter().collect(),
        ready_in_ms: view.ready_in_ms(now),
        separate: view.separate(),
        tables: host.followed.word(now, ask.upstreams_from),
        members: host.members.borrow().news_since(ask.members_generation),
        totals,
    }))
}

/// Takes what a host reports to be added up.
fn take_counts<P: Platform>(host: &Host<P>, ask: &SyncAsk) {
    limits::take_usage(host, &ask.usage);
    upstream_limits::take_report(host, &ask.upstream_limits);
    crashes::take_report(host, &ask.crashes);
}

/// Returns what is added up, for a host that reported to it.
fn totals<P: Platform>(host: &Host<P>, ask: &SyncAsk) -> Totals {
    Totals {
        limits: limits::news(host),
        crashes: crashes::news(host, ask.crashes.known),
        upstream_limits: upstream_limits::news(host),
    }
}

/// Tells the orderer this host's demand, itself or through a relay, and takes what it says, again and again: at once
/// when a request waits for a model or a long prompt begins or ends, else now and then.
pub async fn sync<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>, me: Member) {
    let mut waited_for = false;
    let mut is_answered = true;
    loop {
        Timer::after(stretched(&host, LEAST_SYNC_MS).to_duration()).await;
        let is_urgent = match is_answered {
            true => host.wait_for_news(interval_ms(&host, waited_for)).await,
            false => true,
        };
        let asked_at = host.now();
        let ask = sync_ask(&host, &me, is_urgent);
        waited_for = ask.demand.iter().any(|(_, count)| count.waiting > 0);
        is_answered = exchange(&host, &peers, &me, asked_at, ask).await;
    }
}

/// Asks the parent. Returns false when another one is to be asked at once.
async fn exchange<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    me: &Member,
    asked_at: Millis,
    ask: SyncAsk,
) -> bool {
    if host.is_orderer() {
        take_reply(host, asked_at, answer(host, ask));
        return true;
    }
    if host.is_unknown_to_others(me) {
        return true;
    }
    let parent = {
        let parents = host.parents.borrow();
        parents.choose(asked_at, &host.tree.borrow(), me)
    };
    let Parent::Relay(relay) = parent else {
        let mut ask = SyncAsk {
            is_for_orderer: true,
            ..ask
        };
        if !host.hears_orderer(asked_at) {
            report_to_collector(host, peers, me, asked_at, &mut ask).await;
        }
        let orderer = host.orders.borrow().holder().cloned();
        if let Some(orderer) = orderer
            && let Some(reply) = ask_peer(peers, orderer.peer_address, ask).await
        {
            take_reply(host, asked_at, reply);
        }
        return true;
    };
    let reply = ask_peer(peers, relay.peer_address, ask).await;
    note_relay(host, &relay, reply.as_ref())
        && reply.is_some_and(|reply| {
            take_reply(host, asked_at, reply);
            true
        })
}

/// Reports what this host counts to the first collector while nobody orders, so that it is known for the whole site: the
/// share that one relay's hosts have of a limit seldom holds a whole request, and each of them sees few crashes.
async fn report_to_collector<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    me: &Member,
    asked_at: Millis,
    ask: &mut SyncAsk,
) {
    let first = {
        let tree = host.tree.borrow();
        let parents = host.parents.borrow();
        let mut collectors = tree.collectors().iter();
        collectors
            .find(|first| !parents.has_failed(asked_at, first))
            .cloned()
    };
    let Some(first) = first.filter(|first| first.incarnation != me.incarnation) else {
        return;
    };
    let use_alone = SyncAsk {
        is_for_orderer: false,
        demand: Vec::new(),
        work: Vec::new(),
        ..ask.clone()
    };
    match ask_peer(peers, first.peer_address, use_alone).await {
        Some(SyncReply::NoNews { totals }) => take_totals(host, asked_at, totals),
        Some(SyncReply::News(news)) => take_totals(host, asked_at, news.totals),
        // In a small site no host relays.
        Some(SyncReply::NotOrderer { crashes, .. }) => {
            crashes::take_news(host, &crashes);
            ask.crashes.evidence.clear();
            return;
        }
        None => {
            host.parents.borrow_mut().note_failed(asked_at, &first);
            return;
        }
    }
    ask.usage.clear();
    ask.upstream_limits.usage.clear();
    ask.crashes.evidence.clear();
}

async fn ask_peer(peers: &Peers, address: SocketAddr, ask: SyncAsk) -> Option<SyncReply> {
    match peers.call(address, &PeerCall::Sync(ask)).await? {
        PeerReply::Sync(reply) => Some(reply),
        PeerReply::AppendedLease(_) | PeerReply::List(_) | PeerReply::Desired(_) => None,
    }
}

/// Takes note of a relay's answer. Returns whether it relays.
fn note_relay<P: Platform>(host: &Host<P>, relay: &Member, reply: Option<&SyncReply>) -> bool {
    let now = host.now();
    let mut parents = host.parents.borrow_mut();
    match reply {
        Some(SyncReply::News(news)) => parents.note_answered(now, relay, Some(news.age_ms)),
        Some(SyncReply::NoNews { .. }) => parents.note_answered(now, relay, None),
        Some(SyncReply::NotOrderer { .. }) | None => {
            parents.note_failed(now, relay);
            return false;
        }
    }
    true
}

/// Returns how often this host speaks with the orderer or its relay when nothing cannot wait.
pub fn interval_ms<P: Platform>(host: &Host<P>, waited_for: bool) -> Millis {
    match waited_for {
        true => stretched(host, WAITING_SYNC_MS),
        false => stretched(host, SYNC_MS),
    }
}

/// Returns an interval of a small site as long as it must be with the hosts that speak with the same one.
fn stretched<P: Platform>(host: &Host<P>, interval_ms: Millis) -> Millis {
    let tree = host.tree.borrow();
    let is_direct = host.is_orderer() || tree.is_relay(host.incarnation);
    Millis(interval_ms.0 * tree.interval_factor(is_direct))
}

/// Returns this host's own work at each upstream.
fn own_work<P: Platform>(host: &Host<P>) -> IndexMap<Name, UpstreamLoad> {
    let upstreams = host.upstreams.borrow();
    let work = upstreams.busy().map(|upstream| {
        let work = UpstreamLoad {
            prompt_tokens: upstream.prompt_tokens,
            long_prompts: upstream.long_prompts,
            running: upstream.in_flight,
        };
        (upstream.entry.id.clone(), work)
    });
    work.collect()
}

fn sync_ask<P: Platform>(host: &Host<P>, me: &Member, is_urgent: bool) -> SyncAsk {
    let mut work = own_work(host);
    let mut gather = host.gather.borrow_mut();
    let demand = gather.take_demand(host.now(), host.demand.borrow_mut().take());
    gather.add_work(None, &mut work);
    let through = gather.heard() as u32;
    drop(gather);
    SyncAsk {
        incarnation: me.incarnation,
        is_for_orderer: false,
        is_urgent,
        view_version: host.view.borrow().version(),
        members_generation: host.members.borrow().wants_from(),
        work: work.into_iter().collect(),
        demand,
        upstreams_from: host.followed.wants_from(),
        through,
        usage: limits::report(host),
        crashes: crashes::report(host),
        upstream_limits: upstream_limits::report(host),
    }
}

fn take_reply<P: Platform>(host: &Host<P>, asked_at: Millis, reply: SyncReply) {
    match reply {
        SyncReply::NoNews { totals } => take_totals(host, asked_at, totals),
        SyncReply::NotOrderer {
            resignation,
            crashes,
            ..
        } => {
            crashes::take_news(host, &crashes);
            let mut orders = host.orders.borrow_mut();
            match resignation {
                Some(resignation) => orders.lease.note_resigned(host.now(), resignation),
                None => orders.lease.note_gone(),
            }
            host.view.borrow_mut().answered_at = None;
        }
        SyncReply::News(news) => take_news(host, asked_at, *news),
    }
}

fn take_totals<P: Platform>(host: &Host<P>, asked_at: Millis, totals: Totals) {
    limits::take_reply(host, asked_at, totals.limits);
    crashes::take_news(host, &totals.crashes);
    upstream_limits::take_news(host, asked_at, totals.upstream_limits);
}

fn take_news<P: Platform>(host: &Host<P>, asked_at: Millis, news: OrdererNews) {
    let now = host.now();
    let OrdererNews {
        age_ms,
        lease_end,
        orderer,
        engines,
        work,
        ready_in_ms,
        separate,
        tables,
        members,
        totals,
    } = news;
    take_totals(host, asked_at, totals);
    if !host.is_orderer() {
        let mut orders = host.orders.borrow_mut();
        orders.note_told(orderer);
        if let Some(end) = lease_end {
            orders.lease.note_told_end(now, end);
        }
        drop(orders);
        if age_ms < STALE_MS {
            host.members.borrow_mut().note_heard(now);
        }
        if host.followed.take_word(asked_at, tables) {
            host.upstreams.borrow_mut().note_heard(now);
        }
        if let Some(members) = members {
            host.take_members_news(members);
        }
    }
    let mut view = host.view.borrow_mut();
    view.answered_at = view.answered_at.max(Some(now - age_ms));
    view.take_engines(engines);
    view.take_work(work);
    view.take_ready(now, ready_in_ms);
    view.take_separate(separate);
    view.answers += 1;
    drop(view);
    host.note_change();
}
