//! Chooses the upstream of a request by load, by this host's recent failures there, and by cached
//! prompt prefixes.
//!
//! Handles workloads in which a few busy models get prompts that share long prefixes. Reading a
//! shared prefix again costs an engine as much time as the rest of the prompt, but if all requests
//! with one prefix went to one engine, they would queue there. So rendezvous hashing gives each
//! prefix a preferred engine among those that hold the model, and a request goes elsewhere when the
//! wait at the preferred engine costs more than reading the prefix again.
//!
//! Handles engines that work at different speeds, or whose KV cache is full before their slots are:
//! the costs of an engine's work are multiplied by its slowness, and the wait for its KV cache
//! counts like the wait for a slot.

use crate::prelude::*;
use crate::rendezvous;
use crate::routing::occupancy::Occupancy;
use crate::routing::roles::{is_long, short_prompt_copies};
use crate::routing::service_wait::{self, Draw, ServiceLoad, Statement};
use crate::upstreams::Upstream;

/// Delay that one running request causes to another, in prompt tokens: each step of an engine
/// serves all running requests, and a prompt is read in chunks between the steps.
const RUNNING_COST_TOKENS: f64 = 150.0;
/// Cost of a long prompt on a copy reserved for short ones, and of a short one on a copy for long
/// ones, in prompt tokens: about the amount that makes the streams there late.
const WRONG_COPY_COST_TOKENS: f64 = 14_000.0;
/// Prompt tokens that an engine reads in a millisecond. Converts waiting times to the unit of the
/// other costs.
pub const PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Cost of an upstream that fails every request, in prompt tokens: more than any queue that is
/// worth waiting in.
const FAILURE_COST_TOKENS: f64 = 60_000.0;
/// How long an engine takes to read its waiting prompts from which it counts as full. Its streams
/// wait for the reading meanwhile.
const FULL_PREFILL_MS: f64 = 300.0;
/// Cost of an upstream of a plain service that fails every request, as a multiple of its slots.
const FAILURE_COST_SLOTS: f64 = 4.0;
/// Cost of an upstream in another data centre, as a fraction of its slots. It only breaks ties,
/// because a round trip of a few milliseconds is shorter than any queue.
const REMOTE_COST_SLOTS: f64 = 0.05;

/// Load that hosts have placed on one upstream. The choice of an upstream uses the sum over all
/// other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Prompt tokens of requests that have not had their first event.
    pub prompt_tokens: u64,
    /// Number of these requests that have long prompts.
    pub long_prompts: u32,
    /// Number of requests in flight.
    pub running: u32,
    /// Tokens that requests in flight may take of the KV cache: those of their prompts and the most
    /// that their answers may have.
    pub held_tokens: u64,
}

impl std::ops::AddAssign for UpstreamLoad {
    fn add_assign(&mut self, other: Self) {
        self.prompt_tokens += other.prompt_tokens;
        self.long_prompts += other.long_prompts;
        self.running += other.running;
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
    }
}

impl UpstreamLoad {
    /// Returns the number of requests in flight at an upstream from all hosts: `self`, which holds
    /// those of the other hosts, plus this host's own.
    pub fn under_way(&self, upstream: &Upstream) -> u32 {
        upstream.in_flight + self.running
    }

    /// Returns whether an engine with this load from all hosts has as much work as it can take, so
    /// that its streams may be slower than usual.
    pub fn is_full(&self, slots: u32) -> bool {
        let has_no_slot = slots > 0 && self.running >= slots;
        has_no_slot || self.prompt_tokens as f64 >= FULL_PREFILL_MS * PREFILL_TOKENS_PER_MS
    }
}

/// An engine that may be chosen for a request, and what is known of it beside its entry.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The engine.
    pub upstream: &'a Upstream,
    /// The load that other hosts have placed on it.
    pub load: UpstreamLoad,
    /// How long it takes for its work, relative to the mean of its service.
    pub slowness: f64,
    /// How long the request would wait for space in its KV cache, at mean speed.
    pub kv_wait_ms: f64,
}

