//! Client of the control interface of model engines, over HTTP.

use crate::edge::exchange::{JsonAnswer, call_json};
use crate::edge::http::CallError;
use crate::edge::{BoxFuture, EngineControl};
use crate::http1::Target;
use crate::placement::message::{EngineOrder, EngineReport, OrderAnswer};
use crate::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use trillium::Method;

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The error text of an engine that is leaving and accepts no more loads.
const LEAVING_ERROR: &str = "leaving";
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Model engines over HTTP, as `docs/design/platform-protocols.md` specifies them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngines;

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderState {
    Running,
    Done,
    Failed,
}

#[derive(Deserialize)]
struct OrderBody {
    state: Option<OrderState>,
    error: Option<String>,
}

impl HttpEngines {
    async fn fetch_report(&self, address: SocketAddr) -> Option<EngineReport> {
        let (authority, target) = (address.to_string(), Target::new("/state"));
        let call = call_json(
            Method::Get,
            &authority,
            &target,
            None::<&()>,
            REPORT_TIMEOUT,
        );
        let answer = call.await.ok()?;
        if answer.status != 200 {
            return None;
        }
        answer.body
    }

    async fn send_order(&self, address: SocketAddr, order: EngineOrder) -> OrderAnswer {
        let (authority, target) = (address.to_string(), Target::new("/orders"));
        let call = call_json(
            Method::Post,
            &authority,
            &target,
            Some(&order),
            ORDER_TIMEOUT,
        );
        to_order_answer(call.await)
    }

    async fn fetch_order_state(&self, address: SocketAddr, order: Offset) -> OrderAnswer {
        let authority = address.to_string();
        let target = Target::new("/orders").segment(&order.0.to_string());
        let call = call_json(Method::Get, &authority, &target, None::<&()>, ORDER_TIMEOUT);
        to_order_answer(call.await)
    }
}

fn to_order_answer(answer: Result<JsonAnswer<OrderBody>, CallError>) -> OrderAnswer {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::NotConnected { why }) => return OrderAnswer::NotSent(why),
        Err(error @ CallError::Invalid { .. }) => return OrderAnswer::NotSent(error.to_string()),
        Err(error) => return OrderAnswer::Lost(error.to_string()),
    };
    let error = answer
        .body
        .as_ref()
        .and_then(|body| body.error.clone())
        .unwrap_or_default();
    match (answer.status, answer.body.and_then(|body| body.state)) {
        (200, Some(OrderState::Done)) => OrderAnswer::Done,
        (200 | 202, Some(OrderState::Running)) => OrderAnswer::Running,
        (200 | 502, Some(OrderState::Failed)) => OrderAnswer::Failed(error),
        (404, _) => OrderAnswer::NeverSeen,
        (409, _) => OrderAnswer::Fenced,
        (400 | 422 | 507, _) => OrderAnswer::Failed(error),
        (503, _) if error == LEAVING_ERROR => OrderAnswer::NotSent(error),
        (status, _) => OrderAnswer::Lost(format!("status {status} {error}")),
    }
}

impl EngineControl for HttpEngines {
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<EngineReport>> {
        Box::pin(self.fetch_report(address))
    }

    fn order(&self, address: SocketAddr, order: EngineOrder) -> BoxFuture<'_, OrderAnswer> {
        Box::pin(self.send_order(address, order))
    }

    fn order_state(&self, address: SocketAddr, order: Offset) -> BoxFuture<'_, OrderAnswer> {
        Box::pin(self.fetch_order_state(address, order))
    }
}
