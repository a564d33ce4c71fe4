//! The return in virtual time: the very decisions of `crates/members` and `crates/recall`, by the thousand, no sockets. A
//! share of the fleet is killed, comes back a second later, and is to know everybody and what the others remember.
//! Figures of this are simulated.

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

const S: Ticks = 10_000;
const PARTS: u64 = 400;
const PAGES: u32 = 50;
const STATIONS: usize = 10;
/// The longest that is played after the return.
const LONGEST: Ticks = 120 * S;

#[derive(Clone)]
enum Said {
    Swim(Vec<u8>),
    Ask(u16),
    Page(u16, u16, Arc<(Vec<Fill>, Vec<Purge>)>),
    Busy(u16),
    Nothing(u16),
}

enum What {
    Said(usize, Said),
    Tick(u32),
}

struct Due(Ticks, u64, usize, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The most in any whole second, and all.
#[derive(Default)]
struct Count {
    second: Ticks,
    now: u32,
    most: u32,
    all: u64,
}

impl Count {
    fn one(&mut self, now: Ticks) {
        if self.second != now / S {
            (self.second, self.now) = (now / S, 0);
        }
        self.now += 1;
        self.all += 1;
        self.most = self.most.max(self.now);
    }
}

struct One {
    members: Option<Members>,
    memory: Memory,
    asking: Option<PageFetcher>,
    giving: PageServer,
    run: u32,
    words: Count,
    pages: Count,
    /// When it had nine tenths of what the others remember.
    recalled: Option<Ticks>,
}

struct World {
    now: Ticks,
    rng: Rng,
    all: Vec<One>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
}

fn at(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, (n >> 16) as u8, (n >> 8) as u8, n as u8].into(), 7_460)
}

fn number(at: SocketAddrV4) -> usize {
    let [_, a, b, c] = at.ip().octets();
    usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
}

fn rules() -> Rules {
    Rules { fresh_times: vec![3_600 * S], purge_done: 6 * S, max_fills: 16_384 }
}

impl World {
    fn new(seed: u64, size: usize) -> World {
        let now = 1_000 * S;
        let one = |_| {
            let mut memory = Memory::new(rules());
            let fill = |object| Fill {
                offering: 0,
                object,
                part: 0,
                group: 0,
                made_at: now - object,
                requested_at: now,
            };
            (0..PARTS).for_each(|object| memory.record_fill(now, fill(object)));
            let giving = PageServer::new(PAGES, now);
            let (words, pages) = Default::default();
            One { members: None, memory, asking: None, giving, run: 0, words, pages, recalled: None }
        };
        let all = (0..size).map(one).collect();
        let mut world = World { now, rng: Rng::with_seed(seed), all, queue: BinaryHeap::new(), number: 0 };
        (0..size).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let station = format!("s{}", n % STATIONS).into();
        let own = MemberId {
            name: format!("n{n}").into(),
            station,
            address: at(n),
            incarnation: self.now / 10,
            renewals: 0,
        };
        let size = self.all.len();
        let seeds = [0, size / 2, size - 1].map(at).to_vec();
        let settings = Settings {
            seeds,
            expected_members: size as u32,
            probe_interval: Settings::DEFAULT_PROBE_INTERVAL,
            max_datagrams_per_second: Settings::DEFAULT_MAX_DATAGRAMS_PER_SECOND,
        };
        let one = &mut self.all[n];
        one.members = Some(Members::new(own, settings, self.rng.u64(..), self.now));
        one.run += 1;
        self.later(n);
    }

    fn put(&mut self, at: Ticks, n: usize, what: What) {
        self.number += 1;
        self.queue.push(Reverse(Due(at, self.number, n, what)));
    }

    fn later(&mut self, n: usize) {
        if let Some(members) = &self.all[n].members {
            let (at, run) = (members.next_tick_at().max(self.now + 1), self.all[n].run);
            self.put(at, n, What::Tick(run));
        }
    }

    /// 5 to 15 ms, and two in a hundred are lost.
    fn say(&mut self, from: usize, to: usize, said: Said) {
        if to < self.all.len() && self.rng.f64() >= 0.02 {
            let at = self.now + self.rng.u64(50..150);
            self.put(at, to, What::Said(from, said));
        }
    }

    fn perform(&mut self, n: usize) {
        let done = self.all[n].members.as_mut().map(Members::take_effects).unwrap_or_default();
        for done in done {
            if let Effect::Send { to, payload } = done {
                self.all[n].words.one(self.now);
                self.say(n, number(to), Said::Swim(payload));
            }
        }
    }

