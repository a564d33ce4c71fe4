//! The service over TLS on loopback: fronts that follow it, operators' requests, and faulty or malicious peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_keys::rustls::ClientConfig;
use doorgrade_keys::rustls::pki_types::pem::PemObject;
use doorgrade_keys::rustls::pki_types::{CertificateDer, ServerName};
use doorgrade_keys::{Paths, client_config};
use doorgrade_standins::versions::{Installation, SERVICE, StubConfig, StubFront, Verdict, keys, seal_key};
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

/// Settings of a publication without long waits.
const FAST: &str = "  soak_ms = 50\n  answer_within_ms = 2000";

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

fn accept() -> Arc<Verdict> {
    Arc::new(|_: &VersionId, _: &[u8]| Ok(()))
}

struct Rig {
    place: Installation,
    running: Option<Running>,
}

impl Rig {
    async fn start(name: &str, publication: &str) -> Rig {
        let place = Installation::new(name).unwrap();
        let mut rig = Rig { place, running: None };
        rig.restart(publication).await;
        rig
    }

    async fn restart(&mut self, publication: &str) {
        let address = self.running.as_ref().map_or("127.0.0.1:0".to_owned(), |r| r.fronts.to_string());
        if let Some(running) = self.running.take() {
            running.stop().await;
        }
        let file = self.place.write_control_settings(&address, "127.0.0.1:0", publication).unwrap();
        self.running = Some(Running::start(Settings::load(&file).unwrap()).await.unwrap());
    }

    fn running(&self) -> &Running {
        self.running.as_ref().unwrap()
    }

    /// Starts a front with a certificate for all fronts of its station.
    fn front(&self, name: &str, station: &str, verdict: Arc<Verdict>) -> StubFront {
        let full = format!("{name}.{station}");
        if !self.place.file(&format!("{station}.pem")).exists() {
            self.place.issue(station, &self.place.fronts, &[&format!("*.{station}")], 30).unwrap();
        }
        let papers = self.place.identity(station);
        let (service, keys) = (self.running().fronts, keys(&[1]));
        let who =
            StubConfig { name: &full, station, service, identity: &papers, keys, seed: full.len() as u64 };
        StubFront::start(&who, verdict).unwrap()
    }

    async fn client(&self, prefix: &str) -> Result<OperatorClient, String> {
        OperatorClient::connect_to(self.running().operators, SERVICE, &self.place.identity(prefix)).await
    }

    async fn totals(&self) -> Totals {
        match self.client("person").await.unwrap().request(&Request::Status).await.unwrap() {
            Response::Status(totals) => *totals,
            other => panic!("{other:?}"),
        }
    }

