//! Orders to load, unload and change role, as callers give them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::engine::copies::{CopyRole, NextStep};
use crate::engine::{Engine, ModelVersion, loading};
use crate::error::Refusal;
use crate::http::{Answer, Request};

/// The longest wait for an order.
const MAX_WAIT_MS: u64 = 60_000;
/// The longest model, version or base name.
const MAX_NAME_BYTES: usize = 256;

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Put a copy into accelerator memory.
    Load,
    /// Free the memory of all copies.
    Unload,
    /// Change which part of requests the copies compute.
    Role,
}

/// The body of an order.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The order's number.
    pub order: u64,
    /// The fencing number.
    pub fence: u64,
    /// What is to be done.
    action: Action,
    /// The model.
    pub model: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
    /// The accelerator memory that a copy takes.
    #[serde(default)]
    pub bytes: u64,
    /// The base model of an adapter.
    #[serde(default)]
    pub base: Option<Arc<str>>,
    /// The new role of the copies.
    #[serde(default)]
    role: Option<CopyRole>,
    /// How long the answer may wait for the end of the order.
    #[serde(default)]
    wait_ms: Option<u64>,
}

/// Tells orders apart: a repeated one has both numbers in common with the first.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct OrderKey {
    /// The order's number.
    pub order: u64,
    /// The fencing number.
    pub fence: u64,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It goes on.
    Running,
    /// It has taken effect.
    Done,
    /// It has ended without effect.
    Failed,
}

/// The answer to an order or a question about one.
#[derive(Clone, Debug, Serialize)]
pub struct OrderStatus {
    order: u64,
    /// How far it has come.
    pub state: OrderState,
    /// Why it failed.
    pub error: Option<Arc<str>>,
}

impl OrderStatus {
    /// Builds a status without an error.
    pub fn new(order: u64, state: OrderState) -> Self {
        Self {
            order,
            state,
            error: None,
        }
    }

    fn http_status(&self) -> u16 {
        match self.state {
            OrderState::Running => 202,
            OrderState::Done | OrderState::Failed => 200,
        }
    }
}

impl Order {
    /// Returns what tells the order apart.
    pub fn key(&self) -> OrderKey {
        OrderKey {
            order: self.order,
            fence: self.fence,
        }
    }

    /// Returns the model with its version.
    pub fn model_version(&self) -> ModelVersion {
        ModelVersion {
            model: Arc::clone(&self.model),
            version: Arc::clone(&self.version),
        }
    }

    fn validate(&self) -> Result<(), Refusal> {
        let names = [Some(&self.model), Some(&self.version), self.base.as_ref()];
        let mut names = names.into_iter().flatten();
        if names.any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return Err(Refusal::bad_request("bad model, version or base name"));
        }
        if self.action == Action::Load && self.bytes == 0 {
            return Err(Refusal::bad_request("a load must say its `bytes`"));
        }
        if (self.action == Action::Role) != self.role.is_some() {
            return Err(Refusal::bad_request(
                "a change of role, and no other order, says its `role`",
            ));
        }
        Ok(())
    }
}

/// Takes an order and waits a while for its end.
///
/// # Errors
///
/// Refuses malformed orders and those that the engine must not obey.
pub async fn take(engine: &Arc<Engine>, request: &Request) -> Result<Answer, Refusal> {
    let order: Order = request.json()?;
    order.validate()?;
    let next = accept(engine, &order)?;
    engine.changed.notify_all();
    match next {
        NextStep::Load(task) => loading::start_load(engine, task),
        NextStep::Unload(task) => loading::start_unload(engine, task),
        NextStep::Nothing => {}
    }
    let status = wait_for_end(engine, &order).await?;
    Ok(Answer::json(status.http_status(), &status))
}

fn accept(engine: &Engine, order: &Order) -> Result<NextStep, Refusal> {
    match order.action {
        Action::Load => {
            engine.refuse_if_leaving()?;
            engine.copies().take_load(order)
        }
        Action::Unload => engine.copies().take_unload(order),
        Action::Role => engine
            .copies()
            .take_role(order, order.role.unwrap_or_default()),
    }
}

async fn wait_for_end(engine: &Engine, order: &Order) -> Result<OrderStatus, Refusal> {
    let wait_ms = order.wait_ms.unwrap_or(engine.settings.order_wait_ms);
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    loop {
        let changed = engine.changed.waiter();
        let status = engine.copies().status(order.key());
        let status = status.ok_or(Refusal::NotFound)?;
        let left = deadline.saturating_duration_since(Instant::now());
        if status.state != OrderState::Running || left.is_zero() {
            return Ok(status);
        }
        changed.wait_at_most(left).await;
    }
}

/// Tells how far an order has come.
///
/// # Errors
///
/// Refuses a number that is malformed or unknown.
pub fn state(engine: &Engine, order: &str) -> Result<Answer, Refusal> {
    let order = order
        .parse()
        .map_err(|_| Refusal::bad_request("an order is a number"))?;
    let status = engine.copies().order_status(order);
    Ok(Answer::ok(&status.ok_or(Refusal::NotFound)?))
}
