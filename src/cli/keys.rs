//! Creates the fleet's certificate authority, the hosts' certificates, operators' tokens and
//! brands' API keys.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::KeysOptions;
use crate::cli::render::print_line;
use crate::edge::digest::sha256;
use crate::edge::peer::FLEET_SERVER_NAME;
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use ring::rand::{SecureRandom, SystemRandom};
use snafu::ResultExt;
use std::fmt::Write;
use std::fs;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

const FLEET_CERTIFICATE: &str = "fleet.pem";
const FLEET_KEY: &str = "fleet.key";
const TOKEN_BYTES: usize = 32;
/// Files with secrets are readable and writable by their owner only.
const SECRET_FILE_MODE: u32 = 0o600;

/// Creates the keys that the options ask for, and prints one line for each.
///
/// # Errors
///
/// Returns which file cannot be read or written, or why a key cannot be created.
pub fn keys(options: &KeysOptions) -> Result<Exit, CliError> {
    for line in make(options)? {
        print_line(&line)?;
    }
    Ok(Exit::Done)
}

/// Creates the keys that the options ask for, and returns one line for each that says which files
/// were written. No line contains a secret. An existing fleet key in the directory is used again.
///
/// # Errors
///
/// Returns which file cannot be read or written, or why a key cannot be created.
pub fn make(options: &KeysOptions) -> Result<Vec<String>, CliError> {
    let directory = &options.directory;
    fs::create_dir_all(directory).context(FileSnafu { path: directory })?;
    let mut lines = Vec::new();
    let key = read_or_create_fleet_key(directory, &mut lines)?;
    let issuer = Issuer::new(fleet_params()?, key);
    for host in &options.host {
        create_host_certificate(directory, host, &issuer)?;
        lines.push(format!("host {host}: {host}.pem and {host}.key"));
    }
    for operator in &options.operator {
        let hash = create_secret(directory, &format!("{operator}.token"))?;
        lines.push(format!(
            "operator {operator}: {operator}.token, operator_token_sha256 = [\"{hash}\"]"
        ));
    }
    for brand in &options.brand {
        let hash = create_secret(directory, &format!("{brand}.key"))?;
        lines.push(format!(
            "brand {brand}: {brand}.key, key_sha256 = [\"{hash}\"]"
        ));
    }
    Ok(lines)
}

fn fleet_params() -> Result<CertificateParams, CliError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(keys_error)?;
    params
        .distinguished_name
        .push(DnType::CommonName, "mangovale fleet");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}

fn read_or_create_fleet_key(
    directory: &Path,
    lines: &mut Vec<String>,
) -> Result<KeyPair, CliError> {
    let path = directory.join(FLEET_KEY);
    if path.exists() {
        let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
        return KeyPair::from_pem(&text).map_err(keys_error);
    }
    let key = KeyPair::generate().map_err(keys_error)?;
    let certificate = fleet_params()?.self_signed(&key).map_err(keys_error)?;
    write_secret(&path, &key.serialize_pem())?;
    let path = directory.join(FLEET_CERTIFICATE);
    fs::write(&path, certificate.pem()).context(FileSnafu { path: &path })?;
    lines.push(format!(
        "fleet: {FLEET_CERTIFICATE} and {FLEET_KEY} (do not copy the key to the hosts)"
    ));
    Ok(key)
}

fn create_host_certificate(
    directory: &Path,
    host: &str,
    issuer: &Issuer<'_, KeyPair>,
) -> Result<(), CliError> {
    let names = vec![FLEET_SERVER_NAME.to_string(), host.to_string()];
    let mut params = CertificateParams::new(names).map_err(keys_error)?;
    params.distinguished_name.push(DnType::CommonName, host);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(keys_error)?;
    let certificate = params.signed_by(&key, issuer).map_err(keys_error)?;
    let path = directory.join(format!("{host}.pem"));
    fs::write(&path, certificate.pem()).context(FileSnafu { path: &path })?;
    write_secret(&directory.join(format!("{host}.key")), &key.serialize_pem())
}

/// Writes a random secret in hexadecimal digits to a file, and returns its SHA-256.
fn create_secret(directory: &Path, file: &str) -> Result<std::sync::Arc<str>, CliError> {
    let mut bytes = [0; TOKEN_BYTES];
    SystemRandom::new().fill(&mut bytes).map_err(keys_error)?;
    let mut token = String::new();
    for byte in bytes {
        let _ = write!(token, "{byte:02x}");
    }
    write_secret(&directory.join(file), &token)?;
    Ok(sha256(&token))
}

fn write_secret(path: &Path, text: &str) -> Result<(), CliError> {
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(SECRET_FILE_MODE)
        .open(path)
        .context(FileSnafu { path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path })
}

fn keys_error(error: impl std::fmt::Display) -> CliError {
    CliError::Keys {
        why: error.to_string(),
    }
}
