//! Calls between hosts over QUIC, each known by a certificate of its own that the group of hosts lists.
//!
//! No secret is shared and no authority signs: a process makes its certificate when it starts and publishes its
//! fingerprint with its membership, and a connection counts only between listed fingerprints.

use crate::edge::quic;
use crate::entry::host::Host;
use crate::entry::orderer;
use crate::entry::platform::Platform;
use crate::entry::run::EntryError;
use crate::entry::{desired_copy, lease_keeper, list_copy, sync};
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use quinn::{
    AsyncTimer, AsyncUdpSocket, ClientConfig, Connection, Endpoint, EndpointConfig, Runtime,
    ServerConfig, SmolRuntime, TransportConfig,
};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, verify_tls13_signature};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::{DigitallySignedStruct, DistinguishedName, SignatureScheme};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime};
use smol::{Executor, LocalExecutor};
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The name that every certificate carries; the fingerprint alone tells hosts apart.
const SERVER_NAME: &str = "host.mangovale";
/// The protocol's name and version.
const ALPN: &[u8] = b"mangovale-order/3";
/// How long a call may take: round trips are a few milliseconds.
pub const CALL_MS: Millis = Millis(700);
/// How long a connection lives without traffic; a silent one is found by its first call.
const IDLE: Duration = Duration::from_secs(5);
/// The longest message: the changes of a large list of upstreams, or a whole group of hosts.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Most calls of one peer at once.
const MAX_STREAMS: u32 = 16;
/// Bytes of one stream and of one connection that may be under way.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// The certificates that are accepted.
#[derive(Debug, Default)]
pub struct Known(Mutex<IndexSet<Name>>);

impl Known {
    /// Accepts these fingerprints from now on, and no others.
    pub fn replace(&self, fingerprints: IndexSet<Name>) {
        *self.lock() = fingerprints;
    }

    fn check(&self, certificate: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        match self.lock().contains(&*fingerprint(certificate)) {
            true => Ok(()),
            false => Err(rustls::Error::General(
                "the certificate is no member's".to_string(),
            )),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexSet<Name>> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The calling and the answering side.
pub struct Peers {
    endpoint: Endpoint,
    /// The fingerprint of this process's certificate.
    pub fingerprint: Name,
    /// The certificates that are accepted.
    pub known: Arc<Known>,
    connections: RefCell<IndexMap<SocketAddr, Connection>>,
}

impl Peers {
    /// Makes a certificate and binds the address. Tasks of QUIC run on `executor`.
    ///
    /// # Errors
    ///
    /// Returns why the address or the certificate cannot be used.
    pub fn bind(
        address: SocketAddr,
        executor: Arc<Executor<'static>>,
    ) -> Result<Rc<Self>, EntryError> {
        let known = Arc::new(Known::default());
        let identity = Identity::make()?;
        let verifier = Arc::new(Pinned::new(known.clone()));
        let socket = UdpSocket::bind(address).map_err(|source| EntryError::Listen {
            key: "peer_listen",
            address,
            source,
        })?;
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(identity.server_config(verifier.clone())?),
            socket,
            Arc::new(OneThread { executor }),
        );
        let mut endpoint = endpoint.map_err(|source| EntryError::Listen {
            key: "peer_listen",
            address,
            source,
        })?;
        endpoint.set_default_client_config(identity.client_config(verifier)?);
        Ok(Rc::new(Self {
            endpoint,
            fingerprint: fingerprint(&identity.certificate),
            known,
            connections: RefCell::default(),
        }))
    }

    /// Returns the address that other hosts connect to.
    ///
    /// # Errors
    ///
    /// Returns why the socket has none.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Calls a peer. Returns nothing when no answer came in time.
    pub async fn call(&self, address: SocketAddr, call: &PeerCall) -> Option<PeerReply> {
        let reply = with_timeout(CALL_MS, self.try_call(address, call))
            .await
            .flatten();
        if reply.is_none() {
            // A connection that went silent is not used again.
            self.connections.borrow_mut().shift_remove(&address);
        }
        reply
    }

    async fn try_call(&self, address: SocketAddr, call: &PeerCall) -> Option<PeerReply> {
        let connection = self.connection(address).await?;
        let (mut send, mut receive) = connection.open_bi().await.ok()?;
        let bytes = postcard::to_stdvec(call).ok()?;
        send.write_all(&bytes).await.ok()?;
        send.finish().ok()?;
        let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
        postcard::from_bytes(&bytes).ok()
    }

    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        let kept = self.connections.borrow().get(&address).cloned();
        if let Some(kept) = kept.filter(|kept| kept.close_reason().is_none()) {
            return Some(kept);
        }
        let connecting = self.endpoint.connect(address, SERVER_NAME).ok()?;
        let connection = connecting.await.ok()?;
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| connection.close_reason().is_none());
        connections.insert(address, connection.clone());
        Some(connection)
    }
}

