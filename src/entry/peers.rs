//! Calls between hosts over QUIC. Each process has a certificate of its own, whose fingerprint the
//! group of hosts lists.
//!
//! There is no shared secret and no certificate authority: a process makes its certificate when it
//! starts and publishes the fingerprint with its membership. Both sides of a connection accept
//! listed fingerprints only.

use crate::edge::quic;
use crate::entry::handoff::server::{self, Served};
use crate::entry::host::Host;
use crate::entry::orderer;
use crate::entry::platform::Platform;
use crate::entry::resumption::store;
use crate::entry::resumption::streams::Streams;
use crate::entry::run::EntryError;
use crate::entry::{desired_copy, desired_exchange, lease_manager, list_copy, places, sync};
use crate::handoff::MAX_OPEN_PER_PEER;
use crate::http1::client::with_timeout;
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use quinn::crypto::rustls::HandshakeData;
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

/// The server name in every certificate; only the fingerprint tells hosts apart.
const SERVER_NAME: &str = "host.mangovale";
/// The name and version of the protocol, as negotiated by ALPN in the TLS handshake.
const ALPN: &[u8] = b"mangovale-order/9";
/// The name and version of the protocol of handed requests. They have connections of their own, so
/// that a slow answer never holds up the calls.
const HANDOFF_ALPN: &[u8] = b"mangovale-handoff/2";
/// The time-out of a call; a round trip takes a few milliseconds.
pub const CALL_TIMEOUT_MS: Millis = Millis(700);
/// How long a connection stays open without traffic. A dead one is detected by the first call that
/// times out on it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest message: the changes of a large list of upstreams, or the whole list of hosts.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// The most concurrent calls from one peer; each call is a stream.
const MAX_STREAMS: u32 = 16;
/// The flow-control window of one stream and of one connection.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// After how long without a packet the host at the other end of a handed request counts as lost.
const HANDOFF_LOST: Duration = Duration::from_millis(1_500);
/// How often a connection with handed requests shows that it is alive.
const HANDOFF_KEEP_ALIVE: Duration = Duration::from_millis(400);
/// The flow-control window of one answer to a handed request. That of the connection has room for
/// all of them, so that an answer that its caller reads slowly does not stop the others.
const HANDOFF_WINDOW_BYTES: u32 = 64 << 10;

/// Most bytes that one connection holds until the other host has them.
const SEND_WINDOW_BYTES: u64 = 4 << 20;

/// The fingerprints of the certificates that are accepted from other hosts.
#[derive(Debug, Default)]
pub struct AcceptedFingerprints(Mutex<IndexSet<Name>>);

impl AcceptedFingerprints {
    /// Accepts these fingerprints from now on, and no others. Open connections stay.
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

/// The QUIC endpoint of this process, which makes and answers calls, and its open connections.
pub struct Peers {
    endpoint: Endpoint,
    /// The SHA-256 fingerprint of this process's certificate, as hex digits.
    pub fingerprint: Name,
    /// The fingerprints that both sides of its connections accept; replaced when the list of hosts
    /// changes.
    pub accepted: Arc<AcceptedFingerprints>,
    connections: RefCell<IndexMap<SocketAddr, Connection>>,
    handoff_config: ClientConfig,
}

impl Peers {
    /// Makes a certificate and binds the UDP address. Tasks of QUIC run on `executor`.
    pub fn bind(
        address: SocketAddr,
        executor: Arc<Executor<'static>>,
    ) -> Result<Rc<Self>, EntryError> {
        let accepted = Arc::new(AcceptedFingerprints::default());
        let identity = Identity::make()?;
        let verifier = Arc::new(FingerprintVerifier::new(accepted.clone()));
        let socket = UdpSocket::bind(address).map_err(|source| EntryError::Listen {
            key: "peer_listen",
            address,
            source,
        })?;
        let endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(identity.server_config(verifier.clone())?),
            socket,
            Arc::new(SingleThreadRuntime { executor }),
        );
        let mut endpoint = endpoint.map_err(|source| EntryError::Listen {
            key: "peer_listen",
            address,
            source,
        })?;
        let calls = identity.client_config(verifier.clone(), ALPN, transport())?;
        endpoint.set_default_client_config(calls);
        let handoff_config = identity.client_config(verifier, HANDOFF_ALPN, handoff_transport())?;
        Ok(Rc::new(Self {
            endpoint,
            fingerprint: fingerprint(&identity.certificate),
            accepted,
            connections: RefCell::default(),
            handoff_config,
        }))
    }

