//! The cost of operators' commands by the number of fronts that the configuration service knows: bytes and time of each
//! response. The fronts are stubs that only follow the service, over TLS on loopback and without faults. The requests are
//! sent with the client that `doorgrade config` uses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use doorgrade_control::operator_client::OperatorClient;
use doorgrade_control::serve::Running;
use doorgrade_control::settings::Settings;
use doorgrade_standins::versions::{Installation, SERVICE, StubConfig, StubFront, keys};
use doorgrade_stream::frame::encode_frame;
use doorgrade_versions::VersionId;
use doorgrade_versions::service::{Filter, LogEvent, Request, Response, Totals};
use tokio::runtime::Runtime;

use super::{Context, Needs, Part, Point, Quantity, ScaleError};

/// Memory for each follower: both ends of its connection, and the service's state. About 61 KB
/// (`docs/results.md`), and less with the service in a process of its own. `BASE_BYTES` is for everything else.
const BYTES_PER_FOLLOWER: u64 = 100_000;
const BASE_BYTES: u64 = 100 << 20;
const STATIONS: usize = 44;
/// Versions published at each size. The bytes of the history are reported per version.
const VERSIONS: usize = 4;
/// Repetitions of each command, of which the median time is taken.
const REPETITIONS: usize = 15;
/// Timeout of each wait. The longest one is that for a publication to 1,000 fronts.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Waves that follow each other almost at once, since only the responses are measured.
const PUBLICATION: &str =
    "  soak_ms = 100\n  answer_within_ms = 30000\n  canaries = 2\n  missing = 0.9\n  drop = 1.0";
const ROLE: &str = "operators' commands";

pub(super) const PART: Part = Part {
    name: "commands",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, _| Needs { processes: 0, resident_bytes: BASE_BYTES + size as u64 * BYTES_PER_FOLLOWER },
    run,
};

/// The bytes of a response, with the headers of its frames, and the seconds from the request to its last byte.
#[derive(Clone, Copy)]
struct Cost {
    bytes: f64,
    seconds: f64,
}

/// The measurements of one size and seed.
struct Costs {
    status: Cost,
    fronts: Cost,
    history: Cost,
    /// Bytes of the events of one publication at one watcher.
    watch_bytes: f64,
}

/// A service in this process, with its followers.
struct Rig {
    installation: Installation,
    runtime: Runtime,
    service: Running,
    followers: Vec<StubFront>,
}

