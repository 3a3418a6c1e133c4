//! A host: its lease, its inventory of the engines, and a planner that orders at random within the
//! memory and slots that the inventory shows as free.

use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::group::Member;
use crate::ordering::engine::Engine;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::lease::{CrashEvidence, Lease, LeaseRecord};
use crate::ordering::message::Action;
use crate::prelude::*;
use crate::test_support;
use crate::upstreams::{FormerStart, Lifetime};

/// A step of the lease task that waits for the store.
#[derive(Clone, Debug)]
pub enum LeaseStep {
    /// A read, after which the lease may be claimed.
    Read,
    /// A claim.
    Claim(LeaseRecord),
    /// A renewal.
    Renew(Position, LeaseRecord),
    /// The read after a renewal that did not fit.
    ReadMoved,
    /// The record that releases the lease.
    Release,
}

/// A call of the lease task.
#[derive(Clone, Debug)]
pub struct LeaseCall {
    /// The call's number.
    pub call: u64,
    /// What it is for.
    pub step: LeaseStep,
    /// When it began.
    pub began_at: Millis,
}

/// A host and its process.
pub struct SimHost {
    /// The host's number.
    pub index: usize,
    /// The number of its process; messages to an earlier one are lost.
    pub process: u64,
    /// Whether the process runs.
    pub is_alive: bool,
    /// The lease as it knows it.
    pub lease: Lease,
    /// The engines as it knows them.
    pub inventory: EngineInventory,
    /// Until when it stands still.
    pub frozen_until: Millis,
    /// Until when it is slow.
    pub slow_until: Millis,
    /// The running call of the lease task.
    pub lease_call: Option<LeaseCall>,
    /// The calls to engines that wait for an answer.
    pub open_calls: IndexSet<u64>,
    /// When it last began to read the lease.
    pub read_at: Millis,
    /// Until when it does not claim the lease.
    pub no_claim_until: Millis,
    /// When the orderer last answered it.
    pub answered_at: Option<Millis>,
    /// The host that it takes for the orderer.
    pub orderer: Option<usize>,
    /// As the holder: when another host last reported.
    pub heard_at: Millis,
    /// Whether it stops.
    pub is_stopping: bool,
    /// The engines' numbers of starts when the newest order to each was created.
    pub begun_starts: IndexMap<Name, u64>,
    /// The listed starts of the engines, and what is known of earlier ones.
    pub listed_starts: IndexMap<Name, (Millis, FormerStart)>,
}

impl SimHost {
    /// Starts the process number `process` of a host.
    pub fn new(index: usize, process: u64) -> Self {
        Self {
            index,
            process,
            is_alive: true,
            lease: Lease::default(),
            inventory: EngineInventory::default(),
            frozen_until: Millis::ZERO,
            slow_until: Millis::ZERO,
            lease_call: None,
            open_calls: IndexSet::new(),
            read_at: Millis::ZERO,
            no_claim_until: Millis::ZERO,
            answered_at: None,
            orderer: None,
            heard_at: Millis::ZERO,
            is_stopping: false,
            begun_starts: IndexMap::new(),
            listed_starts: IndexMap::new(),
        }
    }

    /// Returns the host as a member of the group.
    pub fn member(&self) -> Member {
        test_support::member((self.index as u64) << 32 | self.process, "here", 0)
    }

    /// Returns the number of the host that is a member.
    pub fn index_of(member: &Member) -> usize {
        (member.incarnation >> 32) as usize
    }

    /// Returns whether this host may send an order to an engine now. All sends are decided here.
    pub fn may_send(&self, engine: &str, now: Millis) -> bool {
        let engine = self.inventory.get(engine);
        self.lease.may_order(now) && engine.is_some_and(|engine| engine.is_quiet(now))
    }

