//! What to order next.
//!
//! Answers the pattern of many models of which few are busy at a time, the busy ones changing every few seconds, with
//! engines that together hold most but not all of them: a load from the weight store takes longer than most
//! callers wait, a load from an engine's own disk about half a second. So free memory is filled before anyone
//! asks, a model that comes back goes where its weights are at hand, and what makes way for it is what is asked
//! for least.

use crate::desired::{EngineSpec, ModelSpec};
use crate::entry::platform::ModelAsk;
use crate::ordering::book::{Book, ModelDemand};
use crate::ordering::ceiling::Ceiling;
use crate::ordering::census::{ServiceCensus, Tally};
use crate::ordering::copy::{Copy, LoadTime};
use crate::ordering::engine::Engine;
use crate::ordering::ledger::Ledger;
use crate::ordering::message::Action;
use crate::prelude::*;

/// Prompt tokens that an engine reads in a second for a large model; smaller ones are faster in proportion to
/// their weights. From the engines' stated speed.
const PROMPT_TOKENS_PER_S: f64 = 38_000.0;
/// The weights of a model that is read at that speed, in megabytes.
const LARGE_MB: f64 = 34_000.0;
/// The share of an engine's time that a model may need on each engine that holds it before it gets one more: with
/// random arrivals waits grow steeply above it.
const BUSY_SHARE: f64 = 0.35;
/// The share of an engine's slots that one model's requests may take on each engine that holds it before it gets one
/// more copy. Above it arrivals in clusters find all slots taken: with 24 slots, first events began to come late when
/// 28 requests were at an engine, and a load takes a second or more in which the demand grows.
const SLOT_SHARE: f64 = 0.6;
/// Most engines that hold the same model by demand, as a part of all.
const COPIES_PART: f64 = 0.5;
/// How long ago a model was asked for at most to be loaded, or to get another copy.
const RECENT_MS: Millis = Millis(2_500);
/// The weights in megabytes from which a model that is asked with long and with short prompts gets a copy for each: prompts
/// of smaller ones are read so fast that streams are seldom late.
const SEPARATE_MB: f64 = 20_000.0;
/// How long a model that was loaded stays at least: callers come back for it within seconds.
const STAY_MS: Millis = Millis(3_000);
/// How long a model must not have been asked for to make way for one that is asked for.
const IDLE_MS: Millis = Millis(1_500);
/// What an engine is worse by, in prompt tokens a second, for each model with adapters in demand that it holds while a
/// model is loaded there: it takes no adapters meanwhile.
const BLOCKED_ADAPTERS: f64 = 2_000.0;
/// The share of an engine's time that a model's prompts must take on each engine that holds it for another copy in memory
/// that is free. Two prompts of some 9,000 tokens that are read in a row hold up the streams beside them for half a
/// second; at a twentieth of the time one in fifty meets another.
const SPARE_SHARE: f64 = 0.05;
/// What a load from the weight store costs against one from the engine's disk, in prompt tokens a second of what
/// makes way.
const STORE_LOAD: f64 = 4_000.0;

/// An order that the planner wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The engine.
    pub engine: Name,
    /// What to do.
    pub action: Action,
    /// With what.
    pub ask: ModelAsk,
    /// The model that is to be loaded next in the memory that an unload frees.
    pub makes_way_for: Option<Name>,
    /// Why, for the log.
    pub why: &'static str,
}

/// What the planner looks at.
pub struct Planner<'a> {
    /// The present time.
    pub now: Millis,
    /// The service whose engines are planned.
    pub service: &'a str,
    /// What its engines can hold.
    pub spec: &'a EngineSpec,
    /// What they hold.
    pub ledger: &'a Ledger,
    /// What is asked for.
    pub book: &'a Book,
    /// Engines that are leaving or cannot be reached.
    pub unusable: &'a IndexSet<Name>,
}

/// A model with its demand and its copies.
#[derive(Clone, Copy)]
struct Need<'a> {
    model: &'a Name,
    demand: ModelDemand,
    /// Engines that hold it, or will.
    copies: usize,
    /// Engines that hold it now.
    held: usize,
    /// Engines that are to hold it.
    wanted: usize,
}

