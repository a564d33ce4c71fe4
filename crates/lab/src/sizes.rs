//! Measures how the recovery of a fleet after a mass restart depends on its size, in virtual time: the state machines of
//! `crates/members` and `crates/recall` of up to a thousand fronts, without sockets. Fault: a share of the fleet is killed and
//! restarts a second later. Measured is how long until the fronts know each other again and until the restarted ones have
//! recalled what the others remember, and how many messages that takes. Links lose 2% of the messages. There is no other
//! baseline than the smaller sizes. All figures are simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;

use doorgrade::Ticks;
use doorgrade_members::{Effect, MemberId, Members, Settings};
use doorgrade_recall::{Fill, Memory, PageFetcher, PageResponse, PageServer, Provider, Purge, Rules, Source};
use fastrand::Rng;
use rayon::prelude::*;

use crate::{Figures, RunArgs};

const SECOND: Ticks = 10_000;
/// Parts that each front remembers before the restart.
const REMEMBERED_PARTS: u64 = 400;
const MAX_PAGES_PER_SECOND: u32 = 50;
const STATIONS: usize = 10;
/// A phase is simulated for this long at most.
const MAX_DURATION: Ticks = 120 * SECOND;

/// A message between two fronts. The numbers are that of the page, and of all pages.
#[derive(Clone)]
enum Message {
    Membership(Vec<u8>),
    PageRequest(u16),
    Page(u16, u16, Arc<(Vec<Fill>, Vec<Purge>)>),
    Busy(u16),
    Nothing(u16),
}

enum EventKind {
    /// A message from a front.
    Received(usize, Message),
    /// The timer of a run of the front; ignored if it has been restarted since.
    Tick(u32),
}

/// Time, number, index of the front, and what happens. Ordered by time and then by number.
struct Event(Ticks, u64, usize, EventKind);

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Counts messages: the maximum in any whole second, and the total.
#[derive(Default)]
struct RateCounter {
    second: Ticks,
    in_second: u32,
    max_per_second: u32,
    total: u64,
}

impl RateCounter {
    fn record(&mut self, now: Ticks) {
        if self.second != now / SECOND {
            (self.second, self.in_second) = (now / SECOND, 0);
        }
        self.in_second += 1;
        self.total += 1;
        self.max_per_second = self.max_per_second.max(self.in_second);
    }
}

struct Front {
    /// None while it is not running.
    members: Option<Members>,
    memory: Memory,
    /// Set by a restart.
    fetcher: Option<PageFetcher>,
    server: PageServer,
    /// Counts starts and kills.
    run: u32,
    /// Membership messages sent.
    messages: RateCounter,
    /// Pages served.
    pages: RateCounter,
    /// When it had recalled 90% of what the others remember.
    recalled_at: Option<Ticks>,
}

struct Simulation {
    now: Ticks,
    rng: Rng,
    fronts: Vec<Front>,
    queue: BinaryHeap<Reverse<Event>>,
    event_count: u64,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, (n >> 16) as u8, (n >> 8) as u8, n as u8].into(), 7_460)
}

fn index(address: SocketAddrV4) -> usize {
    let [_, a, b, c] = address.ip().octets();
    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
}

fn rules() -> Rules {
    Rules { fresh_times: vec![3_600 * SECOND], purge_done: 6 * SECOND, max_fills: 16_384 }
}

impl Simulation {
    fn new(seed: u64, size: usize) -> Simulation {
        let now = 1_000 * SECOND;
        let front = |_| {
            let mut memory = Memory::new(rules());
            let fill = |object| Fill {
                offering: 0,
                object,
                part: 0,
                group: 0,
                made_at: now - object,
                requested_at: now,
            };
            (0..REMEMBERED_PARTS).for_each(|object| memory.record_fill(now, fill(object)));
            let server = PageServer::new(MAX_PAGES_PER_SECOND, now);
            let (messages, pages) = Default::default();
            Front { members: None, memory, fetcher: None, server, run: 0, messages, pages, recalled_at: None }
        };
        let fronts = (0..size).map(front).collect();
        let mut simulation =
            Simulation { now, rng: Rng::with_seed(seed), fronts, queue: BinaryHeap::new(), event_count: 0 };
        (0..size).for_each(|n| simulation.start(n));
        simulation
    }

