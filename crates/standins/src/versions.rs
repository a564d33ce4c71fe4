//! For tests of the control service: a folder with the certificates, keys and settings of an installation, and stub
//! fronts. A stub front follows the service as a real one does, but serves no accesses. The test decides which
//! versions it accepts, and reads which ones it has applied.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use doorgrade_keys::generate::{self, CertificateAndKey};
use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_keys::{Paths, client_config};
use doorgrade_stream::FRONT_PROTOCOL;
use doorgrade_stream::clock::now;
use doorgrade_stream::front_client::{AccessCounts, Command, FrontClient, Host, ServiceEndpoint};
use doorgrade_versions::front::{Content, Front, LogEvent, StoredState};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::{RejectionReason, Ticks, VersionId};
use tokio::sync::mpsc;

use crate::lock;

/// The name in the service's certificate.
pub const SERVICE: &str = "control.doorgrade.test";

/// A folder with the certificates and keys of an installation. It is removed on drop.
pub struct Installation {
    pub folder: PathBuf,
    /// The certificate authority of the fronts.
    pub fronts: CertificateAndKey,
    /// The certificate authority of the operators.
    pub operators: CertificateAndKey,
}

impl Drop for Installation {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Seal keys with these numbers, as a front holds them.
pub fn keys(numbers: &[u32]) -> Vec<(u32, Vec<u8>)> {
    numbers.iter().map(|&number| (number, vec![number as u8; 32])).collect()
}

/// A seal key in the format that `doorgrade keys seal` prints, with a secret for tests alone.
pub fn seal_key(number: u32) -> String {
    format!("key \"{number}\" {{ secret = \"{}\" }}\n", format!("{number:02x}").repeat(32))
}

impl Installation {
    /// Creates the folder under the system's temporary directory.
    pub fn new(name: &str) -> std::io::Result<Installation> {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let io_result = |pair: Result<CertificateAndKey, doorgrade_keys::KeyFileError>| {
            pair.map_err(std::io::Error::other)
        };
        let (fronts, operators) =
            (io_result(generate::authority("fronts", 30))?, io_result(generate::authority("operators", 30))?);
        let installation = Installation { folder, fronts, operators };
        installation.write("fronts-ca.pem", &installation.fronts.certificate)?;
        installation.write("operators-ca.pem", &installation.operators.certificate)?;
        // One certificate for both listeners: fronts and operators trust the authority that issued it.
        installation.issue("control", &installation.fronts, &[SERVICE], 30)?;
        installation.issue("person", &installation.operators, &["first-shift"], 30)?;
        installation.issue("onlooker", &installation.operators, &["visitor"], 30)?;
        installation.write("seal-keys.hcl", &seal_key(1))?;
        Ok(installation)
    }

    pub fn write(&self, name: &str, text: &str) -> std::io::Result<()> {
        std::fs::write(self.folder.join(name), text)
    }

    /// Issues a certificate for these names, and writes it and its key to files with this prefix.
    pub fn issue(
        &self,
        prefix: &str,
        authority: &CertificateAndKey,
        names: &[&str],
        days: i64,
    ) -> std::io::Result<()> {
        let pair = generate::issue(authority, names, days).map_err(std::io::Error::other)?;
        self.write(&format!("{prefix}.pem"), &pair.certificate)?;
        self.write(&format!("{prefix}.key"), &pair.key)
    }

    /// Writes the service's settings, and returns the file. `publication` is the content of that block.
    pub fn write_control_settings(
        &self,
        listen: &str,
        operators_listen: &str,
        publication: &str,
    ) -> std::io::Result<PathBuf> {
        let text = format!(
            "control {{\n  listen = \"{listen}\"\n  operators_listen = \"{operators_listen}\"\n  certificate = \"control.pem\"\n  \
             key = \"control.key\"\n  fronts_authority = \"fronts-ca.pem\"\n  operators_authority = \"operators-ca.pem\"\n  \
             seal_keys = \"seal-keys.hcl\"\n  store = \"control.redb\"\n  admit_per_s = 2000\n}}\n\
             operator \"first-shift\" {{ role = \"operator\" }}\noperator \"visitor\" {{ role = \"viewer\" }}\n\
             publication {{\n{publication}\n}}\n"
        );
        self.write("control.hcl", &text)?;
        Ok(self.folder.join("control.hcl"))
    }

    /// The files of the identity that was issued under a prefix. It trusts the fronts' authority, which has issued the
    /// service's certificate.
    pub fn identity(&self, prefix: &str) -> Paths {
        let at = |name: String| self.folder.join(name);
        Paths {
            certificate: at(format!("{prefix}.pem")),
            key: at(format!("{prefix}.key")),
            authority: at("fronts-ca.pem".into()),
        }
    }

