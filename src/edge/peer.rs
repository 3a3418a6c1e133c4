//! Calls between hosts over QUIC, with certificates of one fleet on both sides.
//!
//! Each call is one stream: a length-bounded postcard request, then a postcard reply.

use crate::edge::gate::Gate;
use crate::edge::http::within;
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

/// The name that every host's certificate carries.
pub const FLEET_SERVER_NAME: &str = "host.mangovale";
/// The protocol's name and version.
const ALPN: &[u8] = b"mangovale-peer/1";
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a connection lives without traffic.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest request and reply.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Most calls of one peer at once.
const MAX_STREAMS: u32 = 256;

/// Why the peers' edge cannot start.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// A key file cannot be read.
    #[snafu(display("cannot read {}: {why}", path.display()))]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// The keys do not fit together.
    #[snafu(display("the keys do not fit together: {why}"))]
    Keys {
        /// Why.
        why: String,
    },
    /// The address cannot be used.
    #[snafu(display("cannot listen on {address} (peer_listen, UDP): {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// The calling and the answering side.
#[derive(Debug)]
pub struct PeerEdge {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
}

impl PeerEdge {
    /// Binds the address and reads the keys.
    ///
    /// # Errors
    ///
    /// Returns which file, key or address cannot be used.
    pub fn bind(address: SocketAddr, keys: &KeySettings) -> Result<Arc<Self>, PeerError> {
        let identity = Identity::read(keys)?;
        let server = identity.server_config()?;
        let client = identity.client_config()?;
        let mut endpoint = Endpoint::server(server, address).context(ListenSnafu { address })?;
        endpoint.set_default_client_config(client);
        Ok(Arc::new(Self {
            endpoint,
            connections: Mutex::default(),
        }))
    }

    /// Answers peers until the endpoint closes.
    pub async fn serve(self: Arc<Self>, gate: Arc<Gate>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let gate = gate.clone();
            smol::spawn(async move {
                match incoming.await {
                    Ok(connection) => serve_connection(connection, gate).await,
                    Err(error) => LogEvent::PeerRefused.write(&error.to_string()),
                }
            })
            .detach();
        }
    }

    /// Asks a peer. Returns nothing when no answer came in time.
    pub async fn ask(&self, address: SocketAddr, request: &PeerRequest) -> Option<PeerReply> {
        let reply = within(CALL_TIMEOUT, self.try_ask(address, request))
            .await
            .flatten();
        if reply.is_none() {
            // A connection that went silent is not used again.
            self.forget(address);
        }
        reply
    }

    /// Closes every connection.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }

    async fn try_ask(&self, address: SocketAddr, request: &PeerRequest) -> Option<PeerReply> {
        let connection = self.connection(address).await?;
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        let bytes = postcard::to_stdvec(request).ok()?;
        send.write_all(&bytes).await.ok()?;
        send.finish().ok()?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.kept(address) {
            return Some(connection);
        }
        let connecting = self.endpoint.connect(address, FLEET_SERVER_NAME).ok()?;
        let connection = connecting.await.ok()?;
        self.lock().insert(address, connection.clone());
        Some(connection)
    }

    fn kept(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.lock();
        connections.retain(|_, connection| connection.close_reason().is_none());
        connections.get(&address).cloned()
    }

    fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn serve_connection(connection: Connection, gate: Arc<Gate>) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let gate = gate.clone();
        smol::spawn(async move {
            let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
            let request = postcard::from_bytes(&bytes).ok()?;
            let reply = gate.ask_for_peer(request).await?;
            let bytes = postcard::to_stdvec(&reply).ok()?;
            send.write_all(&bytes).await.ok()?;
            send.finish().ok()
        })
        .detach();
    }
}

struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    fn read(keys: &KeySettings) -> Result<Self, PeerError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&keys.fleet_certificate)? {
            roots.add(certificate).map_err(keys_error)?;
        }
        let key = PrivateKeyDer::from_pem_file(&keys.host_key)
            .map_err(|error| file_error(&keys.host_key, &error))?;
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
        quic::server(provider, verifier, identity, ALPN, transport()).map_err(keys_error)
    }

    fn client_config(&self) -> Result<ClientConfig, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiServerVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()
                .map_err(keys_error)?;
        let identity = (self.chain.clone(), self.key.clone_key());
        quic::client(provider, verifier, identity, ALPN, transport()).map_err(keys_error)
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
    let certificates: Vec<_> = read.map_err(|error| file_error(path, &error))?;
    if certificates.is_empty() {
        return KeyFileSnafu {
            path,
            why: "it holds no certificate",
        }
        .fail();
    }
    Ok(certificates)
}

fn file_error(path: &Path, error: &impl std::fmt::Display) -> PeerError {
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
