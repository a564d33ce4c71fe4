//! `doorgrade keys`: authorities, certificates and seal keys made and looked at.

use std::path::{Path, PathBuf};

use clap::Subcommand;
use doorgrade_keys::generate::{self, CertificateAndKey};
use doorgrade_keys::{CertificateInfo, certificate_infos};
use doorgrade_stream::clock::now;
use serde_json::{Value, json};

use crate::table::columns;
use crate::{End, say};

#[derive(Subcommand)]
pub enum Keys {
    /// Makes an authority: PREFIX.pem, which others are given, and PREFIX.key, which nobody is
    Authority {
        prefix: PathBuf,
        #[arg(long, default_value = "doorgrade")]
        called: String,
        #[arg(long, default_value_t = 1_825, value_parser = clap::value_parser!(u32).range(1..=36_500))]
        days: u32,
    },
    /// Makes a certificate from an authority: PREFIX.pem and PREFIX.key
    Issue {
        prefix: PathBuf,
        /// The authority's prefix
        #[arg(long, value_name = "PREFIX")]
        authority: PathBuf,
        /// Whom it is for: a front's name, `*.station` for a station's fronts, a person, or the service
        #[arg(long = "for", value_name = "NAME", required = true)]
        names: Vec<String>,
        #[arg(long, default_value_t = 90, value_parser = clap::value_parser!(u32).range(1..=3_650))]
        days: u32,
    },
    /// Prints a new key for sealing versions, as it stands in the file of seal keys
    Seal {
        /// Its number: one that was never used
        number: u32,
    },
    /// Shows whom certificates are for and when they end; exits with 3 if one is due or has ended
    Show {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

fn ends(prefix: &Path) -> [PathBuf; 2] {
    [".pem", ".key"].map(|end| {
        let mut name = prefix.as_os_str().to_owned();
        name.push(end);
        name.into()
    })
}

fn write(prefix: &Path, pair: &CertificateAndKey) -> Result<End, String> {
    let [certificate, key] = ends(prefix);
    // The key first: a certificate without one would look like a whole pair.
    generate::write_new(&key, &pair.key).map_err(|t| t.to_string())?;
    generate::write_new(&certificate, &pair.certificate).map_err(|t| t.to_string())?;
    say(&format!("{}\n{}\n", certificate.display(), key.display())).map(|()| End::Done)
}

fn read(prefix: &Path) -> Result<CertificateAndKey, String> {
    let [certificate, key] = ends(prefix);
    let text = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    Ok(CertificateAndKey { certificate: text(&certificate)?, key: text(&key)? })
}

pub fn run(command: Keys) -> Result<End, String> {
    match command {
        Keys::Authority { prefix, called, days } => {
            let pair = generate::authority(&called, days.into()).map_err(|t| t.to_string())?;
            write(&prefix, &pair)
        }
        Keys::Issue { prefix, authority, names, days } => {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let pair = generate::issue(&read(&authority)?, &names, days.into()).map_err(|t| t.to_string())?;
            write(&prefix, &pair)
        }
        Keys::Seal { number } => {
            let secret = generate::secret().map_err(|t| t.to_string())?;
            say(&format!("key \"{number}\" {{ secret = \"{secret}\" }}\n")).map(|()| End::Done)
        }
        Keys::Show { files, json } => show(&files, json),
    }
}

fn show(files: &[PathBuf], as_json: bool) -> Result<End, String> {
    let (mut all, mut wrong): (Vec<CertificateInfo>, bool) = Default::default();
    for file in files {
        all.extend(certificate_infos(file).map_err(|t| t.to_string())?);
    }
    let mut rows = vec![["file", "for", "stands"].map(str::to_owned).to_vec()];
    let mut list: Vec<Value> = Vec::new();
    for CertificateInfo { file, subject: of, validity: span } in &all {
        let word = span.warning(now());
        wrong |= word.is_some();
        let days = span.not_after.saturating_sub(now()) / doorgrade_trust::TICKS_PER_DAY;
        let stands = word.map_or(format!("good for {days} days"), |word| word.to_string());
        list.push(json!({"file": file.display().to_string(), "for": of, "from_ms": span.not_before / 10,
            "to_ms": span.not_after / 10, "stands": stands, "due": word.is_some()}));
        rows.push(vec![file.display().to_string(), of.to_string(), stands]);
    }
    say(&if as_json { format!("{}\n", json!({"certificates": list})) } else { columns(&rows) })?;
    Ok(if wrong { End::Wrong } else { End::Done })
}
