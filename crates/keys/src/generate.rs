//! Creates authorities, certificates and secrets, for installations that have none and for tests.

use std::path::Path;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::KeyFileError;

/// A certificate and its key, in PEM format.
#[derive(Clone, Debug)]
pub struct CertificateAndKey {
    pub certificate: String,
    pub key: String,
}

fn checked<T>(result: Result<T, rcgen::Error>) -> Result<T, KeyFileError> {
    result.map_err(|e| KeyFileError::new(Path::new("a new certificate"), e))
}

/// Sets the validity from one hour ago, since clocks differ, until `days` from now. If that is negative, the
/// certificate has expired already.
fn set_validity(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_after = now + Duration::days(days);
    params.not_before = now.min(params.not_after) - Duration::hours(1);
}

/// A new self-signed authority.
pub fn authority(name: &str, days: i64) -> Result<CertificateAndKey, KeyFileError> {
    let mut params = checked(CertificateParams::new(Vec::new()))?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    set_validity(&mut params, days);
    let key = checked(KeyPair::generate())?;
    let certificate = checked(params.self_signed(&key))?;
    Ok(CertificateAndKey { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// A certificate for these DNS names, issued by an authority.
pub fn issue(
    authority: &CertificateAndKey,
    names: &[&str],
    days: i64,
) -> Result<CertificateAndKey, KeyFileError> {
    let names: Vec<String> = names.iter().map(|&n| n.to_owned()).collect();
    let subject = names.first().cloned().unwrap_or_default();
    let mut params = checked(CertificateParams::new(names))?;
    params.distinguished_name.push(DnType::CommonName, subject);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    params.use_authority_key_identifier_extension = true;
    set_validity(&mut params, days);
    let signer = checked(KeyPair::from_pem(&authority.key))?;
    let issuer = checked(Issuer::from_ca_cert_pem(&authority.certificate, signer))?;
    let key = checked(KeyPair::generate())?;
    let certificate = checked(params.signed_by(&key, &issuer))?;
    Ok(CertificateAndKey { certificate: certificate.pem(), key: key.serialize_pem() })
}

/// A new key for seals, in hexadecimal.
pub fn secret() -> Result<String, KeyFileError> {
    let mut bytes = [0; doorgrade_trust::rotation::MIN_SECRET_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| KeyFileError::new(Path::new("a new secret"), e))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

/// Creates a file that only its owner can read. Fails if it exists.
pub fn write_new(path: &Path, text: &str) -> Result<(), KeyFileError> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    let file = options.write(true).create_new(true).mode(0o600).open(path);
    let written = file.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|e| KeyFileError::new(path, e))
}
