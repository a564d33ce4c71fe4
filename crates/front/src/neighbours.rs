//! The thread that speaks with other fronts, and the words that pass. Off unless the operators' settings have it on;
//! nothing of this is started then.
//!
//! It carries datagrams and the time to [`Members`], and what is remembered between the front, its store and its
//! neighbours ([`Remember`]); it decides nothing. Whoever holds the operators' keys may ask how
//! it stands, which is what `doorgrade neighbours` does.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::time::Duration;

use doorgrade::Tenths;
use doorgrade_hierarchy::homes::Kept;
use doorgrade_members::seal::Keys;
use doorgrade_members::{Do, Id, Members, Seen, Settings, Standing, State, Words};
use doorgrade_operator::files;
use doorgrade_operator::neighbours::Neighbours;
use doorgrade_recall::{Fill, Gave, Giver, Purge};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc as queue, oneshot};
use tokio::time::{sleep, timeout};

use crate::clock::{self, Clock};
use crate::config::Config;
use crate::conn::Event;
use crate::memory::{self, Remember, Remembers};
use crate::reducer::Learned;
use crate::side::Side;
use crate::versions::{LOOK_EACH, read_keys};

/// The first byte of what is said under a seal.
const OF_MEMBERS: u8 = 0;
const OF_FRONTS: u8 = 1;
/// Rows of a status in one datagram: with the longest names they fill it.
const ROWS: usize = 7;
/// Pages of status in a second at the most: people and their scripts.
const MOST_PAGES: u32 = 100;

/// What fronts and commands say to a front, page by page. Later words are put at the end.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Word {
    /// How does it stand?
    Ask {
        number: u32,
        page: u16,
    },
    Answer {
        number: u32,
        page: u16,
        pages: u16,
        status: Status,
    },
    /// What does it remember?
    Recall {
        page: u16,
    },
    Page {
        page: u16,
        pages: u16,
        fills: Vec<Fill>,
        purges: Vec<Purge>,
    },
    Busy {
        page: u16,
    },
    Nothing {
        page: u16,
    },
}

