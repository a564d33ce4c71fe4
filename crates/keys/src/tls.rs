//! TLS configurations from a certificate, its key and the trusted authorities.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use doorgrade_operator::control::IdentityFiles;
use doorgrade_trust::Ticks;
use doorgrade_trust::expiry::Validity;
use rustls::client::Resumption;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{NoServerSessionStorage, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use x509_parser::prelude::{FromDer, GeneralName, ParsedExtension, X509Certificate};

use crate::KeyFileError;

/// The files of a certificate, its key and the trusted authorities, in PEM format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Paths {
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub authority: PathBuf,
}

impl Paths {
    /// Paths that are not absolute are relative to the folder of the settings file.
    pub fn resolve(settings: &Path, identity: &IdentityFiles) -> Paths {
        let resolve = |path: &str| doorgrade_operator::files::resolve(settings, path);
        Paths {
            certificate: resolve(&identity.certificate),
            key: resolve(&identity.key),
            authority: resolve(&identity.authority),
        }
    }

    pub fn all(&self) -> Vec<PathBuf> {
        vec![self.certificate.clone(), self.key.clone(), self.authority.clone()]
    }
}

/// A certificate of a file, and its validity period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateInfo {
    pub file: PathBuf,
    pub subject: Box<str>,
    pub validity: Validity,
}

/// A TLS configuration that was built from files, and the certificates in them.
#[derive(Clone, Debug)]
pub struct Loaded<T> {
    pub config: Arc<T>,
    pub certificates: Vec<CertificateInfo>,
    /// The DNS names of the own certificate.
    pub names: Vec<String>,
}

/// Files of certificates or keys have a few kilobytes; a larger one is rejected before it is read.
const MAX_FILE_BYTES: u64 = 1 << 20;

fn read_file(path: &Path) -> Result<Vec<u8>, KeyFileError> {
    let metadata = std::fs::metadata(path).map_err(|e| KeyFileError::new(path, e))?;
    if metadata.len() > MAX_FILE_BYTES {
        return Err(KeyFileError::new(
            path,
            format_args!("{} bytes: expected {MAX_FILE_BYTES} at most", metadata.len()),
        ));
    }
    std::fs::read(path).map_err(|e| KeyFileError::new(path, e))
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyFileError> {
    let text = read_file(path)?;
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let read =
        read.map_err(|e| KeyFileError::new(path, format_args!("expected certificates in PEM format: {e}")))?;
    if read.is_empty() {
        return Err(KeyFileError::new(path, "expected at least one certificate in PEM format"));
    }
    Ok(read)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, KeyFileError> {
    // The error's details are left out, since they could contain parts of the key.
    PrivateKeyDer::from_pem_slice(&read_file(path)?)
        .map_err(|_| KeyFileError::new(path, "expected one private key in PEM format"))
}

fn parse<'a>(path: &Path, der: &'a CertificateDer<'_>) -> Result<X509Certificate<'a>, KeyFileError> {
    let parsed = X509Certificate::from_der(der);
    parsed.map(|p| p.1).map_err(|e| KeyFileError::new(path, format_args!("is not a certificate: {e}")))
}

/// Times before 1970 count as 1970.
fn ticks(unix_seconds: i64) -> Ticks {
    u64::try_from(unix_seconds).unwrap_or(0).saturating_mul(10_000)
}

fn parse_infos(
    path: &Path,
    certificates: &[CertificateDer<'_>],
) -> Result<Vec<CertificateInfo>, KeyFileError> {
    let info = |der| {
        let parsed = parse(path, der)?;
        let (not_before, not_after) = (parsed.validity().not_before, parsed.validity().not_after);
        let validity =
            Validity { not_before: ticks(not_before.timestamp()), not_after: ticks(not_after.timestamp()) };
        Ok(CertificateInfo { file: path.into(), subject: parsed.subject().to_string().into(), validity })
    };
    certificates.iter().map(info).collect()
}

/// The certificates of a file, with their validity periods.
pub fn certificate_infos(path: &Path) -> Result<Vec<CertificateInfo>, KeyFileError> {
    parse_infos(path, &read_certificates(path)?)
}

/// The DNS names that a certificate was issued for. Empty if it can't be parsed.
pub fn dns_names(der: &CertificateDer<'_>) -> Vec<String> {
    let Ok((_, parsed)) = X509Certificate::from_der(der) else { return Vec::new() };
    let mut names = Vec::new();
    for extension in parsed.extensions() {
        if let ParsedExtension::SubjectAlternativeName(alternative) = extension.parsed_extension() {
            let dns = alternative.general_names.iter().filter_map(|name| match name {
                GeneralName::DNSName(name) => Some((*name).to_owned()),
                _ => None,
            });
            names.extend(dns.take(doorgrade_trust::peer::MAX_NAMES));
        }
    }
    names
}

/// A certificate chain with its key, and the trusted authorities.
struct Credentials {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    certificates: Vec<CertificateInfo>,
    names: Vec<String>,
}

fn load(paths: &Paths) -> Result<Credentials, KeyFileError> {
    let chain = read_certificates(&paths.certificate)?;
    let authorities = read_certificates(&paths.authority)?;
    let mut certificates = parse_infos(&paths.certificate, &chain)?;
    certificates.extend(parse_infos(&paths.authority, &authorities)?);
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority).map_err(|e| KeyFileError::new(&paths.authority, e))?;
    }
    let names = dns_names(&chain[0]);
    Ok(Credentials { chain, key: read_key(&paths.key)?, roots: Arc::new(roots), certificates, names })
}

fn mismatch(paths: &Paths, e: rustls::Error) -> KeyFileError {
    KeyFileError::new(&paths.key, format_args!("does not match {}: {e}", paths.certificate.display()))
}

/// A server's configuration. Clients have to present a certificate of the authority on each connection: sessions are
/// not resumed.
pub fn server_config(paths: &Paths, protocol: &[u8]) -> Result<Loaded<ServerConfig>, KeyFileError> {
    let Credentials { chain, key, roots, certificates, names } = load(paths)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build();
    let verifier = verifier.map_err(|e| KeyFileError::new(&paths.authority, e))?;
    let builder = ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|e| mismatch(paths, e))?.with_client_cert_verifier(verifier);
    let mut config = builder.with_single_cert(chain, key).map_err(|e| mismatch(paths, e))?;
    config.alpn_protocols = vec![protocol.to_vec()];
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    Ok(Loaded { config: Arc::new(config), certificates, names })
}

/// A client's configuration.
pub fn client_config(paths: &Paths, protocol: &[u8]) -> Result<Loaded<ClientConfig>, KeyFileError> {
    let Credentials { chain, key, roots, certificates, names } = load(paths)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|e| mismatch(paths, e))?.with_root_certificates(roots);
    let mut config = builder.with_client_auth_cert(chain, key).map_err(|e| mismatch(paths, e))?;
    config.alpn_protocols = vec![protocol.to_vec()];
    config.resumption = Resumption::disabled();
    Ok(Loaded { config: Arc::new(config), certificates, names })
}
