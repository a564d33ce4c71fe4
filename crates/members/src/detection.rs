//! What stands around the failure detection (the crate `foca`) and is called back by it: timers, datagrams, and what is
//! known of others.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddrV4;
use std::time::Duration;

use doorgrade::Ticks;
use fastrand::Rng;
use foca::{Foca, NoCustomBroadcast, Notification, PostcardCodec, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Id;
use crate::seek::Seek;
use crate::settings::{Settings, config};
use crate::types::{Effect, Event, Seen, Standing, State};
use crate::words::Words;

/// SWIM's failure detection.
pub(crate) type Swim = Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>;

/// A timer of the detection, in the order in which it is due.
pub(crate) struct Later(pub Ticks, u64, pub Timer<Id>);

impl PartialEq for Later {
    fn eq(&self, other: &Later) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Later {}

impl PartialOrd for Later {
    fn partial_cmp(&self, other: &Later) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Later {
    fn cmp(&self, other: &Later) -> Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// All of the state but the detection itself, which calls back into it.
pub(crate) struct Runtime {
    pub now: Ticks,
    pub timers: BinaryHeap<Reverse<Later>>,
    pub number: u64,
    pub words: Words,
    pub out: Vec<Effect>,
    /// All that were ever heard of, as they were last.
    pub known: BTreeMap<SocketAddrV4, Seen>,
    /// From whom the datagram in hand is, once it was found to be for this one in its present life.
    pub spoke: Option<SocketAddrV4>,
    /// When anybody was heard last.
    pub heard: Ticks,
    pub here: BTreeSet<SocketAddrV4>,
    pub standing: Standing,
    pub seek: Seek,
}

impl foca::Runtime<Id> for &mut Runtime {
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
        self.out.push(Effect::Tell(event));
    }

    fn send_to(&mut self, to: Id, said: &[u8]) {
        if self.words.may(self.now) {
            self.out.push(Effect::Send { to: to.at, said: said.to_vec() });
        }
    }

    fn submit_after(&mut self, timer: Timer<Id>, after: Duration) {
        self.number += 1;
        let due = self.now + (after.as_micros() / 100) as Ticks;
        self.timers.push(Reverse(Later(due, self.number, timer)));
    }
}

impl Runtime {
    pub fn new(settings: &Settings, now: Ticks, seek: Seek) -> Runtime {
        Runtime {
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
        }
    }

    /// The next timer that is due, taken off.
    pub fn due(&mut self) -> Option<Timer<Id>> {
        if self.next_timer() > self.now {
            return None;
        }
        self.timers.pop().map(|Reverse(Later(_, _, timer))| timer)
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Ticks {
        self.timers.peek().map_or(Ticks::MAX, |timer| timer.0.0)
    }

    fn know(&mut self, id: &Id, state: State) {
        let heard = self.known.get(&id.at).filter(|k| k.id == *id).and_then(|k| k.heard);
        self.known.insert(id.at, Seen { id: id.clone(), state, since: self.now, heard });
    }
}

/// A detection that knows nobody yet.
pub(crate) fn swim(own: Id, settings: &Settings, rng: &mut Rng) -> Swim {
    Foca::new(own, config(settings), SmallRng::seed_from_u64(rng.u64(..)), PostcardCodec)
}
