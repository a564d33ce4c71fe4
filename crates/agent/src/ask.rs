//! What commands ask an agent, and the other end of its socket.

use std::path::Path;
use std::time::Duration;

use doorgrade_fleet::order::Progress;
use doorgrade_fleet::{DesiredState, LogEvent, Order, OrderRejection, Phase, Process, Ticks};
use doorgrade_stream::wire::{Reader, Writer};
use serde::{Deserialize, Serialize};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Status,
    /// What an order would change.
    Plan(Order),
    Order(Order),
    Progress(u64),
    /// Orders that are remembered, the newest first.
    History,
    Watch,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Status(Status),
    Plan(Vec<(Box<str>, Phase, DesiredState)>),
    Ordered(u64),
    Refused(OrderRejection),
    Progress(Option<Progress>),
    History(Vec<Progress>),
    Watching,
    Line(LogEvent),
    /// Whoever asks may only look.
    OnlyLooks,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub agent: Box<str>,
    pub term: u64,
    pub at: Ticks,
    pub rows: Vec<Row>,
}

/// One instance, for people and scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub name: Box<str>,
    pub station: Box<str>,
    pub labels: Vec<Box<str>>,
    pub phase: Phase,
    pub since: Ticks,
    pub want: DesiredState,
    pub revision: u64,
    pub by: Box<str>,
    pub order: u64,
    pub run: u64,
    pub process: Option<Process>,
    pub failures: u32,
    pub set_aside: bool,
}

/// Longest message either way: a thousand instances' rows.
pub const MOST_MESSAGE: usize = 4 << 20;

pub struct Asker {
    reader: Reader<OwnedReadHalf>,
    writer: Writer<OwnedWriteHalf>,
}

impl Asker {
    pub async fn connect(socket: &Path) -> Result<Asker, String> {
        let stream = UnixStream::connect(socket).await;
        let stream = stream.map_err(|e| format!("the agent at {}: {e}: is it running?", socket.display()))?;
        let (reader, writer) = stream.into_split();
        Ok(Asker { reader: Reader::new(reader, None, MOST_MESSAGE), writer: Writer::new(writer) })
    }

    pub async fn ask(&mut self, ask: &Ask) -> Result<Answer, String> {
        let fault = |e: &dyn std::fmt::Display| format!("the agent: {e}");
        self.writer.write(ask).await.map_err(|e| fault(&e))?;
        loop {
            let read = timeout(Duration::from_secs(20), self.reader.read::<Answer>()).await;
            match read.map_err(|_| "the agent: no answer in time")?.map_err(|e| fault(&e))? {
                Answer::Line(_) => {}
                answer => return Ok(answer),
            }
        }
    }

    pub async fn line(&mut self) -> Result<LogEvent, String> {
        loop {
            if let Answer::Line(line) =
                self.reader.read::<Answer>().await.map_err(|e| format!("the agent: {e}"))?
            {
                return Ok(line);
            }
        }
    }
}
