//! Which hosts there are: a group on the platform's store.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Platform, StoreError};
use crate::http1::client::within;
use crate::prelude::*;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;

/// How often a host renews its membership. A call costs a tenth of others, and a change of the group is
/// learned with the next one.
const JOIN_INTERVAL_MS: Millis = Millis(1_000);
/// How long a silent member stays: one lost renewal is borne. A host that is suspended is named to callers for as long,
/// and they send to it.
const LAPSE_MS: Millis = Millis(2_200);
/// How often the group is read at most: when many hosts start, each of them changes it.
const READ_MS: Millis = Millis(1_800);
/// The same when a host was refused that is not listed yet.
const REFUSED_READ_MS: Millis = Millis(500);
/// The pauses after failures in a row, the last one from then on: a refused call is paid too.
const RETRY_MS: [Millis; 3] = [Millis(500), Millis(500), Millis(1_000)];

/// One host as the group names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The SHA-256 of the certificate by which other hosts know it, as hex digits.
    pub fingerprint: Name,
}

impl Member {
    /// Writes the member as the group's name for it.
    pub fn to_text(&self) -> String {
        let Self {
            caller_address,
            peer_address,
            data_centre,
            incarnation,
            fingerprint,
        } = self;
        format!("{caller_address};{peer_address};{data_centre};{incarnation:x};{fingerprint}")
    }

    /// Reads a member from the group's name for it; nothing when it is another release's.
    pub fn from_text(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        Some(Self {
            caller_address: parts.next()?.parse().ok()?,
            peer_address: parts.next()?.parse().ok()?,
            data_centre: parts.next()?.into(),
            incarnation: u64::from_str_radix(parts.next()?, 16).ok()?,
            fingerprint: parts.next()?.into(),
        })
    }
}

/// The members of the group, as last read.
#[derive(Clone, Debug, Default)]
pub struct Members {
    generation: u64,
    list: IndexSet<Member>,
    read_at: Option<Millis>,
}

impl Members {
    /// Returns how many hosts there are; this one counts before the group was read.
    pub fn count(&self) -> usize {
        self.list.len().max(1)
    }

    /// Returns the hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.list.iter()
    }
}

#[derive(Serialize)]
struct MembersLine {
    generation: u64,
    members: usize,
    joined: Vec<SocketAddr>,
    left: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct StoreLine<'a> {
    call: &'static str,
    error: &'a str,
}

/// Keeps this host in the group and reads the group when it has changed, until a planned stop.
pub async fn keep<P: Platform>(host: Rc<Host<P>>, me: Member) {
    let name = me.to_text();
    let mut failures = 0;
    loop {
        let stop = host.next_stop();
        let refused = host.next_unknown_peer();
        if host.is_stopping() {
            break;
        }
        match renew(&host, &name).await {
            Ok(()) => {
                if std::mem::take(&mut failures) > 0 {
                    lines::write(
                        LogEvent::LogBack,
                        &StoreLine {
                            call: "join",
                            error: "",
                        },
                    );
                }
                let rest = async {
                    Timer::after(REFUSED_READ_MS.to_duration()).await;
                    within(JOIN_INTERVAL_MS - REFUSED_READ_MS, refused).await;
                };
                futures_lite::future::or(rest, stop).await;
            }
            Err(error) => {
                if failures == 0 {
                    let error = &error.to_string();
                    lines::write(
                        LogEvent::LogLost,
                        &StoreLine {
                            call: "join",
                            error,
                        },
                    );
                }
                let pause_ms = RETRY_MS[failures.min(RETRY_MS.len() - 1)];
                failures += 1;
                within(pause_ms, stop).await;
            }
        }
    }
    if let Err(error) = host.count_call(host.platform.leave(&name)).await {
        let error = &error.to_string();
        lines::write(
            LogEvent::LogLost,
            &StoreLine {
                call: "leave",
                error,
            },
        );
    }
}

async fn renew<P: Platform>(host: &Host<P>, name: &str) -> Result<(), StoreError> {
    let known = host.members.borrow().generation;
    let lapse_ms = LAPSE_MS.max(host.settings().bounds.member_lapse_ms);
    let generation = host
        .count_call(host.platform.join(name, known, lapse_ms))
        .await?;
    let now = host.now();
    let read_at = host.members.borrow().read_at;
    let rest_ms = match host.has_unknown_peer.take() {
        true => REFUSED_READ_MS,
        false => READ_MS,
    };
    let is_due = read_at.is_none_or(|at| now.since(at) >= rest_ms);
    if generation != known && is_due {
        let names = host.count_call(host.platform.members()).await?;
        take(host, now, generation, &names);
    }
    Ok(())
}

fn take<P: Platform>(host: &Host<P>, now: Millis, generation: u64, names: &IndexSet<Name>) {
    let list: IndexSet<Member> = names
        .iter()
        .filter_map(|name| Member::from_text(name))
        .collect();
    let mut members = host.members.borrow_mut();
    let addresses = |of: &IndexSet<Member>, but: &IndexSet<Member>| {
        of.difference(but)
            .map(|member| member.caller_address)
            .collect::<Vec<_>>()
    };
    let line = MembersLine {
        generation,
        members: list.len(),
        joined: addresses(&list, &members.list),
        left: addresses(&members.list, &list),
    };
    if !line.joined.is_empty() || !line.left.is_empty() {
        lines::write(LogEvent::MembersChanged, &line);
    }
    *members = Members {
        generation,
        list,
        read_at: Some(now),
    };
    drop(members);
    host.accept_listed();
}
