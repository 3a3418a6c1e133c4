//! Which upstream gets a request: by its load, this host's results with it, and what it kept of prompts.
//!
//! Answers the pattern of a few busy models whose prompts share long beginnings: a shared beginning that is
//! read anew costs an engine as much time as the rest of the prompt, but requests of one beginning that all
//! go to one engine wait for each other. So each beginning has a home among the engines that hold the
//! model, and a request leaves it when waiting there costs more than reading the beginning elsewhere.

use crate::prelude::*;
use crate::rendezvous;
use crate::routing::occupancy::Occupancy;
use crate::routing::roles::{is_long, short_copies};
use crate::upstreams::Upstream;

/// What a running request costs another one, in prompt tokens: each step of an engine serves all of them, and a
/// prompt is read in pieces between the steps.
const RUNNING_TOKENS: f64 = 150.0;
/// What a long prompt at a copy for short ones costs, and a short one at a copy for long ones, in prompt tokens: about
/// what makes the streams there late.
const OFF_ROLE_TOKENS: f64 = 14_000.0;
/// Prompt tokens that an engine reads in a millisecond: what a wait is worth against prompts that are read anew.
pub const TOKENS_PER_MS: f64 = 38.0;
/// What an upstream that fails every request costs, in prompt tokens: more than any queue that is worth waiting in.
const FAILING_TOKENS: f64 = 60_000.0;
/// What a request under way at a plain service costs, in shares of the upstream's slots, against failures.
const FAILING_SLOTS: f64 = 4.0;
/// What another data centre costs, in shares of an upstream's slots: it only breaks ties, since a round trip
/// of a few milliseconds is less than any queue.
const FAR_SLOTS: f64 = 0.05;

/// The work of other hosts at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens of requests without a first event.
    pub prompt_tokens: u64,
    /// How many of these requests have long prompts.
    pub long_prompts: u32,
    /// Requests under way.
    pub running: u32,
}

impl std::ops::AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.prompt_tokens += other.prompt_tokens;
        self.long_prompts += other.long_prompts;
        self.running += other.running;
    }
}

impl Work {
    /// Returns the requests of all hosts under way at an upstream, with this host's own.
    pub fn under_way(&self, upstream: &Upstream) -> u32 {
        upstream.in_flight + self.running
    }
}

/// What the choice of an engine needs of a request.
#[derive(Clone, Copy, Debug)]
pub struct PromptShape {
    /// A digest of the model, the adapter and the shared parts of the prompt.
    pub beginning: u64,
    /// The tokens of the shared parts.
    pub shared_tokens: u64,
    /// The tokens of the whole prompt.
    pub tokens: u64,
}

/// What the choice of an engine needs of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCopies<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether its copies are kept apart for long and for short prompts.
    pub are_separate: bool,
    /// What the shared beginning of a prompt costs at an engine that has not read it, as a part of reading it: less than
    /// one where the engine fetches it from another.
    pub reread_cost: f64,
}

impl ModelCopies<'_> {
    /// Returns which engines are kept for the other kind of prompts than this one.
    fn kept_for_others<'a>(
        &self,
        holders: impl Iterator<Item = &'a Upstream> + Clone,
        prompt: PromptShape,
    ) -> IndexSet<&'a Name> {
        if !self.are_separate {
            return IndexSet::new();
        }
        let ids = || holders.clone().map(|upstream| &upstream.entry.id);
        let short = short_copies(self.name, ids());
        let is_long = is_long(prompt.tokens);
        ids()
            .filter(|id| !short.is_empty() && short.contains(id) == is_long)
            .collect()
    }
}

/// Returns the engine from which another one is to fetch a beginning, among those that hold the model: the one to which
/// requests of that beginning go first. For that one itself it is the next, which was the first before a new copy came.
pub fn prefix_source<'a>(
    model: &ModelCopies<'_>,
    holders: impl Iterator<Item = &'a Upstream> + Clone,
    prompt: PromptShape,
    receiver: &str,
) -> Option<&'a Upstream> {
    let kept_for_others = model.kept_for_others(holders.clone(), prompt);
    holders
        .filter(|upstream| !kept_for_others.contains(&upstream.entry.id))
        .filter(|upstream| &*upstream.entry.id != receiver)
        .max_by_key(|upstream| affinity(&upstream.entry.id, prompt.beginning))
}

