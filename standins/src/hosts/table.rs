//! The entries as told, and the entries as shown some time later.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::error::Refusal;
use crate::hosts::{Host, MAX_HOSTS};

/// How many changes may wait to be shown.
const MAX_PENDING_CHANGES: usize = 100_000;

/// An entry as it was last told.
#[derive(Debug)]
struct ToldHost {
    host: Host,
    /// When the entry ends unless it is renewed; none for one set by an operator.
    expires_ms: Option<u64>,
}

/// A change that is shown from `due_ms` on.
#[derive(Debug)]
struct PendingChange {
    due_ms: u64,
    change: Change,
}

#[derive(Debug)]
enum Change {
    Show(Host),
    Hide(Arc<str>),
}

/// Entries by name, told and shown.
#[derive(Debug)]
pub struct HostTable {
    lag_ms: u64,
    expire_ms: u64,
    told: IndexMap<Arc<str>, ToldHost>,
    pending: VecDeque<PendingChange>,
    shown: IndexMap<Arc<str>, Host>,
}

impl HostTable {
    /// Builds an empty table.
    pub fn new(lag_ms: u64, expire_ms: u64) -> Self {
        Self {
            lag_ms,
            expire_ms,
            told: IndexMap::new(),
            pending: VecDeque::new(),
            shown: IndexMap::new(),
        }
    }

    /// Registers or renews a host.
    ///
    /// # Errors
    ///
    /// Refuses when the table is full.
    pub fn register(&mut self, now_ms: u64, host: Host) -> Result<(), Refusal> {
        self.advance(now_ms);
        let is_new = !self.told.contains_key(&host.name);
        if is_new && self.told.len() >= MAX_HOSTS || self.pending.len() >= MAX_PENDING_CHANGES {
            return Err(Refusal::Busy);
        }
        let expires_ms = Some(now_ms + self.expire_ms);
        let name = Arc::clone(&host.name);
        let told = ToldHost {
            host: host.clone(),
            expires_ms,
        };
        let former = self.told.insert(name, told);
        if former.is_none_or(|former| former.host != host) {
            self.schedule(now_ms, Change::Show(host));
        }
        Ok(())
    }

    /// Removes a host; an unknown name is no error.
    pub fn remove(&mut self, now_ms: u64, name: &str) {
        self.advance(now_ms);
        if let Some((name, _)) = self.told.shift_remove_entry(name) {
            self.schedule(now_ms, Change::Hide(name));
        }
    }

    /// Replaces the whole list at once, without lag or expiry.
    pub fn replace(&mut self, hosts: Vec<Host>) {
        self.pending.clear();
        self.told.clear();
        self.shown.clear();
        for host in hosts {
            let name = Arc::clone(&host.name);
            let told = ToldHost {
                host: host.clone(),
                expires_ms: None,
            };
            self.told.insert(Arc::clone(&name), told);
            self.shown.insert(name, host);
        }
    }

    /// Returns the entries as shown now.
    pub fn visible(&mut self, now_ms: u64) -> Vec<Host> {
        self.advance(now_ms);
        self.shown.values().cloned().collect()
    }

    fn advance(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.show_due(now_ms);
    }

    fn expire(&mut self, now_ms: u64) {
        let is_over = |told: &ToldHost| told.expires_ms.is_some_and(|expires| expires <= now_ms);
        let over = self.told.extract_if(.., |_, told| is_over(told));
        let names: Vec<Arc<str>> = over.map(|(name, _)| name).collect();
        for name in names {
            self.schedule(now_ms, Change::Hide(name));
        }
    }

    fn schedule(&mut self, now_ms: u64, change: Change) {
        let due_ms = now_ms + self.lag_ms;
        self.pending.push_back(PendingChange { due_ms, change });
    }

    fn show_due(&mut self, now_ms: u64) {
        while let Some(pending) = self
            .pending
            .pop_front_if(|pending| pending.due_ms <= now_ms)
        {
            match pending.change {
                Change::Show(host) => {
                    self.shown.insert(Arc::clone(&host.name), host);
                }
                Change::Hide(name) => {
                    self.shown.shift_remove(&name);
                }
            }
        }
    }
}