    /// Returns the bound address, to which other hosts connect.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Calls a peer. Returns nothing when there is no answer within [`CALL_TIMEOUT_MS`].
    pub async fn call(&self, address: SocketAddr, call: &PeerCall) -> Option<PeerReply> {
        let reply = with_timeout(CALL_TIMEOUT_MS, self.try_call(address, call))
            .await
            .flatten();
        if reply.is_none() {
            // The connection may be dead, so the next call opens a new one.
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

    /// Returns the bytes of all packets that were sent and received on open connections that this
    /// process made, with 28 bytes of UDP and IP headers each.
    #[cfg(test)]
    pub fn transferred_bytes(&self) -> u64 {
        let connections = self.connections.borrow();
        let stats = connections.values().map(Connection::stats);
        let both = stats.flat_map(|stats| [stats.udp_tx, stats.udp_rx]);
        both.map(|udp| udp.bytes + 28 * udp.datagrams).sum()
    }

    /// Closes the connections that this process made; the next calls open new ones.
    #[cfg(test)]
    pub fn close_connections(&self) {
        for (_, connection) in self.connections.borrow_mut().drain(..) {
            connection.close(0u32.into(), b"");
        }
    }

    /// Closes all connections, so that the other hosts need not find out that this process ends.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"");
    }

    /// Opens a connection to another host for requests that are handed to it. Returns nothing when
    /// the host cannot be reached, or does not take handed requests.
    pub async fn connect_for_handoffs(&self, address: SocketAddr) -> Option<Connection> {
        let config = self.handoff_config.clone();
        let connecting = self.endpoint.connect_with(config, address, SERVER_NAME);
        connecting.ok()?.await.ok()
    }

    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        let open = self.connections.borrow().get(&address).cloned();
        if let Some(open) = open.filter(|open| open.close_reason().is_none()) {
            return Some(open);
        }
        let connecting = self.endpoint.connect(address, SERVER_NAME).ok()?;
        let connection = connecting.await.ok()?;
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| connection.close_reason().is_none());
        connections.insert(address, connection.clone());
        Some(connection)
    }
}

/// Answers calls of other hosts until the endpoint closes.
pub async fn serve<P: Platform + 'static>(
    host: Rc<Host<P>>,
    peers: Rc<Peers>,
    streams: Rc<Streams>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let served = Served::default();
    while let Some(incoming) = peers.endpoint.accept().await {
        let (host, served, streams) = (host.clone(), served.clone(), streams.clone());
        let tasks = executor.clone();
        let serve = async move {
            let peer = incoming.remote_address();
            match incoming.await {
                Ok(connection) if is_for_handoffs(&connection) => {
                    server::serve_connection(host, connection, tasks, served).await
                }
                Ok(connection) => serve_connection(host, streams, connection, tasks).await,
                Err(error) => {
                    orderer::log_peer_refused(peer, &error.to_string());
                    host.note_unknown_peer();
                }
            }
        };
        executor.spawn(serve).detach();
    }
}

fn is_for_handoffs(connection: &Connection) -> bool {
    let data = connection.handshake_data();
    let data = data.and_then(|data| data.downcast::<HandshakeData>().ok());
    data.is_some_and(|data| data.protocol.as_deref() == Some(HANDOFF_ALPN))
}

async fn serve_connection<P: Platform + 'static>(
    host: Rc<Host<P>>,
    streams: Rc<Streams>,
    connection: Connection,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let (host, streams) = (host.clone(), streams.clone());
        let answer = async move {
            let bytes = receive.read_to_end(MAX_MESSAGE_BYTES).await.ok()?;
            let reply = answer(&host, &streams, postcard::from_bytes(&bytes).ok()?).await;
            let bytes = postcard::to_stdvec(&reply).ok()?;
            send.write_all(&bytes).await.ok()?;
            send.finish().ok()
        };
        executor.spawn(answer).detach();
    }
}

