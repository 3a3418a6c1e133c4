//! QUIC configurations for connections between hosts: TLS 1.3 only, with certificates on both
//! sides.

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig, TransportConfig};
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::server::danger::ClientCertVerifier;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use std::error::Error;
use std::sync::Arc;

/// A certificate with its chain, and its private key.
pub type Identity = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

/// Creates the configuration of the side that accepts connections; `protocols` are the accepted
/// ALPN identifiers.
///
/// # Errors
///
/// Returns an error if the certificate and key do not match, or cannot be used for TLS.
pub fn server_config(
    provider: Arc<CryptoProvider>,
    verifier: Arc<dyn ClientCertVerifier>,
    (chain, key): Identity,
    protocols: &[&[u8]],
    transport: TransportConfig,
) -> Result<ServerConfig, Box<dyn Error>> {
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    tls.alpn_protocols = protocols.iter().map(|one| one.to_vec()).collect();
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

/// Creates the configuration of the side that connects; `protocol` is the ALPN identifier.
///
/// # Errors
///
/// Returns an error if the certificate and key do not match, or cannot be used for TLS.
pub fn client_config(
    provider: Arc<CryptoProvider>,
    verifier: Arc<dyn ServerCertVerifier>,
    (chain, key): Identity,
    protocol: &[u8],
    transport: TransportConfig,
) -> Result<ClientConfig, Box<dyn Error>> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain, key)?;
    tls.alpn_protocols = vec![protocol.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport));
    Ok(config)
}