/// How a front stands among others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub own: Id,
    pub standing: Place,
    /// Datagrams said, not said since there were too many, and refused.
    pub said: u64,
    pub kept: u64,
    pub refused: u64,
    /// None where nothing is remembered.
    pub memory: Option<Remembers>,
    pub rows: Vec<Row>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Place {
    Alone,
    Doubts,
    Among,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub id: Id,
    pub state: Seems,
    /// How long it has been so, and since it was heard itself.
    pub since_ms: u64,
    pub heard_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seems {
    Up,
    Doubted,
    Down,
}

impl Row {
    fn of(seen: Seen, now: Tenths) -> Row {
        let ago = |at: Tenths| now.saturating_sub(at) / 10;
        let state = match seen.state {
            State::Up => Seems::Up,
            State::Doubted => Seems::Doubted,
            State::Down => Seems::Down,
        };
        Row { id: seen.id, state, since_ms: ago(seen.since), heard_ms: seen.heard.map(ago) }
    }
}

/// What a front is told at its start of all that this thread does, checked and opened.
pub struct Beside {
    told: Option<Told>,
    remember: Option<Remember>,
}

struct Told {
    own: Neighbours,
    name: String,
    seed: u64,
    seal_keys: PathBuf,
    secrets: Vec<(u32, Vec<u8>)>,
}

fn fault(what: impl std::fmt::Display) -> String {
    format!("settings: block 'neighbours': {what}")
}

impl Told {
    /// Reads the keys; a front that could not speak to its neighbours does not start as if it had none.
    fn read(own: Neighbours, settings: &Path, name: &str, seed: u64) -> Result<Told, String> {
        let seal_keys = files::beside(settings, &own.seal_keys);
        let secrets = read_keys(&seal_keys).map_err(fault)?;
        if name.len() > doorgrade_members::MOST_NAME {
            let most = doorgrade_members::MOST_NAME;
            return Err(fault(format_args!(
                "the front's name has {} bytes: expected {most} at most",
                name.len()
            )));
        }
        Ok(Told { own, name: name.into(), seed, seal_keys, secrets })
    }
}

/// Batches of what was seen that may wait to be remembered: some tenths of a second at a busy front.
const MOST_BATCHES: usize = 1_024;

impl Beside {
    /// None where all of it is off.
    pub fn read(config: &Config, settings: &Path) -> Result<Option<Beside>, String> {
        let own = &config.files.settings;
        let told =
            own.neighbours.clone().map(|n| Told::read(n, settings, &config.name, config.seed)).transpose()?;
        let remember = own.recall.clone().map(|recall| {
            let told = &config.told.settings;
            let rules = memory::rules(&told.offerings, told.purge_done, recall.most);
            Remember::open(recall, settings, &config.name, rules)
        });
        Ok((told.is_some() || remember.is_some()).then_some(Beside { told, remember }))
    }

    /// What it remembers from before, for the front to hear before it serves.
    pub fn known(&self) -> (Vec<Fill>, Vec<Purge>) {
        self.remember.as_ref().map(Remember::found).unwrap_or_default()
    }

    /// Homes of objects as they were before, and when that was written.
    pub fn homes(&self) -> Option<(Tenths, Vec<Kept>)> {
        self.remember.as_ref().and_then(Remember::homes)
    }

    /// Binds the socket and starts the thread. What the front sees from now on goes to `learned`.
    pub fn start(
        mut self,
        events: Sender<Event>,
        learned: &mut Option<queue::Sender<Vec<Learned>>>,
    ) -> Result<Side, String> {
        let mut clock = Clock::default();
        let now = clock.now();
        let life = (now / 10).max(self.remember.as_ref().map_or(0, |r| r.last_life.saturating_add(1)));
        let bind = |told: Told| {
            let socket = std::net::UdpSocket::bind(told.own.listen)
                .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
                .map_err(|e| fault(format_args!("key 'listen': {}: {e}", told.own.listen)))?;
            tracing::info!("neighbours: reached at {}", told.own.address);
            Ok::<_, String>((told, socket))
        };
        let wire = self.told.map(bind).transpose()?;
        let (to, came) = queue::channel(MOST_BATCHES);
        *learned = self.remember.is_some().then_some(to);
        if wire.is_some() {
            self.remember.iter_mut().for_each(|r| r.ask(now));
        }
        Side::start("neighbours", move |stopped| async move {
            let wire = match wire.map(|(told, socket)| Wire::new(told, socket, life, now)).transpose() {
                Ok(wire) => wire,
                Err(e) => return tracing::error!("neighbours: {e}"),
            };
            let pages = Words::new(MOST_PAGES, now);
            let mut speaks = Speaks { wire, remember: self.remember, events, life, pages, clock };
            speaks.run(came, stopped).await;
        })
    }
}

/// The socket, and who is at the other end.
struct Wire {
    told: Told,
    keys: Keys,
    socket: UdpSocket,
    members: Members,
}

impl Wire {
    fn new(told: Told, socket: std::net::UdpSocket, life: u64, now: Tenths) -> std::io::Result<Wire> {
        let socket = UdpSocket::from_std(socket)?;
        let own = &told.own;
        let (name, station) = (told.name.as_str().into(), own.station.clone());
        let id = Id { name, station, at: own.address, life, again: 0 };
        let settings = Settings {
            seeds: own.seeds.clone(),
            about: own.about,
            probe: own.probe_ms * 10,
            words: own.words,
        };
        // Fronts of one seed, as a configuration may give them, are not to do all in step.
        let seed = told.seed ^ doorgrade::hash::text(&format!("{} {}", told.name, id.life));
        let keys = Keys::new(&told.secrets);
        Ok(Wire { members: Members::new(id, settings, seed, now), keys, socket, told })
    }

    /// Lost, or the buffer full: as any datagram may be.
    async fn say(&self, to: SocketAddrV4, kind: u8, said: &[u8]) {
        if let Some(bytes) = self.keys.seal(to, &[&[kind], said].concat()) {
            let _ = self.socket.send_to(&bytes, SocketAddr::V4(to)).await;
        }
    }

    async fn word(&self, to: SocketAddrV4, word: &Word) {
        if let Ok(said) = postcard::to_stdvec(word) {
            self.say(to, OF_FRONTS, &said).await;
        }
    }

    /// Who may have memory: those that are there.
    fn givers(&self) -> Vec<Giver> {
        let near = |id: &Id| id.station == self.told.own.station;
        self.members.up().map(|id| Giver { at: id.at, near: near(id) }).collect()
    }

    /// Keys that have changed hands meanwhile.
    fn look(&mut self) {
        match read_keys(&self.told.seal_keys) {
            Ok(new) if new != self.told.secrets => {
                tracing::info!("neighbours: the seal keys were read anew");
                self.keys = Keys::new(&new);
                self.told.secrets = new;
            }
            // One that is being written is looked at again.
            Ok(_) | Err(_) => {}
        }
    }
}

struct Speaks {
    wire: Option<Wire>,
    remember: Option<Remember>,
    events: Sender<Event>,
    life: u64,
    /// Pages of status.
    pages: Words,
    /// Of all but what is remembered: set back, the system's clock would stop every wait and probe.
    clock: Clock,
}

/// A datagram; never where there is no socket.
async fn come(wire: Option<&Wire>, bytes: &mut [u8]) -> std::io::Result<(usize, SocketAddr)> {
    match wire {
        Some(wire) => wire.socket.recv_from(bytes).await,
        None => std::future::pending().await,
    }
}

impl Speaks {
    async fn run(&mut self, mut learned: queue::Receiver<Vec<Learned>>, mut stopped: oneshot::Receiver<()>) {
        // One byte more than may come: what is longer is no word of ours.
        let mut bytes = [0; 1_501];
        let mut look = tokio::time::interval(LOOK_EACH);
        loop {
            let now = self.clock.now();
            let dues = [
                self.wire.as_ref().map(|w| w.members.next()),
                self.remember.as_ref().map(Remember::due),
                self.remember.as_ref().and_then(Remember::late),
            ];
            let due = dues.into_iter().flatten().min().unwrap_or(now + 10_000);
            let wait = Duration::from_micros(due.saturating_sub(now) * 100);
            tokio::select! {
                came = come(self.wire.as_ref(), &mut bytes) => match came {
                    Ok((count, SocketAddr::V4(from))) => self.hear(from, &bytes[..count]).await,
                    Ok(_) => {}
                    // Word that a datagram of ours found nobody; detection sees that by itself.
                    Err(e) => tracing::debug!("neighbours: {e}"),
                },
                Some(seen) = learned.recv() => self.remember.iter_mut().for_each(|r| r.saw(&seen)),
                () = sleep(wait) => {}
                _ = look.tick() => self.wire.iter_mut().for_each(Wire::look),
                _ = &mut stopped => {
                    // What it knows now is worth most to the start that follows.
                    return self.remember.iter_mut().for_each(|r| r.write(self.clock.now(), self.life));
                }
            }
            self.tick().await;
        }
    }

    /// Whatever is due.
    async fn tick(&mut self) {
        let now = self.clock.now();
        if let Some(wire) = self.wire.as_mut().filter(|w| w.members.next() <= now) {
            wire.members.tick(now);
        }
        self.perform().await;
        if let Some(remember) = &mut self.remember {
            if remember.due() <= now {
                remember.write(now, self.life);
            }
            if let Some(wire) = self.wire.as_ref().filter(|_| remember.asks()) {
                for asked in remember.step(now, &wire.givers()) {
                    wire.word(asked.to, &Word::Recall { page: asked.page }).await;
                }
            }
        }
    }

    async fn hear(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(wire) = &mut self.wire else { return };
        match wire.keys.open(wire.told.own.address, bytes) {
            Ok([OF_MEMBERS, said @ ..]) => wire.members.hear(now, said),
            Ok([OF_FRONTS, said @ ..]) => match postcard::from_bytes(said) {
                Ok(word) => self.word(from, word).await,
                Err(_) => wire.members.refused += 1,
            },
            Ok(_) => wire.members.refused += 1,
            Err(why) => {
                wire.members.refused += 1;
                tracing::debug!("neighbours: a datagram from {from} is refused: {why:?}");
            }
        }
    }

    async fn word(&mut self, from: SocketAddrV4, word: Word) {
        let now = self.clock.now();
        match word {
            Word::Ask { number, page } => self.answer(from, number, page).await,
            // Whoever asked is a command, and no front.
            Word::Answer { .. } => {}
            Word::Recall { page } => {
                let Some((wire, remember)) = self.wire.as_ref().zip(self.remember.as_mut()) else { return };
                let word = match remember.page(now, from, page) {
                    Gave::Page { pages, fills, purges } => Word::Page { page, pages, fills, purges },
                    Gave::Busy => Word::Busy { page },
                    Gave::Nothing => Word::Nothing { page },
                };
                wire.word(from, &word).await;
            }
            Word::Page { page, pages, fills, purges } => {
                let Some(remember) = &mut self.remember else { return };
                if let Some((fills, purges)) = remember.given(from, (page, pages), &fills, &purges) {
                    let _ = self.events.send(Event::Recall(fills, purges));
                }
            }
            Word::Nothing { page } => {
                self.remember.iter_mut().for_each(|r| r.nothing(now, from, page));
            }
            Word::Busy { page } => self.remember.iter_mut().for_each(|r| r.busy(now, from, page)),
        }
    }

    async fn answer(&mut self, to: SocketAddrV4, number: u32, page: u16) {
        let now = self.clock.now();
        let Some(wire) = self.wire.as_ref().filter(|_| self.pages.may(now)) else { return };
        let members = &wire.members;
        let seen = members.seen();
        let pages = seen.len().div_ceil(ROWS).max(1) as u16;
        let rows =
            seen.into_iter().skip(usize::from(page) * ROWS).take(ROWS).map(|s| Row::of(s, now)).collect();
        let (said, kept) = members.words();
        let standing = match members.standing() {
            Standing::Alone => Place::Alone,
            Standing::Doubts => Place::Doubts,
            Standing::Among => Place::Among,
        };
        let (own, refused) = (members.own().clone(), members.refused);
        let memory = self.remember.as_ref().map(Remember::tells);
        let status = Status { own, standing, said, kept, refused, memory, rows };
        wire.word(to, &Word::Answer { number, page, pages, status }).await;
    }

    async fn perform(&mut self) {
        let now = self.clock.now();
        let Some(wire) = &mut self.wire else { return };
        for done in wire.members.take() {
            match done {
                Do::Send { to, said } => wire.say(to, OF_MEMBERS, &said).await,
                Do::Tell(event) => {
                    tracing::info!("neighbours: {event}");
                    let remember = self.remember.iter_mut();
                    match event {
                        doorgrade_members::Event::Slept(_) => remember.for_each(|r| r.slept(now)),
                        doorgrade_members::Event::Up(_) => remember.for_each(|r| r.met(now)),
                        _ => {}
                    }
                }
            }
        }
    }
}

fn sealed(keys: &Keys, to: SocketAddrV4, word: &Word) -> Option<Vec<u8>> {
    let said = postcard::to_extend(word, vec![OF_FRONTS]).ok()?;
    keys.seal(to, &said)
}

/// How often one page is asked for before it is given up.
const TRIES: usize = 5;
const ANSWER_WITHIN: Duration = Duration::from_millis(400);

/// Asks a front how it stands, with the operators' keys: one that others reach at `at`, and this machine at `through`.
pub async fn status(keys: &Keys, at: SocketAddrV4, through: SocketAddrV4) -> Result<Status, String> {
    let fault = |e: std::io::Error| format!("{at}: {e}");
    let socket = UdpSocket::bind("0.0.0.0:0").await.map_err(fault)?;
    // Answers come from there alone, and are sealed for the address that is seen from there.
    socket.connect(SocketAddr::V4(through)).await.map_err(fault)?;
    let SocketAddr::V4(own) = socket.local_addr().map_err(fault)? else {
        return Err(format!("{at}: expected an IPv4 address"));
    };
    let mut whole: Option<Status> = None;
    let (mut page, mut pages) = (0, 1);
    let mut bytes = [0; 1_501];
    while page < pages {
        let mut answer = None;
        for _ in 0..TRIES {
            let number = (clock::unix() as u32).wrapping_add(u32::from(page));
            let ask = sealed(keys, at, &Word::Ask { number, page }).ok_or("no key seals")?;
            // Nobody there shows at the next call; a front that is just starting is asked again.
            let _ = socket.send(&ask).await;
            let came = timeout(ANSWER_WITHIN, socket.recv(&mut bytes)).await;
            let Ok(Ok(count)) = came else {
                if came.is_ok() {
                    sleep(ANSWER_WITHIN / 4).await;
                }
                continue;
            };
            let word = keys.open(own, &bytes[..count]).ok().and_then(|said| match said {
                [OF_FRONTS, said @ ..] => postcard::from_bytes(said).ok(),
                _ => None,
            });
            if let Some(Word::Answer { number: n, page: p, pages, status }) = word
                && (n, p) == (number, page)
            {
                answer = Some((pages, status));
                break;
            }
        }
        let (of, status) = answer.ok_or_else(|| {
            format!("{at}: no answer: is a front with neighbours there, and are these its keys?")
        })?;
        pages = of;
        match &mut whole {
            None => whole = Some(status),
            Some(whole) => whole.rows.extend(status.rows),
        }
        page += 1;
    }
    whole.ok_or_else(|| format!("{at}: no answer"))
}
