//! A certificate with its key and the authorities that are believed, and TLS made from them.

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

use crate::Trouble;

/// Where they stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Paths {
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub authority: PathBuf,
}

impl Paths {
    /// As the settings name them: beside the settings' file unless absolute.
    pub fn beside(settings: &Path, papers: &IdentityFiles) -> Paths {
        let at = |named: &str| doorgrade_operator::files::resolve(settings, named);
        Paths { certificate: at(&papers.certificate), key: at(&papers.key), authority: at(&papers.authority) }
    }

    pub fn all(&self) -> Vec<PathBuf> {
        vec![self.certificate.clone(), self.key.clone(), self.authority.clone()]
    }
}

/// One certificate, and for how long it is good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dated {
    pub file: PathBuf,
    /// Its subject.
    pub of: Box<str>,
    pub span: Validity,
}

/// What was made of files, and what in them will end.
#[derive(Clone, Debug)]
pub struct Loaded<T> {
    pub made: Arc<T>,
    pub dated: Vec<Dated>,
    /// The names of the own certificate.
    pub names: Vec<String>,
}

/// A file of certificates or keys is some kilobytes; more is none.
const MOST_BYTES: u64 = 1 << 20;

fn text(path: &Path) -> Result<Vec<u8>, Trouble> {
    let about = std::fs::metadata(path).map_err(|e| Trouble::new(path, e))?;
    if about.len() > MOST_BYTES {
        return Err(Trouble::new(path, format_args!("{} bytes: expected {MOST_BYTES} at most", about.len())));
    }
    std::fs::read(path).map_err(|e| Trouble::new(path, e))
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Trouble> {
    let text = text(path)?;
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let read =
        read.map_err(|e| Trouble::new(path, format_args!("expected certificates in PEM form: {e}")))?;
    if read.is_empty() {
        return Err(Trouble::new(path, "expected at least one certificate in PEM form"));
    }
    Ok(read)
}

fn key(path: &Path) -> Result<PrivateKeyDer<'static>, Trouble> {
    // What stands in it is not repeated in a message.
    PrivateKeyDer::from_pem_slice(&text(path)?)
        .map_err(|_| Trouble::new(path, "expected one private key in PEM form"))
}

fn parse<'a>(path: &Path, der: &'a CertificateDer<'_>) -> Result<X509Certificate<'a>, Trouble> {
    let parsed = X509Certificate::from_der(der);
    parsed.map(|p| p.1).map_err(|e| Trouble::new(path, format_args!("is no certificate: {e}")))
}

/// Times before 1970 count as 1970.
fn tenths(seconds: i64) -> Ticks {
    u64::try_from(seconds).unwrap_or(0).saturating_mul(10_000)
}

fn dated(path: &Path, all: &[CertificateDer<'_>]) -> Result<Vec<Dated>, Trouble> {
    let one = |der| {
        let parsed = parse(path, der)?;
        let (from, to) = (parsed.validity().not_before, parsed.validity().not_after);
        let span = Validity { not_before: tenths(from.timestamp()), not_after: tenths(to.timestamp()) };
        Ok(Dated { file: path.into(), of: parsed.subject().to_string().into(), span })
    };
    all.iter().map(one).collect()
}

/// The certificates of a file, and for how long each is good.
pub fn dates(path: &Path) -> Result<Vec<Dated>, Trouble> {
    dated(path, &certificates(path)?)
}

/// The DNS names that a certificate was made for; none where it can't be read.
pub fn names(der: &CertificateDer<'_>) -> Vec<String> {
    let Ok((_, parsed)) = X509Certificate::from_der(der) else { return Vec::new() };
    let mut names = Vec::new();
    for extension in parsed.extensions() {
        if let ParsedExtension::SubjectAlternativeName(other) = extension.parsed_extension() {
            let dns = other.general_names.iter().filter_map(|name| match name {
                GeneralName::DNSName(name) => Some((*name).to_owned()),
                _ => None,
            });
            names.extend(dns.take(doorgrade_trust::peer::MAX_NAMES));
        }
    }
    names
}

struct Own {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
    dated: Vec<Dated>,
    names: Vec<String>,
}

fn own(paths: &Paths) -> Result<Own, Trouble> {
    let chain = certificates(&paths.certificate)?;
    let authorities = certificates(&paths.authority)?;
    let mut dates = dated(&paths.certificate, &chain)?;
    dates.extend(dated(&paths.authority, &authorities)?);
    let mut roots = RootCertStore::empty();
    for authority in authorities {
        roots.add(authority).map_err(|e| Trouble::new(&paths.authority, e))?;
    }
    let names = names(&chain[0]);
    Ok(Own { chain, key: key(&paths.key)?, roots: Arc::new(roots), dated: dates, names })
}

fn mismatch(paths: &Paths, e: rustls::Error) -> Trouble {
    Trouble::new(&paths.key, format_args!("does not go with {}: {e}", paths.certificate.display()))
}

/// For whoever listens. Whoever comes has to show a certificate of the authority, on each connection anew.
pub fn server(paths: &Paths, protocol: &[u8]) -> Result<Loaded<ServerConfig>, Trouble> {
    let Own { chain, key, roots, dated, names } = own(paths)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone()).build();
    let verifier = verifier.map_err(|e| Trouble::new(&paths.authority, e))?;
    let builder = ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|e| mismatch(paths, e))?.with_client_cert_verifier(verifier);
    let mut made = builder.with_single_cert(chain, key).map_err(|e| mismatch(paths, e))?;
    made.alpn_protocols = vec![protocol.to_vec()];
    made.session_storage = Arc::new(NoServerSessionStorage {});
    made.send_tls13_tickets = 0;
    Ok(Loaded { made: Arc::new(made), dated, names })
}

/// For whoever connects.
pub fn client(paths: &Paths, protocol: &[u8]) -> Result<Loaded<ClientConfig>, Trouble> {
    let Own { chain, key, roots, dated, names } = own(paths)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|e| mismatch(paths, e))?.with_root_certificates(roots);
    let mut made = builder.with_client_auth_cert(chain, key).map_err(|e| mismatch(paths, e))?;
    made.alpn_protocols = vec![protocol.to_vec()];
    made.resumption = Resumption::disabled();
    Ok(Loaded { made: Arc::new(made), dated, names })
}