    fn start(&mut self, n: usize) {
        let station = format!("s{}", n % STATIONS).into();
        let own = MemberId {
            name: format!("n{n}").into(),
            station,
            address: address(n),
            incarnation: self.now / 10,
            renewals: 0,
        };
        let size = self.fronts.len();
        let seeds = [0, size / 2, size - 1].map(address).to_vec();
        let settings = Settings {
            seeds,
            expected_members: size as u32,
            probe_interval: Settings::DEFAULT_PROBE_INTERVAL,
            max_datagrams_per_second: Settings::DEFAULT_MAX_DATAGRAMS_PER_SECOND,
        };
        let front = &mut self.fronts[n];
        front.members = Some(Members::new(own, settings, self.rng.u64(..), self.now));
        front.run += 1;
        self.schedule_tick(n);
    }

    fn schedule(&mut self, at: Ticks, n: usize, kind: EventKind) {
        self.event_count += 1;
        self.queue.push(Reverse(Event(at, self.event_count, n, kind)));
    }

    fn schedule_tick(&mut self, n: usize) {
        if let Some(members) = &self.fronts[n].members {
            let (at, run) = (members.next_tick_at().max(self.now + 1), self.fronts[n].run);
            self.schedule(at, n, EventKind::Tick(run));
        }
    }

    /// Sends a message over a link with a latency of 5 to 15 ms that loses 2% of the messages.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if to < self.fronts.len() && self.rng.f64() >= 0.02 {
            let at = self.now + self.rng.u64(50..150);
            self.schedule(at, to, EventKind::Received(from, message));
        }
    }

    fn apply_effects(&mut self, n: usize) {
        let effects = self.fronts[n].members.as_mut().map(Members::take_effects).unwrap_or_default();
        for effect in effects {
            if let Effect::Send { to, payload } = effect {
                self.fronts[n].messages.record(self.now);
                self.send(n, index(to), Message::Membership(payload));
            }
        }
    }

    /// Sends the page requests of a restarted front that are due.
    fn request_pages(&mut self, n: usize) {
        let front = &mut self.fronts[n];
        let Some((fetcher, members)) = front.fetcher.as_mut().filter(|f| !f.done).zip(front.members.as_ref())
        else {
            return;
        };
        let own_station = &members.identity().station;
        let providers: Vec<Provider> = members
            .alive()
            .map(|id| Provider { address: id.address, same_station: id.station == *own_station })
            .collect();
        for request in fetcher.poll(self.now, &providers) {
            self.send(n, index(request.to), Message::PageRequest(request.page));
        }
    }

    fn receive(&mut self, from: usize, n: usize, message: Message) {
        let now = self.now;
        let front = &mut self.fronts[n];
        let Some(members) = &mut front.members else { return };
        match message {
            Message::Membership(payload) => {
                members.receive(now, &payload);
                return self.apply_effects(n);
            }
            Message::PageRequest(page) => {
                let may_not_serve = front.fetcher.as_ref().is_some_and(|f| !f.may_serve(false));
                let response = if may_not_serve {
                    PageResponse::Nothing
                } else {
                    front.server.serve(now, now, address(from), &front.memory, page)
                };
                let reply = match response {
                    PageResponse::Page { pages, fills, purges } => {
                        front.pages.record(now);
                        Message::Page(page, pages, Arc::new((fills, purges)))
                    }
                    PageResponse::Busy => Message::Busy(page),
                    PageResponse::Nothing => Message::Nothing(page),
                };
                return self.send(n, from, reply);
            }
            Message::Page(page, pages, entries) => {
                if front.fetcher.as_mut().is_some_and(|f| f.on_page(address(from), page, pages)) {
                    front.memory.import(now, Source::Neighbour, &entries.0, &entries.1);
                    if front.recalled_at.is_none()
                        && front.memory.count(Source::Neighbour) as u64 >= REMEMBERED_PARTS * 9 / 10
                    {
                        front.recalled_at = Some(now);
                    }
                }
            }
            Message::Busy(page) => front.fetcher.iter_mut().for_each(|f| f.on_busy(now, address(from), page)),
            Message::Nothing(page) => {
                front.fetcher.iter_mut().for_each(|f| f.on_nothing(now, address(from), page))
            }
        }
        self.request_pages(n);
    }

    /// Handles all events within this time.
    fn advance(&mut self, duration: Ticks) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|event| event.0.0 <= end) {
            let Some(Reverse(Event(at, _, n, kind))) = self.queue.pop() else { break };
            self.now = at;
            match kind {
                EventKind::Received(from, message) => self.receive(from, n, message),
                EventKind::Tick(run) if run == self.fronts[n].run => {
                    if let Some(members) = &mut self.fronts[n].members {
                        members.tick(at);
                        self.apply_effects(n);
                        self.request_pages(n);
                        self.schedule_tick(n);
                    }
                }
                EventKind::Tick(_) => {}
            }
        }
        self.now = end;
    }

    /// Whether in 99% of all pairs a front knows the other to be alive. The rest learn of each other by probes, which each
    /// front sends to all others in turn.
    fn converged(&self) -> bool {
        let size = self.fronts.len();
        let known: usize = self.fronts.iter().filter_map(|f| Some(f.members.as_ref()?.alive().count())).sum();
        known as f64 >= 0.99 * (size * (size - 1)) as f64
    }
}

