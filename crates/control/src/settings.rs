//! The operators' file made into what the rest needs.

use std::path::{Path, PathBuf};

use doorgrade_keys::Paths;
use doorgrade_operator::control::{
    Control, IdentityFiles, Publication, Role as Told, Rollout, ThinTraffic, seal_keys,
};
use doorgrade_operator::files::resolve;
use doorgrade_trust::rotation;
use doorgrade_versions::service::{Role, RolloutMode, Rules, ThinTraffic as Thin, TrialRules};

/// Where the settings stand, seen from where the program is started, if nobody says otherwise.
pub const USUAL: &str = "deploy/control.hcl";

#[derive(Clone, Debug)]
pub struct Settings {
    pub control: Control,
    pub file: PathBuf,
}

impl Settings {
    pub fn load(file: &Path) -> Result<Settings, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
        let control = Control::read(&name, &text).map_err(|problems| problems.to_string())?;
        Ok(Settings { control, file: file.into() })
    }

    fn beside(&self, named: &str) -> PathBuf {
        resolve(&self.file, named)
    }

    pub fn store(&self) -> PathBuf {
        self.beside(&self.control.store)
    }

    pub fn seal_keys(&self) -> PathBuf {
        self.beside(&self.control.seal_keys)
    }

    pub fn fronts(&self) -> Paths {
        Paths::beside(&self.file, &self.control.identity)
    }

    pub fn operators(&self) -> Paths {
        let papers = IdentityFiles {
            authority: self.control.operators_authority.clone(),
            ..self.control.identity.clone()
        };
        Paths::beside(&self.file, &papers)
    }

    pub fn rules(&self) -> Rules {
        let Control { admit_per_s, alive_ms, max_fronts, publication: p, .. } = &self.control;
        Rules {
            admissions_per_second: *admit_per_s as f64,
            heartbeat_interval: alive_ms * 10,
            response_timeout: p.answer_within_ms * 10,
            soak: p.soak_ms * 10,
            canaries: p.canaries as usize,
            wave_shares: p.shares.clone(),
            max_rejected_share: p.refused,
            max_timed_out_share: p.missing,
            max_service_drop: p.drop,
            max_fronts: *max_fronts as usize,
            history: p.history as usize,
            recovery_delay: p.listen_ms * 10,
            rollout: mode(p),
        }
    }

    /// What whoever holds a certificate of these names may do; none where nobody said so.
    pub fn role(&self, names: &[String]) -> Option<(Role, String)> {
        let own = names.first().cloned()?;
        if self.control.operators.is_empty() {
            return Some((Role::Operator, own));
        }
        let told = self.control.operators.iter().find(|o| names.iter().any(|name| **name == *o.0))?;
        let role = match told.1 {
            Told::Viewer => Role::Viewer,
            Told::Operator => Role::Operator,
        };
        Some((role, told.0.to_string()))
    }
}

fn mode(told: &Publication) -> RolloutMode {
    let trials = &told.trials;
    match told.rollout {
        Rollout::Waves => RolloutMode::Waves,
        Rollout::Evidence => RolloutMode::Evidence(TrialRules {
            canaries: trials.canaries as usize,
            share: trials.share,
            watch: trials.watch_ms * 10,
            evidence_timeout: trials.evidence_within_ms * 10,
            thin_traffic: match trials.thin_traffic {
                ThinTraffic::Wait => Thin::Wait,
                ThinTraffic::GoOn => Thin::Continue,
            },
            false_stop: trials.false_stop,
            ..TrialRules::default()
        }),
    }
}

/// The keys of a file, sound on their own.
pub fn keys(file: &Path) -> Result<Vec<(u32, Vec<u8>)>, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let keys = seal_keys(&name, &text).map_err(|problems| problems.to_string())?;
    rotation::check(&keys).map_err(|error| format!("{name}: {error}"))?;
    Ok(keys)
}