/// Chooses an engine among those that hold the model: the least predicted wait, in prompt tokens.
pub fn engine<'a>(
    now: Millis,
    model: &ModelCopies<'_>,
    candidates: impl Iterator<Item = (&'a Upstream, Work)>,
    prompt: PromptShape,
    occupancy: Occupancy,
    random: &mut fastrand::Rng,
) -> Option<&'a Upstream> {
    let holders: Vec<_> = candidates.collect();
    let all = holders.iter().map(|(upstream, _)| *upstream);
    let kept_for_others = model.kept_for_others(all, prompt);
    let mut candidates: Vec<_> = holders
        .iter()
        .copied()
        .filter(|(upstream, _)| is_open(now, upstream) && now >= upstream.full_until)
        .collect();
    let home = candidates
        .iter()
        .filter(|(upstream, _)| !kept_for_others.contains(&upstream.entry.id))
        .max_by_key(|(upstream, _)| affinity(&upstream.entry.id, prompt.beginning))
        .map(|(upstream, _)| upstream.entry.id.clone());
    // Of engines that cost the same the first is chosen; hosts that all had one order would fill it together.
    random.shuffle(&mut candidates);
    let cost = |(upstream, others): &(&Upstream, Work)| {
        let prompt_tokens = upstream.prompt_tokens + others.prompt_tokens;
        let under_way = others.under_way(upstream);
        let slot_wait_ms = occupancy.wait_ms(upstream.entry.slots, under_way);
        let read_again = match Some(&upstream.entry.id) == home.as_ref() {
            true => 0.0,
            false => prompt.shared_tokens as f64 * model.reread_cost,
        };
        let off_role = match kept_for_others.contains(&upstream.entry.id) {
            true => OFF_ROLE_TOKENS,
            false => 0.0,
        };
        prompt_tokens as f64
            + read_again
            + off_role
            + f64::from(under_way) * RUNNING_TOKENS
            + slot_wait_ms * TOKENS_PER_MS
            + upstream.health.failure_share(now) * FAILING_TOKENS
    };
    least(candidates, cost)
}

/// Chooses an upstream of a plain service: the least share of slots in use, near ones first.
pub fn service<'a>(
    now: Millis,
    candidates: impl Iterator<Item = &'a Upstream>,
    data_centre: &str,
    point: f64,
) -> Option<&'a Upstream> {
    let candidates: Vec<_> = candidates
        .filter(|upstream| is_open(now, upstream))
        .map(|upstream| (upstream, Work::default()))
        .collect();
    let mut nth = 0;
    let cost = |(upstream, _): &(&Upstream, Work)| {
        nth += 1;
        let used = f64::from(upstream.in_flight) / f64::from(upstream.entry.slots.max(1));
        let far = match &*upstream.entry.data_centre == data_centre {
            true => 0.0,
            false => FAR_SLOTS,
        };
        // Hosts of one data centre without an upstream must not all choose the same one.
        let spread = (point + f64::from(nth) * 0.618).fract() * FAR_SLOTS / 2.0;
        used + far + spread + upstream.health.failure_share(now) * FAILING_SLOTS
    };
    least(candidates, cost)
}

fn is_open(now: Millis, upstream: &Upstream) -> bool {
    !upstream.health.is_backing_off(now)
}

fn least<'a>(
    candidates: Vec<(&'a Upstream, Work)>,
    mut cost: impl FnMut(&(&'a Upstream, Work)) -> f64,
) -> Option<&'a Upstream> {
    let costs = candidates.into_iter().map(|candidate| {
        let cost = cost(&candidate);
        (cost, candidate.0)
    });
    costs
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, upstream)| upstream)
}

/// Returns the rank of an upstream for a beginning: an upstream that comes or goes moves only its own beginnings.
pub fn affinity(id: &str, beginning: u64) -> u64 {
    rendezvous::score(id.as_bytes(), beginning)
}
