//! What is loaded for which demand.

mod adapters;
mod copies;
mod memory;
mod waits;

use super::fake_engine::{only_start, spec};
use crate::desired::EngineSpec;
use crate::entry::platform::ModelAsk;
use crate::ordering::book::Book;
use crate::ordering::ceiling::Ceiling;
use crate::ordering::copy::LoadTime;
use crate::ordering::demand::AskCount;
use crate::ordering::estimates::Pace;
use crate::ordering::host_reports::HostReport;
use crate::ordering::ledger::Ledger;
use crate::ordering::message::{Action, EngineReport, OrderAnswer};
use crate::ordering::planner::{Planned, Planner, load_time};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::HeldModel;

const NOW: Millis = Millis(1_000_000);
/// An orderer that may order, before a weight store that serves one load at a time.
const PACE: Pace = Pace {
    store_loads_at_once: 1,
    orders_in_ms: Millis::ZERO,
};

fn model(name: &str) -> ModelAsk {
    ModelAsk {
        model: name.into(),
        adapter: None,
    }
}

fn adapter(name: &str, adapter: &str) -> ModelAsk {
    ModelAsk {
        model: name.into(),
        adapter: Some(adapter.into()),
    }
}

/// A site of engines `e0`, `e1` and so on that hold these models.
struct Site {
    spec: EngineSpec,
    ledger: Ledger,
    book: Book,
    ceiling: Ceiling,
}

impl Site {
    fn new(spec: EngineSpec, engines: &[&[&str]]) -> Self {
        let mut ledger = Ledger::default();
        let id = |n: usize| Name::from(format!("e{n}"));
        ledger.take_engines(
            NOW,
            (0..engines.len()).map(|n| (only_start(id(n)), Name::from("s"))),
        );
        for (n, models) in engines.iter().enumerate() {
            let held = |name: &&str| HeldModel {
                name: Name::from(*name),
                adapters: Vec::new(),
            };
            let report = EngineReport {
                models: models.iter().map(held).collect(),
                ..EngineReport::default()
            };
            ledger.take_report(NOW, &id(n), Some(report));
        }
        Self {
            spec,
            ledger,
            book: Book::default(),
            ceiling: Ceiling::new(Millis(0), None),
        }
    }

    /// Lets an engine that holds nothing report that it has a model's weights on its disk.
    fn has_at_hand(&mut self, engine: usize, model: &str) {
        let report = EngineReport {
            at_hand: Some(vec![model.into()]),
            ..EngineReport::default()
        };
        let id = Name::from(format!("e{engine}"));
        self.ledger.take_report(NOW, &id, Some(report));
    }

    fn tell(
        &mut self,
        host: u64,
        at: Millis,
        demand: Vec<(ModelAsk, AskCount)>,
        work: Vec<(Name, UpstreamLoad)>,
    ) {
        let report = HostReport {
            demand,
            work,
            ..HostReport::default()
        };
        self.book.take(at, host, report);
    }

    fn ask(&mut self, host: u64, at: Millis, asks: &[(ModelAsk, AskCount)]) {
        self.tell(host, at, asks.to_vec(), Vec::new());
    }

    fn next(&mut self, now: Millis) -> Option<Planned> {
        let unusable = IndexSet::new();
        let planner = planner(now, &self.spec, &self.ledger, &self.book, &unusable);
        planner.next(&mut self.ceiling)
    }

    fn ready_in_ms(&self, now: Millis, pace: Pace) -> Vec<(ModelAsk, Millis)> {
        let unusable = IndexSet::new();
        planner(now, &self.spec, &self.ledger, &self.book, &unusable).ready_in_ms(pace)
    }

    /// Carries out what is planned until nothing is, with engines that accept every order and have not finished.
    fn plan_all(&mut self) -> Vec<Planned> {
        let mut all = Vec::new();
        while let Some(planned) = self.next(NOW) {
            let Planned {
                engine,
                action,
                ask,
                makes_way_for,
                ..
            } = planned.clone();
            let order = self
                .ledger
                .begin(NOW, &engine, action, ask, makes_way_for)
                .expect("a known engine");
            self.ledger.due(NOW);
            let load = LoadTime {
                takes_ms: Millis(6_000),
                from_store: true,
            };
            self.ledger
                .take_answer(NOW, &engine, &order, OrderAnswer::Accepted, load);
            all.push(planned);
            assert!(all.len() < 100, "the plan does not end");
        }
        all
    }
}

fn planner<'a>(
    now: Millis,
    spec: &'a EngineSpec,
    ledger: &'a Ledger,
    book: &'a Book,
    unusable: &'a IndexSet<Name>,
) -> Planner<'a> {
    Planner {
        now,
        service: "s",
        spec,
        ledger,
        book,
        unusable,
    }
}

fn waiting(requests: u32) -> AskCount {
    AskCount {
        asked: requests,
        long: 0,
        waiting: requests,
        running: 0,
        tokens: u64::from(requests) * 1_000,
    }
}
