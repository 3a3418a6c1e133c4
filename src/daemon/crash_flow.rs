//! Requests that crash upstreams, themselves or by what they share with others: which were running at
//! a crash, which are refused, and the exchange of this evidence between hosts.

use crate::attempt::message::{RequestHead, RequestId};
use crate::attempt::requests::TrackedRequest;
use crate::daemon::node::Node;
use crate::membership::message::PeerRequest;
use crate::prelude::*;
use crate::retry::interrupted_requests::InterruptedRun;
use crate::retry::shared_evidence::HeldChange;
use crate::retry::{
    CrashReport, CrashUpdate, RequestCauses, RequestDigest, SharedCause, VersionTag,
};
use crate::upstreams::Lifetime;

/// How often evidence that is new is sent to the other hosts.
const REPORT_INTERVAL_MS: Millis = Millis(100);
/// How often one other host is asked for evidence that this one lacks.
const COMPARE_INTERVAL_MS: Millis = Millis(2_000);
/// Most hosts that get a report at a time.
const MAX_REPORT_PEERS: usize = 64;

/// The crashes of an upstream whose starts nothing else tells apart.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct SeenCrashes {
    count: u64,
    last_at: Millis,
}

/// What this host saw of crashes of services, and when it exchanges evidence next.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CrashState {
    /// The crashes of upstreams that hold no copies.
    seen: IndexMap<Name, SeenCrashes>,
    next_report_at: Millis,
    next_compare_at: Millis,
    /// How many comparisons were made; they take turns over the hosts.
    compared: usize,
}

impl Node {
    /// Returns what in a request may crash the upstreams that run it. Its leading blocks stand for
    /// the parts that prompts share.
    fn causes_of(&self, head: &RequestHead, brand: &str) -> RequestCauses {
        let blocks = head.prefix_hashes.iter();
        let blocks = blocks.map(|hash| SharedCause::part(&head.name, *hash));
        RequestCauses {
            digest: RequestDigest::of(
                Some(brand),
                "",
                &head.name,
                "",
                head.request_sha256.as_bytes(),
            ),
            shared: blocks.chain([SharedCause::model("", &head.name)]).collect(),
        }
    }

    fn causes(&self, request: &TrackedRequest) -> RequestCauses {
        self.causes_of(&request.head, &request.row.brand)
    }

    /// Refuses a request that would crash an upstream.
    ///
    /// # Errors
    ///
    /// Returns the refusal, which states that the request has not run.
    pub fn check_quarantine(
        &mut self,
        now: Millis,
        head: &RequestHead,
        brand: &str,
    ) -> Result<(), Refusal> {
        let causes = self.causes_of(head, brand);
        let Some(hold) = self.quarantine.hold(now, &causes, None) else {
            return Ok(());
        };
        let cause = hold.shared.as_ref().map(|shared| shared.cause);
        if let Some(cause) = cause {
            self.quarantine.note_refused(cause);
        }
        let (digest, left_ms) = (causes.digest, hold.left_ms);
        let id = head.id;
        LogEvent::RequestQuarantined.write(&format!(
            "request={id} digest={digest} cause={} left_ms={left_ms}",
            cause.map_or("none".to_string(), |cause| cause.to_string())
        ));
        let why = "upstreams crashed each time they ran this request or ones that share a part";
        Err(Refusal::new(ErrorKind::Quarantined, why).with_retry_after(left_ms))
    }

    /// Tells whether a request may carry the cause of a crash to a further upstream.
    pub fn is_suspected(&self, request: &TrackedRequest) -> bool {
        self.quarantine.is_suspected(&self.causes(request), None)
    }

    /// Records that the connection to an upstream ended while it ran a request, and has it checked
    /// whether the upstream crashed.
    pub fn note_interrupted(
        &mut self,
        now: Millis,
        id: RequestId,
        upstream: &Name,
        fx: &mut Effects,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let placement = &self.shared.placement;
        let Some(entry) = placement.upstreams.get(upstream) else {
            return;
        };
        if entry.leaving || self.leaving.is_marked(upstream) {
            return;
        }
        let address = entry.address;
        let lifetime = self.lifetime(upstream, request);
        let run = InterruptedRun {
            causes: Arc::new(self.causes(request)),
            version: VersionTag::of(None),
            sent_at: request.phase_since,
            answered_ms: request.answer_began_at.map(|at| now.since(at)),
        };
        match self.quarantine.note_connection_lost(now, &lifetime, &run) {
            true => self.log_held_changes(now),
            false => fx.push(Effect::CheckUpstream { lifetime, address }),
        }
    }