/// The needs of all models.
type Needs<'a> = IndexMap<&'a Name, Need<'a>>;

impl Planner<'_> {
    /// Returns the next order, if there is one to make now.
    pub fn next(&self, ceiling: &mut Ceiling) -> Option<Planned> {
        let census = self.ledger.census(self.service)?;
        if let Some(order) = self.adapter_order(census) {
            return Some(order);
        }
        let needs = self.needs(census);
        self.model_order(&needs, ceiling)
            .or_else(|| self.spare_order(&needs, ceiling))
            .or_else(|| self.spare_copy(&needs))
            .or_else(|| self.adapter_ahead(census))
    }

    /// Returns the engines that are not to be used, of those that [`Planner::engines`] passes over.
    pub(super) fn unused_engines(&self) -> impl Iterator<Item = &Engine> {
        let engines = self.unusable.iter().filter_map(|id| self.ledger.get(id));
        engines.filter(|engine| &*engine.service == self.service)
    }

    pub(super) fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.ledger.iter().filter(|engine| {
            &*engine.service == self.service && !self.unusable.contains(&engine.id)
        })
    }

    pub(super) fn free_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines().filter(|engine| engine.is_free(self.now))
    }

    fn used_mb(&self, engine: &Engine) -> f64 {
        engine.used_mb(self.now, self.spec)
    }

    /// Tells whether an engine has memory for weights of this size.
    pub(super) fn has_room(&self, engine: &Engine, weights_mb: f64) -> bool {
        self.used_mb(engine) + weights_mb <= self.spec.weights_mb
    }

    /// Loads the model that is most wanted and not on enough engines.
    fn model_order(&self, needs: &Needs<'_>, ceiling: &mut Ceiling) -> Option<Planned> {
        if let Some(order) = self.intended_order(needs, ceiling) {
            return Some(order);
        }
        let lacking = needs.values().filter(|need| need.copies < need.wanted);
        let mut lacking: Vec<Need<'_>> = lacking.copied().collect();
        lacking.sort_by(|a, b| {
            let key = |need: &Need<'_>| (need.copies == 0, need.demand.waiting);
            let by_waiting = key(b).cmp(&key(a));
            by_waiting.then(b.demand.tokens_per_s.total_cmp(&a.demand.tokens_per_s))
        });
        lacking
            .into_iter()
            .find_map(|need| self.place_model(&need, needs, ceiling))
    }

    /// Goes on where memory was freed for a model: loads it, or frees more.
    fn intended_order(&self, needs: &Needs<'_>, ceiling: &mut Ceiling) -> Option<Planned> {
        let is_usable = |engine: &Engine| {
            &*engine.service == self.service
                && !self.unusable.contains(&engine.id)
                && engine.is_free(self.now)
        };
        let mut intending = self.ledger.intending(self.now);
        intending.find_map(|(engine, model)| {
            let need = Need {
                copies: 0,
                ..*needs.get(model)?
            };
            let engine = is_usable(engine).then_some(engine)?;
            self.place_on(&need, needs, std::iter::once(engine), ceiling)
        })
    }

    fn needs(&self, census: &ServiceCensus) -> Needs<'_> {
        let demands = self.book.models(self.now);
        let unused: Vec<&Engine> = self.unused_engines().collect();
        let most = ((census.engines() - unused.len()) as f64 * COPIES_PART) as usize;
        let need = |(model, spec): (&'_ Name, &'_ ModelSpec)| {
            let demand = demands.get(model).copied().unwrap_or_default();
            let Tally { copies, held } = census.model(model);
            (
                demand,
                copies,
                held,
                self.wanted(spec, &demand, most.max(1)),
            )
        };
        let mut needs: Needs<'_> = self
            .spec
            .models
            .iter()
            .map(|(model, spec)| {
                let (demand, copies, held, wanted) = need((model, spec));
                let need = Need {
                    model,
                    demand,
                    copies,
                    held,
                    wanted,
                };
                (model, need)
            })
            .collect();
        for engine in unused {
            for (model, copy) in &engine.copies {
                if let Some(need) = needs.get_mut(model) {
                    need.copies -= usize::from(*copy != Copy::Unloading);
                    need.held -= usize::from(*copy == Copy::Held);
                }
            }
        }
        for (engine, model) in self.ledger.intending(self.now) {
            let is_new = !engine.copies.contains_key(model);
            let is_used = &*engine.service == self.service && !self.unusable.contains(&engine.id);
            if let Some(need) = needs.get_mut(model).filter(|_| is_new && is_used) {
                need.copies += 1;
            }
        }
        needs
    }

    /// Returns how many engines are to hold a model.
    fn wanted(&self, spec: &ModelSpec, demand: &ModelDemand, most: usize) -> usize {
        let asked_of_late = demand
            .last_at
            .is_some_and(|at| self.now.since(at) < RECENT_MS);
        if demand.waiting == 0 && !asked_of_late {
            return 0;
        }
        let by_reading = (demand.tokens_per_s / prompt_speed(spec) / BUSY_SHARE).ceil() as usize;
        let is_separate = spec.weights_mb >= SEPARATE_MB && demand.has_both_kinds();
        let by_kind = 1 + usize::from(is_separate);
        by_reading
            .max(self.copies_by_slots(demand.running))
            .max(by_kind)
            .min(most)
    }

    /// Returns how many engines a model's requests need so that none of them runs out of slots. Requests that wait for the
    /// model itself are among those that run.
    fn copies_by_slots(&self, running: u32) -> usize {
        let slots = f64::from(self.spec.slots.max(1)) * SLOT_SHARE;
        (f64::from(running) / slots).ceil() as usize
    }

    /// Chooses the engine for one more copy: the least that makes way, weights at hand before the weight store.
    fn place_model(
        &self,
        need: &Need<'_>,
        needs: &Needs<'_>,
        ceiling: &mut Ceiling,
    ) -> Option<Planned> {
        let unclaimed = |engine: &&Engine| engine.intended(self.now).is_none();
        // One more copy helps only where it finds slots.
        let has_slots = |engine: &&Engine| need.copies == 0 || self.used_slots(engine) < SLOT_SHARE;
        let engines = self.free_engines().filter(unclaimed).filter(has_slots);
        self.place_on(need, needs, engines, ceiling)
    }

    /// Returns the share of an engine's slots that are taken, by what hosts say.
    fn used_slots(&self, engine: &Engine) -> f64 {
        let running = f64::from(self.book.running_at(&engine.id));
        running / f64::from(self.spec.slots.max(1))
    }

    fn place_on<'b>(
        &self,
        need: &Need<'_>,
        needs: &Needs<'_>,
        engines: impl Iterator<Item = &'b Engine>,
        ceiling: &mut Ceiling,
    ) -> Option<Planned> {
        let spec = self.spec.models.get(need.model)?;
        let may_use_store =
            ceiling.admits(self.now, self.spec.loads_per_s, self.ledger.store_loads());
        let places = engines
            .filter(|engine| !engine.copies.contains_key(need.model))
            .filter(|engine| may_use_store || engine.at_hand.contains(need.model))
            .filter_map(|engine| {
                let lacking_mb = self.used_mb(engine) + spec.weights_mb - self.spec.weights_mb;
                let (victims, lost) = self.victims(engine, lacking_mb, need, needs)?;
                let from_store = match engine.at_hand.contains(need.model) {
                    true => 0.0,
                    false => STORE_LOAD,
                };
                let beside = self.demand_at(engine, needs);
                let cost = lost + from_store + beside + self.blocked_adapters(engine);
                Some((cost, engine, victims))
            });
        let (_, engine, victims) = places.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        let model = |model: &Name| ModelAsk {
            model: model.clone(),
            adapter: None,
        };
        let engine = engine.id.clone();
        Some(match victims.first() {
            Some(victim) => Planned {
                engine,
                action: Action::Unload,
                ask: model(victim),
                makes_way_for: Some(need.model.clone()),
                why: "a model that callers ask for needs its memory",
            },
            None => Planned {
                engine,
                action: Action::Load,
                ask: model(need.model),
                makes_way_for: None,
                why: "callers ask for the model",
            },
        })
    }

    /// Chooses what makes way on an engine: the least asked for first, and nothing that is in use or wanted as much as
    /// what comes. Returns it with the prompt tokens a second that are lost, or nothing when too little may go.
    fn victims(
        &self,
        engine: &Engine,
        lacking_mb: f64,
        need: &Need<'_>,
        needs: &Needs<'_>,
    ) -> Option<(Vec<Name>, f64)> {
        if lacking_mb <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        let held = engine
            .copies
            .iter()
            .filter(|(_, copy)| **copy == Copy::Held);
        let mut candidates: Vec<(f64, &Name)> = held
            .filter(|(model, _)| {
                let loaded_at = engine.loaded_at.get(*model);
                loaded_at.is_none_or(|at| self.now.since(*at) >= STAY_MS)
            })
            .filter_map(|(model, _)| Some((self.value(engine, needs.get(model)?, need)?, model)))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut freed_mb, mut lost, mut victims) = (0.0, 0.0, Vec::new());
        for (value, model) in candidates {
            let adapters = engine.adapters_of(model).count() as f64;
            let spec = self.spec.models.get(model);
            freed_mb += spec.map_or(0.0, |spec| spec.weights_mb + adapters * spec.adapter_mb);
            lost += value;
            victims.push(model.clone());
            if freed_mb >= lacking_mb {
                return Some((victims, lost));
            }
        }
        None
    }

    /// Returns what a copy of a model is worth, in prompt tokens a second; nothing when it must stay.
    fn value(&self, engine: &Engine, held: &Need<'_>, need: &Need<'_>) -> Option<f64> {
        let demand = &held.demand;
        let copies = held.held.max(1);
        let is_idle = demand.waiting == 0
            && demand.running == 0
            && demand
                .last_at
                .is_none_or(|at| self.now.since(at) >= IDLE_MS);
        // A model in use stays, unless other engines hold it too, the one that comes is on none, and nothing runs at
        // this engine: an unload waits for what runs, and the engine refuses requests for the model meanwhile.
        let is_spare = copies > 2 && need.copies == 0 && self.book.running_at(&engine.id) == 0;
        // A copy beyond what the demand needs serves few requests; the others take them.
        let is_beyond = copies > held.wanted.max(1) && demand.running as usize <= copies;
        let may_go = is_idle || is_spare || is_beyond;
        may_go.then(|| demand.tokens_per_s / copies as f64)
    }

    fn blocked_adapters(&self, engine: &Engine) -> f64 {
        let in_demand = engine.copies.keys().filter(|model| {
            let asks = self.book.iter();
            asks.filter(|(ask, _)| ask.adapter.is_some() && ask.model == **model)
                .any(|(_, asked)| asked.per_s(self.now) > 0.05)
        });
        in_demand.count() as f64 * BLOCKED_ADAPTERS
    }

    /// Fills free memory with models that no engine holds, before anyone asks for them.
    fn spare_order(&self, needs: &Needs<'_>, ceiling: &mut Ceiling) -> Option<Planned> {
        let is_missing = |model: &Name| needs.get(model).is_some_and(|need| need.copies == 0);
        let models = self.spec.models.iter();
        let mut missing = models.filter(|(model, _)| is_missing(model)).peekable();
        missing.peek()?;
        let unclaimed = |engine: &&Engine| engine.intended(self.now).is_none();
        let engines: Vec<&Engine> = self.free_engines().filter(unclaimed).collect();
        let asked = self.book.is_asked_of_late(self.now, RECENT_MS);
        for (model, spec) in missing {
            let place = engines
                .iter()
                .filter(|engine| self.has_room(engine, spec.weights_mb))
                // The tightest fit leaves room for the largest.
                .max_by(|a, b| self.used_mb(a).total_cmp(&self.used_mb(b)));
            let Some(engine) = place else { continue };
            let is_at_hand = engine.at_hand.contains(model);
            if !is_at_hand
                && !ceiling.admits_spare(
                    self.now,
                    self.spec.loads_per_s,
                    self.ledger.store_loads(),
                    asked,
                )
            {
                return None;
            }
            return Some(Planned {
                engine: engine.id.clone(),
                action: Action::Load,
                ask: ModelAsk {
                    model: model.clone(),
                    adapter: None,
                },
                makes_way_for: None,
                why: "its memory is free and no engine holds the model",
            });
        }
        None
    }

    /// Gives a model in demand another copy where memory is free and its weights are at hand. It costs an order and is the
    /// first to make way; prompts that are spread over more engines meet less often.
    fn spare_copy(&self, needs: &Needs<'_>) -> Option<Planned> {
        let pressed = needs.values().filter(|need| {
            let spec = self.spec.models.get(need.model);
            let share = spec.map_or(0.0, |spec| need.demand.tokens_per_s / prompt_speed(spec));
            need.wanted > 0 && need.copies > 0 && share > SPARE_SHARE * need.copies as f64
        });
        let mut pressed: Vec<&Need<'_>> = pressed.collect();
        let by_copy = |need: &Need<'_>| need.demand.tokens_per_s / need.copies as f64;
        pressed.sort_by(|a, b| by_copy(b).total_cmp(&by_copy(a)));
        pressed
            .into_iter()
            .find_map(|need| self.place_spare(need, needs))
    }

    fn place_spare(&self, need: &Need<'_>, needs: &Needs<'_>) -> Option<Planned> {
        let spec = self.spec.models.get(need.model)?;
        let per_copy = need.demand.tokens_per_s / need.copies as f64;
        let places = self
            .free_engines()
            .filter(|engine| engine.intended(self.now).is_none())
            .filter(|engine| engine.at_hand.contains(need.model))
            .filter(|engine| !engine.copies.contains_key(need.model))
            .filter(|engine| self.has_room(engine, spec.weights_mb))
            .map(|engine| {
                let beside = self.demand_at(engine, needs);
                (beside + self.blocked_adapters(engine), engine)
            })
            // An engine that has as much to read already takes nothing off the others.
            .filter(|(cost, _)| *cost < per_copy);
        let (_, engine) = places.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        Some(Planned {
            engine: engine.id.clone(),
            action: Action::Load,
            ask: ModelAsk {
                model: need.model.clone(),
                adapter: None,
            },
            makes_way_for: None,
            why: "its memory is free and callers ask for the model",
        })
    }

    /// Returns the prompt tokens a second that an engine is expected to read for the models that it holds.
    fn demand_at(&self, engine: &Engine, needs: &Needs<'_>) -> f64 {
        let needs = engine.copies.keys().filter_map(|model| needs.get(model));
        let shares = needs.map(|need| need.demand.tokens_per_s / need.copies.max(1) as f64);
        shares.sum()
    }

    /// Returns how long the load of an order takes, and whether it is one from the weight store.
    pub fn load_time(&self, planned: &Planned) -> LoadTime {
        load_time(self.spec, self.ledger, &planned.engine, &planned.ask)
    }
}

/// Returns the prompt tokens that an engine reads in a second for a model.
fn prompt_speed(spec: &ModelSpec) -> f64 {
    PROMPT_TOKENS_PER_S * LARGE_MB / spec.weights_mb.max(1.0)
}

/// Returns how long the load of a model on an engine takes.
pub fn load_time(spec: &EngineSpec, ledger: &Ledger, engine: &str, ask: &ModelAsk) -> LoadTime {
    let (Some(model), None) = (spec.models.get(&ask.model), &ask.adapter) else {
        return LoadTime::default();
    };
    let is_at_hand = ledger
        .get(engine)
        .is_some_and(|engine| engine.at_hand.contains(&ask.model));
    LoadTime {
        takes_ms: if is_at_hand {
            model.from_disk_ms
        } else {
            model.load_ms
        },
        from_store: !is_at_hand,
    }
}
