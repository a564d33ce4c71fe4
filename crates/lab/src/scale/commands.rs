//! The operators' commands against a service that knows many fronts: bytes and time of each answer. The fronts are only the
//! side that follows the service, over TLS on loopback; whoever asks is what `doorgrade config` is made of.

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

/// Of both sides of a connection, with what the service keeps; 61 KB were seen (`docs/results.md`), and less in a process of
/// its own.
const BYTES_A_FOLLOWER: u64 = 100_000;
const BYTES_OF_ALL_ELSE: u64 = 100 << 20;
const STATIONS: usize = 44;
/// Versions published at each size: what a history answers is told for each of them.
const VERSIONS: usize = 4;
/// Answers of each kind, of which the median counts.
const ANSWERS: usize = 15;
/// A publication to a thousand, in waves that are not watched.
const WITHIN: Duration = Duration::from_secs(60);
/// Waves that follow each other at once: what is measured is the answers.
const PUBLICATION: &str =
    "  soak_ms = 100\n  answer_within_ms = 30000\n  canaries = 2\n  missing = 0.9\n  drop = 1.0";
const ROLE: &str = "operators' commands";

pub(super) const PART: Part = Part {
    name: "commands",
    full_sizes: &[50, 150, 400, 1_000],
    quick_sizes: &[30, 60, 120, 240],
    needs: |size, _| Needs {
        processes: 0,
        resident_bytes: BYTES_OF_ALL_ELSE + size as u64 * BYTES_A_FOLLOWER,
    },
    run,
};

/// One answer: its bytes in their frames, and seconds from the question to its last byte.
#[derive(Clone, Copy)]
struct Cost {
    bytes: f64,
    seconds: f64,
}

/// What one size and seed gave.
struct Costs {
    status: Cost,
    fronts: Cost,
    history: Cost,
    /// Of one publication, told to one watcher.
    watch_bytes: f64,
}

struct Rig {
    place: Installation,
    runtime: Runtime,
    running: Running,
    followers: Vec<StubFront>,
}

impl Rig {
    fn start(size: usize, seed: u64) -> Result<Rig, String> {
        let io = |e: std::io::Error| e.to_string();
        let place = Installation::new("scale-commands").map_err(io)?;
        let stations = STATIONS.min(size);
        for n in 0..stations {
            let station = format!("station{n}");
            place.issue(&station, &place.fronts, &[&format!("*.{station}")], 30).map_err(io)?;
        }
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().map_err(io)?;
        let file = place.write_control_settings("127.0.0.1:0", "127.0.0.1:0", PUBLICATION).map_err(io)?;
        let running = runtime.block_on(Running::start(Settings::load(&file)?))?;
        let mut rig = Rig { place, runtime, running, followers: Vec::new() };
        for n in 0..size {
            let _here = rig.runtime.enter();
            let station = format!("station{}", n % stations);
            let (name, papers) = (format!("n{n:04}.{station}"), rig.place.identity(&station));
            let (service, keys) = (rig.running.fronts, keys(&[1]));
            let seed = seed.wrapping_mul(10_000).wrapping_add(n as u64);
            let who = StubConfig { name: &name, station: &station, service, identity: &papers, keys, seed };
            rig.followers.push(StubFront::start(&who, Arc::new(|_: &VersionId, _: &[u8]| Ok(())))?);
        }
        Ok(rig)
    }

    fn asker(&self) -> Result<OperatorClient, String> {
        self.runtime.block_on(OperatorClient::connect_to(
            self.running.operators,
            SERVICE,
            &self.place.identity("person"),
        ))
    }

    fn ask(&self, asker: &mut OperatorClient, ask: &Request) -> Result<Response, String> {
        self.runtime.block_on(asker.request(ask))
    }

    fn totals(&self, asker: &mut OperatorClient) -> Result<Totals, String> {
        match self.ask(asker, &Request::Status)? {
            Response::Status(totals) => Ok(*totals),
            other => Err(format!("the service: an answer to something else: {other:?}")),
        }
    }

