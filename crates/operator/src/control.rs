//! The settings of the configuration service, `deploy/control.hcl`.
//!
//! ```hcl
//! control {
//!   listen            = "127.0.0.1:7443"   # where fronts connect
//!   operators_listen  = "127.0.0.1:7444"   # where `doorgrade config` connects
//!   certificate       = "control.pem"      # paths are relative to this file unless absolute
//!   key               = "control.key"
//!   fronts_authority  = "fronts-ca.pem"    # signs the certificates of fronts
//!   operators_authority = "operators-ca.pem"
//!   seal_keys         = "seal-keys.hcl"
//!   store             = "versions.redb"
//! }
//! operator "first-shift" { role = "viewer" }   # the name in the certificate; without such blocks all are operators
//! publication { rollout = "evidence" }   # default: "waves"
//! ```

use std::net::SocketAddr;

use crate::document::{Block, Document, Problems};

/// The role of the holder of a certificate, by which requests are permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// May read, but not change anything.
    Viewer,
    Operator,
}

/// How a published version is rolled out to all fronts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rollout {
    /// In waves: to growing shares of all fronts, each of which is observed for a time. One publication at a time.
    #[default]
    Waves,
    /// After trials against a control group; publications may overlap.
    Evidence,
}

/// How a change proceeds if there are too few accesses for a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ThinTraffic {
    /// It waits until there are enough.
    #[default]
    Wait,
    /// It goes on at the time limit, and is marked as unproven.
    Continue,
}

/// Settings of trials, for [`Rollout::Evidence`].
#[derive(Clone, Debug, PartialEq)]
pub struct Trials {
    /// Number of fronts that try a change first, in different stations.
    pub canaries: u64,
    /// Share of all fronts that tries a change after the canaries showed no harm; as many more are the control group.
    pub share: f64,
    /// How long a change is observed once all fronts have it.
    pub watch_ms: u64,
    /// Time limit of a trial; without a verdict by then, it has too little traffic.
    pub evidence_timeout_ms: u64,
    pub thin_traffic: ThinTraffic,
    /// Probability that one comparison stops a harmless change as harmful.
    pub false_stop: f64,
}

impl Default for Trials {
    fn default() -> Trials {
        Trials {
            canaries: 4,
            share: 0.1,
            watch_ms: 30_000,
            evidence_timeout_ms: 10_000,
            thin_traffic: ThinTraffic::Wait,
            // With a thousand changes a day and about three comparisons each, less than one false stop a day.
            false_stop: 1e-4,
        }
    }
}

/// The control group is as large as the trial group, so each can have at most half of all fronts.
const MAX_TRIAL_SHARE: f64 = 0.5;
/// A comparison that stops more than one in ten harmless changes tells nothing.
const MAX_FALSE_STOP: f64 = 0.1;
const MIN_FALSE_STOP: f64 = 1e-9;

/// The block `publication`, in the units of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// Number of fronts in the first wave.
    pub canaries: u64,
    /// Shares of all fronts after the canaries, the last one 1.
    pub wave_shares: Vec<f64>,
    /// How long each wave is observed.
    pub soak_ms: u64,
    /// Fronts that have not responded by then count as timed out.
    pub response_timeout_ms: u64,
    /// Shares of a wave that may reject the version, or time out, before the publication stops.
    pub max_rejected_share: f64,
    pub max_timed_out_share: f64,
    /// The loss of service level at which the publication stops.
    pub max_service_drop: f64,
    /// Number of versions in the history.
    pub history: u64,
    /// After a start from the store, how long nothing is offered to fronts that run no version.
    pub recovery_delay_ms: u64,
    pub rollout: Rollout,
    pub trials: Trials,
}

/// Paths of the service's or front's own certificate and its key, and of the authority that signs the certificates of
/// peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityFiles {
    pub certificate: Box<str>,
    pub key: Box<str>,
    pub authority: Box<str>,
}

/// The settings of the configuration service.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub listen: SocketAddr,
    pub operators_listen: SocketAddr,
    /// Its authority signs the certificates of fronts.
    pub identity: IdentityFiles,
    pub operators_authority: Box<str>,
    pub seal_keys: Box<str>,
    pub store: Box<str>,
    /// Fronts admitted per second when many connect at once.
    pub admissions_per_s: u64,
    /// Interval of heartbeats.
    pub heartbeat_interval_ms: u64,
    pub max_fronts: u64,
    /// Roles by the name in the certificate. If empty, everyone with a valid certificate is an operator.
    pub operators: Vec<(Box<str>, Role)>,
    pub publication: Publication,
}

pub(crate) fn address(block: &Block<'_>, key: &'static str) -> Option<SocketAddr> {
    let text = block.string(key)?;
    let address = text.parse().ok();
    if address.is_none() {
        block.report(
            key,
            format_args!("expected an address and a port, as in 127.0.0.1:7443, got \"{text}\""),
        );
    }
    address
}

/// A path that is required. Whether the file exists is not checked.
pub(crate) fn path(block: &Block<'_>, key: &'static str) -> Option<Box<str>> {
    let path = block.required(key, block.string(key))?;
    if path.is_empty() {
        block.report(key, "expected the path of a file");
    }
    Some(path.into())
}

pub(crate) fn identity(block: &Block<'_>, authority: &'static str) -> Option<IdentityFiles> {
    let (certificate, key) = (path(block, "certificate"), path(block, "key"));
    let authority = path(block, authority);
    Some(IdentityFiles { certificate: certificate?, key: key?, authority: authority? })
}

