//! Client of the weight store, over HTTP.

use crate::edge::exchange::call_json;
use crate::edge::{BoxFuture, WeightStore};
use crate::placement::message::StoreReport;
use std::time::Duration;
use trillium::Method;

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The weight store over HTTP, as `docs/design/platform-protocols.md` specifies it.
#[derive(Debug)]
pub struct HttpStore {
    state_url: String,
}

impl HttpStore {
    /// Creates a client for the store at `store_url`.
    pub fn new(store_url: &str) -> Self {
        let base = store_url.trim_end_matches('/');
        Self {
            state_url: format!("{base}/state"),
        }
    }

    async fn fetch_report(&self) -> Option<StoreReport> {
        let call = call_json(Method::Get, &self.state_url, None::<&()>, REPORT_TIMEOUT);
        call.await.ok()?.body
    }
}

impl WeightStore for HttpStore {
    fn report(&self) -> BoxFuture<'_, Option<StoreReport>> {
        Box::pin(self.fetch_report())
    }
}