impl Rig {
    fn start(size: usize, seed: u64) -> Result<Rig, String> {
        let io = |e: std::io::Error| e.to_string();
        let installation = Installation::new("scale-commands").map_err(io)?;
        let stations = STATIONS.min(size);
        for n in 0..stations {
            let station = format!("station{n}");
            installation.issue(&station, &installation.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
        }
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().map_err(io)?;
        let file =
            installation.write_control_settings("127.0.0.1:0", "127.0.0.1:0", PUBLICATION).map_err(io)?;
        let service = runtime.block_on(Running::start(Settings::load(&file)?))?;
        let mut rig = Rig { installation, runtime, service, followers: Vec::new() };
        for n in 0..size {
            let _entered = rig.runtime.enter();
            let station = format!("station{}", n % stations);
            let (name, identity) = (format!("n{n:04}.{station}"), rig.installation.identity(&station));
            let (service, keys) = (rig.service.fronts, keys(&[1]));
            let seed = seed.wrapping_mul(10_000).wrapping_add(n as u64);
            let config =
                StubConfig { name: &name, station: &station, service, identity: &identity, keys, seed };
            rig.followers.push(StubFront::start(&config, Arc::new(|_: &VersionId, _: &[u8]| Ok(())))?);
        }
        Ok(rig)
    }

    /// Connects to the service as an operator.
    fn client(&self) -> Result<OperatorClient, String> {
        self.runtime.block_on(OperatorClient::connect_to(
            self.service.operators,
            SERVICE,
            &self.installation.identity("person"),
        ))
    }

    fn request(&self, client: &mut OperatorClient, request: &Request) -> Result<Response, String> {
        self.runtime.block_on(client.request(request))
    }

    fn totals(&self, client: &mut OperatorClient) -> Result<Totals, String> {
        match self.request(client, &Request::Status)? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("the service: unexpected response to a status request: {other:?}")),
        }
    }

    /// Waits until the service's status fulfils a condition.
    fn wait_until(
        &self,
        client: &mut OperatorClient,
        awaited: &str,
        condition: impl Fn(&Totals) -> bool,
    ) -> Result<(), String> {
        let began_at = Instant::now();
        loop {
            let totals = self.totals(client)?;
            if condition(&totals) {
                return Ok(());
            }
            if began_at.elapsed() > TIMEOUT {
                return Err(format!(
                    "timeout of {} s while waiting for {awaited}: {totals:?}",
                    TIMEOUT.as_secs()
                ));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn publish(&self, client: &mut OperatorClient, level: &str, note: &str) -> Result<VersionId, String> {
        let expected_last = self.totals(client)?.last;
        let content = format!("log {{ level = \"{level}\" }}\n").into_bytes().into();
        match self.request(client, &Request::Publish { content, note: note.into(), expected_last })? {
            Response::Published(id) => Ok(id),
            other => Err(format!("the service: not published: {other:?}")),
        }
    }

    fn stop(self) {
        let Rig { installation, runtime, service, followers } = self;
        runtime.block_on(async {
            for follower in followers {
                follower.stop().await;
            }
            service.stop().await;
        });
        drop(installation);
    }
}

fn response_bytes(response: &Response) -> f64 {
    encode_frame(response).map_or(0, |f| f.len()) as f64
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Repeats a request and returns the median time. `page` makes the request for the next page from a response, as the commands
/// do.
fn measure_response(
    rig: &Rig,
    client: &mut OperatorClient,
    first: &Request,
    page: impl Fn(&Response) -> Option<Request>,
) -> Result<Cost, String> {
    let (mut seconds, mut bytes) = (Vec::new(), 0.0);
    for _ in 0..REPETITIONS {
        let began_at = Instant::now();
        let mut responses = vec![rig.request(client, first)?];
        while let Some(next) = responses.last().and_then(&page) {
            responses.push(rig.request(client, &next)?);
        }
        seconds.push(began_at.elapsed().as_secs_f64());
        bytes = responses.iter().map(response_bytes).sum();
    }
    Ok(Cost { bytes, seconds: median(seconds) })
}

/// Bytes of the events that a watcher receives until a version is in force.
fn watch_bytes_until_in_force(rig: &Rig, watcher: &mut OperatorClient, id: VersionId) -> Result<f64, String> {
    let mut bytes = 0.0;
    loop {
        let event =
            rig.runtime.block_on(async { tokio::time::timeout(TIMEOUT, watcher.next_log_event()).await });
        let event = event.map_err(|_| "a watcher received no event in time".to_owned())??;
        let last = matches!(&event, LogEvent::Everywhere(version) if *version == id);
        bytes += response_bytes(&Response::LogEvent(event));
        if last {
            return Ok(bytes);
        }
    }
}

/// All commands, one after another, at one size.
fn measure(rig: &Rig, size: usize) -> Result<Costs, String> {
    let (mut client, mut watcher) = (rig.client()?, rig.client()?);
    rig.wait_until(&mut client, "all fronts to connect", |t| t.connected as usize == size)?;
    match rig.request(&mut watcher, &Request::Watch)? {
        Response::Watching => {}
        other => return Err(format!("the service: unexpected response to a watch request: {other:?}")),
    }
    let mut watch_bytes = Vec::new();
    for n in 0..VERSIONS {
        let level = if n % 2 == 0 { "info" } else { "debug" };
        // As long as a note that an operator writes.
        let id = rig.publish(&mut client, level, "tier 1 drains t4, as agreed with the night shift")?;
        watch_bytes.push(watch_bytes_until_in_force(rig, &mut watcher, id)?);
        rig.wait_until(&mut client, "a version on all fronts", |t| {
            t.current as usize == size && t.base == Some(id)
        })?;
    }
    let history =
        measure_response(
            rig,
            &mut client,
            &Request::History { below: u64::MAX },
            |response| match response {
                Response::History(page) => page.last().map(|p| Request::History { below: p.id.number }),
                _ => None,
            },
        )?;
    let all = |after: Box<str>| Request::Fronts { after, filter: Filter::All };
    let fronts = measure_response(rig, &mut client, &all("".into()), |response| match response {
        Response::Fronts { rows, more: true } => rows.last().map(|row| all(row.front.clone())),
        _ => None,
    })?;
    let status = measure_response(rig, &mut client, &Request::Status, |_| None)?;
    Ok(Costs { status, fronts, history, watch_bytes: median(watch_bytes) })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let mut measurements: Vec<(usize, u64, Costs)> = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            context.budget.check_start("commands", (PART.needs)(size, false))?;
            let rig = Rig::start(size, seed).map_err(|e| context.part_error(e))?;
            let costs = measure(&rig, size).map_err(|e| context.part_error(e));
            rig.stop();
            measurements.push((size, seed, costs?));
        }
    }
    type Getter = fn(&Costs) -> f64;
    let slopes: [(&str, &str, &str, Getter); 7] = [
        ("commands.status.bytes", "`config status`, one answer", "bytes", |c| c.status.bytes),
        ("commands.status.s", "`config status`, question to answer", "s", |c| c.status.seconds),
        ("commands.fronts.bytes", "`config status --fronts`, all pages", "bytes", |c| c.fronts.bytes),
        ("commands.fronts.s", "`config status --fronts`, question to last page", "s", |c| c.fronts.seconds),
        ("commands.history.bytes", "`config history`, a version", "bytes", |c| {
            c.history.bytes / VERSIONS as f64
        }),
        ("commands.history.s", "`config history`, question to last page", "s", |c| c.history.seconds),
        ("commands.watch.bytes", "`config watch`, one publication", "bytes", |c| c.watch_bytes),
    ];
    for (id, what, unit, value) in slopes {
        let points: Vec<Point> = measurements
            .iter()
            .map(|(size, seed, c)| Point { size: *size, seed: *seed, value: value(c) })
            .collect();
        context.fit_slope(&Quantity { id, role: ROLE, what, unit }, &points)?;
        if let Some(largest) = points.iter().max_by_key(|p| p.size) {
            context.put(&format!("{}_{}", id.replace('.', "_"), largest.size), largest.value);
        }
    }
    Ok(())
}