fn publication(block: Option<&Block<'_>>) -> Publication {
    let mut publication = Publication {
        canaries: 2,
        wave_shares: vec![0.1, 0.5, 1.0],
        soak_ms: 30_000,
        response_timeout_ms: 30_000,
        max_rejected_share: 0.0,
        max_timed_out_share: 0.2,
        max_service_drop: 0.03,
        history: 64,
        recovery_delay_ms: 60_000,
        rollout: Rollout::Waves,
        trials: Trials::default(),
    };
    let Some(block) = block else { return publication };
    let integer = |key, range, to: &mut u64| *to = block.integer(key, range).unwrap_or(*to);
    integer("canaries", 1..=1_000, &mut publication.canaries);
    integer("soak_ms", 0..=86_400_000, &mut publication.soak_ms);
    integer("answer_within_ms", 100..=3_600_000, &mut publication.response_timeout_ms);
    integer("history", 2..=10_000, &mut publication.history);
    integer("listen_ms", 0..=3_600_000, &mut publication.recovery_delay_ms);
    for (key, to) in [
        ("refused", &mut publication.max_rejected_share),
        ("missing", &mut publication.max_timed_out_share),
        ("drop", &mut publication.max_service_drop),
    ] {
        *to = block.fraction(key).unwrap_or(*to);
    }
    if let Some(shares) = block.fractions("shares") {
        let ascending = shares.is_sorted() && shares.first().is_some_and(|&s| s > 0.0);
        if !ascending || shares.last() != Some(&1.0) {
            block.report("shares", "expected ascending shares above 0, the last of them 1");
        }
        publication.wave_shares = shares;
    }
    let rollouts = [("waves", Rollout::Waves), ("evidence", Rollout::Evidence)];
    publication.rollout = block.choice("rollout", &rollouts).unwrap_or_default();
    publication.trials = trials(block);
    publication
}

/// Reads the keys of trials. They are in the same block as those of waves, so that an operator can switch between the
/// modes without rewriting it.
fn trials(block: &Block<'_>) -> Trials {
    let mut trials = Trials::default();
    let integer = |key, range, to: &mut u64| *to = block.integer(key, range).unwrap_or(*to);
    integer("trial_canaries", 1..=1_000, &mut trials.canaries);
    integer("watch_ms", 0..=86_400_000, &mut trials.watch_ms);
    integer("evidence_within_ms", 500..=3_600_000, &mut trials.evidence_timeout_ms);
    let number = |key, min: f64, max: f64, to: &mut f64| {
        *to = block.number(key, min, max).unwrap_or(*to);
    };
    number("trial_share", 0.001, MAX_TRIAL_SHARE, &mut trials.share);
    number("false_stop", MIN_FALSE_STOP, MAX_FALSE_STOP, &mut trials.false_stop);
    let choices = [("wait", ThinTraffic::Wait), ("go_on", ThinTraffic::Continue)];
    trials.thin_traffic = block.choice("thin_traffic", &choices).unwrap_or_default();
    trials
}

impl Control {
    pub fn read(file: &str, text: &str) -> Result<Control, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let mut operators: Vec<(Box<str>, Role)> = Vec::new();
        for (labels, block) in root.blocks("operator", 1) {
            let role = block.choice("role", &[("viewer", Role::Viewer), ("operator", Role::Operator)]);
            if operators.iter().any(|o| *o.0 == *labels[0]) {
                block.report_block("is defined twice");
            }
            operators.extend(block.required("role", role).map(|role| (labels[0].into(), role)));
            block.finish();
        }
        let block = root.block("publication");
        let publication = publication(block.as_ref());
        block.into_iter().for_each(Block::finish);
        let own = root.block("control");
        if own.is_none() {
            root.report_block("expected a block 'control'");
        }
        let control = own.and_then(|own| {
            let listen = own.required("listen", address(&own, "listen"));
            let operators_listen = own.required("operators_listen", address(&own, "operators_listen"));
            let identity = identity(&own, "fronts_authority");
            let operators_authority = path(&own, "operators_authority");
            let (seal_keys, store) = (path(&own, "seal_keys"), path(&own, "store"));
            let admissions_per_s = own.integer("admit_per_s", 1..=100_000).unwrap_or(200);
            let heartbeat_interval_ms = own.integer("alive_ms", 100..=30_000).unwrap_or(5_000);
            let max_fronts = own.integer("most_fronts", 1..=1_000_000).unwrap_or(200_000);
            own.finish();
            Some(Control {
                listen: listen?,
                operators_listen: operators_listen?,
                identity: identity?,
                operators_authority: operators_authority?,
                seal_keys: seal_keys?,
                store: store?,
                admissions_per_s,
                heartbeat_interval_ms,
                max_fronts,
                operators,
                publication,
            })
        });
        root.finish();
        // Without errors there is a value: each missing part was reported.
        let control = document.finish(control)?;
        control.ok_or_else(|| Problems::of_file(file, "expected a block 'control'"))
    }
}

/// Reads the keys that authenticate ("seal") versions, by number. The last one is used for new seals.
///
/// ```hcl
/// key "1" { secret = "64 hex digits" }
/// ```
pub fn seal_keys(file: &str, text: &str) -> Result<Vec<(u32, Vec<u8>)>, Problems> {
    let document = Document::parse(file, text)?;
    let root = document.root();
    let mut keys = Vec::new();
    for (labels, block) in root.blocks("key", 1) {
        let number = labels[0].parse::<u32>().ok();
        if number.is_none() {
            block.report_block("expected a whole number as its label");
        }
        let secret = block.required("secret", block.secret("secret"));
        keys.extend(number.zip(secret));
        block.finish();
    }
    root.finish();
    document.finish(keys)
}
