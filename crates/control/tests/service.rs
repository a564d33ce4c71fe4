//! The service over TLS on loopback: fronts that follow it, people who ask it, and peers of every bad kind.

use std::sync::Arc;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::pem::PemObject;
use doorgrade_keys::rustls::pki_types::{CertificateDer, ServerName};
use doorgrade_keys::{Paths, client_config};
use doorgrade_standins::versions::{Place, Puppet, SERVICE, Verdict, Who, keys, seal_key};
use doorgrade_stream::frame::encode_frame;
use doorgrade_stream::front_client::Command;
use doorgrade_stream::wire::{Reader, Writer};
use doorgrade_stream::{FRONT_PROTOCOL, MAX_CONTENT_MESSAGE_BYTES, MAX_HELLO_BYTES, OPERATOR_PROTOCOL};
use doorgrade_versions::message::{Body, ToFront, ToService};
use doorgrade_versions::seal::Keys;
use doorgrade_versions::service::{
    Denial, Filter, FrontState, PublishError, Request, Response, StopReason, Totals,
};
use doorgrade_versions::{RejectionReason, VersionId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

const FAST: &str = "  soak_ms = 50\n  answer_within_ms = 2000";

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

fn good() -> Arc<Verdict> {
    Arc::new(|_: &VersionId, _: &[u8]| Ok(()))
}

struct Rig {
    place: Place,
    running: Option<Running>,
}

impl Rig {
    async fn start(name: &str, publication: &str) -> Rig {
        let place = Place::new(name).unwrap();
        let mut rig = Rig { place, running: None };
        rig.begin(publication).await;
        rig
    }

    async fn begin(&mut self, publication: &str) {
        let at = self.running.as_ref().map_or("127.0.0.1:0".to_owned(), |r| r.fronts.to_string());
        if let Some(running) = self.running.take() {
            running.stop().await;
        }
        let file = self.place.control(&at, "127.0.0.1:0", publication).unwrap();
        self.running = Some(Running::start(Settings::load(&file).unwrap()).await.unwrap());
    }

    fn running(&self) -> &Running {
        self.running.as_ref().unwrap()
    }

    /// A front with a certificate of its station.
    fn puppet(&self, name: &str, station: &str, verdict: Arc<Verdict>) -> Puppet {
        let full = format!("{name}.{station}");
        if !self.place.file(&format!("{station}.pem")).exists() {
            self.place.issue(station, &self.place.fronts, &[&format!("*.{station}")], 30).unwrap();
        }
        let papers = self.place.papers(station);
        let (service, keys) = (self.running().fronts, keys(&[1]));
        let who = Who { name: &full, station, service, papers: &papers, keys, seed: full.len() as u64 };
        Puppet::start(&who, verdict).unwrap()
    }

    async fn asker(&self, prefix: &str) -> Result<OperatorClient, String> {
        OperatorClient::connect_to(self.running().operators, SERVICE, &self.place.papers(prefix)).await
    }

    async fn totals(&self) -> Totals {
        match self.asker("person").await.unwrap().request(&Request::Status).await.unwrap() {
            Response::Status(totals) => *totals,
            other => panic!("{other:?}"),
        }
    }

    async fn until(&self, what: &str, holds: impl Fn(&Totals) -> bool) -> Totals {
        let begun = Instant::now();
        loop {
            let totals = self.totals().await;
            if holds(&totals) {
                return totals;
            }
            assert!(begun.elapsed() < Duration::from_secs(20), "{what}: {totals:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn publish(&self, content: &str, expects: u64) -> Response {
        let ask = Request::Publish {
            content: content.as_bytes().into(),
            note: "a note".into(),
            expected_last: expects,
        };
        self.asker("person").await.unwrap().request(&ask).await.unwrap()
    }
}

const DEBUG: &str = "log { level = \"debug\" }\n";
const INFO: &str = "log { level = \"info\" }\n";

#[test]
fn versions_reach_all_survive_a_restart_and_are_taken_back_by_a_new_number() {
    runtime().block_on(async {
        let mut rig = Rig::start("reach", FAST).await;
        let fronts: Vec<Puppet> =
            (0..8).map(|n| rig.puppet(&format!("n{n}"), ["hill", "harbour"][n % 2], good())).collect();
        rig.until("all have come", |t| t.connected == 8).await;
        let Response::Published(first) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("the first is everyone's", |t| t.base == Some(first) && t.current == 8).await;
        assert!(fronts.iter().all(|f| f.runs() == Some(first)));
        // Somebody who has not seen the first publishes nothing; nor does one who only looks.
        assert_eq!(rig.publish(INFO, 0).await, Response::NotPublished(PublishError::Conflict { last: 1 }));
        let ask = Request::Publish { content: INFO.as_bytes().into(), note: "".into(), expected_last: 1 };
        let mut onlooker = rig.asker("onlooker").await.unwrap();
        assert_eq!(onlooker.request(&ask).await.unwrap(), Response::Denied(Denial::ReadOnly));
        assert!(matches!(onlooker.request(&Request::Status).await.unwrap(), Response::Status(_)));
        // What no front could use is not numbered.
        let Response::Invalid(why) = rig.publish("log { level = \"loud\" }", 1).await else { panic!() };
        assert!(why.contains("version:1:15: key 'log.level': expected one of"), "{why}");
        let Response::Published(second) = rig.publish(INFO, 1).await else { panic!() };
        rig.until("the second is everyone's", |t| t.base == Some(second) && t.current == 8).await;
        // The service ends and comes back with its store: its fronts find it, and nothing is offered twice.
        rig.begin(FAST).await;
        let back = rig.until("all are back", |t| t.connected == 8).await;
        assert_eq!((back.last, back.base, back.current), (2, Some(second), 8));
        let ask = Request::RollBack { to: 1, expected_last: 2 };
        let Response::Published(third) = rig.asker("person").await.unwrap().request(&ask).await.unwrap()
        else {
            panic!()
        };
        assert_eq!((third.number, third.hash), (3, first.hash));
        rig.until("it is taken back", |t| t.base == Some(third) && t.current == 8).await;
        for front in fronts {
            assert_eq!(front.runs(), Some(third));
            assert_eq!(front.record.lock().unwrap().ran.len(), 3, "each is applied once");
            assert_eq!(front.stop().await, 2);
        }
    });
}

#[test]
fn a_canary_that_turns_a_version_down_stops_it_and_no_other_front_sees_it() {
    runtime().block_on(async {
        let rig = Rig::start("canary", "  canaries = 1\n  soak_ms = 50").await;
        let refuses: Arc<Verdict> = Arc::new(|_: &VersionId, content: &[u8]| match content {
            b"log { level = \"debug\" }\n" => Err(RejectionReason::NeedsRestart("log.format".into())),
            _ => Ok(()),
        });
        let fronts: Vec<Puppet> =
            (0..6).map(|n| rig.puppet(&format!("n{n}"), "hill", refuses.clone())).collect();
        rig.until("all have come", |t| t.connected == 6).await;
        let Response::Published(good) = rig.publish(INFO, 0).await else { panic!() };
        rig.until("the good one runs", |t| t.base == Some(good)).await;
        let Response::Published(bad) = rig.publish(DEBUG, 1).await else { panic!() };
        let stopped =
            rig.until("it stops", |t| t.publication.as_ref().is_some_and(|p| p.stopped.is_some())).await;
        let own = stopped.publication.unwrap();
        assert_eq!((own.id, own.offered, own.running), (bad, 1, 0));
        let Some(StopReason::Rejected { first, .. }) = own.stopped else { panic!("{:?}", own.stopped) };
        assert_eq!(first.to_string(), "it changes settings that need a restart: log.format");
        let touched = fronts.iter().filter(|f| !f.record.lock().unwrap().turned_down.is_empty()).count();
        assert_eq!(touched, 1);
        assert!(fronts.iter().all(|f| f.runs() == Some(good)));
        let rows = rig.asker("person").await.unwrap().fronts(Filter::All).await.unwrap();
        assert!(rows.iter().all(|r| r.state == FrontState::Current && r.running == Some(good)), "{rows:?}");
    });
}

async fn tls(rig: &Rig, config: Arc<ClientConfig>) -> std::io::Result<TlsStream<TcpStream>> {
    let stream = TcpStream::connect(rig.running().fronts).await?;
    TlsConnector::from(config).connect(ServerName::try_from(SERVICE).unwrap(), stream).await
}

/// Whether the other side ends the connection, by itself, in that time.
async fn cut_off(stream: &mut TlsStream<TcpStream>, within: Duration) -> bool {
    let ended = tokio::time::timeout(within, async {
        let mut bytes = [0; 4_096];
        while matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {}
    });
    ended.await.is_ok()
}

fn hello(name: &str) -> ToService {
    ToService::Hello { front: name.into(), station: "hill".into(), running: None }
}

#[test]
fn peers_of_every_bad_kind_are_refused_or_cut_off_and_others_notice_nothing() {
    runtime().block_on(async {
        let rig = Rig::start("peers", FAST).await;
        let others = [rig.puppet("n1", "hill", good()), rig.puppet("n2", "harbour", good())];
        rig.until("both have come", |t| t.connected == 2).await;
        let papers = rig.place.papers("hill");
        let soon = Duration::from_secs(5);
        // Each says what a good front would say first: all that differs is who says it.
        let comes = async |config: Arc<ClientConfig>, name: &str| -> bool {
            let Ok(stream) = tls(&rig, config).await else { return false };
            let (reader, writer) = tokio::io::split(stream);
            let (mut reader, mut writer) =
                (Reader::new(reader, None, MAX_CONTENT_MESSAGE_BYTES), Writer::new(writer));
            let _ = writer.write(&hello(name)).await;
            let answer =
                tokio::time::timeout(soon, reader.read::<ToFront>()).await.expect("an answer or an end");
            matches!(answer, Ok(ToFront::Welcome { .. }))
        };
        let made = |paths: &Paths| client_config(paths, FRONT_PROTOCOL).unwrap().config;
        assert!(comes(made(&papers), "n3.hill").await, "a good one is let in");
        // Without a certificate.
        let mut roots = doorgrade_keys::rustls::RootCertStore::empty();
        for root in CertificateDer::pem_file_iter(&papers.authority).unwrap() {
            roots.add(root.unwrap()).unwrap();
        }
        let provider = Arc::new(doorgrade_keys::rustls::crypto::ring::default_provider());
        let nobody =
            ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions().unwrap();
        let mut nobody = nobody.with_root_certificates(roots).with_no_client_auth();
        nobody.alpn_protocols = vec![FRONT_PROTOCOL.to_vec()];
        assert!(!comes(Arc::new(nobody), "n3.hill").await);
        // Of another authority: that of operators, who are nobody here.
        rig.place.issue("stranger", &rig.place.operators, &["*.hill"], 30).unwrap();
        assert!(!comes(made(&rig.place.papers("stranger")), "n3.hill").await);
        // Expired.
        rig.place.issue("old", &rig.place.fronts, &["*.hill"], -1).unwrap();
        assert!(!comes(made(&rig.place.papers("old")), "n3.hill").await);
        // Under a name that its certificate is not for.
        assert!(!comes(made(&papers), "n1.harbour").await);
        // With the protocol of operators.
        assert!(!comes(client_config(&papers, OPERATOR_PROTOCOL).unwrap().config, "n3.hill").await);
        // First words that are none: too long, not a greeting, noise, and one that never ends.
        let long = [&(MAX_HELLO_BYTES as u32 + 1).to_be_bytes()[..], &[0; 64]].concat();
        let ask = encode_frame(&ToService::ServiceLevel { share: 0.5 }).unwrap();
        for (what, bytes) in [("long", long), ("no greeting", ask), ("noise", vec![0xff; 5_000])] {
            let mut stream = tls(&rig, made(&papers)).await.unwrap();
            let _ = stream.write_all(&bytes).await;
            assert!(cut_off(&mut stream, soon).await, "{what}");
        }
        // A good first word in single bytes: the time for it runs out.
        let mut stream = tls(&rig, made(&papers)).await.unwrap();
        let word = encode_frame(&hello("n3.hill")).unwrap();
        let begun = Instant::now();
        for byte in &word {
            if stream.write_all(&[*byte]).await.is_err() || stream.flush().await.is_err() {
                break;
            }
            let mut none = [0; 1];
            if tokio::time::timeout(Duration::from_secs(1), stream.read(&mut none)).await.is_ok() {
                break;
            }
        }
        assert!(
            begun.elapsed() < Duration::from_secs(10),
            "a byte a second was borne for {:?}",
            begun.elapsed()
        );
        // Plain TCP that says nothing of TLS.
        let mut plain = TcpStream::connect(rig.running().fronts).await.unwrap();
        plain.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let mut bytes = Vec::new();
        let ended = tokio::time::timeout(soon, plain.read_to_end(&mut bytes)).await;
        assert!(ended.is_ok(), "it is closed");
        // Claims that can't be, on a good connection: told of, and nothing comes of them.
        let stream = tls(&rig, made(&papers)).await.unwrap();
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = Writer::new(writer);
        writer.write(&hello("n4.hill")).await.unwrap();
        let never = VersionId::of(1, 77, b"never published");
        writer.write(&ToService::Running { id: never, stored: true }).await.unwrap();
        rig.until("the claim is seen through", |t| t.false_claims == 1).await;
        drop((reader, writer));
        rig.until("only the others are left", |t| t.connected == 2).await;
        // Meanwhile the others were served as ever.
        let Response::Published(id) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("a version reaches them", |t| t.running.contains(&(Some(id), 2))).await;
        for other in others {
            assert_eq!(other.stop().await, 1, "their connections were never cut");
        }
    });
}

#[test]
fn keys_and_certificates_change_hands_without_a_break() {
    runtime().block_on(async {
        let rig = Rig::start("rotate", FAST).await;
        let fronts = [rig.puppet("n1", "hill", good()), rig.puppet("n2", "harbour", good())];
        rig.until("both have come", |t| t.connected == 2).await;
        let Response::Published(first) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("the first runs", |t| t.base == Some(first) && t.current == 2).await;
        let new = || Keys::new(keys(&[1, 2]));
        for front in &fronts {
            front.tell(Command::Keys(new())).await;
        }
        // Dropping the old key at once is refused; with both the new one seals.
        rig.place.write("seal-keys.hcl", &seal_key(2)).unwrap();
        rig.running().reload().await;
        rig.place.write("seal-keys.hcl", &(seal_key(1) + &seal_key(2))).unwrap();
        rig.place.issue("control", &rig.place.fronts, &[SERVICE], 60).unwrap();
        rig.running().reload().await;
        let seen = rig.totals().await;
        assert_eq!((seen.seal_keys, seen.spare_keys), (vec![(1, 2)], vec![]));
        let Response::Published(second) = rig.publish(INFO, 1).await else { panic!() };
        let seen = rig.until("the second runs", |t| t.base == Some(second) && t.current == 2).await;
        assert_eq!((seen.seal_keys, seen.spare_keys), (vec![(2, 2)], vec![1]));
        rig.place.write("seal-keys.hcl", &seal_key(2)).unwrap();
        rig.running().reload().await;
        let Response::Published(third) = rig.publish(DEBUG, 2).await else { panic!() };
        rig.until("the third runs", |t| t.base == Some(third) && t.current == 2).await;
        // A certificate that can't be read changes nothing.
        rig.place.write("control.pem", "spoilt").unwrap();
        rig.running().reload().await;
        let late = rig.puppet("n3", "hill", good());
        late.tell(Command::Keys(new())).await;
        rig.until("one more comes", |t| t.connected == 3).await;
        for front in fronts {
            assert_eq!(front.stop().await, 1, "no connection was cut");
        }
    });
}

/// Somebody between the service and a front, with papers that are believed but no key that seals.
#[test]
fn what_a_go_between_alters_or_repeats_is_turned_down() {
    runtime().block_on(async {
        let place = Place::new("between").unwrap();
        place.issue("hill", &place.fronts, &["*.hill"], 30).unwrap();
        let tls = doorgrade_keys::server_config(&place.papers("control"), FRONT_PROTOCOL).unwrap().config;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let papers = place.papers("hill");
        let service = listener.local_addr().unwrap();
        let who =
            Who { name: "n1.hill", station: "hill", service, papers: &papers, keys: keys(&[1]), seed: 1 };
        let front = Puppet::start(&who, good()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let stream = tokio_rustls::TlsAcceptor::from(tls).accept(stream).await.unwrap();
        let (reader, writer) = tokio::io::split(stream);
        let (mut reader, mut writer) =
            (Reader::new(reader, Some(MAX_HELLO_BYTES), MAX_HELLO_BYTES), Writer::new(writer));
        assert!(matches!(reader.read::<ToService>().await.unwrap(), ToService::Hello { .. }));
        writer.write(&ToFront::Welcome { heartbeat_interval: 10_000 }).await.unwrap();
        let sealed = |id: &VersionId| Keys::new(keys(&[1])).seal(id).unwrap();
        let true_one = VersionId::of(5, 2, DEBUG.as_bytes());
        let older = VersionId::of(5, 1, INFO.as_bytes());
        let made_up = VersionId::of(5, 3, INFO.as_bytes());
        let stranger = Keys::new(vec![(1, vec![9; 32])]).seal(&made_up).unwrap();
        // What is offered, the content that is handed over, its seal, and what the front says in the end.
        let cases = [
            (true_one, INFO, sealed(&true_one), Some(RejectionReason::HashMismatch)),
            (made_up, INFO, stranger, Some(RejectionReason::InvalidSeal(1))),
            (
                VersionId { number: 7, ..true_one },
                DEBUG,
                sealed(&true_one),
                Some(RejectionReason::InvalidSeal(1)),
            ),
        ];
        for (id, content, seal, expected) in cases {
            writer.write(&ToFront::Offer { id }).await.unwrap();
            let body = Body::Full(content.as_bytes().into());
            let said = loop {
                match reader.read::<ToService>().await.unwrap() {
                    ToService::Fetch { .. } => {
                        writer.write(&ToFront::Content { id, seal, body: body.clone() }).await.unwrap();
                    }
                    ToService::Rejected { id: of, reason: why } if of == id => break Some(why),
                    ToService::Running { .. } => break None,
                    _ => {}
                }
            };
            assert_eq!(said, expected);
        }
        assert_eq!(front.runs(), None);
        // A later true one is taken; then one from before it, sealed as it was, is old news.
        let later = VersionId { number: 8, ..true_one };
        for (id, content, old) in [(later, DEBUG, false), (older, INFO, true)] {
            writer.write(&ToFront::Offer { id }).await.unwrap();
            loop {
                match reader.read::<ToService>().await.unwrap() {
                    ToService::Fetch { .. } => {
                        let body = Body::Full(content.as_bytes().into());
                        writer.write(&ToFront::Content { id, seal: sealed(&id), body }).await.unwrap();
                    }
                    ToService::Running { id: runs, .. } => break assert!(runs == id && !old),
                    ToService::Rejected { reason: why, .. } => {
                        break assert!(old && why == RejectionReason::Outdated, "{why}");
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(front.runs(), Some(later));
    });
}