#[derive(Default)]
struct Outcome {
    /// Until 99% of all pairs knew each other again.
    converged_s: f64,
    /// Until 95% of the restarted fronts had 90% of what the others remember.
    recalled_s: Option<f64>,
    /// The highest number of membership messages that a front sent in a second.
    max_messages_per_s: f64,
    /// The mean number of membership messages per front and second.
    messages_per_s: f64,
    /// The highest number of pages that a front served in a second.
    max_pages_per_s: f64,
}

fn simulate(seed: u64, size: usize, killed_share: f64) -> Outcome {
    let mut simulation = Simulation::new(seed, size);
    let started_at = simulation.now;
    while !simulation.converged() && simulation.now < started_at + MAX_DURATION {
        simulation.advance(SECOND);
    }
    let killed = ((size as f64 * killed_share).round() as usize).clamp(1, size);
    for n in 0..killed {
        simulation.fronts[n].members = None;
        simulation.fronts[n].run += 1;
        simulation.fronts[n].memory = Memory::new(rules());
    }
    simulation.advance(SECOND);
    let restarted_at = simulation.now;
    for front in &mut simulation.fronts {
        (front.messages, front.pages) = Default::default();
    }
    for n in 0..killed {
        simulation.start(n);
        simulation.fronts[n].fetcher = Some(PageFetcher::new(&format!("n{n}"), restarted_at));
        simulation.fronts[n].server = PageServer::new(MAX_PAGES_PER_SECOND, restarted_at);
    }
    let mut converged_at = None;
    let recalled_at = |simulation: &Simulation| {
        let mut times: Vec<Ticks> =
            simulation.fronts[..killed].iter().filter_map(|f| f.recalled_at).collect();
        times.sort_unstable();
        times.get((killed * 95).div_ceil(100).saturating_sub(1)).copied()
    };
    while simulation.now < restarted_at + MAX_DURATION
        && (converged_at.is_none() || killed < size && recalled_at(&simulation).is_none())
    {
        simulation.advance(SECOND / 4);
        if converged_at.is_none() && simulation.converged() {
            converged_at = Some(simulation.now);
        }
        // A front whose fetcher is done will recall nothing more.
        if converged_at.is_some()
            && simulation.fronts.iter().all(|f| f.fetcher.as_ref().is_none_or(|f| f.done))
        {
            break;
        }
    }
    let seconds = |at: Ticks| (at - restarted_at) as f64 / SECOND as f64;
    let max_per_second = |counter: fn(&Front) -> &RateCounter| {
        simulation.fronts.iter().map(|f| counter(f).max_per_second).max().unwrap_or(0)
    };
    let messages: u64 = simulation.fronts.iter().map(|f| f.messages.total).sum();
    Outcome {
        converged_s: seconds(converged_at.unwrap_or(restarted_at + MAX_DURATION)),
        recalled_s: recalled_at(&simulation).map(seconds),
        max_messages_per_s: f64::from(max_per_second(|f| &f.messages)),
        messages_per_s: messages as f64 / size as f64 / f64::max(seconds(simulation.now), 1e-9),
        max_pages_per_s: f64::from(max_per_second(|f| &f.pages)),
    }
}

