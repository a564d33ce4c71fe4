//! For the service of versions: a folder with all the papers that an installation has, and fronts that are only the side
//! that follows the service, with verdicts to choose and a record of what they ran.

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

/// A folder of papers, removed when this is dropped.
pub struct Place {
    pub folder: PathBuf,
    pub fronts: CertificateAndKey,
    pub operators: CertificateAndKey,
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Keys as a front has them.
pub fn keys(numbers: &[u32]) -> Vec<(u32, Vec<u8>)> {
    numbers.iter().map(|&number| (number, vec![number as u8; 32])).collect()
}

/// As `doorgrade keys seal` prints it, with a secret that nobody would use.
pub fn seal_key(number: u32) -> String {
    format!("key \"{number}\" {{ secret = \"{}\" }}\n", format!("{number:02x}").repeat(32))
}

impl Place {
    /// `name`: of the folder, within that for temporary files.
    pub fn new(name: &str) -> std::io::Result<Place> {
        let folder = std::env::temp_dir().join(format!("doorgrade-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder)?;
        let made = |pair: Result<CertificateAndKey, doorgrade_keys::KeyFileError>| {
            pair.map_err(std::io::Error::other)
        };
        let (fronts, operators) =
            (made(generate::authority("fronts", 30))?, made(generate::authority("operators", 30))?);
        let place = Place { folder, fronts, operators };
        place.write("fronts-ca.pem", &place.fronts.certificate)?;
        place.write("operators-ca.pem", &place.operators.certificate)?;
        // One for both doors: fronts and operators believe the authority that made it.
        place.issue("control", &place.fronts, &[SERVICE], 30)?;
        place.issue("person", &place.operators, &["first-shift"], 30)?;
        place.issue("onlooker", &place.operators, &["visitor"], 30)?;
        place.write("seal-keys.hcl", &seal_key(1))?;
        Ok(place)
    }

    pub fn write(&self, name: &str, text: &str) -> std::io::Result<()> {
        std::fs::write(self.folder.join(name), text)
    }

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

    /// The service's settings; `publication`: what stands in that block.
    pub fn control(
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

    /// The papers under a prefix, of somebody who believes the authority of fronts, as the service's certificate is its.
    pub fn papers(&self, prefix: &str) -> Paths {
        let at = |name: String| self.folder.join(name);
        Paths {
            certificate: at(format!("{prefix}.pem")),
            key: at(format!("{prefix}.key")),
            authority: at("fronts-ca.pem".into()),
        }
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

pub type Verdict = dyn Fn(&VersionId, &[u8]) -> Result<(), RejectionReason> + Send + Sync;

/// What one of these fronts has seen, and when.
#[derive(Default)]
pub struct Record {
    /// Versions brought into use, and when.
    pub ran: Vec<(VersionId, Ticks)>,
    pub turned_down: Vec<(VersionId, RejectionReason)>,
    pub lost: Vec<String>,
    pub serves: Option<f32>,
    /// What it says that it has served since it started, and how often it was asked for that.
    pub counts: AccessCounts,
    pub counted: usize,
    /// In the order of time: what is in use, and whether it was checked and found good.
    pub bad_in_use: usize,
}

/// A front's side that follows the service and nothing else. Its store is its memory.
pub struct Puppet {
    pub record: Arc<Mutex<Record>>,
    commands: mpsc::Sender<Command>,
    task: tokio::task::JoinHandle<(u64, u64)>,
}

struct Runs {
    record: Arc<Mutex<Record>>,
    verdict: Arc<Verdict>,
    good: BTreeMap<VersionId, bool>,
}

impl Host for Runs {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        let verdict = (self.verdict)(id, content);
        self.good.insert(*id, verdict.is_ok());
        verdict
    }

    async fn apply(&mut self, id: &VersionId, _: &Content) -> Result<(), RejectionReason> {
        let mut record = lock(&self.record);
        record.bad_in_use += usize::from(self.good.get(id) != Some(&true));
        record.ran.push((*id, now()));
        Ok(())
    }

    fn stage(&mut self, _: VersionId, _: u32) -> bool {
        true
    }

    fn store(&mut self, _: VersionId, _: Seal, _: &Content) -> bool {
        true
    }

    fn unstage(&mut self) {}

    fn log(&mut self, line: LogEvent) {
        if let LogEvent::Rejected(id, why) = line {
            lock(&self.record).turned_down.push((id, why));
        }
    }

    fn service_level(&mut self) -> Option<f32> {
        lock(&self.record).serves
    }

    fn access_counts(&mut self) -> AccessCounts {
        let mut record = lock(&self.record);
        record.counted += 1;
        record.counts
    }

    fn connection_lost(&mut self, _: SocketAddr, why: &str) {
        lock(&self.record).lost.push(why.to_owned());
    }
}

/// Who a puppet is, and whom it follows.
pub struct Who<'a> {
    pub name: &'a str,
    pub station: &'a str,
    pub service: SocketAddr,
    pub papers: &'a Paths,
    pub keys: Vec<(u32, Vec<u8>)>,
    pub seed: u64,
}

impl Puppet {
    /// On the runtime that this is called on.
    pub fn start(who: &Who<'_>, verdict: Arc<Verdict>) -> Result<Puppet, String> {
        let tls = client_config(who.papers, FRONT_PROTOCOL).map_err(|t| t.to_string())?.config;
        let name = ServerName::try_from(SERVICE).map_err(|e| e.to_string())?;
        let record = Arc::new(Mutex::new(Record::default()));
        let host = Runs { record: record.clone(), verdict, good: BTreeMap::new() };
        let to = ServiceEndpoint { addresses: vec![who.service], server_name: name };
        let (keys, who_is) = (Keys::new(who.keys.clone()), (who.name, who.station));
        let (mut follow, first) = FrontClient::new(host, to, tls, |at, out| {
            Front::start(at, who.seed, who_is, keys, StoredState::default(), Ok(()), out)
        });
        let (commands, mut told) = mpsc::channel(4);
        let task = tokio::spawn(async move {
            follow.run(first, &mut told).await;
            (follow.sent_bytes, follow.connections)
        });
        Ok(Puppet { record, commands, task })
    }

    pub fn runs(&self) -> Option<VersionId> {
        lock(&self.record).ran.last().map(|r| r.0)
    }

    pub async fn tell(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }

    /// Ends it; the connections it made.
    pub async fn stop(self) -> u64 {
        let _ = self.commands.send(Command::Stop).await;
        self.task.await.map_or(0, |(_, connections)| connections)
    }
}
