//! The orders and reports of model engines over HTTP.

use crate::edge::http::{CallError, JsonAnswer, call_json, client};
use crate::edge::{BoxFuture, EngineControl};
use crate::placement::message::{EngineOrder, EngineReport, OrderAnswer};
use crate::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Client, Method};

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The error of an engine that takes no more loads.
const LEAVING: &str = "leaving";
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Engines as the platform's protocol page describes them.
#[derive(Debug)]
pub struct HttpEngines {
    client: Client,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Done,
    Failed,
}

#[derive(Deserialize)]
struct OrderBody {
    state: Option<State>,
    error: Option<String>,
}

impl HttpEngines {
    /// Makes the client of all engines.
    pub fn new() -> Self {
        Self { client: client() }
    }

    async fn ask_report(&self, address: SocketAddr) -> Option<EngineReport> {
        let url = format!("http://{address}/state");
        let answer = call_json(&self.client, Method::Get, &url, None::<&()>, REPORT_TIMEOUT)
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        answer.body
    }

    async fn send_order(&self, address: SocketAddr, order: EngineOrder) -> OrderAnswer {
        let url = format!("http://{address}/orders");
        let answer = call_json(
            &self.client,
            Method::Post,
            &url,
            Some(&order),
            ORDER_TIMEOUT,
        )
        .await;
        read_answer(answer)
    }

    async fn ask_order(&self, address: SocketAddr, order: Offset) -> OrderAnswer {
        let url = format!("http://{address}/orders/{}", order.0);
        let answer = call_json(&self.client, Method::Get, &url, None::<&()>, ORDER_TIMEOUT).await;
        read_answer(answer)
    }
}

impl Default for HttpEngines {
    fn default() -> Self {
        Self::new()
    }
}

fn read_answer(answer: Result<JsonAnswer<OrderBody>, CallError>) -> OrderAnswer {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::NotConnected { why }) => return OrderAnswer::NotSent(why),
        Err(error) => return OrderAnswer::Lost(error.to_string()),
    };
    let error = answer
        .body
        .as_ref()
        .and_then(|body| body.error.clone())
        .unwrap_or_default();
    match (answer.status, answer.body.and_then(|body| body.state)) {
        (200, Some(State::Done)) => OrderAnswer::Done,
        (200 | 202, Some(State::Running)) => OrderAnswer::Running,
        (200 | 502, Some(State::Failed)) => OrderAnswer::Failed(error),
        (404, _) => OrderAnswer::NeverSeen,
        (409, _) => OrderAnswer::Fenced,
        (400 | 422 | 507, _) => OrderAnswer::Failed(error),
        (503, _) if error == LEAVING => OrderAnswer::NotSent(error),
        (status, _) => OrderAnswer::Lost(format!("status {status} {error}")),
    }
}

impl EngineControl for HttpEngines {
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<EngineReport>> {
        Box::pin(self.ask_report(address))
    }

    fn order(&self, address: SocketAddr, order: EngineOrder) -> BoxFuture<'_, OrderAnswer> {
        Box::pin(self.send_order(address, order))
    }

    fn order_state(&self, address: SocketAddr, order: Offset) -> BoxFuture<'_, OrderAnswer> {
        Box::pin(self.ask_order(address, order))
    }
}
