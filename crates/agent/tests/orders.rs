//! Guards against accepted orders that are lost with the agent.
//!
//! The agent responded to an order before it had written the order to its journal. Of 19 instances that one order was to
//! drain, an agent that was killed right after its response had written 1 or 2; the next agent left the others as they were.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use doorgrade_agent::core::{Core, Event};
use doorgrade_agent::journal::Journal;
use doorgrade_agent::protocol::{Request, Response};
use doorgrade_fleet::pace::PaceRules;
use doorgrade_fleet::{DesiredState, Fleet, Operation, Order};
use tokio::sync::{mpsc, oneshot};

const INSTANCES: usize = 300;
const STATION: &str = "hill";

fn names() -> Vec<Box<str>> {
    (0..INSTANCES).map(|number| format!("n{number}").into()).collect()
}

fn core(journal: Journal, events: mpsc::Sender<Event>) -> Core {
    let assignments: Vec<(Box<str>, Box<str>)> =
        names().into_iter().map(|name| (name, STATION.into())).collect();
    let mut effects = Vec::new();
    let rules = PaceRules::default();
    let fleet = Fleet::new(0, rules, 1, &assignments, BTreeMap::new(), &mut effects);
    Core {
        agent: "agent".into(),
        fleet,
        journal,
        instance_configs: BTreeMap::new(),
        events,
        watchers: Vec::new(),
        timer_at: None,
        unwritten: BTreeMap::new(),
        adopted: BTreeMap::new(),
    }
}

/// The journal's file as it is while the agent has it open, in a copy: what the next agent would find after a kill.
fn written_states(journal: &std::path::Path) -> usize {
    let copy = journal.with_extension("copy");
    std::fs::copy(journal, &copy).unwrap();
    let (_journal, states, _errors) = Journal::open(&copy).unwrap();
    states.values().filter(|state| state.desired == DesiredState::Stopped && state.revision == 1).count()
}

#[test]
fn an_accepted_order_is_in_the_journal_when_its_response_is_sent() {
    let folder: PathBuf = std::env::temp_dir().join(format!("doorgrade-orders-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("journal.redb");
    let (journal, _, _) = Journal::open(&path).unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let (events, receiver) = mpsc::channel(16);
    runtime.spawn(core(journal, events.clone()).run(Vec::new(), receiver));
    let order = Order {
        by: "operator".into(),
        operation: Operation::Stop,
        targets: names().into_iter().map(|name| (name, None)).collect(),
        force: BTreeSet::from([STATION.into()]),
    };
    let (response, answer) = oneshot::channel();
    events.blocking_send(Event::Request { request: Request::Order(order), response }).unwrap();
    let answer = answer.blocking_recv().unwrap();
    assert!(matches!(answer, Response::Accepted(_)), "{answer:?}");
    assert_eq!(written_states(&path), INSTANCES);
    std::fs::remove_dir_all(folder).unwrap();
}
