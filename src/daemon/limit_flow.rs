//! The rate limits of table rows over all hosts: the home of a row, which is one of the hosts,
//! grants parts of the row's limit to the hosts that have requests for it. A slice is a number of
//! requests that the receiving host may admit.

use crate::admission::quota::QuotaGrant;
use crate::attempt::message::RequestId;
use crate::attempt::requests::Phase;
use crate::daemon::node::Node;
use crate::membership::entry::rank_hosts;
use crate::membership::message::PeerRequest;
use crate::prelude::*;
use crate::table::message::RowKey;

/// How long a request waits for a part of its row's rate limit; then it is refused.
pub const QUOTA_TIMEOUT_MS: Millis = Millis(1_500);

/// The retry time when no better estimate is known.
const RETRY_AFTER_MS: Millis = Millis(1_000);

impl Node {
    /// Requests the quotas that waiting requests need, and forgets expired grants.
    pub fn tick_limits(&mut self, now: Millis, fx: &mut Effects) {
        self.note_members(now);
        self.granting.expire(now);
        self.request_quotas(now, fx);
    }

    fn note_members(&mut self, now: Millis) {
        let present = self.shared.members.iter();
        let members_hash = present.fold(0, |sum: u64, (host, _)| sum.wrapping_add(host.0));
        self.granting.note_members(now, members_hash);
    }

    /// Makes a request of a row with a rate limit wait for a quota.
    pub fn wait_for_quota(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.enter(now, Phase::Metered);
        let row = request.row.clone();
        self.metered.push(&row, id);
        self.request_quotas(now, fx);
    }

    fn request_quotas(&mut self, now: Millis, fx: &mut Effects) {
        for (row, wanted) in self.metered.due(now) {
            let Some(home) = self.home_of_row(&row) else {
                continue;
            };
            if home == self.config.me {
                let grant = self.grant_quota(now, &row, wanted);
                self.on_quota_grant(now, &row, now, grant, wanted, fx);
                continue;
            }
            let Some(member) = self.shared.members.get(home) else {
                continue;
            };
            fx.push(Effect::AskPeer {
                peer: home,
                address: member.entry.peer_address,
                asked_at: now,
                request: PeerRequest::Slice { row, wanted },
            });
        }
    }

    /// Returns the home of a row. It depends only on the present members, so hosts that have
    /// applied the same records agree on it.
    fn home_of_row(&self, row: &RowKey) -> Option<Incarnation> {
        let key = format!("limit {}\n{}", row.brand, row.model);
        let members = self.shared.members.iter().map(|(host, _)| *host);
        rank_hosts(&key, members).first().copied()
    }

    /// Grants a part of a row's rate limit to a host with `wanted` waiting requests. Grants
    /// nothing if this host is not the home of the row, is not fresh, or grants of a former home
    /// may still be valid.
    pub fn grant_quota(&mut self, now: Millis, row: &RowKey, wanted: u32) -> QuotaGrant {
        self.note_members(now);
        let is_home = self.home_of_row(row) == Some(self.config.me);
        let settled = self.granting.is_settled(now, self.config.fresh_bound_ms);
        let limit = self.shared.table.row(row).map(|row| row.requests_per_s);
        match limit {
            Some(None) => QuotaGrant {
                granted: wanted,
                retry_after_ms: RETRY_AFTER_MS,
            },
            Some(Some(limit)) if is_home && settled && self.is_fresh(now) => {
                self.granting.grant(now, row, limit, wanted)
            }
            Some(Some(_)) | None => QuotaGrant {
                granted: 0,
                retry_after_ms: RETRY_AFTER_MS,
            },
        }
    }

    /// Handles the slice that a row's home granted. This host asked for it at `asked_at`, when
    /// `wanted` of its requests were waiting.
    pub fn on_quota_grant(
        &mut self,
        now: Millis,
        row: &RowKey,
        asked_at: Millis,
        grant: QuotaGrant,
        wanted: u32,
        fx: &mut Effects,
    ) {
        let decision = self
            .metered
            .on_quota_grant(now, row, asked_at, grant, wanted);
        for id in decision.refuse {
            let message = format!(
                "the limit of brand {} for {} is reached",
                row.brand, row.model
            );
            let refusal = Refusal::new(ErrorKind::RowLimit, message);
            self.refuse(now, id, refusal.with_retry_after(grant.retry_after_ms), fx);
        }
        for id in decision.begin {
            self.claim_or_enqueue(now, id, fx);
        }
    }

    /// Refuses a request if the home of its row does not answer in time.
    pub fn tick_metered(&mut self, now: Millis, id: RequestId, fx: &mut Effects) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let waited = now.since(request.phase_since) > QUOTA_TIMEOUT_MS;
        if waited || now >= request.deadline_at {
            let message = "the row's limit cannot be checked now";
            let refusal =
                Refusal::new(ErrorKind::RowLimit, message).with_retry_after(RETRY_AFTER_MS);
            self.refuse(now, id, refusal, fx);
        }
    }
}
