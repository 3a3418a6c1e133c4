//! What to order next.
//!
//! Answers the pattern of many models of which few are busy at a time, the busy ones changing every few seconds, with
//! engines that together hold most but not all of them: a load from the weight store takes longer than most
//! callers wait, a load from an engine's own disk about half a second. So free memory is filled before anyone
//! asks, a model that comes back goes where its weights are at hand, and what makes way for it is what is asked
//! for least.

use crate::desired::EngineSpec;
use crate::entry::platform::ModelAsk;
use crate::ordering::book::Book;
use crate::ordering::ceiling::Ceiling;
use crate::ordering::engine::{Copy, Engine, LoadTime};
use crate::ordering::ledger::Ledger;
use crate::ordering::message::Action;
use crate::prelude::*;
use crate::routing::roles::short_copies;

/// Prompt tokens that an engine reads in a second for a large model; smaller ones are faster in proportion to
/// their weights. From the engines' stated speed.
const PROMPT_TOKENS_PER_S: f64 = 38_000.0;
/// The weights of a model that is read at that speed, in megabytes.
const LARGE_MB: f64 = 34_000.0;
/// The share of an engine's time that a model may need on each engine that holds it before it gets one more: with
/// random arrivals waits grow steeply above it.
const BUSY_SHARE: f64 = 0.35;
/// Most engines that hold the same model by demand, as a part of all.
const COPIES_PART: f64 = 0.5;
/// How long ago a model was asked for at most to be loaded, or to get another copy.
const RECENT_MS: Millis = Millis(2_500);
/// The rates of long and of short prompts, and the weights in megabytes, from which a model gets a copy for each: below
/// them streams are seldom late.
const LONG_PER_S: f64 = 0.5;
const SHORT_PER_S: f64 = 0.7;
const SEPARATE_MB: f64 = 20_000.0;
/// How long a model that was loaded stays at least: callers come back for it within seconds.
const STAY_MS: Millis = Millis(3_000);
/// How long a model must not have been asked for to make way for one that is asked for.
const IDLE_MS: Millis = Millis(1_500);
/// What an engine is worse by, in prompt tokens a second, for each model with adapters in demand that it holds while a
/// model is loaded there: it takes no adapters meanwhile.
const BLOCKED_ADAPTERS: f64 = 2_000.0;
/// What a load from the weight store costs against one from the engine's disk, in prompt tokens a second of what
/// makes way.
const STORE_LOAD: f64 = 4_000.0;
/// Adapters that are brought ahead at once, over all engines: half of what the smallest weight store fetches at full
/// speed, so that those that callers wait for are not slowed.
const AHEAD_AT_ONCE: usize = 4;
/// Places of each engine that are kept for adapters that callers wait for.
const PLACES_KEPT_FREE: usize = 1;
/// How long an adapter takes from the wish to the engine's readiness: an order, the fetch, and the word of it.
const ADAPTER_IN_MS: Millis = Millis(30);
/// By which part of its time so far a load that is overdue is expected to go on: one that waits for others has no end
/// that could be told, and callers are told to come back then.
const OVERDUE_PART: u64 = 4;
/// When an engine that unloads a model takes orders again: the unload and the report of it.
const UNLOADED_IN_MS: Millis = Millis(550);
/// The time of a load from the engine's memory or disk beyond what is stated: the report of its end lags.
const REPORT_LAG_MS: Millis = Millis(250);

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

/// How fast orders take effect.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// How many loads at once the weight store serves at full speed.
    pub store_loads_at_once: usize,
    /// How long until orders may be sent: a new orderer waits until its predecessor's last one is long past.
    pub orders_in_ms: Millis,
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

/// A model with its demand.
struct Need<'a> {
    model: &'a Name,
    waiting: u32,
    tokens_per_s: f64,
    copies: usize,
    wanted: usize,
}