impl Candidate<'_> {
    /// Returns how long a further request would wait for a slot and for space in the KV cache, in
    /// milliseconds. A request that ends releases both at once.
    pub fn start_wait_ms(&self, occupancy: Occupancy) -> f64 {
        let under_way = self.load.under_way(self.upstream);
        let slot_wait_ms = occupancy.wait_ms(self.upstream.entry.slots, under_way);
        slot_wait_ms.max(self.kv_wait_ms) * self.slowness
    }
}

impl<'a> From<(&'a Upstream, UpstreamLoad)> for Candidate<'a> {
    /// Returns an engine of mean speed whose KV cache has space.
    fn from((upstream, load): (&'a Upstream, UpstreamLoad)) -> Self {
        Self {
            upstream,
            load,
            slowness: 1.0,
            kv_wait_ms: 0.0,
        }
    }
}

/// Properties of a request's prompt that the choice of an engine depends on.
#[derive(Clone, Copy, Debug)]
pub struct PromptShape {
    /// Digest of the model, the adapter and the shared prefix of the prompt.
    pub prefix_digest: u64,
    /// Tokens of the shared prefix.
    pub shared_tokens: u64,
    /// Tokens of the whole prompt.
    pub tokens: u64,
}

/// Properties of a model that the choice of an engine depends on.
#[derive(Clone, Copy, Debug)]
pub struct ModelCopies<'a> {
    /// Name of the model.
    pub name: &'a str,
    /// Whether long and short prompts go to separate copies of the model.
    pub separates_prompt_lengths: bool,
    /// Cost of a shared prefix that an engine has not cached, as a fraction of the cost of reading
    /// it; below 1 where the engine fetches the prefix from another engine.
    pub prefix_miss_cost: f64,
}

impl ModelCopies<'_> {
    /// Returns the engines that are reserved for the other kind of prompts (long or short) than
    /// this one.
    fn reserved_for_other_kind<'a>(
        &self,
        holders: impl Iterator<Item = &'a Upstream> + Clone,
        prompt: PromptShape,
    ) -> IndexSet<&'a Name> {
        if !self.separates_prompt_lengths {
            return IndexSet::new();
        }
        let ids = || holders.clone().map(|upstream| &upstream.entry.id);
        let short = short_prompt_copies(self.name, ids());
        let is_long = is_long(prompt.tokens);
        ids()
            .filter(|id| !short.is_empty() && short.contains(id) == is_long)
            .collect()
    }
}

/// Returns the engine from which `receiver` should fetch a prefix: the preferred engine of that
/// prefix among those that hold the model. If `receiver` is itself the preferred engine, this is
/// the next in rank, which was the preferred one before `receiver` became a holder.
pub fn prefix_source<'a>(
    model: &ModelCopies<'_>,
    holders: impl Iterator<Item = &'a Upstream> + Clone,
    prompt: PromptShape,
    receiver: &str,
) -> Option<&'a Upstream> {
    let reserved_for_other_kind = model.reserved_for_other_kind(holders.clone(), prompt);
    holders
        .filter(|upstream| !reserved_for_other_kind.contains(&upstream.entry.id))
        .filter(|upstream| &*upstream.entry.id != receiver)
        .max_by_key(|upstream| affinity(&upstream.entry.id, prompt.prefix_digest))
}

/// Returns how many tokens of a prompt an engine reads: its preferred engine has the shared prefix,
/// and others read it again or fetch it.
pub fn unread_tokens<'a>(
    model: &ModelCopies<'_>,
    holders: impl Iterator<Item = &'a Upstream> + Clone,
    prompt: PromptShape,
    engine: &str,
) -> f64 {
    const NO_RECEIVER: &str = "";
    let preferred = prefix_source(model, holders, prompt, NO_RECEIVER);
    let shared_tokens = prompt.shared_tokens.min(prompt.tokens);
    let prefix_tokens = match preferred {
        Some(preferred) if &*preferred.entry.id == engine => 0.0,
        _ => shared_tokens as f64 * model.prefix_miss_cost,
    };
    (prompt.tokens - shared_tokens) as f64 + prefix_tokens
}

