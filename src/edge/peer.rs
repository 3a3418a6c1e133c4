//! Calls between hosts over QUIC. Both sides authenticate with certificates of the same fleet.
//!
//! Each call uses one stream: a request in postcard encoding, then a reply in postcard encoding,
//! both of limited length.

use crate::edge::event_loop_handle::EventLoopHandle;
use crate::edge::http::with_timeout;
use crate::edge::quic;
use crate::membership::message::{PeerReply, PeerRequest};
use crate::prelude::*;
use crate::settings::KeySettings;
use quinn::{ClientConfig, Connection, Endpoint, ServerConfig, TransportConfig};
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{ResultExt, Snafu};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// The server name for which every host's certificate is issued.
pub const FLEET_SERVER_NAME: &str = "host.mangovale";
/// The ALPN identifier: name and version of the protocol.
const ALPN: &[u8] = b"mangovale-peer/1";
/// The longest time for a call, with its connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time without traffic after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest request, and the longest reply.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The most calls in progress on one connection of a peer.
const MAX_STREAMS: u32 = 256;

/// The reason for which the endpoint cannot start.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// A file of keys or certificates cannot be read.
    #[snafu(display("cannot read {}: {why}", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// The reason, as text.
        why: String,
    },
    /// The certificates and the key do not match, or cannot be used for TLS.
    #[snafu(display("the keys do not fit together: {why}"))]
    Keys {
        /// The reason, as text.
        why: String,
    },
    /// The address cannot be bound.
    #[snafu(display("cannot listen on {address} (peer_listen, UDP): {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: std::io::Error,
    },
}

/// The QUIC endpoint by which this host calls its peers and answers their calls.
#[derive(Debug)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerEndpoint {
    /// Reads the keys and binds the UDP address.
    ///
    /// # Errors
    ///
    /// Returns the file, keys or address that cannot be used.
    pub fn bind(address: SocketAddr, keys: &KeySettings) -> Result<Arc<Self>, PeerError> {
        let identity = TlsIdentity::read(keys)?;
        let server = identity.server_config()?;
        let client = identity.client_config()?;
        let mut endpoint = Endpoint::server(server, address).context(ListenSnafu { address })?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            endpoint,
            connections: Mutex::default(),
        }))
    }

    /// Answers the calls of peers until the endpoint closes.
    pub async fn serve(self: Arc<Self>, event_loop: Arc<EventLoopHandle>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let event_loop = event_loop.clone();
            smol::spawn(async move {
                match incoming.await {
                    Ok(connection) => serve_connection(connection, event_loop).await,
                    Err(error) => LogEvent::PeerRefused.write(&error.to_string()),
                }
            })
            .detach();
        }
    }

    /// Calls a peer. Returns `None` if no reply arrives within the timeout.
    pub async fn ask(&self, address: SocketAddr, request: &PeerRequest) -> Option<PeerReply> {
        let reply = with_timeout(CALL_TIMEOUT, self.call(address, request))
            .await
            .flatten();
        if reply.is_none() {
            // The connection may no longer work, so the next call opens a new one.
            self.drop_connection(address);
        }
        reply
    }

    /// Closes the endpoint and every connection.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }

    async fn call(&self, address: SocketAddr, request: &PeerRequest) -> Option<PeerReply> {
        let connection = self.connection(address).await?;
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        let bytes = postcard::to_stdvec(request).ok()?;
        send.write_all(&bytes).await.ok()?;
        send.finish().ok()?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.open_connection(address) {
            return Some(connection);
        }
        let connecting = self.endpoint.connect(address, FLEET_SERVER_NAME).ok()?;
        let connection = connecting.await.ok()?;
        self.lock().insert(address, connection.clone());
        Some(connection)
    }

    fn open_connection(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.lock();
        connections.retain(|_, connection| connection.close_reason().is_none());
        connections.get(&address).cloned()
    }

    fn drop_connection(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn serve_connection(connection: Connection, event_loop: Arc<EventLoopHandle>) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let event_loop = event_loop.clone();
        smol::spawn(async move {
            let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
            let request = postcard::from_bytes(&bytes).ok()?;
            let reply = event_loop.ask_for_peer(request).await?;
            let bytes = postcard::to_stdvec(&reply).ok()?;
            send.write_all(&bytes).await.ok()?;
            send.finish().ok()
        })
        .detach();
    }
}

struct TlsIdentity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl TlsIdentity {
    fn read(keys: &KeySettings) -> Result<Self, PeerError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&keys.fleet_certificate)? {
            roots.add(certificate).map_err(keys_error)?;
        }
        let key = PrivateKeyDer::from_pem_file(&keys.host_key)
            .map_err(|error| key_file_error(&keys.host_key, &error))?;
        let chain = read_certificates(&keys.host_certificate)?;
        Ok(Self {
            roots: Arc::new(roots),
            chain,
            key,
        })
    }

    fn server_config(&self) -> Result<ServerConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(keys_error)?;
        let identity = (self.chain.clone(), self.key.clone_key());
        quic::server_config(provider, verifier, identity, &[ALPN], transport()).map_err(keys_error)
    }

    fn client_config(&self) -> Result<ClientConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiServerVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(keys_error)?;
        let identity = (self.chain.clone(), self.key.clone_key());
        quic::client_config(provider, verifier, identity, ALPN, transport()).map_err(keys_error)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    if let Ok(idle) = IDLE_TIMEOUT.try_into() {
        transport.max_idle_timeout(Some(idle));
    }
    transport
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let certificates: Vec<_> = read.map_err(|error| key_file_error(path, &error))?;
    if certificates.is_empty() {
        return KeyFileSnafu {
            path,
            why: "it holds no certificate",
        }
        .fail();
    }
    Ok(certificates)
}

fn key_file_error(path: &Path, error: &impl std::fmt::Display) -> PeerError {
    PeerError::KeyFile {
        path: path.to_path_buf(),
        why: error.to_string(),
    }
}

fn keys_error(error: impl std::fmt::Display) -> PeerError {
    PeerError::Keys {
        why: error.to_string(),
    }
}