    fn until(
        &self,
        asker: &mut OperatorClient,
        what: &str,
        holds: impl Fn(&Totals) -> bool,
    ) -> Result<(), String> {
        let begun = Instant::now();
        loop {
            let totals = self.totals(asker)?;
            if holds(&totals) {
                return Ok(());
            }
            if begun.elapsed() > WITHIN {
                return Err(format!("{what} has not come in {} s: {totals:?}", WITHIN.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn publish(&self, asker: &mut OperatorClient, level: &str, note: &str) -> Result<VersionId, String> {
        let expects = self.totals(asker)?.last;
        let content = format!("log {{ level = \"{level}\" }}\n").into_bytes().into();
        match self.ask(asker, &Request::Publish { content, note: note.into(), expected_last: expects })? {
            Response::Published(id) => Ok(id),
            other => Err(format!("the service: not published: {other:?}")),
        }
    }

    fn end(self) {
        let Rig { place, runtime, running, followers } = self;
        runtime.block_on(async {
            for follower in followers {
                follower.stop().await;
            }
            running.stop().await;
        });
        drop(place);
    }
}

fn bytes(answer: &Response) -> f64 {
    encode_frame(answer).map_or(0, |f| f.len()) as f64
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The median of some answers; `page` asks for the next page after an answer, as the commands do.
fn cost(
    rig: &Rig,
    asker: &mut OperatorClient,
    first: &Request,
    page: impl Fn(&Response) -> Option<Request>,
) -> Result<Cost, String> {
    let (mut seconds, mut size) = (Vec::new(), 0.0);
    for _ in 0..ANSWERS {
        let begun = Instant::now();
        let mut answers = vec![rig.ask(asker, first)?];
        while let Some(next) = answers.last().and_then(&page) {
            answers.push(rig.ask(asker, &next)?);
        }
        seconds.push(begun.elapsed().as_secs_f64());
        size = answers.iter().map(bytes).sum();
    }
    Ok(Cost { bytes: size, seconds: median(seconds) })
}

/// Lines that a watcher is told until a version is everyone's.
fn watched(rig: &Rig, watcher: &mut OperatorClient, id: VersionId) -> Result<f64, String> {
    let mut size = 0.0;
    loop {
        let line =
            rig.runtime.block_on(async { tokio::time::timeout(WITHIN, watcher.next_log_event()).await });
        let line = line.map_err(|_| "a watcher is told nothing more".to_owned())??;
        let last = matches!(&line, LogEvent::Everywhere(told) if *told == id);
        size += bytes(&Response::LogEvent(line));
        if last {
            return Ok(size);
        }
    }
}

fn measure(rig: &Rig, size: usize) -> Result<Costs, String> {
    let (mut asker, mut watcher) = (rig.asker()?, rig.asker()?);
    rig.until(&mut asker, "each front", |t| t.connected as usize == size)?;
    match rig.ask(&mut watcher, &Request::Watch)? {
        Response::Watching => {}
        other => return Err(format!("the service: no watch: {other:?}")),
    }
    let mut watch_bytes = Vec::new();
    for n in 0..VERSIONS {
        let level = if n % 2 == 0 { "info" } else { "debug" };
        // As long as a person's.
        let id = rig.publish(&mut asker, level, "tier 1 drains t4, as agreed with the night shift")?;
        watch_bytes.push(watched(rig, &mut watcher, id)?);
        rig.until(&mut asker, "a version", |t| t.current as usize == size && t.base == Some(id))?;
    }
    let history = cost(rig, &mut asker, &Request::History { below: u64::MAX }, |answer| match answer {
        Response::History(page) => page.last().map(|p| Request::History { below: p.id.number }),
        _ => None,
    })?;
    let all = |after: Box<str>| Request::Fronts { after, filter: Filter::All };
    let fronts = cost(rig, &mut asker, &all("".into()), |answer| match answer {
        Response::Fronts { rows, more: true } => rows.last().map(|row| all(row.front.clone())),
        _ => None,
    })?;
    let status = cost(rig, &mut asker, &Request::Status, |_| None)?;
    Ok(Costs { status, fronts, history, watch_bytes: median(watch_bytes) })
}

pub fn run(context: &mut Context) -> Result<(), ScaleError> {
    let mut came: Vec<(usize, u64, Costs)> = Vec::new();
    for size in context.sizes() {
        for seed in context.seeds() {
            context.check()?;
            context.budget.check_start("commands", (PART.needs)(size, false))?;
            let rig = Rig::start(size, seed).map_err(|why| context.fault(why))?;
            let costs = measure(&rig, size).map_err(|why| context.fault(why));
            rig.end();
            came.push((size, seed, costs?));
        }
    }
    type Read = fn(&Costs) -> f64;
    let slopes: [(&str, &str, &str, Read); 7] = [
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
    for (id, what, unit, read) in slopes {
        let points: Vec<Point> =
            came.iter().map(|(size, seed, c)| Point { size: *size, seed: *seed, value: read(c) }).collect();
        context.slope(&Quantity { id, role: ROLE, what, unit }, &points)?;
        if let Some(largest) = points.iter().max_by_key(|p| p.size) {
            context.put(&format!("{}_{}", id.replace('.', "_"), largest.size), largest.value);
        }
    }
    Ok(())
}
