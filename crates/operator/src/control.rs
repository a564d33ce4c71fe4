//! The settings of the service of versions, `deploy/control.hcl`.
//!
//! ```hcl
//! control {
//!   listen            = "127.0.0.1:7443"   # where fronts come
//!   operators_listen  = "127.0.0.1:7444"   # where `doorgrade config` comes
//!   certificate       = "control.pem"      # files, beside this one unless absolute
//!   key               = "control.key"
//!   fronts_authority  = "fronts-ca.pem"    # who vouches for fronts
//!   operators_authority = "operators-ca.pem"
//!   seal_keys         = "seal-keys.hcl"
//!   store             = "versions.redb"
//! }
//! operator "first-shift" { role = "viewer" }   # by the name in the certificate; without any, all are operators
//! publication { rollout = "evidence" }   # "waves" unless said otherwise
//! ```

use std::net::SocketAddr;

use crate::doc::{Block, Doc, Problems};

/// What a person's certificate lets them do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Looks, and changes nothing.
    Viewer,
    Operator,
}

/// How a publication comes to everyone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rollout {
    /// To shares of all fronts one after the other, each watched for a time; one publication at a time.
    #[default]
    Waves,
    /// By what trials show; publications may overlap.
    Evidence,
}

/// What becomes of a change that too few accesses speak about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ThinTraffic {
    /// It waits until they do.
    #[default]
    Wait,
    /// It goes on at the time bound, and is called unproven.
    GoOn,
}

/// How trials are made where changes go by evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Trials {
    /// Fronts that try a change first, of different stations.
    pub canaries: u64,
    /// The share of all fronts that tries what the canaries showed no harm of; as many more are its control group.
    pub share: f64,
    /// How long a change is watched once it is everyone's.
    pub watch_ms: u64,
    /// When a trial without a verdict has too little traffic.
    pub evidence_within_ms: u64,
    pub thin_traffic: ThinTraffic,
    /// The probability that one comparison takes a harmless change for harmful.
    pub false_stop: f64,
}

impl Default for Trials {
    fn default() -> Trials {
        Trials {
            canaries: 4,
            share: 0.1,
            watch_ms: 30_000,
            evidence_within_ms: 10_000,
            thin_traffic: ThinTraffic::Wait,
            // A thousand changes a day with some three comparisons each: under one false stop a day.
            false_stop: 1e-4,
        }
    }
}

/// The control group is as large as the trial, so that more than this can't be had of all fronts.
const MOST_TRIAL_SHARE: f64 = 0.5;
/// A probability of at least one false stop in ten changes is no test.
const MOST_FALSE_STOP: f64 = 0.1;
const LEAST_FALSE_STOP: f64 = 1e-9;

/// How a publication goes, in this file's units.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    pub canaries: u64,
    pub shares: Vec<f64>,
    pub soak_ms: u64,
    pub answer_within_ms: u64,
    pub refused: f64,
    pub missing: f64,
    pub drop: f64,
    pub history: u64,
    /// After a start on what is in the store, nothing is offered for so long to fronts that run nothing.
    pub listen_ms: u64,
    pub rollout: Rollout,
    pub trials: Trials,
}

/// Certificate, key and whom to believe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Papers {
    pub certificate: Box<str>,
    pub key: Box<str>,
    pub authority: Box<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub listen: SocketAddr,
    pub operators_listen: SocketAddr,
    /// Its authority is that of the fronts.
    pub papers: Papers,
    pub operators_authority: Box<str>,
    pub seal_keys: Box<str>,
    pub store: Box<str>,
    pub admit_per_s: u64,
    pub alive_ms: u64,
    pub most_fronts: u64,
    /// By the name in a certificate; where there are none, whoever the authority vouches for is an operator.
    pub operators: Vec<(Box<str>, Role)>,
    pub publication: Publication,
}

pub(crate) fn address(block: &Block<'_>, key: &'static str) -> Option<SocketAddr> {
    let told = block.text(key)?;
    let read = told.parse().ok();
    if read.is_none() {
        block.complain(
            key,
            format_args!("expected an address and a port, as in 127.0.0.1:7443, got \"{told}\""),
        );
    }
    read
}

/// A path that has to be there.
pub(crate) fn path(block: &Block<'_>, key: &'static str) -> Option<Box<str>> {
    let told = block.required(key, block.text(key))?;
    if told.is_empty() {
        block.complain(key, "expected the path of a file");
    }
    Some(told.into())
}

pub(crate) fn papers(block: &Block<'_>, authority: &'static str) -> Option<Papers> {
    let (certificate, key) = (path(block, "certificate"), path(block, "key"));
    let authority = path(block, authority);
    Some(Papers { certificate: certificate?, key: key?, authority: authority? })
}

