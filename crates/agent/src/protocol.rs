//! Requests to an agent and its responses, and the client. Encoded with postcard, by position.

use std::path::Path;
use std::time::Duration;

use doorgrade_fleet::order::Progress;
use doorgrade_fleet::{DesiredState, LogEvent, Order, OrderRejection, Phase, Process, Ticks};
use doorgrade_stream::wire::{Reader, Writer};
use serde::{Deserialize, Serialize};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// A request to the agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    Status,
    /// Requests what an order would change.
    Plan(Order),
    Order(Order),
    /// Requests the progress of the order with that number.
    Progress(u64),
    /// Requests the remembered orders, the newest first.
    History,
    /// Subscribes to log events.
    Watch,
}

/// The agent's response, or a log event that was subscribed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    Status(Status),
    /// The instances that would change, with their present phase and the new desired state.
    Plan(Vec<(Box<str>, Phase, DesiredState)>),
    /// The order was accepted under this number.
    Accepted(u64),
    Rejected(OrderRejection),
    Progress(Option<Progress>),
    History(Vec<Progress>),
    Watching,
    LogEvent(LogEvent),
    /// The user is a viewer, and may not give orders.
    Forbidden,
}

/// The state of the agent and of its instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub agent: Box<str>,
    /// Counts the agents that have used the journal.
    pub term: u64,
    pub at: Ticks,
    pub instances: Vec<InstanceStatus>,
}

/// The state of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    pub name: Box<str>,
    pub station: Box<str>,
    pub labels: Vec<Box<str>>,
    pub phase: Phase,
    pub phase_since: Ticks,
    pub desired: DesiredState,
    pub revision: u64,
    /// Who last changed the desired state, and with which order.
    pub changed_by: Box<str>,
    pub order: u64,
    pub run: u64,
    pub process: Option<Process>,
    pub failures: u32,
    pub quarantined: bool,
}

/// Longest message in either direction: the status of a thousand instances.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection to an agent.
pub struct Client {
    reader: Reader<OwnedReadHalf>,
    writer: Writer<OwnedWriteHalf>,
}

impl Client {
    pub async fn connect(socket: &Path) -> Result<Client, String> {
        let stream = UnixStream::connect(socket).await;
        let stream = stream.map_err(|e| format!("the agent at {}: {e}: is it running?", socket.display()))?;
        let (reader, writer) = stream.into_split();
        Ok(Client { reader: Reader::new(reader, None, MAX_MESSAGE_BYTES), writer: Writer::new(writer) })
    }

    /// Sends a request and waits for its response; log events before it are dropped.
    pub async fn request(&mut self, request: &Request) -> Result<Response, String> {
        let agent_error = |e: &dyn std::fmt::Display| format!("the agent: {e}");
        self.writer.write(request).await.map_err(|e| agent_error(&e))?;
        loop {
            let read = timeout(RESPONSE_TIMEOUT, self.reader.read::<Response>()).await;
            match read.map_err(|_| "the agent: no response in time")?.map_err(|e| agent_error(&e))? {
                Response::LogEvent(_) => {}
                response => return Ok(response),
            }
        }
    }

    /// Waits for the next log event.
    pub async fn next_log_event(&mut self) -> Result<LogEvent, String> {
        loop {
            if let Response::LogEvent(event) =
                self.reader.read::<Response>().await.map_err(|e| format!("the agent: {e}"))?
            {
                return Ok(event);
            }
        }
    }
}
