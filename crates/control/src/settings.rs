//! The settings file of the control service, and its conversion for the other modules.

use std::path::{Path, PathBuf};

use doorgrade_keys::Paths;
use doorgrade_operator::control::{
    Control, IdentityFiles, Publication, Role as RoleSetting, Rollout, ThinTraffic as ThinTrafficSetting,
    seal_keys,
};
use doorgrade_operator::files::resolve;
use doorgrade_trust::rotation;
use doorgrade_versions::service::{Role, RolloutMode, Rules, ThinTraffic, TrialRules};

/// The default path of the settings file, relative to the current directory.
pub const DEFAULT_PATH: &str = "deploy/control.hcl";

/// The settings, and the path of their file.
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

    /// Resolves a path that is relative to the settings file.
    fn resolve(&self, path: &str) -> PathBuf {
        resolve(&self.file, path)
    }

    pub fn store_path(&self) -> PathBuf {
        self.resolve(&self.control.store)
    }

    pub fn seal_keys_path(&self) -> PathBuf {
        self.resolve(&self.control.seal_keys)
    }

    /// The TLS files of the listener for fronts.
    pub fn front_paths(&self) -> Paths {
        Paths::resolve(&self.file, &self.control.identity)
    }

    /// The TLS files of the listener for operators.
    pub fn operator_paths(&self) -> Paths {
        let identity = IdentityFiles {
            authority: self.control.operators_authority.clone(),
            ..self.control.identity.clone()
        };
        Paths::resolve(&self.file, &identity)
    }

    pub fn rules(&self) -> Rules {
        let Control { admissions_per_s, heartbeat_interval_ms, max_fronts, publication: p, .. } =
            &self.control;
        Rules {
            admissions_per_second: *admissions_per_s as f64,
            heartbeat_interval: heartbeat_interval_ms * 10,
            response_timeout: p.response_timeout_ms * 10,
            soak: p.soak_ms * 10,
            canaries: p.canaries as usize,
            wave_shares: p.wave_shares.clone(),
            max_rejected_share: p.max_rejected_share,
            max_timed_out_share: p.max_timed_out_share,
            max_service_drop: p.max_service_drop,
            max_fronts: *max_fronts as usize,
            history: p.history as usize,
            recovery_delay: p.recovery_delay_ms * 10,
            rollout: mode(p),
        }
    }

    /// The role of an operator whose certificate has these names, and the name to log. If no operators are configured,
    /// every trusted certificate has the operator role; otherwise None for a certificate that is not listed.
    pub fn role(&self, names: &[String]) -> Option<(Role, String)> {
        let name = names.first().cloned()?;
        if self.control.operators.is_empty() {
            return Some((Role::Operator, name));
        }
        let configured = self.control.operators.iter().find(|o| names.iter().any(|name| **name == *o.0))?;
        let role = match configured.1 {
            RoleSetting::Viewer => Role::Viewer,
            RoleSetting::Operator => Role::Operator,
        };
        Some((role, configured.0.to_string()))
    }
}

fn mode(publication: &Publication) -> RolloutMode {
    let trials = &publication.trials;
    match publication.rollout {
        Rollout::Waves => RolloutMode::Waves,
        Rollout::Evidence => RolloutMode::Evidence(TrialRules {
            canaries: trials.canaries as usize,
            share: trials.share,
            watch: trials.watch_ms * 10,
            evidence_timeout: trials.evidence_timeout_ms * 10,
            thin_traffic: match trials.thin_traffic {
                ThinTrafficSetting::Wait => ThinTraffic::Wait,
                ThinTrafficSetting::Continue => ThinTraffic::Continue,
            },
            false_stop: trials.false_stop,
            ..TrialRules::default()
        }),
    }
}

/// Reads the seal keys of a file and checks that they are valid as a set.
pub fn read_seal_keys(file: &Path) -> Result<Vec<(u32, Vec<u8>)>, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: can't be read: {e}"))?;
    let keys = seal_keys(&name, &text).map_err(|problems| problems.to_string())?;
    rotation::check(&keys).map_err(|error| format!("{name}: {error}"))?;
    Ok(keys)
}
