//! A front's reports to a service that asks for them, over TLS on loopback: never unasked, at the pace that the service
//! says within the front's own bounds, counted on, and not over the end of a connection.

use std::time::{Duration, Instant};

use doorgrade_keys::server_config;
use doorgrade_standins::versions::{Place, Puppet, Who, keys};
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

/// The service's end of a front's connection.
struct End {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

impl End {
    /// The next connection, greeted.
    async fn accept(listener: &TcpListener, tls: &TlsAcceptor) -> End {
        let (stream, _) = listener.accept().await.unwrap();
        let (read, write) = tokio::io::split(tls.accept(stream).await.unwrap());
        let mut end =
            End { reader: Reader::new(read, None, MAX_CONTENT_MESSAGE_BYTES), writer: Writer::new(write) };
        assert!(matches!(end.next().await, ToService::Hello { .. }));
        end.writer.write(&ToFront::Welcome { heartbeat_interval: 50_000 }).await.unwrap();
        end
    }

    async fn next(&mut self) -> ToService {
        timeout(Duration::from_secs(10), self.reader.read()).await.expect("a word in time").unwrap()
    }

    /// Reports that come within a time, by their sequence and counts.
    async fn reports(&mut self, within: Duration) -> Vec<(u64, u64, u64)> {
        let (until, mut got) = (Instant::now() + within, Vec::new());
        while let Ok(read) =
            timeout(until.saturating_duration_since(Instant::now()), self.reader.read()).await
        {
            if let ToService::Report { sequence, accesses: asked, answered, .. } = read.unwrap() {
                got.push((sequence, asked, answered));
            }
        }
        got
    }
}

#[test]
fn reports_go_as_often_as_the_service_says_within_bounds_and_only_where_it_has_asked() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(async {
        let place = Place::new("reports").unwrap();
        place.issue("n1", &place.fronts, &["n1"], 30).unwrap();
        let tls = TlsAcceptor::from(server_config(&place.papers("control"), FRONT_PROTOCOL).unwrap().config);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (service, papers) = (listener.local_addr().unwrap(), place.papers("n1"));
        let who = Who { name: "n1", station: "hill", service, papers: &papers, keys: keys(&[1]), seed: 3 };
        let front = Puppet::start(&who, std::sync::Arc::new(|_, _| Ok(()))).unwrap();
        let mut end = End::accept(&listener, &tls).await;
        assert_eq!(end.reports(Duration::from_millis(600)).await, [], "nobody has asked");
        assert_eq!(front.record.lock().unwrap().counted, 0, "what nobody asks for is not counted either");

        front.record.lock().unwrap().counts = AccessCounts { accesses: 930, answered: 920 };
        // One millisecond is out of bounds: a quarter of a second at the soonest.
        end.writer.write(&ToFront::SetReportInterval { millis: 1 }).await.unwrap();
        let got = end.reports(Duration::from_millis(1_100)).await;
        assert!((3..=5).contains(&got.len()), "{got:?}");
        assert!(got.iter().zip(1..).all(|(report, n)| *report == (n, 930, 920)), "{got:?}");

        front.record.lock().unwrap().counts = AccessCounts { accesses: 940, answered: 930 };
        end.writer.write(&ToFront::SetReportInterval { millis: 30_000 }).await.unwrap();
        let later = end.reports(Duration::from_millis(900)).await;
        let before = got.len() as u64;
        // One may have gone out at the old pace before the front heard of the new one.
        assert!(later.len() <= 2 && later.last().is_some_and(|last| last.0 > before), "{later:?}");
        assert_eq!(later.last().map(|last| (last.1, last.2)), Some((940, 930)));

        drop(end);
        let mut again = End::accept(&listener, &tls).await;
        assert_eq!(
            again.reports(Duration::from_millis(600)).await,
            [],
            "it was asked on the other connection"
        );
        again.writer.write(&ToFront::SetReportInterval { millis: 500 }).await.unwrap();
        let last = later.last().map_or(0, |last| last.0);
        let got = again.reports(Duration::from_millis(300)).await;
        assert_eq!(got.first().map(|first| first.0), Some(last + 1), "the process counts on");
        front.stop().await;
    });
}
