//! What hosts tell each other about the versions of the desired state that they have.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::entry::table_rows::active_version;
use crate::group::Member;
use crate::ordering::message::{SyncReply, SyncRequest};
use crate::prelude::*;
use std::net::SocketAddr;

/// How long a host is behind before it logs that.
const LOG_AFTER_MS: Millis = Millis(1_000);
/// How often a host that stays behind logs that again.
const LOG_AGAIN_MS: Millis = Millis(5_000);

#[derive(Serialize)]
struct BehindLine {
    version: Option<u64>,
    newest: u64,
    /// The host that has the newest version.
    holder: SocketAddr,
    known_behind_ms: Millis,
}

/// Records the version that a host states in its report.
pub fn note_request<P: Platform>(host: &Host<P>, request: &SyncRequest) {
    let own = active_version(host);
    if request.desired_version <= own {
        return;
    }
    let sender = host.members.borrow().find(request.incarnation).cloned();
    if let Some(sender) = sender {
        note_version(host, &sender, request.desired_version);
    }
}

/// Records the version that a host states in its reply to a report.
pub fn note_reply<P: Platform>(host: &Host<P>, replier: &Member, reply: &SyncReply) {
    let version = match reply {
        SyncReply::News(update) => update.tables.desired_version,
        SyncReply::NoNews {
            desired_version, ..
        }
        | SyncReply::NotOrderer {
            desired_version, ..
        } => *desired_version,
    };
    note_version(host, replier, version);
}

fn note_version<P: Platform>(host: &Host<P>, holder: &Member, version: Option<u64>) {
    let own = active_version(host);
    let mut newer = host.newer_versions.borrow_mut();
    newer.note(host.now(), own, holder, version);
}

/// Updates the metric of how long this host has been behind, and logs it if that is long.
pub fn report_behind<P: Platform>(host: &Host<P>) {
    let now = host.now();
    let behind = host.newer_versions.borrow().behind(now);
    let known_ms = behind.as_ref().map(|behind| behind.known_ms);
    host.metrics.set_behind_ms(known_ms.unwrap_or_default());
    let Some(behind) = behind.filter(|behind| behind.known_ms >= LOG_AFTER_MS) else {
        return;
    };
    if now.since(host.behind_logged_at.get()) < LOG_AGAIN_MS {
        return;
    }
    host.behind_logged_at.set(now);
    let line = BehindLine {
        version: active_version(host),
        newest: behind.newest,
        holder: behind.holder.peer_address,
        known_behind_ms: behind.known_ms,
    };
    lines::write(LogEvent::DesiredBehind, &line);
}
