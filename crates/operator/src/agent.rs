//! The settings of an agent, `deploy/agent.hcl`.
//!
//! ```hcl
//! agent {
//!   name    = "hillside-1"
//!   program = "target/release/doorgrade"   # what the instances run; paths are beside this file unless absolute
//!   journal = "agent.redb"
//!   socket  = "agent.sock"                  # where `doorgrade fleet` comes
//!   logs    = "logs"                        # a file for each instance
//! }
//! instance "n1" {
//!   station  = "hillside"
//!   listen   = "127.0.0.1:8081"
//!   config   = "n1.json"
//!   settings = "n1.hcl"                     # may be left out
//!   labels   = ["canary"]
//! }
//! pace { cold = 4 }
//! viewer "1001" {}                          # by user id; the agent's own user and root are operators
//! ```

use std::net::SocketAddr;

use doorgrade_fleet::{PaceRules, is_valid_name};

use crate::control::{address, path};
use crate::doc::{Block, Doc, Problems};

#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub name: Box<str>,
    pub station: Box<str>,
    pub listen: SocketAddr,
    pub config: Box<str>,
    pub settings: Option<Box<str>>,
    pub labels: Vec<Box<str>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Agent {
    pub name: Box<str>,
    pub program: Box<str>,
    pub journal: Box<str>,
    pub socket: Box<str>,
    pub logs: Box<str>,
    /// A log file grows to so many MB, then it is kept once more under another name.
    pub log_mb: u64,
    pub instances: Vec<Instance>,
    pub viewers: Vec<u32>,
    pub rules: PaceRules,
}

/// More than one machine bears.
const MOST_INSTANCES: usize = 1_000;

fn name(block: &Block<'_>, told: &str) -> Box<str> {
    if !is_valid_name(told) {
        block.complain_of_all("expected a name of 1 to 64 letters, digits, '-', '_' or '.'");
    }
    told.into()
}

fn instance(label: &str, block: &Block<'_>) -> Option<Instance> {
    let name = name(block, label);
    let station = block.required("station", block.text("station"))?;
    if !is_valid_name(station) {
        block.complain("station", "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    let (listen, config) = (block.required("listen", address(block, "listen")), path(block, "config"));
    if listen.is_some_and(|l| l.port() == 0) {
        block.complain("listen", "expected a port: the agent looks at the instance's door there");
    }
    let settings = block.text("settings").map(Into::into);
    let labels = block.texts("labels").unwrap_or_default().into_iter().map(Into::into).collect();
    Some(Instance { name, station: station.into(), listen: listen?, config: config?, settings, labels })
}

fn rules(block: Option<&Block<'_>>) -> PaceRules {
    let mut rules = PaceRules::default();
    let Some(block) = block else { return rules };
    rules.max_down_share = block.share("down").unwrap_or(rules.max_down_share);
    let whole = |key, range, now: u64| block.whole(key, range).unwrap_or(now);
    rules.max_cold = whole("cold", 1..=1_000, rules.max_cold as u64) as usize;
    rules.cold_time = 10 * whole("cold_for_ms", 0..=3_600_000, rules.cold_time / 10);
    rules.restart_budget = whole("budget", 1..=10_000, rules.restart_budget as u64) as f64;
    rules.budget_refill_time = 10 * whole("budget_each_ms", 1..=3_600_000, rules.budget_refill_time / 10);
    rules.max_failures = whole("most_failures", 1..=1_000, rules.max_failures.into()) as u32;
    rules.drain_time = 10 * whole("drain_for_ms", 0..=3_600_000, rules.drain_time / 10);
    rules
}

impl Agent {
    pub fn read(file: &str, text: &str) -> Result<Agent, Problems> {
        let doc = Doc::parse(file, text)?;
        let root = doc.root();
        let mut instances: Vec<Instance> = Vec::new();
        for (labels, block) in root.blocks("instance", 1) {
            if let Some(new) = instance(labels[0], &block) {
                if instances.iter().any(|i| i.name == new.name) {
                    block.complain_of_all("stands here a second time");
                } else if let Some(other) = instances.iter().find(|i| i.listen == new.listen) {
                    block.complain("listen", format_args!("instance '{}' listens there", other.name));
                }
                instances.push(new);
            }
            block.done();
        }
        if instances.is_empty() || instances.len() > MOST_INSTANCES {
            root.complain_of_all(format_args!("expected 1 to {MOST_INSTANCES} blocks 'instance'"));
        }
        let mut viewers = Vec::new();
        for (labels, block) in root.blocks("viewer", 1) {
            match labels[0].parse() {
                Ok(user) => viewers.push(user),
                Err(_) => block.complain_of_all("expected a user's number as its label"),
            }
            block.done();
        }
        let pace = root.block("pace");
        let rules = rules(pace.as_ref());
        pace.into_iter().for_each(Block::done);
        let own = root.block("agent");
        if own.is_none() {
            root.complain_of_all("expected a block 'agent'");
        }
        let agent = own.and_then(|own| {
            let told = own.required("name", own.text("name"));
            let named = told.map(|told| name(&own, told));
            let (program, journal) = (path(&own, "program"), path(&own, "journal"));
            let (socket, logs) = (path(&own, "socket"), path(&own, "logs"));
            let log_mb = own.whole("log_mb", 1..=10_000).unwrap_or(16);
            own.done();
            Some(Agent {
                name: named?,
                program: program?,
                journal: journal?,
                socket: socket?,
                logs: logs?,
                log_mb,
                instances,
                viewers,
                rules,
            })
        });
        root.done();
        let read = doc.finish(agent)?;
        read.ok_or_else(|| Problems::of(file, "expected a block 'agent'"))
    }
}
