//! The state of one member's picture of all.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;
use std::net::SocketAddrV4;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use doorgrade::Tenths;
use fastrand::Rng;
use foca::{Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Id;
use crate::doubts::Doubts;
use crate::seek::Seek;
use crate::words::Words;

/// Of a probe's time, how long a direct answer may take; then others are asked to ask. The rest leaves more than as long
/// again for the way round.
const ROUND_TRIP: f64 = 0.4;
/// One that did not answer is doubted for so many probes before it is held for down, more in a large fleet: it, and
/// word of it, must have time to come (SWIM's own reckoning, with the factor 4 that is usual on one site).
const DOUBT: f64 = 4.0;
/// After so many times that, nobody can be about to end a doubt.
const DOUBT_LOST: Tenths = 2;
/// Word of a change is passed on this often.
const GOSSIP: Tenths = 2_500;
/// It is called at the least once in a gossip's pause. Whoever was not called for two and a half probes was stopped: less
/// than the doubt of four, so that no accusation ripens meanwhile. Three quarters of a second at the least, longer than a
/// busy machine's pauses, and no more than what is still a short stop to people.
const STALL: f64 = 2.5;
const STALLS: [Tenths; 2] = [7_500, 25_000];
/// With nobody heard for so many probes, there is nobody: each of its own was unanswered, and nobody probed it.
const UNHEARD: Tenths = 5;
/// More than so many times what operators say of the fleet's size is no fleet: whoever tells of them has a key, and lies or is
/// ill. `about` may be off by a factor of three.
const MOST_TOLD: usize = 8;
const LEAST_TOLD: usize = 512;
/// Down ones are remembered for so long: then their address may serve anybody.
const REMEMBERED: Duration = Duration::from_secs(3_600);
/// What fits in one datagram on any path, less the seal.
const MOST_SAID: usize = 1_400 - crate::seal::LENGTH;

/// What a member is told of the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seeds: Vec<SocketAddrV4>,
    /// About how many there are, for how long one is doubted and how often word is passed on.
    pub about: u32,
    /// How often one other is asked whether it is there. More than twice what the slowest link takes there and back.
    pub probe: Tenths,
    /// Datagrams a second at the most.
    pub words: u32,
}

impl Settings {
    /// A second suits links of some tens of milliseconds.
    pub const PROBE: Tenths = 10_000;
    /// A few times what a calm member says, with all that it answers.
    pub const WORDS: u32 = 40;
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    Send { to: SocketAddrV4, said: Vec<u8> },
    Tell(Event),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Up(Id),
    Down(Id),
    /// One that is there has begun a later life.
    Reborn {
        was: Id,
        is: Id,
    },
    /// This one was not called for so long: it has dropped what it believed.
    Slept(Tenths),
    /// Others took it for dead; it has come back as a later life.
    TakenForDead(Id),
    /// So many are told of that they can't be: nothing of it is believed.
    TooMany(usize),
    /// It is among others, or not any more.
    Among,
    Alone,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Up(id) => write!(f, "{id} is there"),
            Event::Down(id) => write!(f, "{id} is missing"),
            Event::Reborn { was, is } => write!(f, "{was} has begun anew: {is}"),
            Event::Slept(time) => write!(f, "slept for {} ms: nothing believed before holds", time / 10),
            Event::TakenForDead(id) => write!(f, "was taken for dead, and is back as {id}"),
            Event::TooMany(count) => {
                write!(f, "{count} others are told of, which can't be: nothing told before holds")
            }
            Event::Among => f.write_str("among neighbours"),
            Event::Alone => f.write_str("no neighbour answers"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// It did not answer lately.
    Doubted,
    Down,
}

/// One member as it is seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub id: Id,
    pub state: State,
    /// In this state and life.
    pub since: Tenths,
    /// Its last own word to us, not what others say of it.
    pub heard: Option<Tenths>,
}

/// What this member may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has not found anybody yet, or nobody any more.
    Alone,
    /// It has slept and has not been answered since: what it knows of others is from before.
    Doubts,
    /// Others have answered it, in its present life.
    Among,
}