async fn answer<P: Platform>(host: &Host<P>, streams: &Streams, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Sync(request) => PeerReply::Sync(sync::answer(host, request)),
        PeerCall::Desired => PeerReply::Desired(desired_copy::answer(host)),
        PeerCall::Version { from, version } => {
            PeerReply::Version(desired_exchange::answer(host, from, version))
        }
        PeerCall::List(request) => PeerReply::List(list_copy::answer(host, request)),
        PeerCall::AppendLease { end, record } => {
            PeerReply::AppendedLease(lease_manager::append_for_peer(host, end, &record).await)
        }
        PeerCall::KeepStreams(records) => {
            streams.keep(host, records);
            PeerReply::KeptStreams
        }
        PeerCall::FindStream(key) => PeerReply::Stream {
            record: streams.record(host, key),
            has_read_store: streams.store.has_read(host, key),
        },
        PeerCall::StoreStreams(received) => {
            streams.store.add(host, received);
            PeerReply::KeptStreams
        }
        PeerCall::Versions => PeerReply::Versions(store::known_versions(host)),
        PeerCall::KeepPlaces { from, updates } => {
            PeerReply::KeptPlaces(places::receive(host, from, updates))
        }
        PeerCall::ClaimPlace { from, key } => places::claim_for_peer(host, from, key),
    }
}

/// Returns the SHA-256 fingerprint of a certificate as hex digits.
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

    fn server_config(
        &self,
        verifier: Arc<FingerprintVerifier>,
    ) -> Result<ServerConfig, EntryError> {
        let provider = verifier.provider.clone();
        let protocols = [ALPN, HANDOFF_ALPN];
        quic::server_config(provider, verifier, self.pair(), &protocols, transport())
            .map_err(setup_error)
    }

    fn client_config(
        &self,
        verifier: Arc<FingerprintVerifier>,
        protocol: &[u8],
        transport: TransportConfig,
    ) -> Result<ClientConfig, EntryError> {
        let provider = verifier.provider.clone();
        quic::client_config(provider, verifier, self.pair(), protocol, transport)
            .map_err(setup_error)
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
    transport.receive_window(STREAM_WINDOW_BYTES.into());
    transport.send_window(SEND_WINDOW_BYTES);
    transport.mtu_discovery_config(None);
    if let Ok(idle) = IDLE_TIMEOUT.try_into() {
        transport.max_idle_timeout(Some(idle));
    }
    transport
}

fn handoff_transport() -> TransportConfig {
    let mut transport = transport();
    transport.max_concurrent_bidi_streams(0u32.into());
    transport.stream_receive_window(HANDOFF_WINDOW_BYTES.into());
    transport.receive_window((HANDOFF_WINDOW_BYTES * MAX_OPEN_PER_PEER).into());
    transport.keep_alive_interval(Some(HANDOFF_KEEP_ALIVE));
    if let Ok(lost) = HANDOFF_LOST.try_into() {
        transport.max_idle_timeout(Some(lost));
    }
    transport
}

fn setup_error(error: impl std::fmt::Display) -> EntryError {
    EntryError::Setup {
        what: "the calls between hosts",
        why: error.to_string(),
    }
}

/// Verifies certificates on both sides of a connection: their fingerprints must be listed. The
/// handshake proves that the other side has the certificate's key.
#[derive(Debug)]
struct FingerprintVerifier {
    accepted: Arc<AcceptedFingerprints>,
    provider: Arc<CryptoProvider>,
}

impl FingerprintVerifier {
    fn new(accepted: Arc<AcceptedFingerprints>) -> Self {
        Self {
            accepted,
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

    fn tls12_error() -> rustls::Error {
        rustls::Error::General("only TLS 1.3 is supported".to_string())
    }
}

impl ServerCertVerifier for FingerprintVerifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.accepted.check(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(Self::tls12_error())
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

impl ClientCertVerifier for FingerprintVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.accepted.check(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _certificate: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(Self::tls12_error())
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

/// Runs the tasks of QUIC on the process's only thread; a thread of their own would cost memory and
/// context switches.
#[derive(Debug)]
struct SingleThreadRuntime {
    executor: Arc<Executor<'static>>,
}

impl Runtime for SingleThreadRuntime {
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