fn publication(block: Option<&Block<'_>>) -> Publication {
    let mut is = Publication {
        canaries: 2,
        shares: vec![0.1, 0.5, 1.0],
        soak_ms: 30_000,
        answer_within_ms: 30_000,
        refused: 0.0,
        missing: 0.2,
        drop: 0.03,
        history: 64,
        listen_ms: 60_000,
        rollout: Rollout::Waves,
        trials: Trials::default(),
    };
    let Some(block) = block else { return is };
    let whole = |key, range, to: &mut u64| *to = block.whole(key, range).unwrap_or(*to);
    whole("canaries", 1..=1_000, &mut is.canaries);
    whole("soak_ms", 0..=86_400_000, &mut is.soak_ms);
    whole("answer_within_ms", 100..=3_600_000, &mut is.answer_within_ms);
    whole("history", 2..=10_000, &mut is.history);
    whole("listen_ms", 0..=3_600_000, &mut is.listen_ms);
    for (key, to) in [("refused", &mut is.refused), ("missing", &mut is.missing), ("drop", &mut is.drop)] {
        *to = block.share(key).unwrap_or(*to);
    }
    if let Some(shares) = block.shares("shares") {
        let grows = shares.is_sorted() && shares.first().is_some_and(|&s| s > 0.0);
        if !grows || shares.last() != Some(&1.0) {
            block.complain("shares", "expected shares above 0 that grow, the last of them 1");
        }
        is.shares = shares;
    }
    let kinds = [("waves", Rollout::Waves), ("evidence", Rollout::Evidence)];
    is.rollout = block.word("rollout", &kinds).unwrap_or_default();
    is.trials = trials(block);
    is
}

/// The keys of trials, which stand beside those of waves so that one can go from one mode to the other and back.
fn trials(block: &Block<'_>) -> Trials {
    let mut is = Trials::default();
    let whole = |key, range, to: &mut u64| *to = block.whole(key, range).unwrap_or(*to);
    whole("trial_canaries", 1..=1_000, &mut is.canaries);
    whole("watch_ms", 0..=86_400_000, &mut is.watch_ms);
    whole("evidence_within_ms", 500..=3_600_000, &mut is.evidence_within_ms);
    let within = |key, least: f64, most: f64, to: &mut f64| {
        *to = block.between(key, least, most).unwrap_or(*to);
    };
    within("trial_share", 0.001, MOST_TRIAL_SHARE, &mut is.share);
    within("false_stop", LEAST_FALSE_STOP, MOST_FALSE_STOP, &mut is.false_stop);
    let kinds = [("wait", ThinTraffic::Wait), ("go_on", ThinTraffic::GoOn)];
    is.thin_traffic = block.word("thin_traffic", &kinds).unwrap_or_default();
    is
}

impl Control {
    pub fn read(file: &str, text: &str) -> Result<Control, Problems> {
        let doc = Doc::parse(file, text)?;
        let root = doc.root();
        let mut operators: Vec<(Box<str>, Role)> = Vec::new();
        for (labels, block) in root.blocks("operator", 1) {
            let role = block.word("role", &[("viewer", Role::Viewer), ("operator", Role::Operator)]);
            if operators.iter().any(|o| *o.0 == *labels[0]) {
                block.complain_of_all("stands here a second time");
            }
            operators.extend(block.required("role", role).map(|role| (labels[0].into(), role)));
            block.done();
        }
        let waves = root.block("publication");
        let publication = publication(waves.as_ref());
        waves.into_iter().for_each(Block::done);
        let own = root.block("control");
        if own.is_none() {
            root.complain_of_all("expected a block 'control'");
        }
        let control = own.and_then(|own| {
            let listen = own.required("listen", address(&own, "listen"));
            let operators_listen = own.required("operators_listen", address(&own, "operators_listen"));
            let papers = papers(&own, "fronts_authority");
            let operators_authority = path(&own, "operators_authority");
            let (seal_keys, store) = (path(&own, "seal_keys"), path(&own, "store"));
            let admit_per_s = own.whole("admit_per_s", 1..=100_000).unwrap_or(200);
            let alive_ms = own.whole("alive_ms", 100..=30_000).unwrap_or(5_000);
            let most_fronts = own.whole("most_fronts", 1..=1_000_000).unwrap_or(200_000);
            own.done();
            Some(Control {
                listen: listen?,
                operators_listen: operators_listen?,
                papers: papers?,
                operators_authority: operators_authority?,
                seal_keys: seal_keys?,
                store: store?,
                admit_per_s,
                alive_ms,
                most_fronts,
                operators,
                publication,
            })
        });
        root.done();
        // Without problems it is there: whatever is missing was complained of.
        let read = doc.finish(control)?;
        read.ok_or_else(|| Problems::of(file, "expected a block 'control'"))
    }
}

/// Keys that seal versions, by number; the last one seals.
///
/// ```hcl
/// key "1" { secret = "64 hex digits" }
/// ```
pub fn seal_keys(file: &str, text: &str) -> Result<Vec<(u32, Vec<u8>)>, Problems> {
    let doc = Doc::parse(file, text)?;
    let root = doc.root();
    let mut keys = Vec::new();
    for (labels, block) in root.blocks("key", 1) {
        let number = labels[0].parse::<u32>().ok();
        if number.is_none() {
            block.complain_of_all("expected a whole number as its label");
        }
        let secret = block.required("secret", block.secret("secret"));
        keys.extend(number.zip(secret));
        block.done();
    }
    root.done();
    doc.finish(keys)
}