/// Chooses the engine with the lowest predicted wait among those that hold the model, are available
/// and are not full; `None` if there is none. Waits are compared in prompt tokens.
pub fn engine<'a, C: Into<Candidate<'a>>>(
    now: Millis,
    model: &ModelCopies<'_>,
    candidates: impl Iterator<Item = C>,
    prompt: PromptShape,
    occupancy: Occupancy,
    random: &mut fastrand::Rng,
) -> Option<&'a Upstream> {
    let holders: Vec<Candidate<'a>> = candidates.map(Into::into).collect();
    let all = holders.iter().map(|holder| holder.upstream);
    let reserved_for_other_kind = model.reserved_for_other_kind(all, prompt);
    let is_usable = |upstream: &Upstream| is_available(now, upstream) && now >= upstream.full_until;
    let mut candidates: Vec<Candidate<'a>> = holders
        .into_iter()
        .filter(|candidate| is_usable(candidate.upstream))
        .collect();
    let preferred = candidates
        .iter()
        .map(|candidate| &candidate.upstream.entry.id)
        .filter(|id| !reserved_for_other_kind.contains(id))
        .max_by_key(|id| affinity(id, prompt.prefix_digest));
    let preferred = preferred.cloned();
    // The first of several engines with equal cost is chosen. With the same order on all hosts, all
    // of them would send to the same engine.
    random.shuffle(&mut candidates);
    let cost = |candidate: &Candidate<'a>| {
        let id = &candidate.upstream.entry.id;
        let prefix_cost = match Some(id) == preferred.as_ref() {
            true => 0.0,
            false => prompt.shared_tokens as f64 * model.prefix_miss_cost,
        };
        let wrong_copy_cost = match reserved_for_other_kind.contains(id) {
            true => WRONG_COPY_COST_TOKENS,
            false => 0.0,
        };
        let prefix = PrefixCosts {
            prefix_cost,
            wrong_copy_cost,
        };
        engine_cost(now, candidate, prompt, prefix, occupancy)
    };
    let costs = candidates
        .iter()
        .map(|candidate| (cost(candidate), candidate.upstream));
    let lowest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    lowest.map(|(_, upstream)| upstream)
}

/// Costs of an engine for a prompt because another engine is meant for it, in prompt tokens.
#[derive(Clone, Copy)]
struct PrefixCosts {
    /// What the engine has to read again of the shared prefix.
    prefix_cost: f64,
    wrong_copy_cost: f64,
}

/// Returns the predicted wait of a request at an engine, in prompt tokens that an engine of mean
/// speed reads meanwhile.
fn engine_cost(
    now: Millis,
    candidate: &Candidate<'_>,
    prompt: PromptShape,
    prefix: PrefixCosts,
    occupancy: Occupancy,
) -> f64 {
    let Candidate {
        upstream,
        load,
        slowness,
        ..
    } = *candidate;
    let prompt_tokens = upstream.prompt_tokens + load.prompt_tokens;
    let under_way = load.under_way(upstream);
    let running_cost = f64::from(under_way) * RUNNING_COST_TOKENS;
    // Reading the rest of the prompt and running takes the same everywhere but for the slowness.
    let own_tokens = prompt.tokens.saturating_sub(prompt.shared_tokens) as f64;
    let own_cost = (own_tokens + RUNNING_COST_TOKENS) * (slowness - 1.0);
    (prompt_tokens as f64 + prefix.prefix_cost) * slowness
        + prefix.wrong_copy_cost
        + running_cost * slowness
        + candidate.start_wait_ms(occupancy) * PREFILL_TOKENS_PER_MS
        + own_cost
        + upstream.health.failure_share(now) * FAILURE_COST_TOKENS
}

