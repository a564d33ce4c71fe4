//! Fronts that are only the side that follows the service: the same code as a front's, over TLS. What they say they
//! served is what a front of 930 accesses a second would, with what they run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_standins::versions::{SERVICE, keys};
use doorgrade_stream::clock::now;
use doorgrade_stream::front_client::{AccessCounts, Command, FrontClient, Host, ServiceEndpoint};
use doorgrade_versions::front::{Content, Front, LogEvent, StoredState};
use doorgrade_versions::seal::{Keys, Seal};
use doorgrade_versions::{RejectionReason, Ticks, VersionId};
use fastrand::Rng;
use tokio::sync::mpsc;

use super::content::Facts;

/// Accesses a second at one front: 930,000 at 1,000.
pub const RATE: f64 = 930.0;

/// What all fronts of a run share.
#[derive(Default)]
pub struct Shared {
    /// Contents by their hashes, read once.
    facts: Mutex<HashMap<[u8; 32], Arc<Facts>>>,
    /// Thousandths of accesses that no front answers now, whatever it runs.
    pub storm: AtomicU64,
}

impl Shared {
    fn facts(&self, id: &VersionId, content: &[u8]) -> Arc<Facts> {
        let mut known = self.facts.lock().unwrap_or_else(PoisonError::into_inner);
        let read = || Arc::new(Facts::read(&String::from_utf8_lossy(content)));
        known.entry(id.hash).or_insert_with(read).clone()
    }

    /// Of the version that a log names.
    pub fn of_log(&self, version: &str) -> Option<Arc<Facts>> {
        let hash = version.rsplit('-').next()?;
        let known = self.facts.lock().unwrap_or_else(PoisonError::into_inner);
        let named = |h: &&[u8; 32]| h[..4].iter().map(|b| format!("{b:02x}")).collect::<String>() == hash;
        known.iter().find(|(h, _)| named(h)).map(|(_, facts)| facts.clone())
    }
}

/// What a front brought into use, and when.
pub type Ran = Vec<(Ticks, Arc<Facts>)>;

pub struct Hollow {
    pub ran: Arc<Mutex<Ran>>,
    commands: mpsc::Sender<Command>,
}

struct Runs {
    shared: Arc<Shared>,
    ran: Arc<Mutex<Ran>>,
    rng: Rng,
    /// The share of accesses that this front answers when all is well.
    own: f64,
    counts: AccessCounts,
    counted_at: Ticks,
    rest: f64,
}

impl Runs {
    /// As many of `asked` as are answered, by the normal approximation.
    fn draw(&mut self, asked: f64, share: f64) -> f64 {
        let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        (asked * share + normal * (asked * share * (1.0 - share)).sqrt()).round().clamp(0.0, asked)
    }

    /// Counts on to now, with what has been in use since the last time.
    fn count(&mut self) {
        let now = now();
        let passed = now.saturating_sub(self.counted_at) as f64 / 1e4;
        self.counted_at = now;
        let last = self.ran.lock().unwrap_or_else(PoisonError::into_inner).last().cloned();
        let drop =
            last.map_or(0.0, |(since, facts)| facts.drop_after(now.saturating_sub(since) as f64 / 1e4));
        let storm = self.shared.storm.load(Ordering::Relaxed) as f64 / 1e3;
        let due = RATE * passed + self.rest;
        let asked = due.floor();
        self.rest = due - asked;
        let answered = self.draw(asked, (self.own - drop - storm).clamp(0.0, 1.0));
        self.counts.accesses += asked as u64;
        self.counts.answered += answered as u64;
    }
}

impl Host for Runs {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        match self.shared.facts(id, content).usable() {
            true => Ok(()),
            false => Err(RejectionReason::Unusable("a change that no front can use".into())),
        }
    }

    async fn apply(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        self.count();
        let facts = self.shared.facts(id, content);
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).push((now(), facts));
        Ok(())
    }

    fn stage(&mut self, _: VersionId, _: u32) -> bool {
        true
    }

    fn store(&mut self, _: VersionId, _: Seal, _: &Content) -> bool {
        true
    }

    fn unstage(&mut self) {}

    fn log(&mut self, _: LogEvent) {}

    /// As a front of the waves' mode says it.
    fn service_level(&mut self) -> Option<f32> {
        let before = self.counts;
        self.count();
        let asked = self.counts.accesses - before.accesses;
        (asked > 0).then(|| (self.counts.answered - before.answered) as f32 / asked as f32)
    }

    fn access_counts(&mut self) -> AccessCounts {
        self.count();
        self.counts
    }
}

/// Who a front is, and where it finds the service.
pub struct Who<'a> {
    pub name: &'a str,
    pub station: &'a str,
    pub service: SocketAddr,
    pub seed: u64,
}

impl Hollow {
    /// On the runtime that this is called on.
    pub fn start(who: &Who<'_>, tls: Arc<ClientConfig>, shared: Arc<Shared>) -> Result<Hollow, String> {
        let name = ServerName::try_from(SERVICE).map_err(|e| e.to_string())?;
        let ran = Arc::new(Mutex::new(Ran::new()));
        let mut rng = Rng::with_seed(who.seed);
        let own = 0.95 + 0.04 * rng.f64();
        let counts = AccessCounts::default();
        let (counted_at, rest) = (now(), 0.0);
        let host = Runs { shared, ran: ran.clone(), rng, own, counts, counted_at, rest };
        let to = ServiceEndpoint { addresses: vec![who.service], server_name: name };
        let (keys, named) = (Keys::new(keys(&[1])), (who.name, who.station));
        let (mut follow, first) = FrontClient::new(host, to, tls, |at, out| {
            Front::start(at, who.seed, named, keys, StoredState::default(), Ok(()), out)
        });
        let (commands, mut told) = mpsc::channel(4);
        tokio::spawn(async move { follow.run(first, &mut told).await });
        Ok(Hollow { ran, commands })
    }

    pub async fn stop(&self) {
        let _ = self.commands.send(Command::Stop).await;
    }

    pub fn ran(&self) -> Ran {
        self.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