    async fn until(&self, what: &str, holds: impl Fn(&Totals) -> bool) -> Totals {
        let started = Instant::now();
        loop {
            let totals = self.totals().await;
            if holds(&totals) {
                return totals;
            }
            assert!(started.elapsed() < Duration::from_secs(20), "{what}: {totals:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn publish(&self, content: &str, expected_last: u64) -> Response {
        let request =
            Request::Publish { content: content.as_bytes().into(), note: "a note".into(), expected_last };
        self.client("person").await.unwrap().request(&request).await.unwrap()
    }
}

const DEBUG: &str = "log { level = \"debug\" }\n";
const INFO: &str = "log { level = \"info\" }\n";

#[test]
fn versions_reach_all_fronts_survive_a_restart_and_are_rolled_back_under_a_new_number() {
    runtime().block_on(async {
        let mut rig = Rig::start("reach", FAST).await;
        let fronts: Vec<StubFront> =
            (0..8).map(|n| rig.front(&format!("n{n}"), ["hill", "harbour"][n % 2], accept())).collect();
        rig.until("all fronts are connected", |t| t.connected == 8).await;
        let Response::Published(first) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("the first runs everywhere", |t| t.base == Some(first) && t.current == 8).await;
        assert!(fronts.iter().all(|f| f.applied_version() == Some(first)));
        // A publisher that expects no earlier version is rejected, and so is a viewer.
        assert_eq!(rig.publish(INFO, 0).await, Response::NotPublished(PublishError::Conflict { last: 1 }));
        let request = Request::Publish { content: INFO.as_bytes().into(), note: "".into(), expected_last: 1 };
        let mut viewer = rig.client("onlooker").await.unwrap();
        assert_eq!(viewer.request(&request).await.unwrap(), Response::Denied(Denial::ReadOnly));
        assert!(matches!(viewer.request(&Request::Status).await.unwrap(), Response::Status(_)));
        // A content that no front could use gets no number.
        let Response::Invalid(reason) = rig.publish("log { level = \"loud\" }", 1).await else { panic!() };
        assert!(reason.contains("version:1:15: key 'log.level': expected one of"), "{reason}");
        let Response::Published(second) = rig.publish(INFO, 1).await else { panic!() };
        rig.until("the second runs everywhere", |t| t.base == Some(second) && t.current == 8).await;
        // The service restarts with its store: the fronts reconnect, and nothing is offered twice.
        rig.restart(FAST).await;
        let totals = rig.until("all fronts have reconnected", |t| t.connected == 8).await;
        assert_eq!((totals.last, totals.base, totals.current), (2, Some(second), 8));
        let request = Request::RollBack { to: 1, expected_last: 2 };
        let Response::Published(third) = rig.client("person").await.unwrap().request(&request).await.unwrap()
        else {
            panic!()
        };
        assert_eq!((third.number, third.hash), (3, first.hash));
        rig.until("it is rolled back", |t| t.base == Some(third) && t.current == 8).await;
        for front in fronts {
            assert_eq!(front.applied_version(), Some(third));
            assert_eq!(front.record.lock().unwrap().applied.len(), 3, "each version is applied once");
            assert_eq!(front.stop().await, 2);
        }
    });
}

#[test]
fn a_rejection_by_a_canary_stops_the_rollout_before_any_other_front() {
    runtime().block_on(async {
        let rig = Rig::start("canary", "  canaries = 1\n  soak_ms = 50").await;
        let rejects_debug: Arc<Verdict> = Arc::new(|_: &VersionId, content: &[u8]| match content {
            b"log { level = \"debug\" }\n" => Err(RejectionReason::NeedsRestart("log.format".into())),
            _ => Ok(()),
        });
        let fronts: Vec<StubFront> =
            (0..6).map(|n| rig.front(&format!("n{n}"), "hill", rejects_debug.clone())).collect();
        rig.until("all fronts are connected", |t| t.connected == 6).await;
        let Response::Published(good) = rig.publish(INFO, 0).await else { panic!() };
        rig.until("the good version runs", |t| t.base == Some(good)).await;
        let Response::Published(bad) = rig.publish(DEBUG, 1).await else { panic!() };
        let stopped =
            rig.until("it is stopped", |t| t.publication.as_ref().is_some_and(|p| p.stopped.is_some())).await;
        let rollout = stopped.publication.unwrap();
        assert_eq!((rollout.id, rollout.offered, rollout.running), (bad, 1, 0));
        let Some(StopReason::Rejected { first, .. }) = rollout.stopped else {
            panic!("{:?}", rollout.stopped)
        };
        assert_eq!(first.to_string(), "it changes settings that need a restart: log.format");
        let rejecting = fronts.iter().filter(|f| !f.record.lock().unwrap().rejected.is_empty()).count();
        assert_eq!(rejecting, 1);
        assert!(fronts.iter().all(|f| f.applied_version() == Some(good)));
        let rows = rig.client("person").await.unwrap().fronts(Filter::All).await.unwrap();
        assert!(rows.iter().all(|r| r.state == FrontState::Current && r.running == Some(good)), "{rows:?}");
    });
}

async fn tls(rig: &Rig, config: Arc<ClientConfig>) -> std::io::Result<TlsStream<TcpStream>> {
    let stream = TcpStream::connect(rig.running().fronts).await?;
    TlsConnector::from(config).connect(ServerName::try_from(SERVICE).unwrap(), stream).await
}

/// Whether the peer closes the connection within a time.
async fn closed_by_peer(stream: &mut TlsStream<TcpStream>, within: Duration) -> bool {
    let read_to_end = tokio::time::timeout(within, async {
        let mut bytes = [0; 4_096];
        while matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {}
    });
    read_to_end.await.is_ok()
}

fn hello(name: &str) -> ToService {
    ToService::Hello { front: name.into(), station: "hill".into(), running: None }
}

#[test]
fn faulty_and_unauthorized_peers_are_disconnected_and_others_are_not_affected() {
    runtime().block_on(async {
        let rig = Rig::start("peers", FAST).await;
        let fronts = [rig.front("n1", "hill", accept()), rig.front("n2", "harbour", accept())];
        rig.until("both fronts are connected", |t| t.connected == 2).await;
        let paths = rig.place.identity("hill");
        let limit = Duration::from_secs(5);
        // Whether the service welcomes a front that connects with this TLS configuration and sends a valid hello.
        let welcomed = async |config: Arc<ClientConfig>, name: &str| -> bool {
            let Ok(stream) = tls(&rig, config).await else { return false };
            let (reader, writer) = tokio::io::split(stream);
            let (mut reader, mut writer) =
                (Reader::new(reader, None, MAX_CONTENT_MESSAGE_BYTES), Writer::new(writer));
            let _ = writer.write(&hello(name)).await;
            let answer =
                tokio::time::timeout(limit, reader.read::<ToFront>()).await.expect("a response or an end");
            matches!(answer, Ok(ToFront::Welcome { .. }))
        };
        let config = |paths: &Paths| client_config(paths, FRONT_PROTOCOL).unwrap().config;
        assert!(welcomed(config(&paths), "n3.hill").await, "a front with a valid certificate is welcomed");
        // Without a certificate.
        let mut roots = doorgrade_keys::rustls::RootCertStore::empty();
        for root in CertificateDer::pem_file_iter(&paths.authority).unwrap() {
            roots.add(root.unwrap()).unwrap();
        }
        let provider = Arc::new(doorgrade_keys::rustls::crypto::ring::default_provider());
        let no_certificate =
            ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions().unwrap();
        let mut no_certificate = no_certificate.with_root_certificates(roots).with_no_client_auth();
        no_certificate.alpn_protocols = vec![FRONT_PROTOCOL.to_vec()];
        assert!(!welcomed(Arc::new(no_certificate), "n3.hill").await);
        // With a certificate of the operators' authority, which is not trusted for fronts.
        rig.place.issue("stranger", &rig.place.operators, &["*.hill"], 30).unwrap();
        assert!(!welcomed(config(&rig.place.identity("stranger")), "n3.hill").await);
        // With an expired certificate.
        rig.place.issue("old", &rig.place.fronts, &["*.hill"], -1).unwrap();
        assert!(!welcomed(config(&rig.place.identity("old")), "n3.hill").await);
        // With a name that its certificate is not valid for.
        assert!(!welcomed(config(&paths), "n1.harbour").await);
        // With the protocol of operators.
        assert!(!welcomed(client_config(&paths, OPERATOR_PROTOCOL).unwrap().config, "n3.hill").await);
        // With an invalid first message: too long, not a hello, or undecodable.
        let long = [&(MAX_HELLO_BYTES as u32 + 1).to_be_bytes()[..], &[0; 64]].concat();
        let no_hello = encode_frame(&ToService::ServiceLevel { share: 0.5 }).unwrap();
        for (what, bytes) in [("long", long), ("no hello", no_hello), ("noise", vec![0xff; 5_000])] {
            let mut stream = tls(&rig, config(&paths)).await.unwrap();
            let _ = stream.write_all(&bytes).await;
            assert!(closed_by_peer(&mut stream, limit).await, "{what}");
        }
        // A valid hello at one byte per second exceeds the timeout.
        let mut stream = tls(&rig, config(&paths)).await.unwrap();
        let frame = encode_frame(&hello("n3.hill")).unwrap();
        let started = Instant::now();
        for byte in &frame {
            if stream.write_all(&[*byte]).await.is_err() || stream.flush().await.is_err() {
                break;
            }
            let mut received = [0; 1];
            if tokio::time::timeout(Duration::from_secs(1), stream.read(&mut received)).await.is_ok() {
                break;
            }
        }
        assert!(started.elapsed() < Duration::from_secs(10), "accepted for {:?}", started.elapsed());
        // Plain HTTP without TLS.
        let mut plain = TcpStream::connect(rig.running().fronts).await.unwrap();
        plain.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(limit, plain.read_to_end(&mut bytes)).await;
        assert!(read.is_ok(), "the service closes the connection");
        // A false claim on a valid connection is counted, and has no other effect.
        let stream = tls(&rig, config(&paths)).await.unwrap();
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = Writer::new(writer);
        writer.write(&hello("n4.hill")).await.unwrap();
        let unpublished = VersionId::of(1, 77, b"never published");
        writer.write(&ToService::Running { id: unpublished, stored: true }).await.unwrap();
        rig.until("the false claim is counted", |t| t.false_claims == 1).await;
        drop((reader, writer));
        rig.until("only the first two are connected", |t| t.connected == 2).await;
        // The other fronts are served as before.
        let Response::Published(id) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("a version runs on both", |t| t.running.contains(&(Some(id), 2))).await;
        for front in fronts {
            assert_eq!(front.stop().await, 1, "the front has kept its first connection");
        }
    });
}

#[test]
fn keys_and_certificates_are_rotated_without_a_disconnect() {
    runtime().block_on(async {
        let rig = Rig::start("rotate", FAST).await;
        let fronts = [rig.front("n1", "hill", accept()), rig.front("n2", "harbour", accept())];
        rig.until("both fronts are connected", |t| t.connected == 2).await;
        let Response::Published(first) = rig.publish(DEBUG, 0).await else { panic!() };
        rig.until("the first version runs", |t| t.base == Some(first) && t.current == 2).await;
        let both_keys = || Keys::new(keys(&[1, 2]));
        for front in &fronts {
            front.send(Command::Keys(both_keys())).await;
        }
        // Removing the old key at once is rejected. With both keys, the new one is used for seals.
        rig.place.write("seal-keys.hcl", &seal_key(2)).unwrap();
        rig.running().reload().await;
        rig.place.write("seal-keys.hcl", &(seal_key(1) + &seal_key(2))).unwrap();
        rig.place.issue("control", &rig.place.fronts, &[SERVICE], 60).unwrap();
        rig.running().reload().await;
        let totals = rig.totals().await;
        assert_eq!((totals.seal_keys, totals.spare_keys), (vec![(1, 2)], vec![]));
        let Response::Published(second) = rig.publish(INFO, 1).await else { panic!() };
        let totals = rig.until("the second runs", |t| t.base == Some(second) && t.current == 2).await;
        assert_eq!((totals.seal_keys, totals.spare_keys), (vec![(2, 2)], vec![1]));
        rig.place.write("seal-keys.hcl", &seal_key(2)).unwrap();
        rig.running().reload().await;
        let Response::Published(third) = rig.publish(DEBUG, 2).await else { panic!() };
        rig.until("the third version runs", |t| t.base == Some(third) && t.current == 2).await;
        // A certificate that can't be read is ignored, and the previous one stays in use.
        rig.place.write("control.pem", "not a certificate").unwrap();
        rig.running().reload().await;
        let third_front = rig.front("n3", "hill", accept());
        third_front.send(Command::Keys(both_keys())).await;
        rig.until("the third front is connected", |t| t.connected == 3).await;
        for front in fronts {
            assert_eq!(front.stop().await, 1, "the front has kept its first connection");
        }
    });
}

/// An attacker between the service and a front that has a trusted certificate, but no seal key.
#[test]
fn altered_or_replayed_versions_of_a_man_in_the_middle_are_rejected() {
    runtime().block_on(async {
        let place = Installation::new("between").unwrap();
        place.issue("hill", &place.fronts, &["*.hill"], 30).unwrap();
        let tls = doorgrade_keys::server_config(&place.identity("control"), FRONT_PROTOCOL).unwrap().config;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let paths = place.identity("hill");
        let service = listener.local_addr().unwrap();
        let who = StubConfig {
            name: "n1.hill",
            station: "hill",
            service,
            identity: &paths,
            keys: keys(&[1]),
            seed: 1,
        };
        let front = StubFront::start(&who, accept()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let stream = tokio_rustls::TlsAcceptor::from(tls).accept(stream).await.unwrap();
        let (reader, writer) = tokio::io::split(stream);
        let (mut reader, mut writer) =
            (Reader::new(reader, Some(MAX_HELLO_BYTES), MAX_HELLO_BYTES), Writer::new(writer));
        assert!(matches!(reader.read::<ToService>().await.unwrap(), ToService::Hello { .. }));
        writer.write(&ToFront::Welcome { heartbeat_interval: 10_000 }).await.unwrap();
        let sealed = |id: &VersionId| Keys::new(keys(&[1])).seal(id).unwrap();
        let genuine = VersionId::of(5, 2, DEBUG.as_bytes());
        let older = VersionId::of(5, 1, INFO.as_bytes());
        let forged = VersionId::of(5, 3, INFO.as_bytes());
        let unknown_seal = Keys::new(vec![(1, vec![9; 32])]).seal(&forged).unwrap();
        // The offered version, the content that is sent for it, its seal, and the reason of the front's rejection.
        let cases = [
            (genuine, INFO, sealed(&genuine), Some(RejectionReason::HashMismatch)),
            (forged, INFO, unknown_seal, Some(RejectionReason::InvalidSeal(1))),
            (
                VersionId { number: 7, ..genuine },
                DEBUG,
                sealed(&genuine),
                Some(RejectionReason::InvalidSeal(1)),
            ),
        ];
        for (id, content, seal, expected) in cases {
            writer.write(&ToFront::Offer { id }).await.unwrap();
            let body = Body::Full(content.as_bytes().into());
            let rejection = loop {
                match reader.read::<ToService>().await.unwrap() {
                    ToService::Fetch { .. } => {
                        writer.write(&ToFront::Content { id, seal, body: body.clone() }).await.unwrap();
                    }
                    ToService::Rejected { id: rejected, reason } if rejected == id => break Some(reason),
                    ToService::Running { .. } => break None,
                    _ => {}
                }
            };
            assert_eq!(rejection, expected);
        }
        assert_eq!(front.applied_version(), None);
        // A genuine later version is applied. A replay of an earlier one with its valid seal is rejected as outdated.
        let later = VersionId { number: 8, ..genuine };
        for (id, content, outdated) in [(later, DEBUG, false), (older, INFO, true)] {
            writer.write(&ToFront::Offer { id }).await.unwrap();
            loop {
                match reader.read::<ToService>().await.unwrap() {
                    ToService::Fetch { .. } => {
                        let body = Body::Full(content.as_bytes().into());
                        writer.write(&ToFront::Content { id, seal: sealed(&id), body }).await.unwrap();
                    }
                    ToService::Running { id: running, .. } => break assert!(running == id && !outdated),
                    ToService::Rejected { reason, .. } => {
                        break assert!(outdated && reason == RejectionReason::Outdated, "{reason}");
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(front.applied_version(), Some(later));
    });
}
