//! A simulated cluster: a few nodes in one thread, with a log, the platform's list, and links that
//! can be cut.

use crate::daemon::event::Event;
use crate::daemon::node::{Life, Node, NodeConfig};
use crate::membership::message::{HostEntry, ListedHost, PlatformList, UpstreamEntry};
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use crate::shared_log::tests::fake_log::{FakeLog, host_entry};
use crate::table::message::Edit;
use crate::table::pending_edits::{CallId, EditResult};

/// How far the simulated time advances in a step.
pub const STEP_MS: Millis = Millis(20);
/// The hosts' freshness bound.
pub const FRESH_BOUND_MS: Millis = Millis(2_000);
const START: Millis = Millis(1_000_000);

/// A node with its inbox and the faults injected into it.
pub struct Host {
    pub node: Node,
    /// Whether the host cannot reach the log.
    pub log_cut: bool,
    /// Whether the host's process is paused.
    pub frozen: bool,
    /// Whether the platform's list lacks the host.
    pub unlisted: bool,
    inbox: Vec<Event>,
    /// The incarnation that the host registered on the platform's list.
    registered: Option<Incarnation>,
}

/// Several nodes, their log and the platform's list.
pub struct Cluster {
    pub now: Millis,
    pub log: FakeLog,
    pub hosts: Vec<Host>,
    /// The links that are cut, as caller and called host.
    pub cut_links: IndexSet<(usize, usize)>,
    /// The results of answered edits.
    pub edits: IndexMap<CallId, EditResult>,
    /// The table versions that answers to edits reported as in force.
    pub in_force: Vec<Offset>,
    pub upstreams: Vec<UpstreamEntry>,
    /// Whether the platform's list cannot be read.
    pub list_away: bool,
    /// Effects that the simulation does not carry out, with the indexes of their hosts.
    pub outputs: Vec<(usize, Effect)>,
    calls: Vec<PeerCall>,
    next_call: u64,
}

struct PeerCall {
    call: CallId,
    caller: usize,
    peer: Incarnation,
    asked_at: Millis,
}

impl Cluster {
    pub fn new(count: usize) -> Self {
        let mut cluster = Self {
            now: START,
            log: FakeLog::default(),
            hosts: Vec::new(),
            cut_links: IndexSet::new(),
            edits: IndexMap::new(),
            in_force: Vec::new(),
            upstreams: Vec::new(),
            list_away: false,
            outputs: Vec::new(),
            calls: Vec::new(),
            next_call: 0,
        };
        for number in 0..count {
            cluster.hosts.push(Host::new(number));
        }
        cluster.run_until("all hosts to serve and to be voters", |cluster| {
            let voters = cluster.hosts[0].node.shared.members.voters().count();
            voters == count && cluster.hosts.iter().all(|host| host.is_fresh(cluster.now))
        });
        cluster
    }