    /// Returns what stands for the start of an upstream that runs a request. That of an engine is the
    /// copy of the model, which ends with it, at all hosts. That of a service is the number of its
    /// crashes that this host saw before it sent the request, so hosts that saw other crashes differ.
    fn lifetime(&self, upstream: &Name, request: &TrackedRequest) -> Lifetime {
        let mut copies = self.shared.placement.copies_of(&request.head.name);
        let copy = copies.find(|(_, copy)| copy.load.upstream == *upstream);
        let number = match (copy, self.crash_state.seen.get(upstream)) {
            (Some((offset, _)), _) => offset.0,
            (None, None) => 0,
            (None, Some(seen)) => seen.count - u64::from(request.phase_since < seen.last_at),
        };
        Lifetime {
            id: upstream.clone(),
            born_at: Millis(number),
        }
    }

    /// Records that nothing accepts connections at an upstream's address: it crashed if requests of
    /// this host were running there.
    pub fn on_upstream_refused(&mut self, now: Millis, lifetime: &Lifetime) {
        let runs = self.quarantine.note_crashed(now, lifetime);
        if !runs.is_empty() {
            let requests = runs.len();
            LogEvent::UpstreamCrashed
                .write(&format!("upstream={} requests={requests}", lifetime.id));
            self.count_crash(now, &lifetime.id);
        }
        self.log_held_changes(now);
    }

    fn count_crash(&mut self, now: Millis, upstream: &Name) {
        let known = &self.shared.placement.upstreams;
        let seen = &mut self.crash_state.seen;
        seen.retain(|name, _| known.contains_key(name));
        if known.contains_key(upstream) {
            let seen = seen.entry(upstream.clone()).or_default();
            seen.count += 1;
            seen.last_at = now;
        }
    }

    /// Records that an upstream answered a request completely.
    pub fn note_answered(&mut self, now: Millis, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let causes = self.causes(request);
        self.quarantine.note_completed(now, causes.digest);
        self.quarantine
            .note_answered(now, &causes, VersionTag::of(None));
        self.log_held_changes(now);
    }

    /// Sends new evidence to the other hosts, and compares it with one of them from time to time.
    /// Runs at each tick.
    pub fn tick_crashes(&mut self, now: Millis, fx: &mut Effects) {
        let me = self.config.me;
        let members = self.shared.members.iter();
        let peers: Vec<_> = members
            .filter(|(host, _)| **host != me)
            .map(|(host, member)| (*host, member.entry.peer_address))
            .collect();
        if peers.is_empty() {
            return;
        }
        let ask = |(peer, address), report: &CrashReport| Effect::AskPeer {
            peer,
            address,
            asked_at: now,
            request: PeerRequest::Crashes(report.clone()),
        };
        let exchange = &mut self.crash_state;
        if now >= exchange.next_report_at && self.quarantine.has_unreported() {
            exchange.next_report_at = now + REPORT_INTERVAL_MS;
            let report = self.quarantine.report(now);
            let asked = peers.iter().take(MAX_REPORT_PEERS);
            fx.extend(asked.map(|peer| ask(*peer, &report)));
            return;
        }
        if now >= exchange.next_compare_at {
            exchange.next_compare_at = now + COMPARE_INTERVAL_MS;
            exchange.compared += 1;
            let peer = peers[exchange.compared % peers.len()];
            fx.push(ask(peer, &self.quarantine.report(now)));
        }
    }

    /// Merges the evidence of a peer and returns what it lacks.
    pub fn on_crash_report(&mut self, now: Millis, report: &CrashReport) -> CrashUpdate {
        self.quarantine.merge_report(now, report);
        self.log_held_changes(now);
        self.quarantine.build_update(now, report.known)
    }

    /// Merges the answer of a peer.
    pub fn on_crash_update(&mut self, now: Millis, update: &CrashUpdate) {
        self.quarantine.apply_update(now, update);
        self.log_held_changes(now);
    }

    fn log_held_changes(&mut self, now: Millis) {
        for change in self.quarantine.take_held_changes(now) {
            match change {
                HeldChange::Held { cause, held } => {
                    let crashes = held.crashes.len();
                    LogEvent::CauseHeld.write(&format!("cause={cause} crashes={crashes}"));
                }
                HeldChange::Released {
                    cause,
                    refused,
                    is_cleared,
                } => {
                    LogEvent::CauseReleased.write(&format!(
                        "cause={cause} refused={refused} is_cleared={is_cleared}"
                    ));
                }
            }
        }
    }
}