/// Answers peers until the endpoint closes.
pub async fn serve<P: Platform + 'static>(
    host: Rc<Host<P>>,
    peers: Rc<Peers>,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Some(incoming) = peers.endpoint.accept().await {
        let host = host.clone();
        let tasks = executor.clone();
        let serve = async move {
            match incoming.await {
                Ok(connection) => serve_connection(host, connection, tasks).await,
                Err(error) => {
                    orderer::note_peer_refused(&error.to_string());
                    host.note_unknown_peer();
                }
            }
        };
        executor.spawn(serve).detach();
    }
}

async fn serve_connection<P: Platform + 'static>(
    host: Rc<Host<P>>,
    connection: Connection,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let host = host.clone();
        let answer = async move {
            let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
            let reply = answer(&host, postcard::from_bytes(&bytes).ok()?).await;
            let bytes = postcard::to_stdvec(&reply).ok()?;
            send.write_all(&bytes).await.ok()?;
            send.finish().ok()
        };
        executor.spawn(answer).detach();
    }
}

async fn answer<P: Platform>(host: &Host<P>, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Sync(ask) => PeerReply::Sync(sync::answer(host, ask)),
        PeerCall::Desired => PeerReply::Desired(desired_copy::answer(host)),
        PeerCall::List(ask) => PeerReply::List(list_copy::answer(host, ask)),
        PeerCall::AppendLease { end, record } => {
            PeerReply::AppendedLease(lease_keeper::append_for_peer(host, end, &record).await)
        }
    }
}

/// Returns a certificate's fingerprint as hex digits.
fn fingerprint(certificate: &CertificateDer<'_>) -> Name {
    let digest = ring::digest::digest(&ring::digest::SHA256, certificate);
    let digits = digest.as_ref().iter().map(|byte| format!("{byte:02x}"));
    digits.collect::<String>().into()
}

struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
}

impl Identity {
    fn make() -> Result<Self, EntryError> {
        let made = rcgen::generate_simple_self_signed([SERVER_NAME.to_string()]);
        let made = made.map_err(setup_error)?;
        Ok(Self {
            certificate: made.cert.der().clone(),
            key: PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()),
        })
    }

    fn pair(&self) -> quic::Identity {
        let key = PrivateKeyDer::Pkcs8(self.key.clone_key());
        (vec![self.certificate.clone()], key)
    }

    fn server_config(&self, verifier: Arc<Pinned>) -> Result<ServerConfig, EntryError> {
        let provider = verifier.provider.clone();
        quic::server(provider, verifier, self.pair(), ALPN, transport()).map_err(setup_error)
    }

    fn client_config(&self, verifier: Arc<Pinned>) -> Result<ClientConfig, EntryError> {
        let provider = verifier.provider.clone();
        quic::client(provider, verifier, self.pair(), ALPN, transport()).map_err(setup_error)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
    transport.receive_window(STREAM_WINDOW_BYTES.into());
    transport.mtu_discovery_config(None);
    if let Ok(idle) = IDLE.try_into() {
        transport.max_idle_timeout(Some(idle));
    }
    transport
}

fn setup_error(error: impl std::fmt::Display) -> EntryError {
    EntryError::Setup {
        what: "the calls between hosts",
        why: error.to_string(),
    }
}

/// Accepts the certificates that the group lists, on both sides. The handshake proves that the other side has
/// the certificate's key.
#[derive(Debug)]
struct Pinned {
    known: Arc<Known>,
    provider: Arc<CryptoProvider>,
}

impl Pinned {
    fn new(known: Arc<Known>) -> Self {
        Self {
            known,
            provider: Arc::new(rustls::crypto::ring::default_provider()),
        }
    }

    fn verify_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, certificate, signed, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }

    fn no_tls12() -> rustls::Error {
        rustls::Error::General("only TLS 1.3 is spoken".to_string())
    }
}

impl ServerCertVerifier for Pinned {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.known.check(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(Self::no_tls12())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

impl ClientCertVerifier for Pinned {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.known.check(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(Self::no_tls12())
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }
}

/// Runs QUIC's tasks on the process's one thread; a thread of their own would cost memory and switches.
#[derive(Debug)]
struct OneThread {
    executor: Arc<Executor<'static>>,
}

impl Runtime for OneThread {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.executor.spawn(future).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}
