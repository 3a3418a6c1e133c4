//! Client of the weight store, over HTTP.

use crate::edge::exchange::{authority_of, call_json};
use crate::edge::{BoxFuture, WeightStore};
use crate::http1::Target;
use crate::placement::message::StoreReport;
use std::time::Duration;
use trillium::Method;

const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// The weight store over HTTP, as `docs/design/platform-protocols.md` specifies it.
#[derive(Debug)]
pub struct HttpStore {
    authority: String,
}

impl HttpStore {
    /// Creates a client for the store at `store_url`.
    pub fn new(store_url: &str) -> Self {
        Self {
            authority: authority_of(store_url).to_string(),
        }
    }

    async fn fetch_report(&self) -> Option<StoreReport> {
        let (authority, target) = (&self.authority, Target::new("/state"));
        let call = call_json(Method::Get, authority, &target, None::<&()>, REPORT_TIMEOUT);
        call.await.ok()?.body
    }
}

impl WeightStore for HttpStore {
    fn report(&self) -> BoxFuture<'_, Option<StoreReport>> {
        Box::pin(self.fetch_report())
    }
}
