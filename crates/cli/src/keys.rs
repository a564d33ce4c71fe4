//! `doorgrade keys`: creates and shows certificate authorities, certificates and seal keys.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_keys::generate::{self, CertificateAndKey};
use doorgrade_keys::{CertificateInfo, certificate_infos};
use doorgrade_stream::clock::now;
use serde_json::{Value, json};

use crate::table::format_table;
use crate::{Outcome, write_stdout};

#[derive(Subcommand)]
pub enum Keys {
    /// Creates a certificate authority: PREFIX.pem, to be distributed, and PREFIX.key, to be kept secret
    Authority {
        prefix: PathBuf,
        #[arg(long, default_value = "doorgrade")]
        called: String,
        #[arg(long, default_value_t = 1_825, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
    /// Issues a certificate from an authority: PREFIX.pem and PREFIX.key
    Issue {
        prefix: PathBuf,
        /// The authority's prefix
        #[arg(long, value_name = "PREFIX")]
        authority: PathBuf,
        /// The holder: a front's name, `*.station` for a station's fronts, a person, or the service
        #[arg(long = "for", value_name = "NAME", required = true)]
        names: Vec<String>,
        #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u32).range(1..=3_650))]
        days: u32,
    },
    /// Prints a new key for sealing versions, in the format of the file of seal keys
    Seal {
        /// The key's number, which must never have been used
        number: u32,
    },
    /// Shows the holders of certificates and when they expire; exits with 3 if one is due for renewal or has expired
    Show {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

fn pair_paths(prefix: &Path) -> [PathBuf; 2] {
    [".pem", ".key"].map(|extension| {
        let mut name = prefix.as_os_str().to_owned();
        name.push(extension);
        name.into()
    })
}

fn write(prefix: &Path, pair: &CertificateAndKey) -> Result<Outcome, String> {
    let [certificate, key] = pair_paths(prefix);
    // The key first: a certificate without its key would pass for a complete pair.
    generate::write_new(&key, &pair.key).map_err(|e| e.to_string())?;
    generate::write_new(&certificate, &pair.certificate).map_err(|e| e.to_string())?;
    write_stdout(&format!("{}\n{}\n", certificate.display(), key.display())).map(|()| Outcome::Done)
}

fn read(prefix: &Path) -> Result<CertificateAndKey, String> {
    let [certificate, key] = pair_paths(prefix);
    let text = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    Ok(CertificateAndKey { certificate: text(&certificate)?, key: text(&key)? })
}

pub fn run(command: Keys) -> Result<Outcome, String> {
    match command {
        Keys::Authority { prefix, called, days } => {
            let pair = generate::authority(&called, days.into()).map_err(|e| e.to_string())?;
            write(&prefix, &pair)
        }
        Keys::Issue { prefix, authority, names, days } => {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let pair = generate::issue(&read(&authority)?, &names, days.into()).map_err(|e| e.to_string())?;
            write(&prefix, &pair)
        }
        Keys::Seal { number } => {
            let secret = generate::secret().map_err(|e| e.to_string())?;
            write_stdout(&format!("key \"{number}\" {{ secret = \"{secret}\" }}\n")).map(|()| Outcome::Done)
        }
        Keys::Show { files, json } => show(&files, json),
    }
}

fn show(files: &[PathBuf], as_json: bool) -> Result<Outcome, String> {
    let (mut certificates, mut any_due): (Vec<CertificateInfo>, bool) = Default::default();
    for file in files {
        certificates.extend(certificate_infos(file).map_err(|e| e.to_string())?);
    }
    let mut rows = vec![["file", "for", "stands"].map(str::to_owned).to_vec()];
    let mut list: Vec<Value> = Vec::new();
    for CertificateInfo { file, subject, validity } in &certificates {
        let warning = validity.warning(now());
        any_due |= warning.is_some();
        let days = validity.not_after.saturating_sub(now()) / doorgrade_trust::TICKS_PER_DAY;
        let state = warning.map_or(format!("good for {days} days"), |warning| warning.to_string());
        list.push(
            json!({"file": file.display().to_string(), "for": subject, "from_ms": validity.not_before / 10,
            "to_ms": validity.not_after / 10, "stands": state, "due": warning.is_some()}),
        );
        rows.push(vec![file.display().to_string(), subject.to_string(), state]);
    }
    write_stdout(&if as_json {
        format!("{}\n", json!({"certificates": list}))
    } else {
        format_table(&rows)
    })?;
    Ok(if any_due { Outcome::ProblemsFound } else { Outcome::Done })
}
