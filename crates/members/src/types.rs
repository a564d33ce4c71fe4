//! What a member tells of itself and others, and what it asks to be done.

use std::fmt;
use std::net::SocketAddrV4;

use doorgrade::Ticks;

use crate::Id;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send { to: SocketAddrV4, said: Vec<u8> },
    Tell(Event),
}

/// What has changed.
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
    Slept(Ticks),
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

/// What is believed of another member.
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
    pub since: Ticks,
    /// Its last own word to us, not what others say of it.
    pub heard: Option<Ticks>,
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