type Swim = Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// A timer of the detection, in the order in which it is due.
struct Later(Tenths, u64, Timer<Id>);

impl PartialEq for Later {
    fn eq(&self, other: &Later) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Later {}

impl PartialOrd for Later {
    fn partial_cmp(&self, other: &Later) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Later {
    fn cmp(&self, other: &Later) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All of the state but the detection itself, which calls back into it.
struct Rest {
    now: Tenths,
    timers: BinaryHeap<Reverse<Later>>,
    number: u64,
    words: Words,
    out: Vec<Do>,
    /// All that were ever heard of, as they were last.
    known: BTreeMap<SocketAddrV4, Seen>,
    /// From whom the datagram in hand is, once it was found to be for this one in its present life.
    spoke: Option<SocketAddrV4>,
    /// When anybody was heard last.
    heard: Tenths,
    here: BTreeSet<SocketAddrV4>,
    standing: Standing,
    seek: Seek,
}

pub struct Members {
    swim: Swim,
    rest: Rest,
    rng: Rng,
    settings: Settings,
    called: Tenths,
    doubts: Doubts,
    /// Datagrams heard, in a circle.
    heard: u32,
    /// Datagrams that could not be used.
    pub refused: u64,
}

/// How long one that did not answer is doubted before it is held for down.
fn doubt_time(settings: &Settings) -> Tenths {
    let size = f64::from(settings.about.max(2));
    (DOUBT * size.log10().max(1.0) * settings.probe.max(1_000) as f64) as Tenths
}

fn config(settings: &Settings) -> Config {
    let tenths = |t: Tenths| Duration::from_micros(t * 100);
    let size = f64::from(settings.about.max(2));
    let probe = settings.probe.max(1_000);
    // Four times the decimal logarithm, as is usual: word then reaches all but one in some thousand.
    let passed_on = (4.0 * (size + 1.0).log10()).ceil().clamp(1.0, 100.0) as u8;
    Config {
        probe_period: tenths(probe),
        probe_rtt: tenths((ROUND_TRIP * probe as f64) as Tenths),
        suspect_to_down_after: tenths(doubt_time(settings)),
        max_transmissions: NonZeroU8::new(passed_on).unwrap_or(NonZeroU8::MIN),
        max_packet_size: NonZeroUsize::new(MOST_SAID).unwrap_or(NonZeroUsize::MIN),
        remove_down_after: Some(REMEMBERED),
        notify_down_members: true,
        // Who is missing is asked by `Seek`, whether or not anybody is here.
        periodic_announce_to_down_members: None,
        periodic_announce: Some(PeriodicParams {
            frequency: Duration::from_secs(20),
            num_members: NonZeroUsize::MIN,
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: tenths(GOSSIP),
            num_members: NonZeroUsize::new(2).unwrap_or(NonZeroUsize::MIN),
        }),
        ..Config::simple()
    }
}

impl foca::Runtime<Id> for &mut Rest {
    fn notify(&mut self, told: Notification<'_, Id>) {
        let event = match told {
            Notification::MemberUp(id) => {
                self.here.insert(id.at);
                self.seek.met(self.now, id.at);
                self.know(id, State::Up);
                Event::Up(id.clone())
            }
            Notification::MemberDown(id) => {
                self.here.remove(&id.at);
                self.know(id, State::Down);
                // It may have begun anew where nobody here hears it.
                self.seek.hurry(self.now);
                Event::Down(id.clone())
            }
            Notification::Rename(was, is) => {
                self.know(is, State::Up);
                Event::Reborn { was: was.clone(), is: is.clone() }
            }
            Notification::Rejoin(id) => Event::TakenForDead(id.clone()),
            Notification::DataReceived(header) => {
                self.spoke = Some(header.src.at);
                return;
            }
            // Whether it is among others is judged by whoever speaks to it, below.
            _ => return,
        };
        self.out.push(Do::Tell(event));
    }

    fn send_to(&mut self, to: Id, said: &[u8]) {
        if self.words.may(self.now) {
            self.out.push(Do::Send { to: to.at, said: said.to_vec() });
        }
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        self.number += 1;
        let due = self.now + (after.as_micros() / 100) as Tenths;
        self.timers.push(Reverse(Later(due, self.number, timer)));
    }
}

impl Rest {
    fn know(&mut self, id: &Id, state: State) {
        let heard = self.known.get(&id.at).filter(|k| k.id == *id).and_then(|k| k.heard);
        self.known.insert(id.at, Seen { id: id.clone(), state, since: self.now, heard });
    }
}

impl Members {
    pub fn new(own: Id, settings: Settings, seed: u64, now: Tenths) -> Members {
        let mut rng = Rng::with_seed(seed);
        let seek = Seek::new(own.at, &settings.seeds, now, &mut rng);
        let rest = Rest {
            now,
            timers: BinaryHeap::new(),
            number: 0,
            words: Words::new(settings.words, now),
            out: Vec::new(),
            known: BTreeMap::new(),
            spoke: None,
            heard: now,
            here: BTreeSet::new(),
            standing: Standing::Alone,
            seek,
        };
        let swim = Members::swim(own, &settings, &mut rng);
        let doubts = Doubts::default();
        Members { swim, rest, rng, settings, called: now, doubts, heard: 0, refused: 0 }
    }

    fn swim(own: Id, settings: &Settings, rng: &mut Rng) -> Swim {
        Foca::new(own, config(settings), SmallRng::seed_from_u64(rng.u64(..)), PostcardCodec)
    }

    pub fn own(&self) -> &Id {
        self.swim.identity()
    }

    pub fn standing(&self) -> Standing {
        self.rest.standing
    }

    /// Datagrams said in all, and those not said since there were too many.
    pub fn words(&self) -> (u64, u64) {
        (self.rest.words.said, self.rest.words.kept)
    }

    /// What is to be done, in order.
    pub fn take(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.rest.out)
    }

    /// When `tick` is due. Two and a half probes without any call, and it counts as having slept.
    pub fn next(&self) -> Tenths {
        let timer = self.rest.timers.peek().map_or(Tenths::MAX, |t| t.0.0);
        // Often enough that a stall is told from a long pause of its own.
        timer.min(self.rest.seek.due).min(self.called + GOSSIP)
    }

    /// Those heard of, this one not among them. After a stall, or when nobody answers, they are all doubted until they
    /// are heard of again.
    pub fn seen(&self) -> Vec<Seen> {
        let mut known = self.rest.known.clone();
        for m in self.swim.iter_membership_state() {
            let state = match m.state() {
                foca::State::Alive => State::Up,
                foca::State::Suspect => State::Doubted,
                foca::State::Down => State::Down,
            };
            if let Some(seen) = known.get_mut(&m.id().at).filter(|k| k.id == *m.id()) {
                seen.state = state;
            }
        }
        known.into_values().collect()
    }

    /// Those that are there, as far as it is known; one that is doubted is not counted on.
    pub fn up(&self) -> impl Iterator<Item = &Id> {
        self.swim.iter_members().filter(|m| m.state() == foca::State::Alive).map(foca::Member::id)
    }

    /// Of a name, the latest life that was heard of, wherever it was.
    pub fn named(&self, name: &str) -> Option<Seen> {
        let all = self.seen().into_iter().filter(|s| &*s.id.name == name);
        all.max_by_key(|s| (s.id.incarnation(), s.state != State::Down))
    }

    /// A datagram has come, its seal found good.
    pub fn hear(&mut self, now: Tenths, said: &[u8]) {
        self.wake(now);
        self.rest.spoke = None;
        let heard = self.swim.handle_data(said, &mut self.rest);
        self.refused += u64::from(heard.is_err());
        let spoke = self.rest.spoke.take().filter(|at| self.rest.here.contains(at));
        if let Some(seen) = spoke.and_then(|at| self.rest.known.get_mut(&at)) {
            (seen.heard, self.rest.heard) = (Some(self.rest.now), self.rest.now);
            // Somebody that is there has spoken to it in its present life.
            if std::mem::replace(&mut self.rest.standing, Standing::Among) != Standing::Among {
                self.rest.out.push(Do::Tell(Event::Among));
            }
        }
        self.bound();
        self.settle();
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Tenths) {
        self.wake(now);
        while self.rest.timers.peek().is_some_and(|t| t.0.0 <= self.rest.now) {
            let Some(Reverse(Later(_, _, timer))) = self.rest.timers.pop() else { break };
            // An error is a probe whose timers came out of order: it is begun anew by itself.
            let _ = self.swim.handle_timer(timer, &mut self.rest);
        }
        self.end_doubts();
        if let Some(at) = self.rest.seek.whom(self.rest.now, &self.rest.here, &mut self.rng) {
            let _ = self.swim.announce(Id::unknown(at), &mut self.rest);
        }
        self.settle();
    }

    /// The detection ends a doubt by a timer of whoever doubted first, and loses it when that one begins a later life. A
    /// doubt that has lasted for twice that time is nobody's: the doubted one is held for down, hears of it, and comes
    /// back if it lives.
    fn end_doubts(&mut self) {
        let most = DOUBT_LOST * doubt_time(&self.settings);
        let overdue = self.doubts.overdue(self.rest.now, most, self.swim.iter_membership_state());
        if !overdue.is_empty() {
            let _ = self.swim.apply_many(overdue.into_iter(), true, &mut self.rest);
        }
    }

    /// Before anything else is done at a call: has it slept?
    fn wake(&mut self, now: Tenths) {
        let now = now.max(self.rest.now);
        let slept = now - self.called;
        (self.rest.now, self.called) = (now, now);
        let stall = (STALL * self.settings.probe as f64) as Tenths;
        if slept <= stall.clamp(STALLS[0], STALLS[1]) {
            return;
        }
        self.rest.out.push(Do::Tell(Event::Slept(slept)));
        if self.rest.standing != Standing::Alone {
            self.rest.standing = Standing::Doubts;
        }
        self.rest.heard = now;
        self.begin_anew();
    }

    /// Nothing of what it believes is acted upon any more: a later life, and those it knew are asked anew.
    fn begin_anew(&mut self) {
        let own = self.swim.identity().next();
        self.swim = Members::swim(own, &self.settings, &mut self.rng);
        let rest = &mut self.rest;
        rest.timers.clear();
        rest.here.clear();
        rest.known.values_mut().filter(|k| k.state == State::Up).for_each(|k| k.state = State::Doubted);
        rest.seek.anew(rest.now, &mut self.rng);
    }

    /// What is known of others is bounded, whatever holders of keys tell.
    fn bound(&mut self) {
        let most = (MOST_TOLD * self.settings.about as usize).max(LEAST_TOLD);
        if self.rest.known.len() > most {
            // Those that are down are the first to go; they are not asked any more either.
            self.rest.known.retain(|_, k| k.state != State::Down);
        }
        // Ones that were told of as down without ever having been up stand in the detection alone: one datagram names some
        // thirty, so they are counted now and then.
        self.heard = self.heard.wrapping_add(1);
        let told = match self.heard % 16 {
            0 => self.swim.iter_membership_state().count(),
            _ => 0,
        };
        if told > 2 * most || self.rest.known.len() > most {
            let told = told.max(self.rest.known.len());
            self.rest.out.push(Do::Tell(Event::TooMany(told)));
            self.rest.known.clear();
            if self.rest.standing != Standing::Alone {
                self.rest.standing = Standing::Doubts;
            }
            self.begin_anew();
        }
    }

    /// Who hears nobody has nobody: others may all have begun anew, and know nothing of it; or it is cut off.
    fn settle(&mut self) {
        let unheard = self.rest.heard + UNHEARD * self.settings.probe <= self.rest.now;
        if unheard && self.rest.standing != Standing::Alone {
            self.rest.standing = Standing::Alone;
            self.rest.out.push(Do::Tell(Event::Alone));
            self.begin_anew();
        }
    }
}
