//! The hosts of a simulated site and their exchange of evidence, while hosts are killed, frozen and
//! disconnected.

use crate::prelude::*;
use crate::retry::Quarantine;
use crate::retry::message::{Evidence, SharedEvidence};

/// Length of a simulated step.
pub const STEP_MS: Millis = Millis(25);
/// Interval of a host's exchanges with its parent. New evidence is sent in the next step.
const SYNC_INTERVAL_MS: u64 = 250;
/// Interval at which the orderer stores evidence that must survive a restart of all hosts.
const PERSIST_INTERVAL_MS: u64 = 800;
/// How long ago the last disturbance of a host (restart, freeze, lost connection) must be for it to
/// count as in touch.
pub const SETTLE_MS: Millis = Millis(3_000);

struct ModelHost {
    quarantine: Quarantine,
    /// Partition of the network; hosts in different partitions cannot reach each other.
    partition_id: usize,
    /// When the host was last killed or disconnected, or its connection was last restored.
    disturbed_at: Option<Millis>,
    frozen_until: Millis,
    phase_ms: u64,
}

/// The hosts.
pub struct Network {
    /// The time.
    pub now: Millis,
    /// The host that is the orderer.
    pub orderer: Option<usize>,
    hosts: Vec<ModelHost>,
    relays: usize,
    persisted: Vec<Evidence>,
    persisted_shared: Vec<SharedEvidence>,
    /// The longest message on what requests share.
    pub longest_shared_bytes: usize,
}

impl Network {
    /// Creates hosts, of which the first `relays` are relays.
    pub fn new(now: Millis, hosts: usize, relays: usize) -> Self {
        let host = |n: usize| ModelHost {
            quarantine: Quarantine::default(),
            partition_id: 0,
            disturbed_at: None,
            frozen_until: now,
            phase_ms: (n as u64 * 37) % SYNC_INTERVAL_MS,
        };
        Self {
            now,
            orderer: Some(hosts - 1),
            hosts: (0..hosts).map(host).collect(),
            relays,
            persisted: Vec::new(),
            persisted_shared: Vec::new(),
            longest_shared_bytes: 0,
        }
    }

    /// Returns how many hosts there are.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns a host's evidence.
    pub fn quarantine(&mut self, host: usize) -> &mut Quarantine {
        &mut self.hosts[host].quarantine
    }

    /// Disconnects a host from all others.
    pub fn disconnect(&mut self, host: usize) {
        self.hosts[host].partition_id = host + 1;
        self.hosts[host].disturbed_at = Some(self.now);
    }

    /// Restores all connections between hosts.
    pub fn reconnect(&mut self) {
        for host in &mut self.hosts {
            if host.partition_id != 0 {
                host.disturbed_at = Some(self.now);
            }
            host.partition_id = 0;
        }
    }

    /// Kills a host, which restarts at once and knows nothing.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].quarantine = Quarantine::default();
        self.hosts[host].disturbed_at = Some(self.now);
        if self.orderer == Some(host) {
            self.orderer = None;
        }
    }

    /// Lets a host that has restarted read the stored evidence.
    pub fn restore(&mut self, host: usize) {
        let quarantine = &mut self.hosts[host].quarantine;
        quarantine.merge_evidence(self.now, &self.persisted);
        quarantine.merge_shared_evidence(self.now, &self.persisted_shared);
    }

    /// Freezes a host for `ms` milliseconds.
    pub fn freeze(&mut self, host: usize, ms: u64) {
        self.hosts[host].frozen_until = self.now + Millis(ms);
        if self.orderer == Some(host) {
            self.orderer = None;
        }
    }

    /// Tells whether a host is frozen.
    pub fn is_frozen(&self, host: usize) -> bool {
        self.now < self.hosts[host].frozen_until
    }

    /// Tells whether a host is connected, and its last disturbance is longer ago than `SETTLE_MS`.
    pub fn is_in_touch(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        let since = host.disturbed_at.max(Some(host.frozen_until));
        host.partition_id == 0 && since.is_none_or(|at| self.now.since(at) > SETTLE_MS)
    }

    /// Lets the hosts exchange evidence, and the orderer store it, where they are due.
    pub fn step(&mut self) {
        self.sync();
        self.persist();
    }

    fn sync(&mut self) {
        for n in (0..self.hosts.len()).rev() {
            if self.is_frozen(n) {
                continue;
            }
            let Some(peer) = self.parent(n) else { continue };
            let host = &mut self.hosts[n];
            let report = host.quarantine.report(self.now);
            let bytes = postcard::to_stdvec(&report.shared).expect("the message serialises");
            self.longest_shared_bytes = self.longest_shared_bytes.max(bytes.len());
            let is_due = (self.now.0 + host.phase_ms) % SYNC_INTERVAL_MS < STEP_MS.0;
            if !is_due && report.evidence.is_empty() && report.shared.is_empty() {
                continue;
            }
            let parent = &mut self.hosts[peer].quarantine;
            parent.merge_report(self.now, &report);
            let update = parent.build_update(self.now, report.known);
            self.hosts[n].quarantine.apply_update(self.now, &update);
        }
    }

    /// Returns the parent of a host: its relay, the orderer, or, while there is no orderer, the
    /// first reachable of the other hosts.
    fn parent(&self, n: usize) -> Option<usize> {
        let can_reach = |parent: &usize| {
            self.hosts[n].partition_id == self.hosts[*parent].partition_id
                && !self.is_frozen(*parent)
        };
        if self.orderer == Some(n) {
            return None;
        }
        let orderer = self.orderer.filter(can_reach);
        let collector = (0..self.relays.max(3))
            .find(can_reach)
            .filter(|first| *first < n);
        match n < self.relays || self.relays == 0 {
            true => orderer.or(collector),
            false => {
                let relays = [n % self.relays, (n + 1) % self.relays];
                relays.into_iter().find(can_reach).or(orderer)
            }
        }
    }

    fn persist(&mut self) {
        if let Some(orderer) = self.orderer
            && self.now.0 % PERSIST_INTERVAL_MS < STEP_MS.0
            && !self.is_frozen(orderer)
        {
            let quarantine = &self.hosts[orderer].quarantine;
            self.persisted = quarantine.persistent_evidence(self.now);
            self.persisted_shared = quarantine.persistent_shared_evidence(self.now);
        }
    }
}