    fn step(&mut self, n: usize) {
        let one = &mut self.all[n];
        let Some((asking, members)) = one.asking.as_mut().filter(|a| !a.done).zip(one.members.as_ref())
        else {
            return;
        };
        let own = &members.identity().station;
        let givers: Vec<Provider> = members
            .alive()
            .map(|id| Provider { address: id.address, same_station: id.station == *own })
            .collect();
        for asked in asking.poll(self.now, &givers) {
            self.say(n, number(asked.to), Said::Ask(asked.page));
        }
    }

    fn hear(&mut self, from: usize, n: usize, said: Said) {
        let now = self.now;
        let one = &mut self.all[n];
        let Some(members) = &mut one.members else { return };
        match said {
            Said::Swim(said) => {
                members.receive(now, &said);
                return self.perform(n);
            }
            Said::Ask(page) => {
                let asks = one.asking.as_ref().is_some_and(|a| !a.may_serve(false));
                let gave = if asks {
                    PageResponse::Nothing
                } else {
                    one.giving.serve(now, now, at(from), &one.memory, page)
                };
                let answer = match gave {
                    PageResponse::Page { pages, fills, purges } => {
                        one.pages.one(now);
                        Said::Page(page, pages, Arc::new((fills, purges)))
                    }
                    PageResponse::Busy => Said::Busy(page),
                    PageResponse::Nothing => Said::Nothing(page),
                };
                return self.say(n, from, answer);
            }
            Said::Page(page, pages, told) => {
                if one.asking.as_mut().is_some_and(|a| a.on_page(at(from), page, pages)) {
                    one.memory.import(now, Source::Neighbour, &told.0, &told.1);
                    if one.recalled.is_none() && one.memory.count(Source::Neighbour) as u64 >= PARTS * 9 / 10
                    {
                        one.recalled = Some(now);
                    }
                }
            }
            Said::Busy(page) => one.asking.iter_mut().for_each(|a| a.on_busy(now, at(from), page)),
            Said::Nothing(page) => one.asking.iter_mut().for_each(|a| a.on_nothing(now, at(from), page)),
        }
        self.step(n);
    }

    fn pass(&mut self, time: Ticks) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|d| d.0.0 <= end) {
            let Some(Reverse(Due(at, _, n, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                What::Said(from, said) => self.hear(from, n, said),
                What::Tick(run) if run == self.all[n].run => {
                    if let Some(members) = &mut self.all[n].members {
                        members.tick(at);
                        self.perform(n);
                        self.step(n);
                        self.later(n);
                    }
                }
                What::Tick(_) => {}
            }
        }
        self.now = end;
    }

    /// Whether 99 in 100 of all pairs know each other. The last ones meet when one asks the other, as each does all in turn.
    fn agreed(&self) -> bool {
        let size = self.all.len();
        let known: usize = self.all.iter().filter_map(|o| Some(o.members.as_ref()?.alive().count())).sum();
        known as f64 >= 0.99 * (size * (size - 1)) as f64
    }
}

#[derive(Default)]
struct Outcome {
    agreed_s: f64,
    /// Until 95 in 100 of those that came back had nine tenths of what the others remember.
    recalled_s: Option<f64>,
    most_words: f64,
    words: f64,
    most_pages: f64,
}

fn one(seed: u64, size: usize, killed: f64) -> Outcome {
    let mut world = World::new(seed, size);
    let begun = world.now;
    while !world.agreed() && world.now < begun + LONGEST {
        world.pass(S);
    }
    let dead = ((size as f64 * killed).round() as usize).clamp(1, size);
    for n in 0..dead {
        world.all[n].members = None;
        world.all[n].run += 1;
        world.all[n].memory = Memory::new(rules());
    }
    world.pass(S);
    let back = world.now;
    for one in &mut world.all {
        (one.words, one.pages) = Default::default();
    }
    for n in 0..dead {
        world.start(n);
        world.all[n].asking = Some(PageFetcher::new(&format!("n{n}"), back));
        world.all[n].giving = PageServer::new(PAGES, back);
    }
    let mut agreed = None;
    let recalled = |world: &World| {
        let mut times: Vec<Ticks> = world.all[..dead].iter().filter_map(|o| o.recalled).collect();
        times.sort_unstable();
        times.get((dead * 95).div_ceil(100).saturating_sub(1)).copied()
    };
    while world.now < back + LONGEST && (agreed.is_none() || dead < size && recalled(&world).is_none()) {
        world.pass(S / 4);
        if agreed.is_none() && world.agreed() {
            agreed = Some(world.now);
        }
        // Whoever has ended asking will not get more.
        if agreed.is_some() && world.all.iter().all(|o| o.asking.as_ref().is_none_or(|a| a.done)) {
            break;
        }
    }
    let seconds = |at: Ticks| (at - back) as f64 / S as f64;
    let most = |count: fn(&One) -> &Count| world.all.iter().map(|o| count(o).most).max().unwrap_or(0);
    let words: u64 = world.all.iter().map(|o| o.words.all).sum();
    Outcome {
        agreed_s: seconds(agreed.unwrap_or(back + LONGEST)),
        recalled_s: recalled(&world).map(seconds),
        most_words: f64::from(most(|o| &o.words)),
        words: words as f64 / size as f64 / f64::max(seconds(world.now), 1e-9),
        most_pages: f64::from(most(|o| &o.pages)),
    }
}

