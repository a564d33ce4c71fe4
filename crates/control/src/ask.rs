//! The other end of the operators' door.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_keys::{Paths, client};
use doorgrade_operator::settings::Manage;
use doorgrade_stream::wire::{Ended, Reader, Writer};
use doorgrade_stream::{MOST_WITH_CONTENT, OPERATORS};
use doorgrade_trust::timeouts;
use doorgrade_versions::service::{Filter, FrontRow, LogEvent, Request, Response};
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

type Stream = TlsStream<TcpStream>;

/// How long an answer may take: a content of the greatest length is checked and stored first.
const ANSWER_WITHIN: Duration = Duration::from_secs(60);

pub struct Asker {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

impl Asker {
    /// `settings`: the file that the paths are beside.
    pub async fn connect(manage: &Manage, settings: &Path) -> Result<Asker, String> {
        let paths = Paths::beside(settings, &manage.identity);
        Asker::at(manage.service, &manage.server_name, &paths).await
    }

    pub async fn at(at: SocketAddr, name: &str, paths: &Paths) -> Result<Asker, String> {
        let tls = client(paths, OPERATORS).map_err(|t| t.to_string())?.made;
        let server = ServerName::try_from(name.to_owned()).map_err(|e| format!("{name}: {e}"))?;
        let made = timeout(Duration::from_micros(timeouts::HANDSHAKE * 100), async {
            let stream = TcpStream::connect(at).await?;
            stream.set_nodelay(true)?;
            TlsConnector::from(tls).connect(server, stream).await
        });
        let made = made.await.map_err(|_| format!("the service at {at}: no connection in time"))?;
        let stream = made.map_err(|e| format!("the service at {at}: {e}"))?;
        let (reader, writer) = tokio::io::split(stream);
        Ok(Asker { reader: Reader::new(reader, None, MOST_WITH_CONTENT), writer: Writer::new(writer) })
    }

    pub async fn ask(&mut self, ask: &Request) -> Result<Response, String> {
        let ended = |ended: Ended| match ended {
            // A certificate that is not believed, or has no role, shows only here: TLS 1.3 tells the client first.
            Ended::Closed | Ended::Failed(_) => {
                format!(
                    "the service ended the connection ({ended}): is this certificate known to it, and given a role?"
                )
            }
            ended => format!("the service: {ended}"),
        };
        self.writer.write(ask).await.map_err(ended)?;
        loop {
            let answer = timeout(ANSWER_WITHIN, self.reader.read::<Response>()).await;
            // Lines of a watch may come between.
            match answer.map_err(|_| "the service: no answer in time")?.map_err(ended)? {
                Response::LogEvent(_) => {}
                answer => return Ok(answer),
            }
        }
    }

    /// The next line of a watch.
    pub async fn line(&mut self) -> Result<LogEvent, String> {
        loop {
            let read = self.reader.read::<Response>().await;
            if let Response::LogEvent(line) = read.map_err(|ended| format!("the service: {ended}"))? {
                return Ok(line);
            }
        }
    }

    /// All fronts that fit, page by page.
    pub async fn fronts(&mut self, filter: Filter) -> Result<Vec<FrontRow>, String> {
        let mut all: Vec<FrontRow> = Vec::new();
        loop {
            let after = all.last().map_or("".into(), |row| row.front.clone());
            match self.ask(&Request::Fronts { after, filter }).await? {
                Response::Fronts { rows, more } => {
                    let none = rows.is_empty();
                    all.extend(rows);
                    if !more || none {
                        return Ok(all);
                    }
                }
                other => return Err(format!("the service: an answer to something else: {other:?}")),
            }
        }
    }
}
