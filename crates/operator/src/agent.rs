//! The settings of an agent, `deploy/agent.hcl`.
//!
//! ```hcl
//! agent {
//!   name    = "hillside-1"
//!   program = "target/release/doorgrade"   # what the instances run; paths are relative to this file unless absolute
//!   journal = "agent.redb"
//!   socket  = "agent.sock"                  # where `doorgrade fleet` connects
//!   logs    = "logs"                        # folder with a log file for each instance
//! }
//! instance "n1" {
//!   station  = "hillside"
//!   listen   = "127.0.0.1:8081"
//!   config   = "n1.json"
//!   settings = "n1.hcl"                     # optional
//!   labels   = ["canary"]
//! }
//! pace { cold = 4 }
//! viewer "1001" {}                          # a user id; the agent's own user and root are operators
//! ```

use std::net::SocketAddr;

use doorgrade_fleet::{PaceRules, is_valid_name};

use crate::control::{address, path};
use crate::document::{Block, Document, Problems};

/// A block `instance`.
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
    /// Size in MB at which a log file is renamed at the next start of its instance; one old file is kept.
    pub log_mb: u64,
    pub instances: Vec<Instance>,
    /// Ids of the users that may read, but not give orders.
    pub viewers: Vec<u32>,
    pub rules: PaceRules,
}

/// More instances than one machine can run.
const MAX_INSTANCES: usize = 1_000;

fn checked_name(block: &Block<'_>, name: &str) -> Box<str> {
    if !is_valid_name(name) {
        block.report_block("expected a name of 1 to 64 letters, digits, '-', '_' or '.'");
    }
    name.into()
}

fn instance(label: &str, block: &Block<'_>) -> Option<Instance> {
    let name = checked_name(block, label);
    let station = block.required("station", block.string("station"))?;
    if !is_valid_name(station) {
        block.report("station", "expected 1 to 64 letters, digits, '-', '_' or '.'");
    }
    let (listen, config) = (block.required("listen", address(block, "listen")), path(block, "config"));
    if listen.is_some_and(|l| l.port() == 0) {
        block.report("listen", "expected a port other than 0: the agent probes the instance there");
    }
    let settings = block.string("settings").map(Into::into);
    let labels = block.strings("labels").unwrap_or_default().into_iter().map(Into::into).collect();
    Some(Instance { name, station: station.into(), listen: listen?, config: config?, settings, labels })
}

fn rules(block: Option<&Block<'_>>) -> PaceRules {
    let mut rules = PaceRules::default();
    let Some(block) = block else { return rules };
    rules.max_down_share = block.fraction("down").unwrap_or(rules.max_down_share);
    let integer = |key, range, default: u64| block.integer(key, range).unwrap_or(default);
    rules.max_cold = integer("cold", 1..=1_000, rules.max_cold as u64) as usize;
    rules.cold_time = 10 * integer("cold_for_ms", 0..=3_600_000, rules.cold_time / 10);
    rules.restart_budget = integer("budget", 1..=10_000, rules.restart_budget as u64) as f64;
    rules.budget_refill_time = 10 * integer("budget_each_ms", 1..=3_600_000, rules.budget_refill_time / 10);
    rules.max_failures = integer("most_failures", 1..=1_000, rules.max_failures.into()) as u32;
    rules.drain_time = 10 * integer("drain_for_ms", 0..=3_600_000, rules.drain_time / 10);
    rules
}

impl Agent {
    pub fn read(file: &str, text: &str) -> Result<Agent, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let mut instances: Vec<Instance> = Vec::new();
        for (labels, block) in root.blocks("instance", 1) {
            if let Some(new) = instance(labels[0], &block) {
                if instances.iter().any(|i| i.name == new.name) {
                    block.report_block("is defined twice");
                } else if let Some(other) = instances.iter().find(|i| i.listen == new.listen) {
                    block.report("listen", format_args!("instance '{}' has the same address", other.name));
                }
                instances.push(new);
            }
            block.finish();
        }
        if instances.is_empty() || instances.len() > MAX_INSTANCES {
            root.report_block(format_args!("expected 1 to {MAX_INSTANCES} blocks 'instance'"));
        }
        let mut viewers = Vec::new();
        for (labels, block) in root.blocks("viewer", 1) {
            match labels[0].parse() {
                Ok(user) => viewers.push(user),
                Err(_) => block.report_block("expected a user id as its label"),
            }
            block.finish();
        }
        let pace = root.block("pace");
        let rules = rules(pace.as_ref());
        pace.into_iter().for_each(Block::finish);
        let own = root.block("agent");
        if own.is_none() {
            root.report_block("expected a block 'agent'");
        }
        let agent = own.and_then(|own| {
            let name = own.required("name", own.string("name"));
            let name = name.map(|name| checked_name(&own, name));
            let (program, journal) = (path(&own, "program"), path(&own, "journal"));
            let (socket, logs) = (path(&own, "socket"), path(&own, "logs"));
            let log_mb = own.integer("log_mb", 1..=10_000).unwrap_or(16);
            own.finish();
            Some(Agent {
                name: name?,
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
        root.finish();
        let agent = document.finish(agent)?;
        agent.ok_or_else(|| Problems::of_file(file, "expected a block 'agent'"))
    }
}
