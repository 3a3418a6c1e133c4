//! Calls to other stand-ins, each bounded in time and size.

use std::time::Duration;

use serde::Serialize;
use snafu::ensure;
use trillium::{Method, Status};
use trillium_client::Client;
use trillium_server_common::Url;

use crate::error::{ArgumentSnafu, StandInError};

/// Connects, sends and reads within this time unless a caller asks for more.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A JSON client for one base address.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client,
    base_url: String,
}

impl JsonClient {
    /// Builds a client; `base_url` carries no path, and `http://` may be left out.
    ///
    /// # Errors
    ///
    /// Fails where the address is no URL.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Self, StandInError> {
        let base_url = match base_url.contains("://") {
            true => base_url.trim_end_matches('/').to_owned(),
            false => format!("http://{base_url}"),
        };
        let parsed = Url::parse(&base_url);
        let detail = format!("`{base_url}` is no URL");
        ensure!(parsed.is_ok(), ArgumentSnafu { detail });
        let config = trillium_smol::ClientConfig::default().with_nodelay(true);
        let client = Client::new(config).with_timeout(timeout);
        Ok(Self { client, base_url })
    }

    /// Posts a JSON body and returns the status, or none if the call failed.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Option<Status> {
        let body = serde_json::to_vec(body).ok()?;
        self.call(Method::Post, path, body).await
    }

    /// Deletes a path and returns the status, or none if the call failed.
    pub async fn delete(&self, path: &str) -> Option<Status> {
        self.call(Method::Delete, path, Vec::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Option<Status> {
        let url = format!("{}{path}", self.base_url);
        let mut conn = self.client.build_conn(method, url).with_body(body);
        (&mut conn).await.ok()?;
        let status = conn.status();
        conn.recycle().await;
        status
    }
}
