//! A front's reports of access counts, over TLS on loopback: sent only on request of the service, at the interval
//! that it sets within the front's own limits, with continuous sequence numbers, and not after a reconnect without a
//! new request.

use std::time::{Duration, Instant};

use doorgrade_keys::server_config;
use doorgrade_standins::versions::{Installation, StubConfig, StubFront, keys};
use doorgrade_stream::front_client::AccessCounts;
use doorgrade_stream::wire::{Reader, Writer};
use doorgrade_stream::{FRONT_PROTOCOL, MAX_CONTENT_MESSAGE_BYTES};
use doorgrade_versions::message::{ToFront, ToService};
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

type Stream = TlsStream<TcpStream>;

/// The service's side of a front's connection.
struct ServiceSide {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

impl ServiceSide {
    /// Accepts the next connection, and answers its hello.
    async fn accept(listener: &TcpListener, tls: &TlsAcceptor) -> ServiceSide {
        let (stream, _) = listener.accept().await.unwrap();
        let (read, write) = tokio::io::split(tls.accept(stream).await.unwrap());
        let mut service_side = ServiceSide {
            reader: Reader::new(read, None, MAX_CONTENT_MESSAGE_BYTES),
            writer: Writer::new(write),
        };
        assert!(matches!(service_side.next().await, ToService::Hello { .. }));
        service_side.writer.write(&ToFront::Welcome { heartbeat_interval: 50_000 }).await.unwrap();
        service_side
    }

    async fn next(&mut self) -> ToService {
        timeout(Duration::from_secs(10), self.reader.read()).await.expect("a message in time").unwrap()
    }

    /// The reports that arrive within a time: sequence number, accesses, answered.
    async fn reports(&mut self, within: Duration) -> Vec<(u64, u64, u64)> {
        let (deadline, mut reports) = (Instant::now() + within, Vec::new());
        while let Ok(read) =
            timeout(deadline.saturating_duration_since(Instant::now()), self.reader.read()).await
        {
            if let ToService::Report { sequence, accesses, answered, .. } = read.unwrap() {
                reports.push((sequence, accesses, answered));
            }
        }
        reports
    }
}

#[test]
fn reports_are_sent_at_the_requested_interval_within_limits_and_only_on_request() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        let place = Installation::new("reports").unwrap();
        place.issue("n1", &place.fronts, &["n1"], 30).unwrap();
        let tls =
            TlsAcceptor::from(server_config(&place.identity("control"), FRONT_PROTOCOL).unwrap().config);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (service, papers) = (listener.local_addr().unwrap(), place.identity("n1"));
        let who =
            StubConfig { name: "n1", station: "hill", service, identity: &papers, keys: keys(&[1]), seed: 3 };
        let front = StubFront::start(&who, std::sync::Arc::new(|_, _| Ok(()))).unwrap();
        let mut service_side = ServiceSide::accept(&listener, &tls).await;
        assert_eq!(service_side.reports(Duration::from_millis(600)).await, [], "no reports were requested");
        assert_eq!(front.record.lock().unwrap().counts_read, 0, "counts are not taken without a request");

        front.record.lock().unwrap().counts = AccessCounts { accesses: 930, answered: 920 };
        // One millisecond is below the minimum interval, a quarter of a second.
        service_side.writer.write(&ToFront::SetReportInterval { millis: 1 }).await.unwrap();
        let reports = service_side.reports(Duration::from_millis(1_100)).await;
        assert!((3..=5).contains(&reports.len()), "{reports:?}");
        assert!(reports.iter().zip(1..).all(|(report, n)| *report == (n, 930, 920)), "{reports:?}");

        front.record.lock().unwrap().counts = AccessCounts { accesses: 940, answered: 930 };
        service_side.writer.write(&ToFront::SetReportInterval { millis: 30_000 }).await.unwrap();
        let later = service_side.reports(Duration::from_millis(900)).await;
        let before = reports.len() as u64;
        // One may have been sent at the old interval before the front received the new one.
        assert!(later.len() <= 2 && later.last().is_some_and(|last| last.0 > before), "{later:?}");
        assert_eq!(later.last().map(|last| (last.1, last.2)), Some((940, 930)));

        drop(service_side);
        let mut reconnected = ServiceSide::accept(&listener, &tls).await;
        assert_eq!(
            reconnected.reports(Duration::from_millis(600)).await,
            [],
            "the request was on the earlier connection"
        );
        reconnected.writer.write(&ToFront::SetReportInterval { millis: 500 }).await.unwrap();
        let last = later.last().map_or(0, |last| last.0);
        let reports = reconnected.reports(Duration::from_millis(300)).await;
        assert_eq!(reports.first().map(|first| first.0), Some(last + 1), "the sequence numbers continue");
        front.stop().await;
    });
}