/// The mean, and half the width of its 95% confidence interval.
fn mean(values: &[f64]) -> (f64, f64) {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / f64::max(n - 1.0, 1.0);
    (mean, 1.96 * (variance / n).sqrt())
}

/// A line of the plot: the killed share, and for each size of the fleet the mean time and half the width of its interval.
type PlotLine = (f64, Vec<(f64, f64, f64)>);

pub fn run(
    run_args: &RunArgs,
    sizes: &[usize],
    seeds: Option<u64>,
    plot: Option<&Path>,
) -> Result<Figures, String> {
    let default_sizes: &[usize] = if run_args.quick { &[30, 100] } else { &[30, 100, 300, 1_000] };
    let sizes = if sizes.is_empty() { default_sizes } else { sizes };
    let killed_shares: &[f64] = if run_args.quick { &[0.7] } else { &[0.3, 0.7, 1.0] };
    let seeds = seeds.unwrap_or(if run_args.quick { 6 } else { 30 }).max(1);
    let mut figures = Figures::default();
    figures.put("simulated", true);
    figures.put("seeds", seeds);
    let mut lines: Vec<PlotLine> = Vec::new();
    for &killed_share in killed_shares {
        let mut line = Vec::new();
        for &size in sizes {
            let seeds: Vec<u64> = (0..seeds).map(|n| run_args.seed.wrapping_mul(1_000) + n).collect();
            let outcomes: Vec<Outcome> =
                seeds.par_iter().map(|&seed| simulate(seed, size, killed_share)).collect();
            let name = |figure: &str| format!("{figure}_{size}_{}", (100.0 * killed_share) as u32);
            let mut put_mean = |figure: &str, value_of: &dyn Fn(&Outcome) -> Option<f64>| {
                let values: Vec<f64> = outcomes.iter().filter_map(value_of).collect();
                let (mean, half_width) = mean(&values);
                if !values.is_empty() {
                    figures.put_rounded(&name(figure), mean);
                    figures.put_rounded(&name(&format!("{figure}_off")), half_width);
                }
                (mean, half_width)
            };
            let (mean_s, half_width_s) = put_mean("agreed_s", &|o| Some(o.converged_s));
            line.push((size as f64, mean_s, half_width_s));
            if killed_share < 1.0 {
                put_mean("recalled_s", &|o| o.recalled_s);
                let not_recalled = outcomes.iter().filter(|o| o.recalled_s.is_none()).count();
                figures.put(&name("runs_not_recalled"), not_recalled);
            }
            let mut put = |figure: &str, value_of: fn(&Outcome) -> f64| {
                figures
                    .put_rounded(&name(figure), mean(&outcomes.iter().map(value_of).collect::<Vec<_>>()).0);
            };
            put("most_words_s", |o| o.max_messages_per_s);
            put("words_s", |o| o.messages_per_s);
            put("most_pages_s", |o| o.max_pages_per_s);
        }
        lines.push((killed_share, line));
    }
    if let Some(path) = plot {
        draw(path, &lines).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(figures)
}

fn draw(path: &Path, lines: &[PlotLine]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let root = SVGBackend::new(path, (760, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|l| &l.1);
    let max_s = points().map(|p| p.1 + p.2).fold(1.0, f64::max);
    let (from, to) = points().fold((f64::MAX, 1.0), |(a, b): (f64, f64), p| (a.min(p.0), b.max(p.0)));
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Time until 99% of all pairs know each other after a mass restart (simulated)",
            ("sans-serif", 16),
        )
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((from * 0.9..to * 1.1).log_scale(), 0.0..1.1 * max_s)?;
    chart.configure_mesh().x_desc("fronts").y_desc("seconds").draw()?;
    for (n, (killed_share, line)) in lines.iter().enumerate() {
        let color = [RED, BLUE, BLACK][n % 3];
        let series = chart.draw_series(LineSeries::new(line.iter().map(|p| (p.0, p.1)), color))?;
        series
            .label(format!("{:.0}% killed", 100.0 * killed_share))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        chart.draw_series(
            line.iter()
                .map(|p| PathElement::new([(p.0, p.1 - p.2), (p.0, p.1 + p.2)], color.stroke_width(2))),
        )?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