    /// Records the list of engines. Nothing is known of what was before the first one.
    pub fn note_list<'a>(&mut self, now: Millis, listed: impl Iterator<Item = &'a Lifetime>) {
        let of_unseen = match self.listed_starts.is_empty() {
            true => FormerStart::Unknown,
            false => FormerStart::None,
        };
        for lifetime in listed {
            let former_start = match self.listed_starts.get(&lifetime.id) {
                Some((born_at, _)) if *born_at >= lifetime.born_at => continue,
                Some(_) => FormerStart::Known { list_as_of: now },
                None => of_unseen,
            };
            self.listed_starts
                .insert(lifetime.id.clone(), (lifetime.born_at, former_start));
        }
    }

    /// Sets the engines in the inventory to those that are listed.
    pub fn set_engines(&mut self, now: Millis, listed: Vec<(Lifetime, Name)>) {
        let starts: Vec<_> = listed
            .iter()
            .filter_map(|(lifetime, _)| {
                let (born_at, former_start) = self.listed_starts.get(&lifetime.id)?;
                (*born_at == lifetime.born_at).then(|| (lifetime.clone(), *former_start))
            })
            .collect();
        self.inventory.set_engines(now, listed.into_iter());
        self.inventory.set_former_starts(starts.into_iter());
    }

    /// Creates the record for a claim.
    pub fn claim_record(&mut self) -> LeaseRecord {
        let me = self.member();
        self.lease.claim_record(me, CrashEvidence::default())
    }

    /// Forgets the engines, as at each start and end of a lease.
    pub fn forget_engines(&mut self) {
        self.inventory = EngineInventory::default();
    }

    /// Expects late orders of the former holder, as after each claim.
    pub fn expect_former_orders(&mut self, now: Millis) {
        let holding = self.lease.holding();
        if holding.is_some_and(|holding| !holding.is_first) {
            self.inventory
                .expect_former_orders(now, super::check::ENGINE_LEASE_MS);
        }
    }

    /// Plans orders for free engines. `starts` returns an engine's number of starts.
    pub fn plan(
        &mut self,
        random: &mut fastrand::Rng,
        now: Millis,
        spec: &EngineSpec,
        starts: impl Fn(&str) -> u64,
    ) {
        let engines: Vec<Name> = self
            .inventory
            .iter()
            .map(|engine| engine.id.clone())
            .collect();
        for id in engines {
            if !self.may_send(&id, now) || random.u8(..10) >= 3 {
                continue;
            }
            let engine = self.inventory.get(&id).filter(|engine| engine.is_free(now));
            let Some((action, ask)) = engine.and_then(|engine| choose(random, now, engine, spec))
            else {
                continue;
            };
            self.begun_starts.insert(id.clone(), starts(&id));
            self.inventory.begin(now, &id, action, ask, None);
        }
    }
}

fn choose(
    random: &mut fastrand::Rng,
    now: Millis,
    engine: &Engine,
    spec: &EngineSpec,
) -> Option<(Action, ModelRef)> {
    let model = spec.models.get_index(random.usize(..spec.models.len()))?;
    let adapter = random.bool().then(|| format!("a{}", random.u8(..5)).into());
    let ask = ModelRef {
        model: model.0.clone(),
        adapter,
    };
    let has_room = |mb: f64| engine.used_mb(now, spec) + mb <= spec.weights_mb;
    let holds_model = engine.holds_model(&ask.model);
    let action = match &ask.adapter {
        Some(_) => match engine.adapters.get(&ask) {
            Some(ready_at) => (*ready_at != Millis::NEVER).then_some(Action::Unload)?,
            None => {
                let has_slot = engine.used_adapter_slots(now) < spec.adapter_slots as usize;
                let can_load = holds_model && has_slot && has_room(model.1.adapter_mb);
                can_load.then_some(Action::Load)?
            }
        },
        None if holds_model => random.bool().then_some(Action::Unload)?,
        None => {
            let can_load = !engine.copies.contains_key(&ask.model) && has_room(model.1.weights_mb);
            can_load.then_some(Action::Load)?
        }
    };
    Some((action, ask))
}
