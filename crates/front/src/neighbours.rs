//! The thread that speaks with other fronts, and the words that pass. Off unless the operators' settings have it on;
//! nothing of this is started then.
//!
//! It carries datagrams and the time to [`Members`], and decides nothing. Whoever holds the operators' keys may ask how
//! it stands, which is what `doorgrade neighbours` does.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use doorgrade::Tenths;
use doorgrade_members::seal::Keys;
use doorgrade_members::{Do, Id, Members, Seen, Settings, Standing, State};
use doorgrade_operator::files;
use doorgrade_operator::neighbours::Neighbours;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::side::Side;
use crate::versions::{LOOK_EACH, read_keys};

/// The first byte of what is said under a seal.
const OF_MEMBERS: u8 = 0;
const OF_STATUS: u8 = 1;
/// Rows of a status in one datagram: with the longest names they fill it.
const ROWS: usize = 7;
/// Pages of status in a second at the most: people and their scripts.
const MOST_PAGES: u32 = 100;

/// What a status is asked, and answered, page by page.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Word {
    Ask { number: u32, page: u16 },
    Answer { number: u32, page: u16, pages: u16, status: Status },
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

/// What a front is told at its start, checked.
pub struct Told {
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
    pub fn read(own: Neighbours, settings: &Path, name: &str, seed: u64) -> Result<Told, String> {
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

    /// Binds the socket and starts the thread.
    pub fn start(self) -> Result<Side, String> {
        let socket = std::net::UdpSocket::bind(self.own.listen)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .map_err(|e| fault(format_args!("key 'listen': {}: {e}", self.own.listen)))?;
        tracing::info!("neighbours: reached at {}", self.own.address);
        Side::start("neighbours", move |stopped| async move {
            let socket = match UdpSocket::from_std(socket) {
                Ok(socket) => socket,
                Err(e) => return tracing::error!("neighbours: {e}"),
            };
            let mut speaks = Speaks::new(self, socket);
            tokio::select! {
                () = speaks.run() => {}
                _ = stopped => {}
            }
        })
    }
}

struct Speaks {
    told: Told,
    keys: Keys,
    socket: UdpSocket,
    members: Members,
    /// Pages of status that may still be said, and when that was reckoned.
    pages: (f64, Tenths),
}

impl Speaks {
    fn new(told: Told, socket: UdpSocket) -> Speaks {
        let now = clock::unix();
        let own = &told.own;
        let id = Id {
            name: told.name.as_str().into(),
            station: own.station.clone(),
            at: own.address,
            life: now / 10,
            again: 0,
        };
        let settings = Settings {
            seeds: own.seeds.clone(),
            about: own.about,
            probe: own.probe_ms * 10,
            words: own.words,
        };
        // Fronts of one seed, as a configuration may give them, are not to do all in step.
        let seed = told.seed ^ doorgrade::hash::text(&format!("{} {}", told.name, id.life));
        let keys = Keys::new(&told.secrets);
        Speaks { members: Members::new(id, settings, seed, now), keys, socket, told, pages: (0.0, now) }
    }

    async fn run(&mut self) {
        // One byte more than may come: what is longer is no word of ours.
        let mut bytes = [0; 1_501];
        let mut look = tokio::time::interval(LOOK_EACH);
        loop {
            let wait = Duration::from_micros(self.members.next().saturating_sub(clock::unix()) * 100);
            tokio::select! {
                came = self.socket.recv_from(&mut bytes) => match came {
                    Ok((count, SocketAddr::V4(from))) => self.hear(from, &bytes[..count]).await,
                    Ok(_) => {}
                    // Word that a datagram of ours found nobody; detection sees that by itself.
                    Err(e) => tracing::debug!("neighbours: {e}"),
                },
                () = sleep(wait) => self.members.tick(clock::unix()),
                _ = look.tick() => self.look(),
            }
            self.perform().await;
        }
    }

    async fn hear(&mut self, from: SocketAddrV4, bytes: &[u8]) {
        match self.keys.open(self.told.own.address, bytes) {
            Ok([OF_MEMBERS, said @ ..]) => self.members.hear(clock::unix(), said),
            Ok([OF_STATUS, said @ ..]) => {
                if let Ok(Word::Ask { number, page }) = postcard::from_bytes(said) {
                    self.answer(from, number, page).await;
                }
            }
            Ok(_) => self.members.refused += 1,
            Err(why) => {
                self.members.refused += 1;
                tracing::debug!("neighbours: a datagram from {from} is refused: {why:?}");
            }
        }
    }

    async fn answer(&mut self, to: SocketAddrV4, number: u32, page: u16) {
        let now = clock::unix();
        let most = f64::from(MOST_PAGES);
        let come = now.saturating_sub(self.pages.1) as f64 / 10_000.0 * most;
        self.pages = ((self.pages.0 + come).min(most) - 1.0, now);
        if self.pages.0 < 0.0 {
            return;
        }
        let seen = self.members.seen();
        let pages = seen.len().div_ceil(ROWS).max(1) as u16;
        let rows =
            seen.into_iter().skip(usize::from(page) * ROWS).take(ROWS).map(|s| Row::of(s, now)).collect();
        let (said, kept) = self.members.words();
        let standing = match self.members.standing() {
            Standing::Alone => Place::Alone,
            Standing::Doubts => Place::Doubts,
            Standing::Among => Place::Among,
        };
        let own = self.members.own().clone();
        let status = Status { own, standing, said, kept, refused: self.members.refused, rows };
        let word = Word::Answer { number, page, pages, status };
        if let Some(bytes) = sealed(&self.keys, to, &word) {
            let _ = self.socket.send_to(&bytes, SocketAddr::V4(to)).await;
        }
    }

    async fn perform(&mut self) {
        for done in self.members.take() {
            match done {
                Do::Send { to, said } => {
                    if let Some(bytes) = self.keys.seal(to, &[&[OF_MEMBERS], &*said].concat()) {
                        // Lost, or the buffer full: as any datagram may be.
                        let _ = self.socket.send_to(&bytes, SocketAddr::V4(to)).await;
                    }
                }
                Do::Tell(event) => tracing::info!("neighbours: {event}"),
            }
        }
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

fn sealed(keys: &Keys, to: SocketAddrV4, word: &Word) -> Option<Vec<u8>> {
    let said = postcard::to_extend(word, vec![OF_STATUS]).ok()?;
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
                [OF_STATUS, said @ ..] => postcard::from_bytes(said).ok(),
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