    /// Advances the time by one step and handles all events that are due.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        for index in 0..self.hosts.len() {
            if self.hosts[index].frozen {
                continue;
            }
            let mut events = std::mem::take(&mut self.hosts[index].inbox);
            events.push(Event::Tick);
            for event in events {
                let fx = self.hosts[index].node.handle(self.now, event);
                self.carry_out(index, fx);
            }
        }
        self.check();
    }

    pub fn run_for(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn run_until(&mut self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        const MAX_STEPS: usize = 3_000;
        for _ in 0..MAX_STEPS {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("timed out waiting for {what}");
    }

    /// Queues an event for a host.
    pub fn send(&mut self, host: usize, event: Event) {
        self.hosts[host].inbox.push(event);
    }

    /// Queues an edit for a host. Returns the call that its result will have in `edits`.
    pub fn edit(&mut self, host: usize, edit: Edit) -> CallId {
        let call = self.new_call();
        self.hosts[host].inbox.push(Event::EditAsked { call, edit });
        call
    }

    /// Cuts or restores the link between two hosts.
    pub fn cut_link(&mut self, a: usize, b: usize, cut: bool) {
        for link in [(a, b), (b, a)] {
            if cut {
                self.cut_links.insert(link);
            } else {
                self.cut_links.shift_remove(&link);
            }
        }
    }

    /// Cuts or restores all links of a host, and its connection to the log.
    pub fn cut_host(&mut self, host: usize, cut: bool) {
        self.hosts[host].log_cut = cut;
        for other in 0..self.hosts.len() {
            self.cut_link(host, other, cut);
        }
    }

    /// Checks that no host that may serve lacks an edit that was reported to an operator as in
    /// force.
    fn check(&self) {
        let newest = self.in_force.iter().max().copied().unwrap_or_default();
        for host in &self.hosts {
            if host.frozen || !host.is_fresh(self.now) {
                continue;
            }
            let version = host.node.shared.table.version;
            assert!(
                version >= newest,
                "a host serves version {version}, but {newest} is in force"
            );
        }
    }

    fn new_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    fn carry_out(&mut self, index: usize, fx: Effects) {
        for effect in fx {
            match effect {
                Effect::ReadLog { from, .. } => self.read_log(index, from),
                Effect::AppendLog { records } => self.append_log(index, &records),
                Effect::ListHosts => self.list_hosts(index),
                Effect::RegisterHost { host } => self.hosts[index].registered = Some(host),
                Effect::UnregisterHost => self.hosts[index].registered = None,
                Effect::AskPeer {
                    peer,
                    address,
                    asked_at,
                    request,
                } => {
                    let to = self
                        .hosts
                        .iter()
                        .position(|host| host.node.config.entry.peer_address == address);
                    let to = to.expect("the address of a host of the cluster");
                    if self.cut_links.contains(&(index, to)) || self.hosts[to].frozen {
                        self.hosts[index].inbox.push(Event::PeerFailed { peer });
                        continue;
                    }
                    let call = self.new_call();
                    self.calls.push(PeerCall {
                        call,
                        caller: index,
                        peer,
                        asked_at,
                    });
                    self.hosts[to]
                        .inbox
                        .push(Event::PeerAsked { call, request });
                }
                Effect::AnswerPeer { call, reply } => {
                    let known = self.calls.iter().position(|entry| entry.call == call);
                    let call = self
                        .calls
                        .swap_remove(known.expect("the call is outstanding"));
                    self.hosts[call.caller].inbox.push(Event::PeerAnswered {
                        peer: call.peer,
                        asked_at: call.asked_at,
                        reply,
                    });
                }
                Effect::AnswerEdit { call, result } => {
                    if let Ok(crate::table::message::EditAnswer::InForce { version }) = &result {
                        self.in_force.push(*version);
                    }
                    self.edits.insert(call, result);
                }
                other => self.outputs.push((index, other)),
            }
        }
    }

    fn read_log(&mut self, index: usize, from: Offset) {
        let end_offset = self.log.end();
        let event = if self.hosts[index].log_cut {
            let error = LogCallError::Refused;
            Event::LogReadFailed { error }
        } else {
            let records = self.log.records[from.0 as usize..].to_vec();
            let page = LogPage {
                records,
                next_offset: end_offset,
                end_offset,
                oldest_offset: Offset(0),
            };
            let asked_at = self.now;
            Event::LogRead { asked_at, page }
        };
        self.hosts[index].inbox.push(event);
    }

    fn append_log(&mut self, index: usize, records: &[Record]) {
        let event = if self.hosts[index].log_cut {
            let error = LogCallError::Unknown;
            Event::AppendFailed { error }
        } else {
            self.log.append(records);
            Event::Appended
        };
        self.hosts[index].inbox.push(event);
    }

    fn list_hosts(&mut self, index: usize) {
        if self.list_away {
            self.hosts[index].inbox.push(Event::HostsFailed);
            return;
        }
        let listed = |host: &Host| ListedHost {
            name: host.node.config.entry.name.clone(),
            incarnation: host.registered,
        };
        let hosts = self.hosts.iter().filter(|host| !host.unlisted);
        let list = PlatformList {
            upstreams: self.upstreams.clone(),
            hosts: hosts.map(listed).collect(),
        };
        self.hosts[index].inbox.push(Event::HostsListed { list });
    }
}

impl Host {
    fn new(number: usize) -> Self {
        let entry: HostEntry = host_entry(number as u64 + 1);
        let node = Node::new(NodeConfig {
            me: Incarnation::new(START, number as u64),
            entry,
            fresh_bound_ms: FRESH_BOUND_MS,
            pause_ms: Millis(1_000),
            probe_interval_ms: Millis(250),
            suspect_after_ms: Millis(5_000),
            probes_per_round: 8,
            keep_warm: Default::default(),
        });
        Self {
            node,
            log_cut: false,
            frozen: false,
            unlisted: false,
            inbox: Vec::new(),
            registered: None,
        }
    }

    pub fn is_fresh(&self, now: Millis) -> bool {
        self.node.life == Life::Serving && self.node.is_fresh(now)
    }

    pub fn me(&self) -> Incarnation {
        self.node.config.me
    }
}
