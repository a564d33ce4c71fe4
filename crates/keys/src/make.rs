//! Authorities and certificates for installations that have none, and for tests.

use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::Trouble;

/// A certificate and its key, in PEM form.
#[derive(Clone, Debug)]
pub struct Pair {
    pub certificate: String,
    pub key: String,
}

fn made<T>(result: Result<T, rcgen::Error>) -> Result<T, Trouble> {
    result.map_err(|e| Trouble::new(Path::new("a new certificate"), e))
}

/// Good from a little before now on, for clocks that differ, until some days from now (fewer than none: it has ended).
fn span(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_after = now + Duration::days(days);
    params.not_before = now.min(params.not_after) - Duration::hours(1);
}

pub fn authority(name: &str, days: i64) -> Result<Pair, Trouble> {
    let mut params = made(CertificateParams::new(Vec::new()))?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    span(&mut params, days);
    let key = made(KeyPair::generate())?;
    let certificate = made(params.self_signed(&key))?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// A certificate for these DNS names, from an authority.
pub fn issue(authority: &Pair, names: &[&str], days: i64) -> Result<Pair, Trouble> {
    let names: Vec<String> = names.iter().map(|&n| n.to_owned()).collect();
    let subject = names.first().cloned().unwrap_or_default();
    let mut params = made(CertificateParams::new(names))?;
    params.distinguished_name.push(DnType::CommonName, subject);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    span(&mut params, days);
    let signer = made(KeyPair::from_pem(&authority.key))?;
    let issuer = made(Issuer::from_ca_cert_pem(&authority.certificate, signer))?;
    let key = made(KeyPair::generate())?;
    let certificate = made(params.signed_by(&key, &issuer))?;
    Ok(Pair { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// A new secret for sealing, in hex digits.
pub fn secret() -> Result<String, Trouble> {
    let mut bytes = [0; doorgrade_trust::rotation::MIN_SECRET_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| Trouble::new(Path::new("a new secret"), e))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

/// Writes a file that only its owner reads, and none that is there already.
pub fn write_new(path: &Path, text: &str) -> Result<(), Trouble> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(0o600).open(path);
    let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|e| Trouble::new(path, e))
}
