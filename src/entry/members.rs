//! Keeps this host in the group of hosts, which is kept in the platform's store, and knows the
//! other hosts in it.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Joined, Platform, StoreCall, StoreError};
use crate::entry::table_sources::orderer_cannot_read;
use crate::group::members::{MembersChange, MembersUpdate};
use crate::group::read_policy::{MIN_READ_INTERVAL_MS, ReadConditions, Role};
use crate::group::{Generation, Member};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;

/// How often a host renews its membership. The call costs a tenth of others, and the host learns of
/// a change of the group with the next one.
const JOIN_INTERVAL_MS: Millis = Millis(1_000);
/// How long a member stays listed without a renewal, so that one may be lost. A host whose process
/// is suspended is named to callers for that long, and they send to it.
const LAPSE_MS: Millis = Millis(2_200);
/// For how long after its start a host that no orderer answers reads the group often; the
/// memberships of the previous processes have lapsed by then.
const STARTUP_MS: Millis = Millis(5_000);
/// The pauses after failed renewals in a row; the last one repeats, since refused calls are paid
/// too.
const RETRY_PAUSES_MS: [Millis; 3] = [Millis(500), Millis(500), Millis(1_000)];

#[derive(Serialize)]
struct MembersLine {
    generation: Generation,
    members: usize,
    joined: Vec<SocketAddr>,
    left: Vec<SocketAddr>,
    /// Whether another host sent the change, rather than the group store.
    told: bool,
}

#[derive(Serialize)]
struct StoreLine<'a> {
    call: &'static str,
    error: &'a str,
}

/// What a host knows about changes of the group from its renewals.
struct Renewal {
    /// What the last renewal returned.
    joined: Joined,
    /// Since when the list known here is older than the group was at that renewal.
    behind_since: Option<Millis>,
}

/// Keeps this host in the group and its list of the group fresh. Leaves the group and returns at a
/// planned stop.
pub async fn maintain_membership<P: Platform>(host: Rc<Host<P>>, me: Member) {
    let name = me.to_text();
    let mut failures = 0;
    let mut renewal = Renewal {
        joined: Joined {
            generation: Generation::default(),
            is_listed: false,
        },
        behind_since: None,
    };
    loop {
        let stop = host.next_stop();
        let refused = host.next_unknown_peer();
        if host.is_stopping() {
            break;
        }
        match renew_membership(&host, &name, &mut renewal).await {
            Ok(()) => {
                if std::mem::take(&mut failures) > 0 {
                    log_store_call(LogEvent::LogBack, "join", "");
                }
                let pause = async {
                    Timer::after(MIN_READ_INTERVAL_MS.to_duration()).await;
                    if !is_starting_without_orderer(&host, host.now()) {
                        with_timeout(JOIN_INTERVAL_MS - MIN_READ_INTERVAL_MS, refused).await;
                    }
                };
                futures_lite::future::or(pause, stop).await;
            }
            Err(error) => {
                if failures == 0 {
                    log_store_call(LogEvent::LogLost, "join", &error.to_string());
                }
                let pause_ms = RETRY_PAUSES_MS[failures.min(RETRY_PAUSES_MS.len() - 1)];
                failures += 1;
                with_timeout(pause_ms, stop).await;
            }
        }
    }
    let leave = host.platform.leave(&name);
    if let Err(error) = host.count_call(StoreCall::Leave, leave).await {
        log_store_call(LogEvent::LogLost, "leave", &error.to_string());
    }
}

fn log_store_call(event: LogEvent, call: &'static str, error: &str) {
    lines::write(event, &StoreLine { call, error });
}

async fn renew_membership<P: Platform>(
    host: &Host<P>,
    name: &str,
    renewal: &mut Renewal,
) -> Result<(), StoreError> {
    let lapse_ms = LAPSE_MS.max(host.settings().bounds.member_lapse_ms);
    // The newest generation seen lets the group give this host's surplus places to hosts that
    // joined since then.
    let join = host
        .platform
        .join(name, renewal.joined.generation, lapse_ms);
    renewal.joined = host.count_call(StoreCall::Join, join).await?;
    let Joined {
        generation,
        is_listed,
    } = renewal.joined;
    let now = host.now();
    {
        let mut members = host.members.borrow_mut();
        members.note_contact(now);
        members.note_store_generation(generation);
    }
    let refused_unlisted_peer = host.has_unknown_peer.take();
    if generation == host.members.borrow().generation() {
        renewal.behind_since = None;
        return Ok(());
    }
    let behind_since = *renewal.behind_since.get_or_insert(now);
    let case = ReadConditions {
        list_age_ms: host.members.borrow().confirmed_at().map(|at| now.since(at)),
        outdated_ms: now.since(behind_since),
        listed: host.members.borrow().count(),
        is_listed,
        started_recently: host.age_ms(now) < STARTUP_MS,
        refused_unlisted_peer,
        role: role(host, now),
    };
    if case.is_due() {
        let names = host
            .count_call(StoreCall::ReadMembers, host.platform.members())
            .await?;
        renewal.behind_since = None;
        apply_names(host, now, generation, &names);
    }
    Ok(())
}

fn role<P: Platform>(host: &Host<P>, now: Millis) -> Role {
    let is_collector = host.tree.borrow().is_collector(host.incarnation);
    match (
        host.is_orderer(),
        host.has_recent_orderer_answer(now),
        host.is_relay(),
    ) {
        (true, _, _) => Role::Orderer,
        (false, true, _) if is_collector && orderer_cannot_read(host, now) => Role::Collector,
        (false, true, true) => Role::Relay,
        (false, true, false) => Role::Follower,
        (false, false, _) => Role::WithoutOrderer,
    }
}

/// Tells whether this host started a moment ago and no orderer answers it. When all hosts restart
/// at once, the list shows the previous processes for a second or two, and no host finds a relay
/// by it.
fn is_starting_without_orderer<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    host.age_ms(now) < STARTUP_MS && !host.has_recent_orderer_answer(now)
}

fn apply_names<P: Platform>(
    host: &Host<P>,
    now: Millis,
    generation: Generation,
    names: &IndexSet<Name>,
) {
    let list = names
        .iter()
        .filter_map(|name| Member::from_text(name))
        .collect();
    let change = host.members.borrow_mut().replace(now, generation, list);
    log_change(host, &change, false);
}

impl<P: Platform> Host<P> {
    /// Applies changes of the list of hosts that another host sent. Changes that do not lead to the
    /// newest list are ignored; the list is then read.
    pub fn apply_members_update(&self, update: MembersUpdate) {
        let change = self.members.borrow_mut().apply(self.now(), update);
        if let Some(change) = change {
            log_change(self, &change, true);
        }
    }
}

fn log_change<P: Platform>(host: &Host<P>, change: &MembersChange, told: bool) {
    if change.is_empty() {
        return;
    }
    let addresses = |members: &[Member]| {
        let addresses = members.iter().map(|member| member.caller_address);
        addresses.collect()
    };
    let line = MembersLine {
        generation: change.to,
        members: host.members.borrow().count(),
        joined: addresses(&change.joined),
        left: addresses(&change.left),
        told,
    };
    lines::write(LogEvent::MembersChanged, &line);
    host.apply_member_list();
}