    /// The path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

/// Decides whether a stub front accepts a version.
pub type Verdict = dyn Fn(&VersionId, &[u8]) -> Result<(), RejectionReason> + Send + Sync;

/// The versions that a stub front has received from the service, and the figures that it reports.
#[derive(Default)]
pub struct Record {
    /// Versions that were applied, and when.
    pub applied: Vec<(VersionId, Ticks)>,
    /// Versions that were rejected.
    pub rejected: Vec<(VersionId, RejectionReason)>,
    /// Why connections to the service were lost.
    pub connection_errors: Vec<String>,
    /// The reported share of the requested benefit that was served within the soft limit.
    pub service_level: Option<f32>,
    /// The access counts since the start that it reports.
    pub counts: AccessCounts,
    /// How often `counts` was read for a report.
    pub counts_read: usize,
    /// How often a version was applied that had not been checked and accepted before.
    pub unaccepted_applied: usize,
}

/// A front that follows the service and does nothing else. It stores versions in memory only.
pub struct StubFront {
    pub record: Arc<Mutex<Record>>,
    commands: mpsc::Sender<Command>,
    task: tokio::task::JoinHandle<(u64, u64)>,
}

struct StubHost {
    record: Arc<Mutex<Record>>,
    verdict: Arc<Verdict>,
    accepted: BTreeMap<VersionId, bool>,
}

impl Host for StubHost {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        let verdict = (self.verdict)(id, content);
        self.accepted.insert(*id, verdict.is_ok());
        verdict
    }

    async fn apply(&mut self, id: &VersionId, _: &Content) -> Result<(), RejectionReason> {
        let mut record = lock(&self.record);
        record.unaccepted_applied += usize::from(self.accepted.get(id) != Some(&true));
        record.applied.push((*id, now()));
        Ok(())
    }

    fn stage(&mut self, _: VersionId, _: u32) -> bool {
        true
    }

    fn store(&mut self, _: VersionId, _: Seal, _: &Content) -> bool {
        true
    }

    fn unstage(&mut self) {}

    fn log(&mut self, event: LogEvent) {
        if let LogEvent::Rejected(id, reason) = event {
            lock(&self.record).rejected.push((id, reason));
        }
    }

    fn service_level(&mut self) -> Option<f32> {
        lock(&self.record).service_level
    }

    fn access_counts(&mut self) -> AccessCounts {
        let mut record = lock(&self.record);
        record.counts_read += 1;
        record.counts
    }

    fn connection_lost(&mut self, _: SocketAddr, reason: &str) {
        lock(&self.record).connection_errors.push(reason.to_owned());
    }
}

/// The identity of a stub front, and the service that it follows.
pub struct StubConfig<'a> {
    pub name: &'a str,
    pub station: &'a str,
    pub service: SocketAddr,
    pub identity: &'a Paths,
    pub keys: Vec<(u32, Vec<u8>)>,
    pub seed: u64,
}

impl StubFront {
    /// Starts on the current Tokio runtime.
    pub fn start(config: &StubConfig<'_>, verdict: Arc<Verdict>) -> Result<StubFront, String> {
        let tls = client_config(config.identity, FRONT_PROTOCOL).map_err(|e| e.to_string())?.config;
        let server_name = ServerName::try_from(SERVICE).map_err(|e| e.to_string())?;
        let record = Arc::new(Mutex::new(Record::default()));
        let host = StubHost { record: record.clone(), verdict, accepted: BTreeMap::new() };
        let endpoint = ServiceEndpoint { addresses: vec![config.service], server_name };
        let (keys, names) = (Keys::new(config.keys.clone()), (config.name, config.station));
        let (mut client, initial) = FrontClient::new(host, endpoint, tls, |now, effects| {
            Front::start(now, config.seed, names, keys, StoredState::default(), Ok(()), effects)
        });
        let (commands, mut received) = mpsc::channel(4);
        let task = tokio::spawn(async move {
            client.run(initial, &mut received).await;
            (client.sent_bytes, client.connections)
        });
        Ok(StubFront { record, commands, task })
    }

    pub fn applied_version(&self) -> Option<VersionId> {
        lock(&self.record).applied.last().map(|r| r.0)
    }

    pub async fn send(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }

    /// Stops the stub front. Returns the number of connections that it has made.
    pub async fn stop(self) -> u64 {
        let _ = self.commands.send(Command::Stop).await;
        self.task.await.map_or(0, |(_, connections)| connections)
    }
}