impl Planner<'_> {
    /// Returns the next order, if there is one to make now.
    pub fn next(&self, ceiling: &mut Ceiling) -> Option<Planned> {
        self.adapter_order()
            .or_else(|| self.model_order(ceiling))
            .or_else(|| self.spare_order(ceiling))
            .or_else(|| self.adapter_ahead())
    }

    /// Returns how long until what callers wait for is ready, as far as that can be told.
    pub fn ready_in_ms(&self, pace: Pace) -> Vec<(ModelAsk, Millis)> {
        let waiting = self.book.iter().filter(|(_, asked)| asked.waiting > 0);
        waiting
            .filter(|(ask, _)| self.spec.models.contains_key(&ask.model))
            .filter_map(|(ask, _)| Some((ask.clone(), self.ready_in(ask, pace)?)))
            .collect()
    }

    fn ready_in(&self, ask: &ModelAsk, pace: Pace) -> Option<Millis> {
        let at_once = pace.store_loads_at_once;
        let adapter_ms = match &ask.adapter {
            Some(_) => ADAPTER_IN_MS.max(pace.orders_in_ms),
            None => Millis::ZERO,
        };
        let model_in = |engine: &Engine| match engine.copies.get(&ask.model)? {
            Copy::Held if engine.is_busy() && ask.adapter.is_some() => {
                Some(self.free_in(engine, at_once))
            }
            Copy::Held => Some(Millis::ZERO),
            copy => self.loaded_in(&ask.model, copy, at_once),
        };
        let soonest = self.engines().filter_map(model_in).min();
        let model_ms = match soonest {
            Some(in_ms) => in_ms,
            // An engine of which no report was read may hold the model.
            None if self.engines().any(|engine| !engine.is_known) => return None,
            None => pace.orders_in_ms + self.load_in(&ask.model, at_once),
        };
        Some(model_ms + adapter_ms)
    }

    /// Returns how long until a load under way is done; nothing when the copy is not being loaded, or its order may not
    /// have taken effect. Loads from the weight store beyond those at full speed slow each other in proportion. One
    /// that is overdue all the same is taken to need a quarter of its time so far in addition.
    fn loaded_in(&self, model: &str, copy: &Copy, store_loads_at_once: usize) -> Option<Millis> {
        let Copy::Loading {
            since,
            ready_at,
            from_store,
            beside,
        } = *copy
        else {
            return None;
        };
        if ready_at == Millis::NEVER {
            return None;
        }
        let slowed_by = (beside as f64 / store_loads_at_once.max(1) as f64).max(1.0);
        let stated_ms = self.spec.models.get(model).map(|spec| spec.load_ms);
        let ready_at = match stated_ms {
            Some(stated_ms) if from_store => {
                since + Millis((stated_ms.0 as f64 * slowed_by) as u64)
            }
            _ => ready_at,
        };
        let left_ms = match ready_at > self.now {
            true => ready_at - self.now,
            false => Millis(self.now.since(since).0 / OVERDUE_PART),
        };
        Some(left_ms + REPORT_LAG_MS)
    }

    /// Returns how long until an engine takes orders again.
    fn free_in(&self, engine: &Engine, store_loads_at_once: usize) -> Millis {
        let ends = engine
            .copies
            .iter()
            .filter_map(|(model, copy)| self.loaded_in(model, copy, store_loads_at_once));
        ends.max().unwrap_or(UNLOADED_IN_MS)
    }

    /// Returns how long a load that has not begun will take, with the wait for its turn at the weight store.
    fn load_in(&self, model: &Name, store_loads_at_once: usize) -> Millis {
        let Some(spec) = self.spec.models.get(model) else {
            return Millis::NEVER;
        };
        let is_at_hand = self
            .engines()
            .any(|engine| engine.at_hand.contains(model) && !engine.is_busy());
        match is_at_hand {
            true => spec.from_disk_ms + REPORT_LAG_MS + REPORT_LAG_MS,
            false => {
                let turn_ms = self.turn_in(model, spec.load_ms, store_loads_at_once);
                turn_ms + spec.load_ms + REPORT_LAG_MS
            }
        }
    }

    /// Returns how long until a load may begin at the weight store: when one of those under way ends, and after the
    /// loads of models that more callers wait for.
    fn turn_in(&self, model: &Name, load_ms: Millis, store_loads_at_once: usize) -> Millis {
        let mut ends: Vec<Millis> = self
            .engines()
            .flat_map(|engine| engine.copies.iter())
            .filter(|(_, copy)| copy.is_from_store())
            .filter_map(|(other, copy)| self.loaded_in(other, copy, store_loads_at_once))
            .collect();
        ends.sort_unstable();
        let waiting = self.book.model(self.now, model).waiting;
        let before = self
            .spec
            .models
            .keys()
            .filter(|other| *other != model && self.book.model(self.now, other).waiting > waiting)
            .filter(|other| {
                !self
                    .engines()
                    .any(|engine| engine.will_hold(self.now, other))
            })
            .count();
        let at_once = store_loads_at_once.max(1);
        let free = at_once.saturating_sub(ends.len());
        if before < free {
            return Millis::ZERO;
        }
        let place = before - free;
        let first_ms = ends.first().copied().unwrap_or(load_ms);
        first_ms + Millis(load_ms.0 * (place / at_once) as u64)
    }

    fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.ledger.iter().filter(|engine| {
            &*engine.service == self.service && !self.unusable.contains(&engine.id)
        })
    }

    fn free_engines(&self) -> impl Iterator<Item = &Engine> {
        self.engines().filter(|engine| engine.is_free(self.now))
    }

    /// Brings an adapter that callers wait for to an engine with its model; when the engine's places are taken, the one
    /// that was asked for longest ago makes way.
    fn adapter_order(&self) -> Option<Planned> {
        let mut waiting: Vec<_> = self
            .book
            .iter()
            .filter(|(ask, asked)| ask.adapter.is_some() && asked.waiting > 0)
            .filter(|(ask, _)| {
                !self
                    .engines()
                    .any(|engine| engine.adapters.contains_key(*ask))
            })
            .collect();
        waiting.sort_by_key(|(_, asked)| std::cmp::Reverse(asked.waiting));
        waiting
            .into_iter()
            .find_map(|(ask, _)| self.place_adapter(ask))
    }

    fn place_adapter(&self, ask: &ModelAsk) -> Option<Planned> {
        let spec = self.spec.models.get(&ask.model)?;
        let places = self.spec.adapter_slots as usize;
        let holding = || {
            self.free_engines()
                .filter(|engine| engine.holds_model(&ask.model))
        };
        let ids = self
            .engines()
            .filter(|engine| engine.holds_model(&ask.model));
        let for_short = short_copies(&ask.model, ids.map(|engine| &engine.id));
        let with_place = holding()
            .filter(|engine| engine.adapters.len() < places)
            .filter(|engine| engine.used_mb(self.spec) + spec.adapter_mb <= self.spec.weights_mb)
            // Most requests for adapters have short prompts.
            .min_by_key(|engine| (!for_short.contains(&&engine.id), engine.adapters.len()));
        if let Some(engine) = with_place {
            return Some(Planned {
                engine: engine.id.clone(),
                action: Action::Load,
                ask: ask.clone(),
                makes_way_for: None,
                why: "callers wait for the adapter",
            });
        }
        let victims = holding().filter_map(|engine| {
            let unused = engine
                .adapters
                .iter()
                .filter(|(_, ready_at)| **ready_at != Millis::NEVER);
            let unused = unused.map(|(other, _)| (other, self.book.asked(other)));
            let unused = unused.filter(|(_, asked)| asked.running == 0 && asked.waiting == 0);
            let oldest = unused.min_by_key(|(_, asked)| asked.last_at)?;
            Some((oldest.1.last_at, engine, oldest.0))
        });
        let (_, engine, victim) = victims.min_by_key(|(last_at, ..)| *last_at)?;
        Some(Planned {
            engine: engine.id.clone(),
            action: Action::Unload,
            ask: victim.clone(),
            makes_way_for: None,
            why: "another adapter needs its place",
        })
    }

    /// Loads the model that is most wanted and not on enough engines.
    fn model_order(&self, ceiling: &mut Ceiling) -> Option<Planned> {
        let mut needs: Vec<Need<'_>> = self.needs();
        if let Some(order) = self.intended_order(ceiling) {
            return Some(order);
        }
        needs.retain(|need| need.copies < need.wanted);
        needs.sort_by(|a, b| {
            let key = |need: &Need<'_>| (need.copies == 0, need.waiting);
            let by_waiting = key(b).cmp(&key(a));
            by_waiting.then(b.tokens_per_s.total_cmp(&a.tokens_per_s))
        });
        needs
            .into_iter()
            .find_map(|need| self.place_model(&need, ceiling))
    }

    /// Goes on where memory was freed for a model: loads it, or frees more.
    fn intended_order(&self, ceiling: &mut Ceiling) -> Option<Planned> {
        self.free_engines().find_map(|engine| {
            let model = engine.intended(self.now)?;
            let demand = self.book.model(self.now, model);
            let need = Need {
                model,
                waiting: demand.waiting,
                tokens_per_s: demand.tokens_per_s,
                copies: 0,
                wanted: 1,
            };
            self.place_on(&need, std::iter::once(engine), ceiling)
        })
    }

    fn needs(&self) -> Vec<Need<'_>> {
        let engines = self.engines().count();
        let most = ((engines as f64 * COPIES_PART) as usize).max(1);
        let models = self.spec.models.iter().map(|(model, spec)| {
            let demand = self.book.model(self.now, model);
            let speed = PROMPT_TOKENS_PER_S * LARGE_MB / spec.weights_mb.max(1.0);
            let share = demand.tokens_per_s / speed;
            let by_load = (share / BUSY_SHARE).ceil() as usize;
            let asked_of_late = demand
                .last_at
                .is_some_and(|at| self.now.since(at) < RECENT_MS);
            let is_asked = demand.waiting > 0 || asked_of_late;
            let short_per_s = demand.per_s - demand.long_per_s;
            let by_kind = match spec.weights_mb >= SEPARATE_MB
                && demand.long_per_s >= LONG_PER_S
                && short_per_s >= SHORT_PER_S
            {
                true => 2,
                false => 1,
            };
            let wanted = match is_asked {
                true => by_load.max(by_kind).clamp(1, most.max(1)),
                false => 0,
            };
            let on = |engine: &&Engine| engine.will_hold(self.now, model);
            Need {
                model,
                waiting: demand.waiting,
                tokens_per_s: demand.tokens_per_s,
                copies: self.engines().filter(on).count(),
                wanted,
            }
        });
        models.collect()
    }

    /// Chooses the engine for one more copy: the least that makes way, weights at hand before the weight store.
    fn place_model(&self, need: &Need<'_>, ceiling: &mut Ceiling) -> Option<Planned> {
        let unclaimed = |engine: &&Engine| engine.intended(self.now).is_none();
        self.place_on(need, self.free_engines().filter(unclaimed), ceiling)
    }

    fn place_on<'b>(
        &self,
        need: &Need<'_>,
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
                let lacking_mb = engine.used_mb(self.spec) + spec.weights_mb - self.spec.weights_mb;
                let (victims, lost) = self.victims(engine, lacking_mb, need)?;
                let from_store = match engine.at_hand.contains(need.model) {
                    true => 0.0,
                    false => STORE_LOAD,
                };
                let cost = lost + from_store + self.blocked_adapters(engine);
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
            .filter_map(|(model, _)| Some((self.value(engine, model, need)?, model)))
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
    fn value(&self, engine: &Engine, model: &Name, need: &Need<'_>) -> Option<f64> {
        let demand = self.book.model(self.now, model);
        let on = |engine: &&Engine| engine.holds_model(model);
        let copies = self.engines().filter(on).count().max(1);
        let is_idle = demand.waiting == 0
            && demand.running == 0
            && demand
                .last_at
                .is_none_or(|at| self.now.since(at) >= IDLE_MS);
        // A model in use stays, unless other engines hold it too, the one that comes is on none, and nothing runs at
        // this engine: an unload waits for what runs, and the engine refuses requests for the model meanwhile.
        let is_spare = copies > 2 && need.copies == 0 && self.book.running_at(&engine.id) == 0;
        let may_go = is_idle || is_spare;
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
    fn spare_order(&self, ceiling: &mut Ceiling) -> Option<Planned> {
        let unclaimed = |engine: &&Engine| engine.intended(self.now).is_none();
        let engines: Vec<&Engine> = self.free_engines().filter(unclaimed).collect();
        let asked = self.book.is_asked_of_late(self.now, RECENT_MS);
        let missing = self.spec.models.iter().filter(|(model, _)| {
            !self
                .engines()
                .any(|engine| engine.will_hold(self.now, model))
        });
        for (model, spec) in missing {
            let place = engines
                .iter()
                .filter(|engine| {
                    engine.used_mb(self.spec) + spec.weights_mb <= self.spec.weights_mb
                })
                // The tightest fit leaves room for the largest.
                .max_by(|a, b| a.used_mb(self.spec).total_cmp(&b.used_mb(self.spec)));
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

    /// Fills free places with adapters that no engine holds, before anyone asks for them, those asked for most first: an
    /// adapter that is there needs no orderer, which a site may lack for seconds.
    fn adapter_ahead(&self) -> Option<Planned> {
        let places = (self.spec.adapter_slots as usize).saturating_sub(PLACES_KEPT_FREE);
        let adapters = || self.engines().flat_map(|engine| engine.adapters.iter());
        let on_their_way = adapters().filter(|(_, ready_at)| **ready_at > self.now);
        if on_their_way.count() >= AHEAD_AT_ONCE {
            return None;
        }
        let with_place: Vec<&Engine> = self
            .free_engines()
            .filter(|engine| engine.adapters.len() < places)
            .collect();
        if with_place.is_empty() {
            return None;
        }
        let held: IndexSet<&ModelAsk> = adapters().map(|(ask, _)| ask).collect();
        let models = self.spec.models.iter();
        let missing = models.flat_map(|(model, spec)| {
            spec.adapters.iter().map(|adapter| ModelAsk {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let mut missing: Vec<(f64, ModelAsk)> = missing
            .filter(|ask| !held.contains(ask))
            .map(|ask| (self.book.asked(&ask).per_s(self.now), ask))
            .collect();
        missing.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        missing
            .into_iter()
            .find_map(|(_, ask)| self.place_ahead(&with_place, ask))
    }

    fn place_ahead(&self, with_place: &[&Engine], ask: ModelAsk) -> Option<Planned> {
        let adapter_mb = self.spec.models.get(&ask.model)?.adapter_mb;
        let engine = with_place
            .iter()
            .filter(|engine| engine.holds_model(&ask.model))
            .filter(|engine| engine.used_mb(self.spec) + adapter_mb <= self.spec.weights_mb)
            .min_by_key(|engine| engine.adapters.len())?;
        Some(Planned {
            engine: engine.id.clone(),
            action: Action::Load,
            ask,
            makes_way_for: None,
            why: "a place for adapters is free and no engine holds this one",
        })
    }

    /// Returns how long the load of an order takes, and whether it is one from the weight store.
    pub fn load_time(&self, planned: &Planned) -> LoadTime {
        load_time(self.spec, self.ledger, &planned.engine, &planned.ask)
    }
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
