//! Control-only fronts of the rollout experiment: they follow the configuration service over TLS with the code of a front.
//! The access counts that they report are simulated: 930 accesses per second, of which the content in use determines how
//! many are answered.

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

use super::content::ContentSummary;

/// Accesses per second at one front: those of the target, 930,000 at 1,000 fronts.
pub const ACCESSES_PER_S: f64 = 930.0;

/// State that all fronts of a run share.
#[derive(Default)]
pub struct SharedState {
    /// Summaries by the hashes of the contents, so that each is parsed once.
    summaries: Mutex<HashMap<[u8; 32], Arc<ContentSummary>>>,
    /// Thousandths of accesses that fail at all fronts at present, whatever they run.
    pub overload_permille: AtomicU64,
}

impl SharedState {
    fn summary(&self, id: &VersionId, content: &[u8]) -> Arc<ContentSummary> {
        let mut known = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
        let parse = || Arc::new(ContentSummary::parse(&String::from_utf8_lossy(content)));
        known.entry(id.hash).or_insert_with(parse).clone()
    }

    /// The summary of a version by the name that logs have for it.
    pub fn by_log_name(&self, version: &str) -> Option<Arc<ContentSummary>> {
        let hash = version.rsplit('-').next()?;
        let known = self.summaries.lock().unwrap_or_else(PoisonError::into_inner);
        let hex_prefix =
            |h: &&[u8; 32]| h[..4].iter().map(|b| format!("{b:02x}")).collect::<String>() == hash;
        known.iter().find(|(h, _)| hex_prefix(h)).map(|(_, summary)| summary.clone())
    }
}

/// The contents that a front has applied, with their times.
pub type AppliedContents = Vec<(Ticks, Arc<ContentSummary>)>;

/// A running control-only front.
pub struct ControlOnlyFront {
    pub applied: Arc<Mutex<AppliedContents>>,
    commands: mpsc::Sender<Command>,
}

/// Applies contents on behalf of the follower and simulates the accesses.
struct SimulatedHost {
    shared: Arc<SharedState>,
    applied: Arc<Mutex<AppliedContents>>,
    rng: Rng,
    /// The share of accesses that this front answers without any harm.
    normal_share: f64,
    counts: AccessCounts,
    counted_at: Ticks,
    /// The fraction of an access that is left after the last count.
    remainder: f64,
}

impl SimulatedHost {
    /// Draws how many of the accesses are answered, by the normal approximation of the binomial distribution.
    fn draw(&mut self, accesses: f64, share: f64) -> f64 {
        let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        (accesses * share + normal * (accesses * share * (1.0 - share)).sqrt()).round().clamp(0.0, accesses)
    }

    /// Adds the accesses since the last call to the counts, with the answered share under the content in use.
    fn count(&mut self) {
        let now = now();
        let elapsed_s = now.saturating_sub(self.counted_at) as f64 / 1e4;
        self.counted_at = now;
        let last = self.applied.lock().unwrap_or_else(PoisonError::into_inner).last().cloned();
        let drop =
            last.map_or(0.0, |(since, summary)| summary.drop_after(now.saturating_sub(since) as f64 / 1e4));
        let overload_share = self.shared.overload_permille.load(Ordering::Relaxed) as f64 / 1e3;
        let expected = ACCESSES_PER_S * elapsed_s + self.remainder;
        let accesses = expected.floor();
        self.remainder = expected - accesses;
        let answered = self.draw(accesses, (self.normal_share - drop - overload_share).clamp(0.0, 1.0));
        self.counts.accesses += accesses as u64;
        self.counts.answered += answered as u64;
    }
}

impl Host for SimulatedHost {
    fn check(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        match self.shared.summary(id, content).is_usable() {
            true => Ok(()),
            false => Err(RejectionReason::Unusable("a change that no front can use".into())),
        }
    }

    async fn apply(&mut self, id: &VersionId, content: &Content) -> Result<(), RejectionReason> {
        self.count();
        let summary = self.shared.summary(id, content);
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).push((now(), summary));
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

    /// The answered share since the last call, as reported during rollouts in waves.
    fn service_level(&mut self) -> Option<f32> {
        let before = self.counts;
        self.count();
        let accesses = self.counts.accesses - before.accesses;
        (accesses > 0).then(|| (self.counts.answered - before.answered) as f32 / accesses as f32)
    }

    fn access_counts(&mut self) -> AccessCounts {
        self.count();
        self.counts
    }
}

/// The identity of a front, and the address of the service.
pub struct FrontConfig<'a> {
    pub name: &'a str,
    pub station: &'a str,
    pub service: SocketAddr,
    pub seed: u64,
}

impl ControlOnlyFront {
    /// Starts a front on the current runtime.
    pub fn start(
        config: &FrontConfig<'_>,
        tls: Arc<ClientConfig>,
        shared: Arc<SharedState>,
    ) -> Result<ControlOnlyFront, String> {
        let server_name = ServerName::try_from(SERVICE).map_err(|e| e.to_string())?;
        let applied = Arc::new(Mutex::new(AppliedContents::new()));
        let mut rng = Rng::with_seed(config.seed);
        let normal_share = 0.95 + 0.04 * rng.f64();
        let counts = AccessCounts::default();
        let (counted_at, remainder) = (now(), 0.0);
        let host = SimulatedHost {
            shared,
            applied: applied.clone(),
            rng,
            normal_share,
            counts,
            counted_at,
            remainder,
        };
        let endpoint = ServiceEndpoint { addresses: vec![config.service], server_name };
        let (keys, name_and_station) = (Keys::new(keys(&[1])), (config.name, config.station));
        let (mut client, initial) = FrontClient::new(host, endpoint, tls, |now, effects| {
            Front::start(now, config.seed, name_and_station, keys, StoredState::default(), Ok(()), effects)
        });
        let (commands, mut command_receiver) = mpsc::channel(4);
        tokio::spawn(async move { client.run(initial, &mut command_receiver).await });
        Ok(ControlOnlyFront { applied, commands })
    }

    pub async fn stop(&self) {
        let _ = self.commands.send(Command::Stop).await;
    }

    pub fn applied(&self) -> AppliedContents {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