/// Mean, and half the width of its 95% interval.
fn mean(values: &[f64]) -> (f64, f64) {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let spread = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / f64::max(n - 1.0, 1.0);
    (mean, 1.96 * (spread / n).sqrt())
}

type Line = (f64, Vec<(f64, f64, f64)>);

pub fn run(
    how: &RunArgs,
    sizes: &[usize],
    seeds: Option<u64>,
    plot: Option<&Path>,
) -> Result<Figures, String> {
    let usual: &[usize] = if how.quick { &[30, 100] } else { &[30, 100, 300, 1_000] };
    let sizes = if sizes.is_empty() { usual } else { sizes };
    let shares: &[f64] = if how.quick { &[0.7] } else { &[0.3, 0.7, 1.0] };
    let seeds = seeds.unwrap_or(if how.quick { 6 } else { 30 }).max(1);
    let mut figures = Figures::default();
    figures.put("simulated", true);
    figures.put("seeds", seeds);
    let mut lines: Vec<Line> = Vec::new();
    for &killed in shares {
        let mut line = Vec::new();
        for &size in sizes {
            let seeds: Vec<u64> = (0..seeds).map(|n| how.seed.wrapping_mul(1_000) + n).collect();
            let all: Vec<Outcome> = seeds.par_iter().map(|&seed| one(seed, size, killed)).collect();
            let name = |figure: &str| format!("{figure}_{size}_{}", (100.0 * killed) as u32);
            let mut put = |figure: &str, of: &dyn Fn(&Outcome) -> Option<f64>| {
                let values: Vec<f64> = all.iter().filter_map(of).collect();
                let (is, off) = mean(&values);
                if !values.is_empty() {
                    figures.put_rounded(&name(figure), is);
                    figures.put_rounded(&name(&format!("{figure}_off")), off);
                }
                (is, off)
            };
            let (is, off) = put("agreed_s", &|o| Some(o.agreed_s));
            line.push((size as f64, is, off));
            if killed < 1.0 {
                put("recalled_s", &|o| o.recalled_s);
                let without = all.iter().filter(|o| o.recalled_s.is_none()).count();
                figures.put(&name("runs_not_recalled"), without);
            }
            let mut put = |figure: &str, of: fn(&Outcome) -> f64| {
                figures.put_rounded(&name(figure), mean(&all.iter().map(of).collect::<Vec<_>>()).0);
            };
            put("most_words_s", |o| o.most_words);
            put("words_s", |o| o.words);
            put("most_pages_s", |o| o.most_pages);
        }
        lines.push((killed, line));
    }
    if let Some(path) = plot {
        draw(path, &lines).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(figures)
}

fn draw(path: &Path, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    use plotters::prelude::*;
    let root = SVGBackend::new(path, (760, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let all = || lines.iter().flat_map(|l| &l.1);
    let most = all().map(|p| p.1 + p.2).fold(1.0, f64::max);
    let (from, to) = all().fold((f64::MAX, 1.0), |(a, b): (f64, f64), p| (a.min(p.0), b.max(p.0)));
    let mut chart = ChartBuilder::on(&root)
        .caption("Until 99 in 100 pairs know each other after a mass death (simulated)", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((from * 0.9..to * 1.1).log_scale(), 0.0..1.1 * most)?;
    chart.configure_mesh().x_desc("fronts").y_desc("seconds").draw()?;
    for (n, (killed, line)) in lines.iter().enumerate() {
        let color = [RED, BLUE, BLACK][n % 3];
        let drawn = chart.draw_series(LineSeries::new(line.iter().map(|p| (p.0, p.1)), color))?;
        drawn
            .label(format!("{:.0}% killed", 100.0 * killed))
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
