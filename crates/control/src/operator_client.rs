//! The client side of an operator's connection to the control service.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use doorgrade_keys::rustls::pki_types::ServerName;
use doorgrade_keys::{Paths, client_config};
use doorgrade_operator::settings::Manage;
use doorgrade_stream::wire::{ConnectionError, Reader, Writer};
use doorgrade_stream::{MAX_CONTENT_MESSAGE_BYTES, OPERATOR_PROTOCOL};
use doorgrade_trust::timeouts;
use doorgrade_versions::service::{Filter, FrontRow, LogEvent, Request, Response};
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

type Stream = TlsStream<TcpStream>;

/// How long a response may take; a content of the maximum length has to be checked and stored first.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection to the service.
pub struct OperatorClient {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

impl OperatorClient {
    /// `settings`: the settings file, which relative paths are resolved against.
    pub async fn connect(manage: &Manage, settings: &Path) -> Result<OperatorClient, String> {
        let paths = Paths::resolve(settings, &manage.identity);
        OperatorClient::connect_to(manage.service, &manage.server_name, &paths).await
    }

    pub async fn connect_to(
        address: SocketAddr,
        server_name: &str,
        paths: &Paths,
    ) -> Result<OperatorClient, String> {
        let tls = client_config(paths, OPERATOR_PROTOCOL).map_err(|e| e.to_string())?.config;
        let server =
            ServerName::try_from(server_name.to_owned()).map_err(|e| format!("{server_name}: {e}"))?;
        let connecting = timeout(Duration::from_micros(timeouts::HANDSHAKE * 100), async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            TlsConnector::from(tls).connect(server, stream).await
        });
        let result =
            connecting.await.map_err(|_| format!("the service at {address}: connecting timed out"))?;
        let stream = result.map_err(|e| format!("the service at {address}: {e}"))?;
        let (reader, writer) = tokio::io::split(stream);
        Ok(OperatorClient {
            reader: Reader::new(reader, None, MAX_CONTENT_MESSAGE_BYTES),
            writer: Writer::new(writer),
        })
    }

    pub async fn request(&mut self, request: &Request) -> Result<Response, String> {
        let describe = |error: ConnectionError| match error {
            // With TLS 1.3 the client's handshake ends before the service has verified its certificate, so a rejected
            // certificate, or one without a role, shows only here.
            ConnectionError::Closed | ConnectionError::Io(_) => {
                format!(
                    "the service closed the connection ({error}): is this certificate trusted, and does it have a role?"
                )
            }
            error => format!("the service: {error}"),
        };
        self.writer.write(request).await.map_err(describe)?;
        loop {
            let response = timeout(RESPONSE_TIMEOUT, self.reader.read::<Response>()).await;
            // Log events of a subscription may arrive before the response.
            match response.map_err(|_| "the service: the response timed out")?.map_err(describe)? {
                Response::LogEvent(_) => {}
                response => return Ok(response),
            }
        }
    }

    /// The next log event, after [`Request::Watch`].
    pub async fn next_log_event(&mut self) -> Result<LogEvent, String> {
        loop {
            let read = self.reader.read::<Response>().await;
            if let Response::LogEvent(event) = read.map_err(|e| format!("the service: {e}"))? {
                return Ok(event);
            }
        }
    }

    /// All fronts that match the filter, requested page by page.
    pub async fn fronts(&mut self, filter: Filter) -> Result<Vec<FrontRow>, String> {
        let mut all: Vec<FrontRow> = Vec::new();
        loop {
            let after = all.last().map_or("".into(), |row| row.front.clone());
            match self.request(&Request::Fronts { after, filter }).await? {
                Response::Fronts { rows, more } => {
                    let empty = rows.is_empty();
                    all.extend(rows);
                    if !more || empty {
                        return Ok(all);
                    }
                }
                other => return Err(format!("the service: unexpected response: {other:?}")),
            }
        }
    }
}