/// Chooses an upstream of a plain service among those that are available; upstreams in
/// `data_centre` win ties. Where an upstream of the service recently stated its load with its pace,
/// the choice is by the time that [`service_wait`] predicts, otherwise by the lowest fraction of
/// slots in use by this host.
pub fn service<'a>(
    now: Millis,
    candidates: impl Iterator<Item = &'a Upstream>,
    data_centre: &str,
    random: &mut fastrand::Rng,
) -> Option<&'a Upstream> {
    let candidates: Vec<_> = candidates.collect();
    let states_pace = candidates.iter().any(|upstream| {
        upstream.known_load.is_some_and(|known| {
            known.load.pace_percent.is_some()
                && now.since(known.stated_at) < service_wait::PACED_SERVICE_MS
        })
    });
    let candidates = candidates.into_iter();
    let available: Vec<_> = candidates
        .filter(|upstream| is_available(now, upstream))
        .collect();
    match states_pace {
        true => service_by_time(now, &available, data_centre, random),
        false => service_by_own_requests(now, available, data_centre, random.f64()),
    }
}

fn service_by_own_requests<'a>(
    now: Millis,
    candidates: Vec<&'a Upstream>,
    data_centre: &str,
    random_unit: f64,
) -> Option<&'a Upstream> {
    let candidates = candidates.into_iter();
    let candidates = candidates
        .map(|upstream| (upstream, UpstreamLoad::default()))
        .collect();
    let mut index = 0;
    let cost = |(upstream, _): &(&Upstream, UpstreamLoad)| {
        index += 1;
        let used = f64::from(upstream.in_flight) / f64::from(upstream.entry.slots.max(1));
        // Spreads the requests of hosts whose data centre has no upstream over the upstreams
        // elsewhere.
        let spread = (random_unit + f64::from(index) * 0.618).fract() * REMOTE_COST_SLOTS / 2.0;
        used + remote_cost(upstream, data_centre)
            + spread
            + upstream.health.failure_share(now) * FAILURE_COST_SLOTS
    };
    lowest_cost(candidates, cost)
}

fn service_by_time<'a>(
    now: Millis,
    candidates: &[&'a Upstream],
    data_centre: &str,
    random: &mut fastrand::Rng,
) -> Option<&'a Upstream> {
    let statement = |upstream: &Upstream| {
        let known = upstream.known_load?;
        Some(Statement {
            load: known.load,
            age_ms: now.since(known.stated_at),
            begun_since: known.begun_since(upstream.in_flight),
        })
    };
    let costs: Vec<service_wait::Candidate> = candidates
        .iter()
        .map(|upstream| {
            let load = ServiceLoad {
                slots: upstream.entry.slots,
                own: upstream.in_flight,
                statement: statement(upstream),
            };
            service_wait::Candidate {
                slots: upstream.entry.slots,
                cost: load.predicted_time()
                    + remote_cost(upstream, data_centre)
                    + upstream.health.failure_share(now) * FAILURE_COST_SLOTS,
            }
        })
        .collect();
    let draw = Draw::suited_to(candidates.iter().map(|upstream| statement(upstream)));
    let chosen = service_wait::choose(&costs, draw, random)?;
    candidates.get(chosen).copied()
}

fn remote_cost(upstream: &Upstream, data_centre: &str) -> f64 {
    match &*upstream.entry.data_centre == data_centre {
        true => 0.0,
        false => REMOTE_COST_SLOTS,
    }
}

/// Tells whether an upstream may get a request: it accepts them and is not in back-off.
pub fn is_available(now: Millis, upstream: &Upstream) -> bool {
    upstream.accepts_requests(now) && !upstream.health.is_backing_off(now)
}

fn lowest_cost<'a>(
    candidates: Vec<(&'a Upstream, UpstreamLoad)>,
    mut cost: impl FnMut(&(&'a Upstream, UpstreamLoad)) -> f64,
) -> Option<&'a Upstream> {
    let costs = candidates.into_iter().map(|candidate| {
        let cost = cost(&candidate);
        (cost, candidate.0)
    });
    costs
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, upstream)| upstream)
}

/// Returns the rendezvous score of an upstream for a prefix. When an upstream is added or removed,
/// only the prefixes that it is preferred for change their preferred upstream.
pub fn affinity(id: &str, prefix_digest: u64) -> u64 {
    rendezvous::score(id.as_bytes(), prefix_digest)
}
